package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event with the milliseconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration {
	return time.Since(r.started)
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written is noticed by its reader; the verdict does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%9.3f ", float64(r.now().Microseconds())/1e3)
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// say prints a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	_ = r.file.Close()
}
