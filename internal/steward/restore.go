package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// saveEvery is the least time between two saves of the roster; a save syncs the disk several times.
	saveEvery = timer.Second
	// restoreSpan is how long a server of the saved roster counts without a sign of life: two announcements and their way.
	restoreSpan = 2600 * timer.Millisecond
)

// SavedRoster is what a control instance knew of backend servers before a restart.
type SavedRoster struct {
	Members []registrar.Member `cbor:"1,keyasint"`
	// Heard are the names of those that announced themselves to this instance; another one watches over the others.
	Heard []string `cbor:"2,keyasint"`
}

// restoring are the servers that announced themselves here before the restart and have not done so anywhere since.
type restoring struct {
	// rows gives each as it was saved.
	rows  map[string]registrar.Member
	until timer.Millis
}

// restore takes the saved roster in: after a loss of power of everything, all servers are known at once instead of one by
// one as they announce themselves.
func (s *Steward) restore(saved SavedRoster) {
	s.restoring = restoring{rows: map[string]registrar.Member{}, until: s.deps.Common.Clock.Now() + restoreSpan}
	serving := 0
	for _, m := range saved.Members {
		s.roster.Merge(m)
		if m.Standing != registrar.StandingServing {
			continue
		}
		serving++
		if slices.Contains(saved.Heard, m.Name) {
			s.restoring.rows[m.Name] = m
		}
	}
	if len(saved.Members) > 0 {
		s.deps.Common.Log.Info("backend servers restored", "servers", len(saved.Members), "serving", serving, "heard-here", len(s.restoring.rows))
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
	case s.saves <- SavedRoster{Members: s.roster.Rows(), Heard: slices.Sorted(maps.Keys(s.heard))}:
		s.unsaved, s.savedAt = false, now
	default:
		// The disk is slow; the next look finds the newest state.
	}
}

func (s *Steward) runSaves() error {
	for {
		select {
		case saved := <-s.saves:
			if err := s.deps.Save(saved); err != nil {
				s.deps.Common.Log.Warn("roster not saved", "servers", len(saved.Members), "error", err)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}
