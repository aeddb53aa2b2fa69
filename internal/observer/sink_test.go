package observer

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func TestSinkNeverWaitsAndCountsWhatItLeavesOut(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := NewSink(g)
	line := []byte(strings.Repeat("x", 99) + "\n")
	begun := time.Now()
	const lines = 10_000
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Fatalf("writing to a blocked log took %s", took)
	}
	close(g.open)
	s.Close()
	text := g.buf.String()
	if !strings.Contains(text, "log lines left out: count=") {
		t.Fatal("no line tells how many were left out")
	}
	if len(text) > 3*sinkBytes {
		t.Fatalf("%d bytes were written, at most %d may wait", len(text), sinkBytes)
	}
}
