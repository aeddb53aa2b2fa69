package tunneler

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	// ErrCut is the error of a tunnel that ended without a word of the relaying instance: nothing is known of the server.
	ErrCut = errors.New("the tunnel was cut")
	// ErrUnwilling is the error of an instance that relays nothing at the moment.
	ErrUnwilling = errors.New("the instance relays no connection")
	// ErrUnreachable is the error of a relaying instance that could not connect to the server.
	ErrUnreachable = errors.New("the relaying instance does not reach the server")
	// ErrRefused is the error of a relaying instance to which the server's address refuses connections.
	ErrRefused = errors.New("the server refuses connections to the relaying instance")
	errFrame   = errors.New("the tunnel carried an invalid frame")
	// errServerReset is the error of a connection that broke between the relaying instance and the server.
	errServerReset = fmt.Errorf("server behind the tunnel: %w", syscall.ECONNRESET)
)

// headerFailure is the header with which a relaying instance says why it could not connect to the server.
const headerFailure = "Tunnel-Failure"

// failureRefused is the value of headerFailure if the server's address refuses connections.
const failureRefused = "refused"

// Conn is a connection to a backend server through another instance. Its deadlines are those of the connection to that
// instance; a read that times out may be repeated.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// left is how much data of the current frame is unread.
	left int
	// end is the error of all further reads once the last frame has arrived.
	end      error
	draining atomic.Bool
}

// Dial opens a connection to a server's address through the instance that relays at the given address. The error wraps
// ErrUnwilling, ErrUnreachable or ErrRefused if the instance has answered.
func Dial(ctx context.Context, dial func(context.Context, string) (net.Conn, error), relay, address string) (*Conn, error) {
	raw, err := dial(ctx, relay)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, frameHeaderBytes+maxFrameData)}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = c.connect(relay, address)
	if !stop() {
		err = errors.Join(ctx.Err(), err)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// connect asks the relaying instance for a connection to the server.
func (c *Conn) connect(relay, address string) error {
	if _, err := fmt.Fprintf(c.Conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", address, relay); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	switch {
	case res.StatusCode == http.StatusOK:
		return nil
	case parseRest(res.Header) > 0:
		return &RestingError{Left: parseRest(res.Header)}
	case res.StatusCode != http.StatusBadGateway:
		return fmt.Errorf("relay %s: status %d: %w", relay, res.StatusCode, ErrUnwilling)
	case res.Header.Get(headerFailure) == failureRefused:
		return fmt.Errorf("relay %s: %s: %w", relay, address, ErrRefused)
	}
	return fmt.Errorf("relay %s: %s: %w", relay, address, ErrUnreachable)
}

// Read reads what the server has sent. It returns io.EOF only if the server has closed its connection regularly.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.end != nil {
			return 0, c.end
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, cutError(err)
}

// readHeader reads the header of the next frame.
func (c *Conn) readHeader() error {
	// Peek keeps a part of the header for the next call after a timeout.
	header, err := c.reader.Peek(frameHeaderBytes)
	if err != nil {
		return cutError(err)
	}
	length := int(binary.BigEndian.Uint16(header[1:]))
	switch frameType(header[0]) {
	case frameData:
		c.left = length
	case frameDraining:
		c.draining.Store(true)
	case frameEnd:
		c.end = io.EOF
	case frameReset:
		c.end = errServerReset
	default:
		c.end = errFrame
	}
	_, err = c.reader.Discard(frameHeaderBytes)
	return err
}

// cutError replaces the end of the connection to the relaying instance, which says nothing of the server.
func cutError(err error) error {
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCut, errorWithoutEnd(err))
}

// errorWithoutEnd replaces io.EOF, which callers would take for the end of what the server has sent.
func errorWithoutEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsExpired reports whether the connection should carry no further request, because the relaying instance stops or the
// server has closed its connection.
func (c *Conn) IsExpired() bool {
	return c.draining.Load() || c.end != nil || c.left > 0 || c.reader.Buffered() > 0
}

// SyscallConn returns the raw connection to the relaying instance.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}
