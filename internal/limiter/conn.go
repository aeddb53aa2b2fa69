package limiter

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// lineCost is what a line of an unfinished head takes, in bytes, with its entries in the fields that are read already.
	lineCost = fieldCost
	// byteCost is what a byte of an unfinished head takes: a field that is still read is held in a buffer that grows.
	byteCost = 2
	// encryptedCost is what a byte of an unfinished head takes whose lines cannot be told: most of them may be as short as lines can be.
	encryptedCost = 20
	// readAhead is the most that a server reads ahead of the request that it serves, in bytes.
	readAhead = 4 << 10
)

// busyAnswer refuses a request whose head could not be read; it has not run.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	// lease is what the request in progress holds; nil if it is not counted.
	lease *Lease
	// isEncrypted is true if the bytes of the connection are not those of HTTP.
	isEncrypted atomic.Bool
	// progressAt is when the last bytes were read or written, in milliseconds.
	progressAt atomic.Int64
	// serving is true while a request is served that was read completely, writing while an answer is written.
	serving, writing atomic.Bool
	// served is the number of requests that were read, and retiring is true if no further one is to follow.
	served   atomic.Int64
	retiring atomic.Bool
	// isRefused is true once the head of a request was refused, isTaken once the connection speaks another protocol: whoever took it
	// over bounds its times.
	isRefused, isTaken atomic.Bool
	// mu guards the fields below.
	mu sync.Mutex
	// request is the request that is being read, with a startedAt of 0 between two requests.
	request arrival
	head    headEnd
	// isGreeted is true once the other end of an encrypted connection has begun its handshake.
	isGreeted bool
	// isOpen is true once the head of the request was read. From then on its handler accounts for it.
	isOpen bool
	// bodyLength is that of the open request, -1 if it is not known.
	bodyLength int64
	// lastBytes and lastLines are the size of what was read last.
	lastBytes, lastLines int
}

func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, listener: l}
	c.progressAt.Store(int64(l.clock.Now()))
	if l.bounds.Budget != nil {
		c.lease = l.bounds.Budget.Open(c.runClose)
		c.lease.isKept = true
	}
	return c
}

// eviction tells whether and how soon a connection gives way to a new one.
type eviction struct {
	mayGiveWay bool
	// isLate is true if a request or an answer is late, false if the connection is idle; since is from when on.
	isLate bool
	since  timer.Millis
}

// precedes reports whether a connection gives way before another one.
func (a eviction) precedes(b eviction) bool {
	if a.isLate != b.isLate {
		return a.isLate
	}
	return a.since < b.since
}

// eviction tells whether the caller, and not the answer that it waits for, is what takes long.
func (c *Conn) eviction(now timer.Millis) eviction {
	progressAt := timer.Millis(c.progressAt.Load())
	isWriting := c.writing.Load()
	if c.isTaken.Load() || c.serving.Load() && !isWriting {
		return eviction{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isWriting:
		return eviction{mayGiveWay: now-progressAt >= stallTime, isLate: true, since: progressAt}
	case c.request.startedAt != 0:
		return eviction{mayGiveWay: c.listener.bounds.Pace.isLate(c.request, now), isLate: true, since: c.request.startedAt}
	}
	return eviction{mayGiveWay: now-progressAt >= stallTime, since: progressAt}
}

// Read reads what the caller has sent. It fails if the process has no memory for the head of the request.
func (c *Conn) Read(b []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, refusedError(ErrExhausted)
	}
	n, err := c.Conn.Read(b)
	if n == 0 || c.isTaken.Load() {
		return n, err
	}
	c.progressAt.Store(int64(c.listener.clock.Now()))
	if takeErr := c.record(b[:n]); takeErr != nil {
		// The reader of a head may pass over one error and read on.
		c.isRefused.Store(true)
		if errors.Is(takeErr, ErrExhausted) && !c.isEncrypted.Load() {
			_ = c.SetWriteDeadline(deadlineAfter(c.listener.bounds.Stall))
			_, _ = c.Conn.Write([]byte(busyAnswer))
		}
		return 0, refusedError(takeErr)
	}
	return n, err
}

// refusedError returns an error at which a server closes the connection without an answer of its own.
func refusedError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// record counts what was read, and takes the memory for it while it is of a head.
func (c *Conn) record(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.listener.clock.Now()
	if c.request.startedAt == 0 {
		c.request.startedAt = now
		if c.lease != nil {
			c.lease.begin()
		}
	}
	c.request.progressAt = now
	c.request.bytes += int64(len(b))
	lines := c.head.scan(b)
	// The server reads single bytes while it watches for the departure of the caller.
	if len(b) > 1 || !c.isOpen {
		c.lastBytes, c.lastLines = len(b), lines
	}
	if c.lease == nil {
		return nil
	}
	c.lease.arrive(len(b))
	if c.isOpen {
		return nil
	}
	if c.isGreeted {
		return c.lease.Take(int64(len(b)) * encryptedCost)
	}
	return c.lease.Take(int64(len(b))*byteCost + int64(lines)*lineCost)
}

// greet records that the handshake of an encrypted connection has begun: what was read before is no part of a head.
func (c *Conn) greet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isGreeted = true
	if c.lease != nil {
		// Giving back fails only if the connection has to end.
		_ = c.lease.Resize(0)
	}
}

// recordState records what the server does with the connection.
func (c *Conn) recordState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.reset()
	case http.StateHijacked:
		c.take()
	}
}

// open records that the head of a request was read, and takes what it holds.
func (c *Conn) open(cost, bodyLength int64) error {
	c.mu.Lock()
	c.isOpen, c.bodyLength = true, bodyLength
	c.mu.Unlock()
	if c.lease == nil {
		return nil
	}
	return c.lease.Resize(cost)
}

// reset forgets the request that was answered. What the server has read ahead is the start of the next one.
func (c *Conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := int64(min(c.lastBytes, readAhead))
	if c.bodyLength >= 0 && c.head.isFound {
		ahead = min(ahead, c.request.bytes-c.head.bytes-c.bodyLength)
	}
	lines := min(int64(c.lastLines), ahead)
	if ahead == 1 {
		// The server has watched for the departure of the caller, who had the answer already and went on.
		lines = 0
	}
	c.request, c.head, c.isOpen, c.lastBytes, c.lastLines = arrival{}, headEnd{}, false, 0, 0
	if ahead > 0 {
		c.head.skip(ahead)
		now := c.listener.clock.Now()
		c.request = arrival{startedAt: now, progressAt: now, bytes: ahead}
	}
	if c.lease == nil {
		return
	}
	c.lease.Close()
	if ahead > 0 && c.lease.Take(ahead*byteCost+lines*lineCost) != nil {
		c.isRefused.Store(true)
	}
}

// take records that the connection speaks another protocol from now on.
func (c *Conn) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isTaken.Store(true)
	if c.lease != nil {
		c.lease.Close()
	}
}

// Write sends a part of an answer. It fails when the caller leaves a piece of it unread for too long.
func (c *Conn) Write(b []byte) (int, error) {
	if c.isTaken.Load() {
		return c.Conn.Write(b)
	}
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		now := c.listener.clock.Now()
		c.progressAt.Store(int64(now))
		if err := c.SetWriteDeadline(deadlineAfter(c.listener.bounds.Stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetKeepAliveConfig sets when the connection is probed.
func (c *Conn) SetKeepAliveConfig(cfg net.KeepAliveConfig) error {
	if prober, ok := c.Conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		return prober.SetKeepAliveConfig(cfg)
	}
	return nil
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
	if c.lease != nil {
		c.lease.end()
	}
	return c.Conn.Close()
}
