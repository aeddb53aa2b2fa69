package observer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// sinkBytes bounds what waits to be written; with sinkPause it bounds the volume to about 640 KB a second.
	sinkBytes = 64 << 10
	// sinkPause gathers lines into one write.
	sinkPause = 100 * time.Millisecond
)

// Sink writes log lines from a goroutine of its own, so that a slow reader holds up nobody; lines that do not fit are
// counted, and the count is written.
type Sink struct {
	w       io.Writer
	mu      sync.Mutex
	waiting []byte
	leftOut int
	kick    chan struct{}
	tomb    tomb.Tomb
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, kick: make(chan struct{}, 1)}
	s.tomb.Go(s.loop)
	return s
}

// Write queues one line; it never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.waiting)+len(line) > sinkBytes {
		s.leftOut++
	} else {
		s.waiting = append(s.waiting, line...)
	}
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *Sink) loop() error {
	for {
		select {
		case <-s.kick:
		case <-s.tomb.Dying():
			return s.flush()
		}
		select {
		case <-time.After(sinkPause):
		case <-s.tomb.Dying():
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

func (s *Sink) flush() error {
	s.mu.Lock()
	lines, leftOut := s.waiting, s.leftOut
	s.waiting, s.leftOut = nil, 0
	s.mu.Unlock()
	if leftOut > 0 {
		lines = fmt.Appendf(lines, "log lines left out: count=%d\n", leftOut)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := s.w.Write(lines)
	return err
}

// Close writes what waits and ends the goroutine.
func (s *Sink) Close() {
	s.tomb.Kill(nil)
	// There is nowhere left to tell of a log that cannot be written.
	_ = s.tomb.Wait()
}
