package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// sessions holds the version and the server of each session.
type sessions struct {
	ttl  timer.Millis
	mu   sync.Mutex
	pins map[string]pin
}

// pin is the version and the server that a session last used.
type pin struct {
	service    string
	version    string
	server     string
	lastUsedAt timer.Millis
}

func newSessions(ttl timer.Millis) *sessions {
	return &sessions{ttl: ttl, pins: map[string]pin{}}
}

func (s *sessions) get(id string, now timer.Millis) (pin, bool) {
	if id == "" {
		return pin{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pins[id]
	return p, ok && now-p.lastUsedAt <= s.ttl
}

func (s *sessions) set(id string, p pin) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins[id] = p
}

// matching returns the sessions that have not expired and match the given predicate.
func (s *sessions) matching(now timer.Millis, matches func(pin) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, p := range s.pins {
		if now-p.lastUsedAt <= s.ttl && matches(p) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *sessions) removeExpired(now timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pins {
		if now-p.lastUsedAt > 2*s.ttl {
			delete(s.pins, id)
		}
	}
}
