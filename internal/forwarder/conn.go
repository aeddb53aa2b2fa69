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
	// readBufferSize is the size of a connection's read buffer, in bytes; an event of a stream takes a few hundred.
	readBufferSize = 2048
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
	// maxForeignResponses is the maximum number of responses to other requests that are skipped on a connection.
	maxForeignResponses = 3
)

var errForeignResponse = errors.New("the connection carries responses to other requests")

// conn is a connection to a backend server; one request uses it at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	lastUsedAt  timer.Millis
	idleTimeout timer.Millis
	isNew       bool
}

// pool holds the idle connections to one incarnation of a backend server.
type pool struct {
	address  string
	now      func() timer.Millis
	dialFunc Dial
	mu       sync.Mutex
	idle     []*conn
	closed   bool
}

// get returns an idle connection that is still open and has no unread data, or nil.
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
		if p.now()-c.lastUsedAt < c.idleTimeout && c.isUsable() {
			c.isNew = false
			return c
		}
		_ = c.Close()
	}
}

// put returns a connection to the pool after its response was read completely.
func (p *pool) put(c *conn) {
	c.lastUsedAt = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes all idle connections; connections in use are closed when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// expire closes the connections that have exceeded their idle timeout.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.now()-c.lastUsedAt < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// Dial opens a connection to an address before the context ends.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewDial returns a Dial for TCP.
func NewDial() Dial {
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

func (p *pool) dial(ctx context.Context, timeout timer.Millis) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	raw, err := p.dialFunc(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), idleTimeout: defaultIdleTimeout,
		isNew: true}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// isUsable reports whether an idle connection is still open and has no unread data.
func (c *conn) isUsable() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// writeRequest sends the whole request.
func (c *conn) writeRequest(req *Request, header http.Header) error {
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

// readResponse returns the response to the request with the given id and skips late responses to earlier requests.
func (c *conn) readResponse(method, id string, inspect func(*http.Response) ResponseInfo) (*http.Response, ResponseInfo, error) {
	for range maxForeignResponses {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		info := inspect(res)
		if info.RequestID == id {
			return res, info, nil
		}
		if info.RequestID == "" && info.NotRun {
			// A full server may refuse a request before it has read the id.
			return res, info, nil
		}
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, info, errForeignResponse
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, info, err
		}
	}
	return nil, ResponseInfo{}, errForeignResponse
}
