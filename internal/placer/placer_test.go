package placer

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func testView() *indexer.View {
	doc := &parser.Document{
		DataCentres: []parser.DataCentre{{Name: "a", Region: "ra"}, {Name: "b", Region: "rb"}},
		Paths:       []parser.Path{{From: "ra", To: "rb", Delay: 8, PricePerGigabyte: 0.08}},
	}
	return indexer.NewView(1, doc, nil, 0)
}

func newServers(n int, dataCentre string) []registrar.BackendServer {
	list := make([]registrar.BackendServer, n)
	for i := range list {
		list[i] = registrar.BackendServer{
			Announcement: registrar.Announcement{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Capacity: 8},
			State:        registrar.StateServing, Traffic: &registrar.Traffic{}, NameHash: xxhash.Sum64String(fmt.Sprintf("%s-%d", dataCentre, i)),
		}
	}
	return list
}

func newTestPlacer() *Placer {
	return NewPlacer(Deps{DataCentre: "a", Now: func() timer.Millis { return 0 }, Seed: 7})
}

func TestPlaceConsidersDistanceLoadAndFailures(t *testing.T) {
	withInFlight := func(list []registrar.BackendServer, n int64) []registrar.BackendServer {
		for _, s := range list {
			s.Traffic.InFlight.Store(n)
		}
		return list
	}
	withFailures := func(list []registrar.BackendServer) []registrar.BackendServer {
		for _, s := range list {
			s.Traffic.RecordFailure(0)
		}
		return list
	}
	tests := map[string]struct {
		servers []registrar.BackendServer
		tried   []string
		want    string
	}{
		"near before far":                {append(newServers(3, "a"), newServers(3, "b")...), nil, "a"},
		"far when near is full":          {append(withInFlight(newServers(3, "a"), 8), newServers(3, "b")...), nil, "b"},
		"far when near is failing":       {append(withFailures(newServers(3, "a")), newServers(3, "b")...), nil, "b"},
		"far when near was tried":        {append(newServers(1, "a"), newServers(1, "b")...), []string{"a-0"}, "b"},
		"failing when there is no other": {withFailures(newServers(3, "a")), nil, "a"},
		"full when there is no other":    {withInFlight(newServers(3, "a"), 50), nil, "a"},
		"all tried":                      {newServers(1, "a"), []string{"a-0"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPlacer()
			for range 20 {
				got, ok := p.Place(testView(), Query{Servers: tt.servers, Tried: tt.tried})
				if ok != (tt.want != "") || ok && got.Server.DataCentre != tt.want {
					t.Fatalf("found %t, server %s", ok, got.Server.Name)
				}
				if ok {
					got.Release()
				}
			}
		})
	}
}

func TestPlaceDoesNotOverfillAServerWhileAnotherIsFree(t *testing.T) {
	p := newTestPlacer()
	list := newServers(10, "a")
	for range 70 {
		if _, ok := p.Place(testView(), Query{Servers: list}); !ok {
			t.Fatal("no server found")
		}
	}
	for _, s := range list {
		if n := s.Traffic.InFlight.Load(); n < 1 || n > int64(s.Capacity) {
			t.Errorf("%s has %d of 70 requests, capacity %d", s.Name, n, s.Capacity)
		}
	}
}

func TestPlaceKeepsAffinityUnlessTheServerIsBusy(t *testing.T) {
	p := newTestPlacer()
	list := newServers(10, "a")
	q := Query{Servers: list, Affinity: "session"}
	first, _ := p.Place(testView(), q)
	first.Release()
	for range 50 {
		again, _ := p.Place(testView(), q)
		again.Release()
		if again.Server.Name != first.Server.Name {
			t.Fatalf("requests with the same affinity went to %s and %s", first.Server.Name, again.Server.Name)
		}
	}
	first.Server.Traffic.InFlight.Store(6)
	afterLoad, _ := p.Place(testView(), q)
	if afterLoad.Server.Name == first.Server.Name {
		t.Error("kept a server that is much busier")
	}
}

func TestLoadDiscountsOldReports(t *testing.T) {
	s := &newServers(1, "a")[0]
	s.Load = registrar.Load{Running: 6, Waiting: 2}
	s.OwnInFlightAtReport = 4
	if got := Load(s, 0); got != 0.5 {
		t.Errorf("fresh report: load %.3f, want 0.5", got)
	}
	if got := Load(s, reportHalfLife); got != 0.25 {
		t.Errorf("report of one half-life: load %.3f, want 0.25", got)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{30, 500, 6900} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := newTestPlacer()
			view := testView()
			q := Query{Servers: append(newServers(n/3, "a"), newServers(n-n/3, "b")...), Affinity: "session-1"}
			b.ReportAllocs()
			for b.Loop() {
				got, _ := p.Place(view, q)
				got.Release()
			}
		})
	}
}
