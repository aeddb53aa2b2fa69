package rationer

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// brittleMemory is how long one brittle server makes the others of its service that have not answered yet count as brittle,
// though a later answer of another server does not say so.
const brittleMemory = 3 * timer.Second

// Service is what is known of all servers of a service together. It holds for a server that has just started and has not
// answered yet: otherwise all instances would take it for one that bears any load.
type Service struct {
	mu          sync.Mutex
	maxRefusals float64
	// brittleAt and soundAt are when a server last stated that it is brittle, and that it is not; 0 if none has.
	brittleAt, soundAt timer.Millis
}

// NewRation returns the ration of a server of the service that has not answered yet.
func (s *Service) NewRation() *Ration {
	r := NewRation()
	r.service = s
	return r
}

// observe stores what one server stated.
func (s *Service) observe(maxRefusals float64, brittle bool, statedAt timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !brittle {
		s.soundAt = max(s.soundAt, statedAt)
		return
	}
	if statedAt >= s.brittleAt {
		s.maxRefusals, s.brittleAt = maxRefusals, statedAt
	}
}

// terms returns what holds for a server that has not answered yet.
func (s *Service) terms(now timer.Millis) (maxRefusals float64, brittle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRefusals, s.brittleAt > 0 && (s.brittleAt >= s.soundAt || now-s.brittleAt < brittleMemory)
}
