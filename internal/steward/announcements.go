package steward

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Announce takes in what a backend server says of itself; the error says that the instance is stopping.
func (s *Steward) Announce(ctx context.Context, m registrar.Member) error {
	return s.do(ctx, func() { s.announce(m) })
}

// hearing is the last announcement of a backend server that came to this instance itself.
type hearing struct {
	at          timer.Millis
	incarnation int64
	sequence    int64
}

// overtaken reports whether a row of the roster is from a later announcement.
func (h hearing) overtaken(row registrar.Member) bool {
	return row.Incarnation > h.incarnation || row.Incarnation == h.incarnation && row.Sequence > h.sequence
}

func (s *Steward) announce(m registrar.Member) {
	_, heard := s.heard[m.Name]
	news, changed := s.roster.Merge(m)
	if !news {
		s.deps.Common.Log.Debug("late announcement ignored", "server", m.Name, "incarnation", m.Incarnation, "sequence", m.Sequence)
		return
	}
	s.heard[m.Name] = hearing{at: s.deps.Common.Clock.Now(), incarnation: m.Incarnation, sequence: m.Sequence}
	if row, _ := s.roster.Row(m.Name); changed || !heard {
		s.tell(row)
	}
}

// Withdraw takes in that a backend server leaves or has left; an incarnation of 0 stands for the newest one.
func (s *Steward) Withdraw(ctx context.Context, name string, incarnation int64) error {
	return s.do(ctx, func() {
		row, ok := s.roster.Row(name)
		if !ok || incarnation != 0 && incarnation != row.Incarnation {
			return
		}
		row.Standing = max(row.Standing, registrar.StandingLeaving)
		s.roster.Merge(row)
		delete(s.heard, name)
		s.tell(row)
	})
}

// tell sends every instance one row of the roster.
func (s *Steward) tell(row registrar.Member) {
	s.unsaved = true
	s.deps.Common.Log.Info("backend server changed", "server", row.Name, "address", row.Address, "service", row.Service,
		"version", row.Version, "standing", row.Standing, "incarnation", row.Incarnation, "sequence", row.Sequence)
	s.sendToAll(messenger.Packet{Members: []registrar.Member{row}})
}

// merge takes in what another control instance knows and returns the rows that changed.
func (s *Steward) merge(list []registrar.Member) []registrar.Member {
	var changed []registrar.Member
	for _, m := range list {
		if _, differs := s.roster.Merge(m); differs {
			row, _ := s.roster.Row(m.Name)
			changed = append(changed, row)
		}
	}
	s.unsaved = s.unsaved || len(changed) > 0
	return changed
}

// contradict tells everybody of servers that another instance holds for silent, though they announce themselves here: the
// others learn of each server's later announcements only where something has changed.
func (s *Steward) contradict(list []registrar.Member) {
	for _, m := range list {
		h, heard := s.heard[m.Name]
		row, ok := s.roster.Row(m.Name)
		if m.Standing != registrar.StandingSilent || !heard || !ok || s.deps.Common.Clock.Now()-h.at > s.deps.Rules.Silence {
			continue
		}
		if row.Incarnation == m.Incarnation && row.Sequence > m.Sequence && row.Standing == registrar.StandingServing {
			s.tell(row)
		}
	}
}

// expire marks the servers that fell silent here, and forgets those that have taken no work for long.
func (s *Steward) expire() {
	now := s.deps.Common.Clock.Now()
	s.expireRestored(now)
	for name, h := range s.heard {
		if now-h.at <= s.deps.Rules.Silence {
			continue
		}
		delete(s.heard, name)
		row, ok := s.roster.Row(name)
		if !ok || row.Standing != registrar.StandingServing || h.overtaken(row) {
			// A later announcement came to another instance, which watches over the server now.
			continue
		}
		row.Standing = registrar.StandingSilent
		s.roster.Merge(row)
		s.tell(row)
	}
	for _, row := range s.roster.Rows() {
		if row.Standing == registrar.StandingServing {
			delete(s.idleAt, row.Name)
			continue
		}
		since, ok := s.idleAt[row.Name]
		if !ok {
			s.idleAt[row.Name] = now
		} else if now-since > s.deps.Rules.Forget {
			delete(s.idleAt, row.Name)
			s.roster.Forget(row.Name)
			s.unsaved = true
		}
	}
}
