package gauger

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// minOwn is the number of own readings that count while no estimate of all instances is known.
const minOwn = 1

// Meter is what an entry instance knows of the machine of one incarnation of a server; safe for concurrent use.
type Meter struct {
	mu  sync.Mutex
	own Readings
	// unsent are the readings that are not reported yet; load is the last load, as of loadAt, and isUnsent means that it is not.
	unsent   []int
	load     int
	loadAt   timer.Millis
	isUnsent bool
	// shared is the estimate of all instances together, 0 if it is not known.
	shared int
}

// Add adds what an answer reports: the requests at the server, and a reading of its machine. Only servers that give readings share
// their machines; the others are not reported.
func (m *Meter) Add(load, percent int, now timer.Millis) {
	if percent == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load, m.loadAt, m.isUnsent = load, now, true
	m.own.Add(percent)
	if len(m.unsent) < maxReported {
		m.unsent = append(m.unsent, percent)
	}
}

// TakeReport completes a report with what came since the last call, and returns false if there is nothing.
func (m *Meter) TakeReport(r Report, now timer.Millis) (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUnsent {
		return r, false
	}
	r.Percents, r.Load, r.Age = m.unsent, m.load, now-m.loadAt
	m.unsent, m.isUnsent = nil, false
	return r, true
}

// SetShared stores the estimate of all instances together.
func (m *Meter) SetShared(percent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if percent >= minReading && percent <= maxReading {
		m.shared = percent
	}
}

// IsKnown reports whether the server tells how fast its machine works.
func (m *Meter) IsKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, count := m.own.Median()
	return m.shared > 0 || count > 0
}

// Factor returns how long work takes on the machine, relative to the usual time; 1 while nothing is known.
func (m *Meter) Factor() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shared > 0 {
		return float64(m.shared) / Usual
	}
	if percent, count := m.own.Median(); count >= minOwn {
		return float64(percent) / Usual
	}
	return 1
}
