package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ErrStalled is the error of an answer that the backend server stopped sending for longer than the stall timeout.
var ErrStalled = errors.New("the backend server fell silent within its answer")

// stallBody cancels the call when a single read takes longer than timeout.
type stallBody struct {
	body    io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

func newStallBody(body io.ReadCloser, timeout timer.Millis, cancel context.CancelCauseFunc) *stallBody {
	d := timeout.Duration()
	return &stallBody{body: body, timeout: d, cancel: cancel, timer: time.AfterFunc(d, func() { cancel(ErrStalled) })}
}

// Read reads from the answer. The timer runs only during a read, so a slow caller does not trigger the timeout.
func (b *stallBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.timeout)
	n, err := b.body.Read(p)
	b.timer.Stop()
	return n, err
}

// Close closes the body and cancels the call, which stops the work of the backend server.
func (b *stallBody) Close() error {
	b.timer.Stop()
	b.cancel(context.Canceled)
	return b.body.Close()
}
