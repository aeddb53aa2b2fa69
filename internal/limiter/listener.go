package limiter

import (
	"net"
	"sync"
	"syscall"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// writePiece is the number of bytes after which a write counts as progress.
const writePiece = 64 << 10

// Bounds are the bounds on the connections of a listener.
type Bounds struct {
	// MaxConns is the number of connections that are open at once, 0 for as many as the descriptors allow; DescriptorShare is the part of the process's descriptors that they
	// may take, as a divisor: the rest is for other listeners, backend servers and files.
	MaxConns, DescriptorShare int
	// Stall is the longest time that a caller may leave a piece of its answer unread.
	Stall timer.Millis
	Pace  Pace
	// Budget bounds what the heads of requests hold until they are complete; nil if they are not counted.
	Budget *Budget
}

// Listener bounds the connections of callers that are open at once. When there are too many, one whose request is late, or that is
// idle, gives way to a new one; a connection whose request is being served stays.
type Listener struct {
	net.Listener
	clock    timer.Clock
	pressure *Pressure
	bounds   Bounds
	mu       sync.Mutex
	conns    map[*Conn]bool
}

// NewListener bounds the connections of a listener.
func NewListener(l net.Listener, clock timer.Clock, b Bounds, pressure *Pressure) *Listener {
	var files syscall.Rlimit
	share := uint64(max(1, b.DescriptorShare))
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && (b.MaxConns == 0 || files.Cur < uint64(b.MaxConns)*share) {
		b.MaxConns = int(files.Cur / share)
	}
	return &Listener{Listener: l, clock: clock, bounds: b, pressure: pressure, conns: map[*Conn]bool{}}
}

// Accept returns the next connection that may stay.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		if l.admit(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// admit adds a connection, and reports whether there is room for it.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.bounds.MaxConns {
		victim := l.latest()
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

// latest returns the connection that gives way first: one with a late request before an idle one, then the one that has been so for the
// longest time. It returns nil if all may stay.
func (l *Listener) latest() *Conn {
	var victim *Conn
	var first eviction
	now := l.clock.Now()
	for c := range l.conns {
		if ev := c.eviction(now); ev.mayGiveWay && (victim == nil || ev.precedes(first)) {
			victim, first = c, ev
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
