package limiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// descriptorShare is the part of the process's descriptors that the connections of one listener may take, as a divisor: the rest
	// is for backend servers, other instances and files.
	descriptorShare = 2
	// writePiece is the number of bytes after which a write counts as progress.
	writePiece = 64 << 10
)

// Listener bounds the connections of callers that are open at once. When there are too many, one that makes no progress gives way
// to a new one; a connection whose request is being served stays.
type Listener struct {
	net.Listener
	clock    timer.Clock
	pressure *Pressure
	max      int
	// stall is the longest time that a caller may leave a piece of its answer unread.
	stall timer.Millis
	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewListener bounds the connections of a listener to max, or to a part of the process's descriptors if these are fewer.
func NewListener(l net.Listener, clock timer.Clock, max int, stall timer.Millis, pressure *Pressure) *Listener {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(max)*descriptorShare {
		max = int(files.Cur / descriptorShare)
	}
	return &Listener{Listener: l, clock: clock, max: max, stall: stall, pressure: pressure, conns: map[*Conn]bool{}}
}

// Accept returns the next connection that may stay.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.progressAt.Store(int64(l.clock.Now()))
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection, and reports whether there is room for it.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		victim := l.mostStalled()
		if victim == nil {
			l.retireMostServed()
			l.pressure.recordRefusal()
			return false
		}
		delete(l.conns, victim)
		l.pressure.recordEviction()
		go victim.runClose()
	}
	l.conns[c] = true
	return true
}

// mostStalled returns the connection that has made no progress for the longest time, nil if all do.
func (l *Listener) mostStalled() *Conn {
	var victim *Conn
	oldest := l.clock.Now() - stallTime
	for c := range l.conns {
		if at := timer.Millis(c.progressAt.Load()); at <= oldest && c.mayGiveWay() {
			victim, oldest = c, at
		}
	}
	return victim
}

// retireMostServed lets the connection that has carried the most requests end with its next answer: a caller that sends on and on
// must not keep others out.
func (l *Listener) retireMostServed() {
	var most *Conn
	for c := range l.conns {
		if !c.retiring.Load() && c.served.Load() > 0 && (most == nil || c.served.Load() > most.served.Load()) {
			most = c
		}
	}
	if most != nil {
		most.retiring.Store(true)
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	// progressAt is when the last bytes were read or written, in milliseconds.
	progressAt atomic.Int64
	// serving is true while a request is served that was read completely, writing while an answer is written.
	serving, writing atomic.Bool
	// served is the number of requests that were read, and retiring is true if no further one is to follow.
	served   atomic.Int64
	retiring atomic.Bool
}

// mayGiveWay reports whether the caller, and not the answer that it waits for, is what takes long.
func (c *Conn) mayGiveWay() bool {
	return !c.serving.Load() || c.writing.Load()
}

// Read reads what the caller has sent.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progressAt.Store(int64(c.listener.clock.Now()))
	}
	return n, err
}

// Write sends a part of an answer. It fails when the caller leaves a piece of it unread for too long.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		now := c.listener.clock.Now()
		c.progressAt.Store(int64(now))
		if err := c.SetWriteDeadline(deadlineAfter(c.listener.stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// CloseWrite ends the answer without a reset, which would drop the part that the caller has not read yet.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// runClose closes a connection that gives way; its owner may be reading from it.
func (c *Conn) runClose() {
	_ = c.Close()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

type connKey struct{}

// WithConn returns a context that holds a caller's connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// ServeWhole returns a handler whose requests count as served from their head on: it reads their bodies itself.
func ServeWhole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Serving(r.Context())()
		h.ServeHTTP(w, r)
	})
}

// Serving records that the request of a context was read completely and is served until done is called.
func Serving(ctx context.Context) (done func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	c.served.Add(1)
	c.serving.Store(true)
	return func() { c.serving.Store(false) }
}

// IsRetiring reports whether the connection of a context should end with the answer.
func IsRetiring(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.retiring.Load()
}

// CloseConn closes the connection that the request of a context came on.
func CloseConn(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = c.Close()
	}
}
