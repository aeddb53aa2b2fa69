package detector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads end with io.EOF only if the other end has closed it regularly. The operating system tells of a reset
// once: when the writer is told, the reader of a plain connection sees a regular end.
type Conn struct {
	net.Conn
	// writing is held during a write, and writeErr is the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn over another connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// WriteError returns the error of the last write, once the write in progress has ended.
func (c *Conn) WriteError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Read reads from the connection. An end interrupts the write in progress.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if deadlineErr := c.SetWriteDeadline(time.Unix(1, 0)); deadlineErr != nil {
		return n, deadlineErr
	}
	if writeErr := c.WriteError(); isReset(writeErr) {
		return n, fmt.Errorf("the connection broke: %w", writeErr)
	}
	return n, err
}

// isReset reports whether the error of a write tells of the end of its connection. EPIPE comes after a regular end, of which the reader
// was told.
func isReset(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
