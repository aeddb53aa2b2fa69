package exchanger

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before a connection counts as dead. The round trip to
	// the farthest server takes tens of milliseconds, which leaves time for several retransmissions.
	userTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no keep-alive timeout.
	defaultIdleTimeout = 4 * timer.Second
	// idleMargin is subtracted from the server's keep-alive timeout, so that no request is sent while the server
	// closes the connection.
	idleMargin = 900 * timer.Millisecond
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 32
	// tcpUserTimeoutOption is the number of the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeoutOption = 18
)

// Endpoint is where a backend server is reached.
type Endpoint struct {
	Address, DataCentre string
}

// Relays reports whether a connection may lead through an instance of a data centre; nil allows all.
type Relays func(dataCentre string) bool

// Allow reports whether a connection may lead through an instance of a data centre.
func (r Relays) Allow(dataCentre string) bool {
	return r == nil || r(dataCentre)
}

// Dial opens a connection to a backend server before the context ends. A connection that does not lead there directly
// implements Detour.
type Dial func(ctx context.Context, e Endpoint, relays Relays) (net.Conn, error)

// Detour is a connection that leads through another instance.
type Detour interface {
	// IsExpired reports whether the connection should carry no further request.
	IsExpired() bool
	// RelayDataCentre returns the data centre of the other instance.
	RelayDataCentre() string
	// ReportRest tells the other instance that the server has asked to be left alone; it must not block.
	ReportRest(rest timer.Millis)
}

// NewDial returns a function that opens a TCP connection to an address before the context ends.
func NewDial() func(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// Deps are what the pools of all backend servers have in common.
type Deps struct {
	Now    func() timer.Millis
	Dial   Dial
	Limits Limits
	Memory *Memory
}

// Pool holds the idle connections to one incarnation of a backend server; it is safe for concurrent use.
type Pool struct {
	deps     Deps
	endpoint Endpoint
	mu       sync.Mutex
	idle     []*Conn
	closed   bool
}

// NewPool returns an empty pool of connections to a backend server.
func NewPool(deps Deps, e Endpoint) *Pool {
	return &Pool{deps: deps, endpoint: e}
}

// Get returns an idle connection that is still open and has no unread data, or nil. It returns none of the excluded
// connections, and none that leads through an instance that is not allowed.
func (p *Pool) Get(excluded []*Conn, relays Relays) *Conn {
	for {
		c := p.take(excluded, relays)
		if c == nil {
			return nil
		}
		if p.deps.Now()-c.lastUsedAt < c.idleTimeout && !c.isExpired() && c.isUsable() {
			return c
		}
		_ = c.Close()
	}
}

// take removes the connection that was used last and is allowed from the pool; nil if there is none.
func (p *Pool) take(excluded []*Conn, relays Relays) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !slices.Contains(excluded, c) && c.isRelayedBy(relays) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// Open opens a new connection within the timeout, in milliseconds; it may lead through the given instances.
func (p *Pool) Open(ctx context.Context, timeout timer.Millis, relays Relays) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	raw, err := p.deps.Dial(ctx, p.endpoint, relays)
	if err != nil {
		return nil, err
	}
	return newConn(raw, p.deps.Now, p.deps.Limits, p.deps.Memory), nil
}

// Put returns a connection that carries no request to the pool.
func (p *Pool) Put(c *Conn) {
	if c.SetDeadline(time.Time{}) != nil || c.reader.Buffered() > 0 || c.isExpired() {
		_ = c.Close()
		return
	}
	c.source.wait, c.source.hasDeadline = nil, false
	c.lastUsedAt = p.deps.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// PutAfter returns a connection to the pool after a response was read completely, or closes it if it cannot be reused.
func (p *Pool) PutAfter(c *Conn, r *Response) {
	if !r.CanReuse() {
		_ = c.Close()
		return
	}
	if r.Info.KeepAliveTimeout > 0 {
		c.idleTimeout = max(0, r.Info.KeepAliveTimeout-idleMargin)
	}
	p.Put(c)
}

// SetClosed closes all idle connections and those that are put back from now on, or accepts connections again.
func (p *Pool) SetClosed(closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = closed
	if !closed {
		return
	}
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// CloseDirect closes the idle connections that lead to the server directly.
func (p *Pool) CloseDirect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if c.IsDetour() {
			return false
		}
		_ = c.Close()
		return true
	})
}

// Expire closes the connections that have exceeded their idle timeout.
func (p *Pool) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		expired := p.deps.Now()-c.lastUsedAt >= c.idleTimeout
		if expired {
			_ = c.Close()
		}
		return expired
	})
}
