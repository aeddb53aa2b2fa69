package placer

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// TestSuspectsOfTwoInstancesNeverMeet places requests that may crash their server at two instances that know nothing of
// each other's placements: one innocent suspect beside one that crashes servers would take the blame twice.
func TestSuspectsOfTwoInstancesNeverMeet(t *testing.T) {
	own := map[string]bool{"a-1": true, "a-4": true, "a-6": true}
	place := func(seed uint64, owns func(string) bool, tried ...string) string {
		p := NewPlacer(Deps{DataCentre: "a", Now: func() timer.Millis { return 0 }, Seed: seed, Owns: owns})
		got, ok := p.Place(testView(), Query{Servers: servers(8, "a"), Alone: true, Tried: tried})
		if !ok {
			t.Fatal("no server was found")
		}
		return got.Server.Name
	}
	for seed := range uint64(50) {
		here := place(seed, func(name string) bool { return own[name] })
		there := place(seed, func(name string) bool { return !own[name] })
		if !own[here] || own[there] {
			t.Errorf("seed %d: placed at %s and %s", seed, here, there)
		}
	}
	if got := place(1, func(name string) bool { return own[name] }, "a-1", "a-4", "a-6"); own[got] {
		t.Errorf("with every own server tried: placed at %s", got)
	}
}

// TestSuspectsOfOneInstanceNeverMeet places several requests that may crash their server while every server has work.
func TestSuspectsOfOneInstanceNeverMeet(t *testing.T) {
	list := servers(6, "a")
	for _, s := range list {
		s.Traffic.InFlight.Store(1)
	}
	p := newTestPlacer()
	taken := map[string]bool{}
	for range list {
		got, ok := p.Place(testView(), Query{Servers: list, Alone: true})
		if !ok || taken[got.Server.Name] {
			t.Fatalf("placed at %s, which has a suspect already", got.Server.Name)
		}
		taken[got.Server.Name] = true
	}
	for i := range list {
		Placement{Server: &list[i], alone: true}.Release()
		if s := list[i].Traffic; s.Suspects.Load() != 0 || s.InFlight.Load() != 1 {
			t.Errorf("%s keeps a count", list[i].Name)
		}
	}
}
