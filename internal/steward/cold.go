package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// coldTolerance is the difference between two statements on how long a server is cold that the way of an announcement explains.
const coldTolerance = 300 * timer.Millisecond

// recordCold stores how long a server says that it is cold, and reports whether the instances must know: it has turned cold, or is
// warm earlier than it said.
func (s *Steward) recordCold(m registrar.Member) bool {
	now := s.deps.Telemetry.Clock.Now()
	before, until := s.coldUntil[m.Name], now+m.WarmUp
	if m.WarmUp == 0 {
		delete(s.coldUntil, m.Name)
		return before > now+coldTolerance
	}
	s.coldUntil[m.Name] = until
	return until > before+coldTolerance || until < before-coldTolerance
}

// rows returns the rows of the roster with the time that each server is cold from now on.
func (s *Steward) rows() []registrar.Member {
	now := s.deps.Telemetry.Clock.Now()
	list := s.roster.Members()
	for i := range list {
		list[i].WarmUp = max(0, s.coldUntil[list[i].Name]-now)
	}
	return list
}
