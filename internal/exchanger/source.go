package exchanger

import (
	"errors"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Wait returns the time, in milliseconds, until which to wait for more bytes; false gives the response up. It is called
// again at that time.
type Wait func(now timer.Millis) (until timer.Millis, ok bool)

// source reads from a connection within the limits of the current phase of a response.
type source struct {
	conn net.Conn
	now  func() timer.Millis
	// left is how many bytes may still be read in the phase.
	left int64
	// wait bounds the time of the phase; nil waits until the connection closes.
	wait Wait
	// writeErr is the error at which the connection ended while the request was written. Its reader sees a regular end after that.
	writeErr error
	// hasDeadline is true if the connection has a read deadline from an earlier read.
	hasDeadline bool
}

const unbounded = math.MaxInt64

// Read reads from the connection; it fails with ErrTooLong or ErrStalled at a limit of the phase.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrTooLong
	}
	p = p[:min(int64(len(p)), s.left)]
	for {
		if err := s.setDeadline(); err != nil {
			return 0, err
		}
		n, err := s.conn.Read(p)
		s.left -= int64(n)
		if err == io.EOF && errors.Is(s.writeErr, syscall.ECONNRESET) {
			err = s.writeErr
		}
		var timeout net.Error
		if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return n, err
		}
	}
}

// setDeadline sets the read deadline of the connection as wait demands.
func (s *source) setDeadline() error {
	if s.wait == nil {
		return s.clearDeadline()
	}
	now := s.now()
	until, ok := s.wait(now)
	if !ok {
		return ErrStalled
	}
	s.hasDeadline = true
	return s.conn.SetReadDeadline(time.Now().Add(max(1, until-now).Duration()))
}

func (s *source) clearDeadline() error {
	if !s.hasDeadline {
		return nil
	}
	s.hasDeadline = false
	return s.conn.SetReadDeadline(time.Time{})
}

// within returns a Wait that gives up after the given time.
func (s *source) within(timeout timer.Millis) Wait {
	end := s.now() + timeout
	return func(now timer.Millis) (timer.Millis, bool) { return end, now < end }
}
