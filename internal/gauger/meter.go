package gauger

import "sync"

// minOwn is the number of own readings that count while no estimate of all instances is known.
const minOwn = 1

// Meter is what an entry instance knows of the machine of one incarnation of a server; safe for concurrent use.
type Meter struct {
	mu  sync.Mutex
	own Readings
	// unsent are the readings that are not reported yet.
	unsent []int
	// shared is the estimate of all instances together, 0 if it is not known.
	shared int
}

// Add adds a reading from an answer.
func (m *Meter) Add(percent int) {
	if percent == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.Add(percent)
	if len(m.unsent) < maxReported {
		m.unsent = append(m.unsent, percent)
	}
}

// TakeUnsent returns the readings since the last call.
func (m *Meter) TakeUnsent() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.unsent
	m.unsent = nil
	return list
}

// SetShared stores the estimate of all instances together.
func (m *Meter) SetShared(percent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if percent >= minReading && percent <= maxReading {
		m.shared = percent
	}
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
