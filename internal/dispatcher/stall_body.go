package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ErrStalled is the error of an answer that made no progress for longer than the stall timeout.
var ErrStalled = errors.New("the backend server's answer made no progress")

// progressBytes is the number of bytes that count as progress of an answer. A server that stalls may still send a byte now
// and then.
const progressBytes = 4 << 10

// stallBody cancels the call when the reads since the last progress have waited longer than timeout together.
type stallBody struct {
	body    io.ReadCloser
	timeout time.Duration
	// left is how long reads may still wait until the next progress, and received the number of bytes since the last.
	left     time.Duration
	received int
	timer    *time.Timer
	cancel   context.CancelCauseFunc
}

func newStallBody(body io.ReadCloser, timeout timer.Millis, cancel context.CancelCauseFunc) *stallBody {
	d := timeout.Duration()
	return &stallBody{body: body, timeout: d, left: d, cancel: cancel, timer: time.AfterFunc(d, func() { cancel(ErrStalled) })}
}

// Read reads from the answer. The timer runs only during a read, so a slow caller does not trigger the timeout.
func (b *stallBody) Read(p []byte) (int, error) {
	startedAt := time.Now()
	b.timer.Reset(max(b.left, 1))
	n, err := b.body.Read(p)
	b.timer.Stop()
	b.left -= time.Since(startedAt)
	if b.received += n; b.received >= progressBytes {
		b.progress()
	}
	return n, err
}

// progress gives the answer the whole timeout again.
func (b *stallBody) progress() {
	b.left, b.received = b.timeout, 0
}

// Close closes the body and cancels the call, which stops the work of the backend server.
func (b *stallBody) Close() error {
	b.timer.Stop()
	b.cancel(context.Canceled)
	return b.body.Close()
}
