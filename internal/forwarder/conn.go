package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// connBuffer is the size of a connection's read buffer, in bytes; an event of a stream is a few hundred.
	connBuffer = 2048
	// userTimeout is how long sent bytes may stay unacknowledged before a connection counts as dead; the path to the
	// farthest server takes tens of milliseconds, and a lost packet is sent again a few times within it.
	userTimeout = 3 * time.Second
	// idleSpan is how long a connection is kept for its next request where the server says nothing.
	idleSpan = 4 * timer.Second
	// idleMargin is taken off what the server says, so that a request does not cross its close.
	idleMargin = 900 * timer.Millisecond
	// maxIdle is how many idle connections to one server are kept.
	maxIdle = 32
	// tcpUserTimeout is the number of the socket option.
	tcpUserTimeout = 18
	// maxForeign is how many answers to other requests are skipped on a connection.
	maxForeign = 3
)

var errForeign = errors.New("the connection carries answers to other requests")

// conn is one connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	usedAt timer.Millis
	idle   timer.Millis
	fresh  bool
}

// pool keeps the idle connections to one incarnation of a backend server.
type pool struct {
	address string
	now     func() timer.Millis
	open    Dial
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// get returns an idle connection that is still open and silent, or nil.
func (p *pool) get() *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if p.now()-c.usedAt < c.idle && c.silent() {
			c.fresh = false
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection whose answer was read to its end.
func (p *pool) put(c *conn) {
	c.usedAt = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close drops all idle connections; those in use are dropped when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// expire drops connections that were idle for too long.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.now()-c.usedAt < c.idle {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// Dial makes a connection to an address within the context's time.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewDial returns a Dial for TCP.
func NewDial() Dial {
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

func (p *pool) dial(ctx context.Context, limit timer.Millis) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	raw, err := p.open(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, connBuffer), idle: idleSpan, fresh: true}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// silent reports whether an idle connection is open and has nothing to say.
func (c *conn) silent() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// write sends the whole request.
func (c *conn) write(req *Request, header http.Header) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if err := header.Write(&b); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	bufs := net.Buffers{b.Bytes()}
	if len(req.Body) > 0 {
		bufs = append(bufs, req.Body)
	}
	_, err := bufs.WriteTo(c.Conn)
	return err
}

// read returns the next answer that belongs to the request; late answers to earlier requests are skipped.
func (c *conn) read(method, id string, inspect func(*http.Response) Verdict) (*http.Response, Verdict, error) {
	for range maxForeign {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, Verdict{}, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		v := inspect(res)
		if v.ID == id {
			return res, v, nil
		}
		if v.ID == "" && v.Refused {
			// A server that is full may refuse before it has read the id.
			return res, v, nil
		}
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, v, errForeign
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, v, err
		}
	}
	return nil, Verdict{}, errForeign
}
