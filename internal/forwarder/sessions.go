package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// sessions remembers the version and the server of each session.
type sessions struct {
	span timer.Millis
	mu   sync.Mutex
	rows map[string]pin
}

type pin struct {
	service string
	version string
	server  string
	at      timer.Millis
}

func newSessions(span timer.Millis) *sessions {
	return &sessions{span: span, rows: map[string]pin{}}
}

func (s *sessions) get(id string, now timer.Millis) (pin, bool) {
	if id == "" {
		return pin{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.rows[id]
	return p, ok && now-p.at <= s.span
}

func (s *sessions) set(id string, p pin) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[id] = p
}

// on returns the sessions that had a request lately and whose pin is wanted.
func (s *sessions) on(now timer.Millis, wanted func(pin) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, p := range s.rows {
		if now-p.at <= s.span && wanted(p) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *sessions) clean(now timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.rows {
		if now-p.at > 2*s.span {
			delete(s.rows, id)
		}
	}
}
