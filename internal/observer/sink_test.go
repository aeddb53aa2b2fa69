package observer

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks each Write until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	buf     bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func TestSinkNeverBlocksAndCountsDroppedLines(t *testing.T) {
	w := &blockingWriter{unblock: make(chan struct{})}
	s := NewSink(w)
	line := []byte(strings.Repeat("x", 99) + "\n")
	start := time.Now()
	const lines = 10_000
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Fatalf("writing while the underlying writer blocks took %s, want at most 2 s", elapsed)
	}
	close(w.unblock)
	s.Close()
	output := w.buf.String()
	if !strings.Contains(output, "log lines left out: count=") {
		t.Fatal("the output has no line with the number of dropped lines")
	}
	if len(output) > 3*maxPendingBytes {
		t.Fatalf("%d bytes were written, although at most %d may be pending", len(output), maxPendingBytes)
	}
}
