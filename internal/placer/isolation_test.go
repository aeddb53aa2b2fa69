package placer

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// TestSuspectRequestsOfTwoInstancesUseDifferentServers places suspect requests at two instances that do not know each
// other's placements. If they shared a server, a harmless suspect request could be blamed for a second crash that the
// other one caused.
func TestSuspectRequestsOfTwoInstancesUseDifferentServers(t *testing.T) {
	owned := map[string]bool{"a-1": true, "a-4": true, "a-6": true}
	place := func(seed uint64, isOwned func(string) bool, tried ...string) string {
		p := NewPlacer(Deps{DataCentre: "a", Now: func() timer.Millis { return 0 }, Seed: seed, OwnsServer: isOwned})
		got, ok := p.Place(testView(), Query{Servers: newServers(8, "a"), Isolated: true, Tried: tried})
		if !ok {
			t.Fatal("no server found")
		}
		return got.Server.Name
	}
	for seed := range uint64(50) {
		ours := place(seed, func(name string) bool { return owned[name] })
		theirs := place(seed, func(name string) bool { return !owned[name] })
		if !owned[ours] || owned[theirs] {
			t.Errorf("seed %d: placed at %s by the owner, at %s by the other instance", seed, ours, theirs)
		}
	}
	if got := place(1, func(name string) bool { return owned[name] }, "a-1", "a-4", "a-6"); owned[got] {
		t.Errorf("all owned servers were tried: placed at %s again", got)
	}
}

// TestSuspectRequestsOfOneInstanceUseDifferentServers places several suspect requests while every server has work.
func TestSuspectRequestsOfOneInstanceUseDifferentServers(t *testing.T) {
	list := newServers(6, "a")
	for _, s := range list {
		s.Traffic.InFlight.Store(1)
	}
	p := newTestPlacer()
	used := map[string]bool{}
	for range list {
		got, ok := p.Place(testView(), Query{Servers: list, Isolated: true})
		if !ok || used[got.Server.Name] {
			t.Fatalf("placed at %s, which already has a suspect request", got.Server.Name)
		}
		used[got.Server.Name] = true
	}
	for i := range list {
		Placement{Server: &list[i], isolated: true}.Release()
		if s := list[i].Traffic; s.CrashingRequests.Load() != 0 || s.InFlight.Load() != 1 {
			t.Errorf("%s: counts are wrong after the release", list[i].Name)
		}
	}
}
