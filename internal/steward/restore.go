package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// saveEvery is the least time between two saves of the roster; a save syncs the disk several times.
	saveEvery = timer.Second
	// restoreSpan is how long a server of the saved roster counts without a sign of life: two announcements and their way.
	restoreSpan = 2600 * timer.Millisecond
)

// restoring are the servers that were known before the restart and have not announced themselves since.
type restoring struct {
	// rows gives each as it was saved.
	rows  map[string]registrar.Member
	until timer.Millis
}

// restore takes the saved roster in: after a loss of power of everything, all servers are known at once instead of one by
// one as they announce themselves.
func (s *Steward) restore(list []registrar.Member) {
	s.restoring = restoring{rows: map[string]registrar.Member{}, until: s.deps.Common.Clock.Now() + restoreSpan}
	for _, m := range list {
		s.roster.Merge(m)
		if m.Standing == registrar.StandingServing {
			s.restoring.rows[m.Name] = m
		}
	}
	if len(list) > 0 {
		s.deps.Common.Log.Info("backend servers restored", "servers", len(list), "serving", len(s.restoring.rows))
	}
}

// expireRestored marks the restored servers silent that no instance has heard of in time.
func (s *Steward) expireRestored(now timer.Millis) {
	for name, saved := range s.restoring.rows {
		row, ok := s.roster.Row(name)
		if !ok || row != saved {
			delete(s.restoring.rows, name)
			continue
		}
		if now < s.restoring.until {
			continue
		}
		delete(s.restoring.rows, name)
		row.Standing = registrar.StandingSilent
		s.roster.Merge(row)
		s.tell(row)
	}
}

// saveRoster hands the roster to the thread that saves it, where it has changed and the last save is over.
func (s *Steward) saveRoster(now timer.Millis) {
	if s.deps.Save == nil || !s.unsaved || now-s.savedAt < saveEvery {
		return
	}
	select {
	case s.saves <- s.roster.Rows():
		s.unsaved, s.savedAt = false, now
	default:
		// The disk is slow; the next look finds the newest state.
	}
}

func (s *Steward) runSaves() error {
	for {
		select {
		case rows := <-s.saves:
			if err := s.deps.Save(rows); err != nil {
				s.deps.Common.Log.Warn("roster not saved", "servers", len(rows), "error", err)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}
