package observer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// maxPendingBytes limits the buffered log lines; with flushDelay it limits the output to about 640 KB per second.
	maxPendingBytes = 64 << 10
	// flushDelay is how long lines are collected for one write.
	flushDelay = 100 * time.Millisecond
)

// Sink writes log lines from its own goroutine, so that a slow reader never blocks the code that logs; lines that do
// not fit in the buffer are dropped, and their number is logged.
type Sink struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	tomb    tomb.Tomb
}

// NewSink returns a running Sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, wake: make(chan struct{}, 1)}
	s.tomb.Go(s.loop)
	return s
}

// Write buffers one line, or drops it when the buffer is full; it never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.pending)+len(line) > maxPendingBytes {
		s.dropped++
	} else {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *Sink) loop() error {
	for {
		select {
		case <-s.wake:
		case <-s.tomb.Dying():
			return s.flush()
		}
		select {
		case <-time.After(flushDelay):
		case <-s.tomb.Dying():
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

func (s *Sink) flush() error {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "log lines left out: count=%d\n", dropped)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := s.w.Write(lines)
	return err
}

// Close writes the buffered lines and stops the goroutine.
func (s *Sink) Close() {
	s.tomb.Kill(nil)
	// A failure to write the log cannot be logged.
	_ = s.tomb.Wait()
}
