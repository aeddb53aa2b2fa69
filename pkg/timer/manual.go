package timer

import (
	"sync"
	"time"
)

// ManualClock is a virtual clock for tests; its time changes only through Advance.
type ManualClock struct {
	mu      sync.Mutex
	now     Millis
	waiters []waiter
}

// waiter is a channel to signal once the virtual time reaches the deadline.
type waiter struct {
	deadline Millis
	ch       chan Tick
}

// NewManualClock returns a virtual clock set to the given time in milliseconds.
func NewManualClock(now Millis) *ManualClock {
	return &ManualClock{now: now}
}

// Clock returns a Clock that reads and waits on this virtual time.
func (m *ManualClock) Clock() Clock {
	return Clock{Now: m.Now, After: m.after}
}

// Now returns the virtual time in milliseconds.
func (m *ManualClock) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the virtual time forward by the given duration and signals each waiter that has reached its deadline.
func (m *ManualClock) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	var pending []waiter
	for _, w := range m.waiters {
		if w.deadline > m.now {
			pending = append(pending, w)
			continue
		}
		w.ch <- time.UnixMilli(int64(m.now))
	}
	m.waiters = pending
}

func (m *ManualClock) after(d Millis) <-chan Tick {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan Tick, 1)
	if d <= 0 {
		ch <- time.UnixMilli(int64(m.now))
		return ch
	}
	m.waiters = append(m.waiters, waiter{deadline: m.now + d, ch: ch})
	return ch
}
