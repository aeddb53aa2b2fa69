package exchanger

import (
	"io"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Body is a complete response body; Free must be called when it is no longer used.
type Body struct {
	Bytes  []byte
	buffer *buffer
}

// Free returns the memory of the body.
func (b Body) Free() {
	if b.buffer != nil {
		b.buffer.free()
	}
}

const initialBodyBytes = 4 << 10

// ReadBody reads the whole body. A body without a length or chunks is complete when its connection is closed, and
// incomplete when it is reset: the protocol offers no other sign. A body that stalls is waited for as stalled says. An error means that the body is incomplete or exceeds a limit.
func (r *Response) ReadBody(stalled Wait) (Body, error) {
	c := r.conn
	if r.Header.Get("Content-Encoding") != "" {
		return Body{}, ErrEncoded
	}
	if r.ContentLength > c.limits.MaxBodyBytes {
		return Body{}, ErrTooLong
	}
	b := &buffer{memory: c.memory}
	c.source.left = unbounded
	c.source.wait = c.bodyWait(b, stalled)
	err := c.readInto(b, r.Body, max(initialBodyBytes, int(r.ContentLength)+1))
	if err == nil && (isUnframed(r.Response) && joinedHeadAt(b.bytes) >= 0 || r.ContentLength > 0 && r.holdsResponse(b.bytes)) {
		err = ErrTwoHeads
	}
	if err != nil {
		b.free()
		return Body{}, err
	}
	return Body{Bytes: b.bytes, buffer: b}, nil
}

func (c *Conn) readInto(b *buffer, body io.Reader, initial int) error {
	for {
		// One byte more shows that the body is too long.
		if err := b.grow(initial, int(c.limits.MaxBodyBytes)+1); err != nil {
			return err
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF && int64(len(b.bytes)) <= c.limits.MaxBodyBytes {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyWait returns a Wait for a body that must arrive at the minimum rate.
func (c *Conn) bodyWait(b *buffer, stalled Wait) Wait {
	startedAt := c.source.now()
	return func(now timer.Millis) (timer.Millis, bool) {
		due := startedAt + c.limits.BodyGrace + timer.Millis(int64(len(b.bytes))*int64(timer.Second)/c.limits.MinBodyRate)
		if now < due {
			return due, true
		}
		return stalled(now)
	}
}
