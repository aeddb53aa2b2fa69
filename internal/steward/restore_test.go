package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// The pattern: all instances lose power at once; the servers, which lose none, announce themselves again only over the
// next second and more.
func TestServersAreKnownRightAfterARestart(t *testing.T) {
	saved := []registrar.Member{
		{Name: "heard", Incarnation: 1, Sequence: 5, Address: "a:1", Service: "s"},
		{Name: "gone", Incarnation: 1, Sequence: 5, Address: "b:1", Service: "s"},
		{Name: "elsewhere", Incarnation: 1, Sequence: 5, Address: "d:1", Service: "s"},
		{Name: "left", Incarnation: 1, Sequence: 5, Address: "c:1", Service: "s", Standing: registrar.StandingLeaving},
	}
	now := timer.Millis(0)
	clock := timer.NewClock()
	clock.Now = func() timer.Millis { return now }
	s := NewSteward(Deps{Common: observer.NewQuiet(clock), Restored: SavedRoster{Members: saved, Heard: []string{"gone", "heard", "left"}}, Rules: Rules{Silence: 4500, Forget: timer.Minute}})
	usable := func() int { return len(s.roster.Usable("s")) }
	if n := usable(); n != 3 {
		t.Fatalf("%d servers after the restart, want 3", n)
	}
	// Another instance has heard of one of them.
	s.merge([]registrar.Member{{Name: "heard", Incarnation: 1, Sequence: 6, Address: "a:1", Service: "s"}})
	now += restoreSpan - 1
	s.expire()
	if n := usable(); n != 3 {
		t.Fatalf("%d servers within the span, want 3", n)
	}
	now++
	s.expire()
	if row, _ := s.roster.Row("gone"); row.Standing != registrar.StandingSilent || usable() != 2 {
		t.Fatalf("after the span: standing %d, %d servers, want 2", row.Standing, usable())
	}
}

func TestTheRosterIsSavedWhenItChanged(t *testing.T) {
	now := 10 * timer.Second
	clock := timer.NewClock()
	clock.Now = func() timer.Millis { return now }
	saves := make(chan SavedRoster, 1)
	s := NewSteward(Deps{Common: observer.NewQuiet(clock), Save: func(saved SavedRoster) error { saves <- saved; return nil }})
	s.tomb.Go(s.runSaves)
	defer s.tomb.Kill(nil)
	due := func() {
		for s.unsaved && now-s.savedAt >= saveEvery {
			s.saveRoster(now)
		}
	}
	s.saveRoster(now)
	if s.savedAt != 0 {
		t.Fatal("an unchanged roster was saved")
	}
	s.merge([]registrar.Member{{Name: "a", Incarnation: 1, Sequence: 1, Address: "a:1", Service: "s"}})
	due()
	if saved := <-saves; len(saved.Members) != 1 || saved.Members[0].Name != "a" || len(saved.Heard) != 0 {
		t.Fatalf("saved %v", saved)
	}
	s.announce(registrar.Member{Name: "b", Incarnation: 1, Sequence: 1, Address: "b:1", Service: "s"})
	s.saveRoster(now)
	if !s.unsaved {
		t.Fatal("saved twice within the least time between saves")
	}
	now += saveEvery
	due()
	if saved := <-saves; len(saved.Members) != 2 || !slices.Equal(saved.Heard, []string{"b"}) {
		t.Fatalf("saved %v", saved)
	}
}
