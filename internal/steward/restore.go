package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minSaveInterval is the minimum time between two saves of the roster, since a save syncs the disk several times.
	minSaveInterval = timer.Second
	// restoreTimeout is how long a restored server stays usable without an announcement: two announcement intervals plus
	// the network delay.
	restoreTimeout = 2600 * timer.Millisecond
)

// SavedRoster is the roster of backend servers that a control instance saves for its next start.
type SavedRoster struct {
	Servers []registrar.Member `cbor:"1,keyasint"`
	// AnnouncedHere are the names of the servers that announced themselves to this instance; other instances monitor the
	// rest.
	AnnouncedHere []string `cbor:"2,keyasint"`
}

// unconfirmedServers are restored servers that announced themselves to this instance before the restart and that no
// instance has reported since.
type unconfirmedServers struct {
	// rows are the saved rows by server name.
	rows     map[string]registrar.Member
	deadline timer.Millis
}

// restoreRoster merges the saved roster. When all instances lose power at once, they know all servers right after the
// restart instead of only those that have announced themselves again.
func (s *Steward) restoreRoster(saved SavedRoster) {
	s.unconfirmedServers = unconfirmedServers{rows: map[string]registrar.Member{},
		deadline: s.deps.Telemetry.Clock.Now() + restoreTimeout}
	servingCount := 0
	for _, m := range saved.Servers {
		if err := m.Check(); err != nil {
			s.deps.Telemetry.Log.Warn("saved row of the roster ignored", "server", m.Name, "error", err)
			continue
		}
		s.roster.Merge(m)
		if m.State != registrar.MemberStateServing {
			continue
		}
		servingCount++
		if slices.Contains(saved.AnnouncedHere, m.Name) {
			s.unconfirmedServers.rows[m.Name] = m
		}
	}
	if len(saved.Servers) > 0 {
		s.deps.Telemetry.Log.Info("backend servers restored", "servers", len(saved.Servers), "serving", servingCount,
			"heard-here", len(s.unconfirmedServers.rows))
	}
}

// expireUnconfirmed marks a restored server as silent if its row has not changed by the deadline.
func (s *Steward) expireUnconfirmed(now timer.Millis) {
	for name, saved := range s.unconfirmedServers.rows {
		row, ok := s.roster.Member(name)
		if !ok || row != saved {
			delete(s.unconfirmedServers.rows, name)
			continue
		}
		if now < s.unconfirmedServers.deadline {
			continue
		}
		delete(s.unconfirmedServers.rows, name)
		row.State = registrar.MemberStateSilent
		s.roster.Merge(row)
		s.broadcastServer(row)
	}
}

// queueRosterSave passes a changed roster to runSaves unless a save is in progress or too recent.
func (s *Steward) queueRosterSave(now timer.Millis) {
	if s.deps.SaveRoster == nil || !s.rosterDirty || now-s.rosterSavedAt < minSaveInterval {
		return
	}
	select {
	case s.rosterSaves <- SavedRoster{Servers: s.roster.Members(),
		AnnouncedHere: slices.Sorted(maps.Keys(s.announcedHere))}:
		s.rosterDirty, s.rosterSavedAt = false, now
	default:
		// A save is still in progress; the next tick retries with the newest roster.
	}
}

// runSaves writes rosters to disk, so that a slow disk does not block the event loop.
func (s *Steward) runSaves() error {
	for {
		select {
		case saved := <-s.rosterSaves:
			if err := s.deps.SaveRoster(saved); err != nil {
				s.deps.Telemetry.Log.Warn("roster not saved", "servers", len(saved.Servers), "error", err)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}
