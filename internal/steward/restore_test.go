package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// All instances lose power at once, but the backend servers do not. They announce themselves again only over the next
// second or longer, and must be usable in the meantime.
func TestRestoredServersAreUsableAfterRestart(t *testing.T) {
	saved := []registrar.Member{
		{Name: "heard", Incarnation: 1, Sequence: 5, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4},
		{Name: "gone", Incarnation: 1, Sequence: 5, Address: "10.0.0.2:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4},
		{Name: "elsewhere", Incarnation: 1, Sequence: 5, Address: "10.0.0.4:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4},
		{Name: "left", Incarnation: 1, Sequence: 5, Address: "10.0.0.3:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4, State: registrar.MemberStateLeaving},
	}
	now := timer.Millis(0)
	clock := timer.NewSystemClock()
	clock.Now = func() timer.Millis { return now }
	s := NewSteward(Deps{Telemetry: observer.NewDiscard(clock),
		RestoredRoster: SavedRoster{Servers: saved, AnnouncedHere: []string{"gone", "heard", "left"}},
		Config:         Config{SilenceTimeout: 4500, ForgetAfter: timer.Minute}})
	usableCount := func() int { return len(s.roster.Usable("s")) }
	if n := usableCount(); n != 3 {
		t.Fatalf("%d usable servers after the restart, want 3", n)
	}
	// Another instance received an announcement of one of them.
	s.mergeServers([]registrar.Member{{Name: "heard", Incarnation: 1, Sequence: 6, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4}})
	now += restoreTimeout - 1
	s.expireServers()
	if n := usableCount(); n != 3 {
		t.Fatalf("%d usable servers before the timeout, want 3", n)
	}
	now++
	s.expireServers()
	if row, _ := s.roster.Member("gone"); row.State != registrar.MemberStateSilent || usableCount() != 2 {
		t.Fatalf("after the timeout: standing %d, %d usable servers, want 2", row.State, usableCount())
	}
}

func TestRosterIsSavedOnlyAfterChange(t *testing.T) {
	now := 10 * timer.Second
	clock := timer.NewSystemClock()
	clock.Now = func() timer.Millis { return now }
	saves := make(chan SavedRoster, 1)
	s := NewSteward(Deps{Telemetry: observer.NewDiscard(clock),
		SaveRoster: func(saved SavedRoster) error { saves <- saved; return nil }})
	s.tomb.Go(s.runSaves)
	defer s.tomb.Kill(nil)
	saveWhenDue := func() {
		for s.rosterDirty && now-s.rosterSavedAt >= minSaveInterval {
			s.queueRosterSave(now)
		}
	}
	s.queueRosterSave(now)
	if s.rosterSavedAt != 0 {
		t.Fatal("an unchanged roster was saved")
	}
	s.mergeServers([]registrar.Member{{Name: "a", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4}})
	saveWhenDue()
	if saved := <-saves; len(saved.Servers) != 1 || saved.Servers[0].Name != "a" || len(saved.AnnouncedHere) != 0 {
		t.Fatalf("saved %v", saved)
	}
	s.mergeAnnouncement(registrar.Member{Name: "b", Incarnation: 1, Sequence: 1, Address: "10.0.0.2:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4})
	s.queueRosterSave(now)
	if !s.rosterDirty {
		t.Fatal("saved twice within the minimum interval")
	}
	now += minSaveInterval
	saveWhenDue()
	if saved := <-saves; len(saved.Servers) != 2 || !slices.Equal(saved.AnnouncedHere, []string{"b"}) {
		t.Fatalf("saved %v", saved)
	}
}
