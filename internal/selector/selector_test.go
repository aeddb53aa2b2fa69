package selector

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pinner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func testDocument() *parser.Document {
	version := func(name string, price float64, quality decoder.Share) parser.Version {
		return parser.Version{Name: name, Model: "m", EngineName: "e-" + name, InputPrice: price, Quality: quality, WhenWithdrawn: "refuse"}
	}
	return &parser.Document{
		Environment: parser.Environment{Name: "e", QualityTarget: 0.8},
		Models:      []parser.Model{{Name: "m", Cascade: []string{"small", "middle", "large"}}},
		Versions:    []parser.Version{version("small", 1, 0.7), version("middle", 2, 0.85), version("large", 9, 0.96), version("next", 2, 0.85)},
		Workspaces:  []parser.Workspace{{Name: "w", Models: []string{"m"}}},
	}
}

func testView(doc *parser.Document, loaded ...string) *indexer.View {
	var rows []registrar.BackendServer
	for _, name := range loaded {
		rows = append(rows, registrar.BackendServer{
			Announcement: registrar.Announcement{Name: name, Kind: registrar.KindEngine, EngineNames: []string{"e-" + name}, Capacity: 1},
			State:        registrar.StateServing,
		})
	}
	return indexer.NewView(1, doc, rows, 0)
}

func newTestSelector(t *testing.T) *Selector {
	t.Helper()
	pins, err := pinner.NewPinner([]byte("a secret for tests, long enough."))
	if err != nil {
		t.Fatal(err)
	}
	telemetry := observer.NewDiscard(timer.NewManualClock(0).Clock())
	return NewSelector(Deps{Telemetry: telemetry, Pins: pins, EstimateQuality: PriorQuality, ShouldExplore: neverExplore, IsHalted: neverHalted})
}

func neverExplore() bool { return false }

func neverHalted(string) bool { return false }

func newRequest(doc *parser.Document, id string) *receiver.Request {
	return &receiver.Request{ID: id, Workspace: doc.Workspaces[0], Model: "m", Kind: receiver.KindChat}
}

func TestSelectChoosesTheCheapestVersionThatMeetsTheTarget(t *testing.T) {
	tests := map[string]struct {
		change func(*parser.Document)
		loaded []string
		want   string
	}{
		"cheapest that meets the target":            {func(*parser.Document) {}, []string{"small", "middle", "large"}, "middle"},
		"lower target":                              {func(d *parser.Document) { d.Workspaces[0].QualityTarget = 0.6 }, []string{"small", "middle", "large"}, "small"},
		"no version meets the target":               {func(d *parser.Document) { d.Workspaces[0].QualityTarget = 0.99 }, []string{"small", "middle", "large"}, "large"},
		"middle version not loaded":                 {func(*parser.Document) {}, []string{"small", "large"}, "large"},
		"only a version below the target is loaded": {func(*parser.Document) {}, []string{"small"}, "small"},
		"version not allowed":                       {func(d *parser.Document) { d.Workspaces[0].Versions = []string{"small", "large"} }, []string{"small", "middle", "large"}, "large"},
		"withdrawn":                                 {func(d *parser.Document) { d.Versions[1].Withdrawn = true }, []string{"small", "middle", "large"}, "large"},
		"no version loaded":                         {func(*parser.Document) {}, nil, "no-version"},
		"model not allowed":                         {func(d *parser.Document) { d.Workspaces[0].Models = nil }, []string{"small"}, "model-not-allowed"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := testDocument()
			tt.change(doc)
			sel, err := newTestSelector(t).Select(testView(doc, tt.loaded...), newRequest(doc, "1"))
			if got := versionOrRefusal(sel, err); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func versionOrRefusal(sel Selection, err error) string {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) {
		return refusal.Type
	}
	return sel.Version.Name
}

func TestSessionKeepsItsVersion(t *testing.T) {
	all := []string{"small", "middle", "large", "next"}
	rollOut := func(d *parser.Document) {
		d.RollOuts = []parser.RollOut{{Version: "next", Replaces: "middle", Share: 1, MaxExposed: 1000}}
	}
	withdraw := func(d *parser.Document) { rollOut(d); d.Versions[1].Withdrawn = true }
	move := func(d *parser.Document) { withdraw(d); d.Versions[1].WhenWithdrawn = "move" }
	forbid := func(d *parser.Document) { d.Workspaces[0].Versions = []string{"large"} }
	tests := map[string]struct {
		change        func(*parser.Document)
		otherInstance bool
		want          string
		movedFrom     string
	}{
		"during a roll-out":                      {rollOut, false, "middle", ""},
		"during a roll-out, at another instance": {rollOut, true, "middle", ""},
		"withdrawn, sessions refused":            {withdraw, false, "version-withdrawn", ""},
		"withdrawn, sessions move":               {move, false, "next", "middle"},
		"withdrawn, move at another instance":    {move, true, "next", "middle"},
		"no longer allowed":                      {forbid, true, "version-not-allowed", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := testDocument()
			s := newTestSelector(t)
			req := newRequest(doc, "1")
			req.Session = "s"
			first, err := s.Select(testView(doc, all...), req)
			if err != nil || first.Version.Name != "middle" {
				t.Fatalf("first request: version %s, error %v", first.Version.Name, err)
			}
			if tt.otherInstance {
				s = newTestSelector(t)
			}
			changedDoc := testDocument()
			tt.change(changedDoc)
			req = newRequest(changedDoc, "2")
			req.Session, req.SessionToken = "s", first.SessionToken
			sel, err := s.Select(testView(changedDoc, all...), req)
			if got := versionOrRefusal(sel, err); got != tt.want || sel.MovedFrom != tt.movedFrom {
				t.Errorf("got %s, moved from %q; want %s, moved from %q", got, sel.MovedFrom, tt.want, tt.movedFrom)
			}
		})
	}
}

func TestForgedSessionTokenIsRejected(t *testing.T) {
	doc := testDocument()
	s := newTestSelector(t)
	req := newRequest(doc, "1")
	req.Session = "s"
	sel, err := s.Select(testView(doc, "middle", "large"), req)
	if err != nil {
		t.Fatal(err)
	}
	forged := []string{"", "x", "x.y", sel.SessionToken + "x", strings.Replace(sel.SessionToken, ".", "A.", 1), strings.Repeat("a", 2000)}
	for _, token := range forged {
		req := newRequest(doc, "2")
		req.Session, req.SessionToken = "other", token
		if _, ok := s.deps.Pins.Lookup("w", "other", "m", token); ok {
			t.Errorf("forged token %.20q is accepted", token)
		}
	}
	if _, ok := s.deps.Pins.Lookup("another workspace", "s", "m", sel.SessionToken); ok {
		t.Error("the token of one workspace is accepted for another")
	}
}

func TestRollOutRespectsItsShareAndExposureLimit(t *testing.T) {
	tests := map[string]struct {
		share            float64
		maxExposed       int
		wantMin, wantMax int
	}{
		"a tenth":     {0.1, 10_000, 160, 240},
		"none":        {0, 10_000, 0, 0},
		"all":         {1, 10_000, 2000, 2000},
		"at most 50":  {1, 50, 50, 50},
		"at most 300": {0.5, 300, 300, 300},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			doc := testDocument()
			doc.RollOuts = []parser.RollOut{{Version: "next", Replaces: "middle", Share: decoder.Share(tt.share), MaxExposed: tt.maxExposed}}
			s := newTestSelector(t)
			view := testView(doc, "middle", "next")
			exposed := 0
			for i := range 2000 {
				sel, err := s.Select(view, newRequest(doc, fmt.Sprint(i)))
				if err != nil {
					t.Fatal(err)
				}
				if sel.IsRollOut {
					exposed++
				}
			}
			if exposed < tt.wantMin || exposed > tt.wantMax {
				t.Errorf("%d of 2000 requests were exposed, want %d to %d", exposed, tt.wantMin, tt.wantMax)
			}
		})
	}
}

func BenchmarkSelect(b *testing.B) {
	doc := testDocument()
	pins, err := pinner.NewPinner([]byte("a secret for tests, long enough."))
	if err != nil {
		b.Fatal(err)
	}
	s := NewSelector(Deps{Telemetry: observer.NewDiscard(timer.NewManualClock(0).Clock()), Pins: pins, EstimateQuality: PriorQuality, ShouldExplore: neverExplore, IsHalted: neverHalted})
	view := testView(doc, "small", "middle", "large")
	req := newRequest(doc, "1")
	req.Session = "s"
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Select(view, req); err != nil {
			b.Fatal(err)
		}
	}
}
