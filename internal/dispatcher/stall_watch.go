package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ErrStalled is the error of an answer that made no progress for longer than the stall timeout.
var ErrStalled = errors.New("the backend server's answer made no progress")

const (
	// progressBytes is the number of bytes that count as progress of an answer. A server that stalls may still send a byte now
	// and then.
	progressBytes = 4 << 10
	// leaveInterval is the time between two questions whether a stalled answer may be left.
	leaveInterval = 100 * time.Millisecond
)

// stallWatch cancels a call once the waits since the last progress have lasted longer than timeout together and the request
// continues elsewhere. A stalled answer that nothing replaces is kept: it may only be slow.
type stallWatch struct {
	timeout  time.Duration
	mayLeave func() bool
	cancel   context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	isWaiting bool
	startedAt time.Time
	// left is how long the call may still wait until the next progress.
	left time.Duration
}

// newStallWatch returns a watch for a call that does not wait yet; a nil mayLeave never lets it go.
func newStallWatch(timeout timer.Millis, mayLeave func() bool, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{timeout: timeout.Duration(), left: timeout.Duration(), mayLeave: mayLeave, cancel: cancel}
	w.timer = time.AfterFunc(w.timeout, w.expire)
	w.timer.Stop()
	return w
}

// beginWait starts the timer; it runs only while the call waits for the server, so a slow caller does not trigger the timeout.
func (w *stallWatch) beginWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isWaiting, w.startedAt = true, time.Now()
	w.timer.Reset(max(w.left, 1))
}

func (w *stallWatch) endWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isWaiting = false
	w.timer.Stop()
	w.left -= time.Since(w.startedAt)
}

// recordProgress gives the answer the whole timeout again; it is called between waits.
func (w *stallWatch) recordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = w.timeout
}

func (w *stallWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.isWaiting || w.mayLeave == nil || time.Since(w.startedAt) < w.left:
	case w.mayLeave():
		w.isWaiting = false
		w.cancel(ErrStalled)
	default:
		w.timer.Reset(leaveInterval)
	}
}

// stallBody is the body of an answer under a watch.
type stallBody struct {
	body  io.ReadCloser
	watch *stallWatch
	// received is the number of bytes since the last progress.
	received int
}

// Read reads from the answer.
func (b *stallBody) Read(p []byte) (int, error) {
	b.watch.beginWait()
	n, err := b.body.Read(p)
	b.watch.endWait()
	if b.received += n; b.received >= progressBytes {
		b.progress()
	}
	return n, err
}

func (b *stallBody) progress() {
	b.received = 0
	b.watch.recordProgress()
}

// Close closes the body and cancels the call, which stops the work of the backend server.
func (b *stallBody) Close() error {
	b.watch.cancel(context.Canceled)
	return b.body.Close()
}
