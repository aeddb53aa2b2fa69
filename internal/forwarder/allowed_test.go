package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newRegionEnv returns an environment in which each server's data centre is the first letter of its name, and its region the same in
// capitals.
func newRegionEnv(t *testing.T, route matcher.Route, servers map[string]*fakeServer) *testEnv {
	t.Helper()
	env := newTestEnv(t, route, servers)
	env.f.deps.RegionOf = map[string]string{"a": "A", "b": "B", "c": "C"}
	for i := range env.members {
		// A server that has moved is another incarnation.
		env.members[i].DataCentre, env.members[i].Incarnation = env.members[i].Name[:1], 2
	}
	env.publishView()
	return env
}

// evacuate publishes a view with the given data centres evacuated.
func (e *testEnv) evacuate(dataCentres ...string) {
	v := subscriber.View{Policy: e.policy, Members: e.members}
	for _, dc := range dataCentres {
		v.Evacuations = append(v.Evacuations, subscriber.Evacuation{Evacuation: applier.Evacuation{DataCentre: dc, Active: true, Number: 1}})
	}
	e.f.SetView(v)
}

// doubtfulStream streams with little confidence, and sets the model that it was asked for as the event.
func doubtfulStream(_ int, r *http.Request, w io.Writer) bool {
	confidence := "Confidence: 99\r\n"
	if r.Header.Get("Model") == "small" {
		confidence = "Confidence: 10\r\n"
	}
	return write(w, streamHead(r.Header.Get("Id"), confidence)) && write(w, chunk(event(1))) && write(w, streamEnd)
}

// breakStream breaks a stream off after its first event.
func breakStream(_ int, r *http.Request, w io.Writer) bool {
	_ = write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1)))
	return false
}

// Guards against requests that leave their regions, or reach an evacuated data centre, on any way but the first choice: the servers
// elsewhere are idle, and those that are allowed fail, doubt or are full.
func TestEveryAttemptStaysWhereItIsAllowed(t *testing.T) {
	tests := map[string]struct {
		route     matcher.Route
		regions   []string
		evacuated []string
		// inside is what the servers of the data centre b do; c is allowed too, and serves.
		inside func(int, *http.Request, io.Writer) bool
		req    Request
		// sent are the requests that b and c get together.
		sent int
	}{
		"first choice":                    {route: matcher.Route{Kind: matcher.KindIdempotent}, regions: []string{"B", "C"}, inside: replyDone, sent: 1},
		"first choice, evacuated":         {route: matcher.Route{Kind: matcher.KindIdempotent}, evacuated: []string{"a"}, inside: replyDone, sent: 1},
		"retry after a refusal":           {route: matcher.Route{Kind: matcher.KindIdempotent}, regions: []string{"B", "C"}, inside: refuseAsFull, sent: 2},
		"retry after a refusal, evacuate": {route: matcher.Route{Kind: matcher.KindIdempotent}, evacuated: []string{"a"}, inside: refuseAsFull, sent: 2},
		"larger model": {route: matcher.Route{Kind: matcher.KindStreaming, Resumable: true, Models: []string{"small", "large"}},
			regions: []string{"B"}, inside: doubtfulStream, req: Request{ChooseModel: true, PromptTokens: 300}, sent: 2},
		"larger model, evacuated": {route: matcher.Route{Kind: matcher.KindStreaming, Resumable: true, Models: []string{"small", "large"}},
			evacuated: []string{"a", "c"}, inside: doubtfulStream, req: Request{ChooseModel: true, PromptTokens: 300}, sent: 2},
		"stream that goes on elsewhere": {route: matcher.Route{Kind: matcher.KindStreaming, Resumable: true}, regions: []string{"B", "C"},
			inside: breakStream, sent: 2},
		"stream that the caller resumes": {route: matcher.Route{Kind: matcher.KindStreaming, Resumable: true}, regions: []string{"B", "C"},
			inside: pausingStream(0), req: Request{LastEventID: "2", Session: "s"}, sent: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			outside := &fakeServer{respond: replyDone}
			b, c := &fakeServer{respond: tt.inside}, &fakeServer{respond: func(n int, r *http.Request, w io.Writer) bool {
				if tt.route.Kind == matcher.KindStreaming {
					return pausingStream(0)(n, r, w)
				}
				return replyDone(n, r, w)
			}}
			tt.route.Regions = tt.regions
			env := newRegionEnv(t, tt.route, map[string]*fakeServer{"a1": outside, "b1": b, "c1": c})
			// The server c1 is the last choice.
			for range 5 {
				env.f.serversByName["c1"].places.TakeFreely()
			}
			env.evacuate(tt.evacuated...)
			if rec, broken := env.serve(tt.req); broken || rec.Code != http.StatusOK {
				t.Fatalf("broken off %t, status %d", broken, rec.Code)
			}
			if n := len(outside.requests()); n > 0 {
				t.Errorf("a server outside got %d requests", n)
			}
			if n := len(b.requests()) + len(c.requests()); n != tt.sent {
				t.Errorf("the servers inside got %d requests, want %d", n, tt.sent)
			}
		})
	}
}

// Guards against a request that was on its way to a data centre when its evacuation arrived, and is sent there again.
func TestEvacuationHoldsForTheNextAttempt(t *testing.T) {
	a2, b := &fakeServer{respond: replyDone}, &fakeServer{respond: replyDone}
	env := newRegionEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"a2": a2, "b1": b})
	a1 := &fakeServer{respond: func(n int, r *http.Request, w io.Writer) bool {
		env.evacuate("a")
		return refuseAsFull(n, r, w)
	}}
	env.servers["a1"] = a1
	m := env.members[0]
	m.Name, m.Address, m.DataCentre = "a1", "a1", "a"
	env.members = append(env.members, m)
	env.publishView()
	for range 5 {
		env.f.serversByName["a2"].places.TakeFreely()
	}
	if rec, _ := env.serve(Request{}); rec.Code != http.StatusOK {
		t.Fatalf("status %d", rec.Code)
	}
	if len(a1.requests()) != 1 || len(a2.requests()) != 0 || len(b.requests()) != 1 {
		t.Fatalf("requests sent: %d, %d to the evacuated data centre, %d to the other one", len(a1.requests()), len(a2.requests()), len(b.requests()))
	}
}

// Guards against requests that wait in vain where no server may take them, and against a Retry-After where a later try would be
// refused too.
func TestRequestThatNoServerMayGetIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		regions, workspaceRegions, evacuated []string
		retry                                bool
		reason                               string
	}{
		"all data centres are evacuated":     {evacuated: []string{"a", "b"}, retry: true, reason: "evacuated"},
		"the only region is evacuated":       {regions: []string{"B"}, evacuated: []string{"b"}, retry: true, reason: "allowed region"},
		"a region without servers":           {regions: []string{"C"}, retry: true, reason: "allowed region"},
		"regions that exclude each other":    {regions: []string{"A"}, workspaceRegions: []string{"B"}, reason: "no common region"},
		"regions of the workspace, unserved": {workspaceRegions: []string{"C"}, retry: true, reason: "allowed region"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newRegionEnv(t, matcher.Route{Kind: matcher.KindIdempotent, Regions: tt.regions, TargetLatency: 10 * timer.Second},
				map[string]*fakeServer{"a1": {respond: replyDone}, "b1": {respond: replyDone}})
			if tt.workspaceRegions != nil {
				p := *env.policy
				p.Routes[0].AuthExempt = false
				p.Workspaces = []matcher.Workspace{{Name: "w", APIKeys: []string{"k"}, Regions: tt.workspaceRegions}}
				var err error
				if env.policy, err = p.WithIndexes(); err != nil {
					t.Fatal(err)
				}
			}
			env.evacuate(tt.evacuated...)
			start := time.Now()
			rec, _ := env.serve(Request{APIKey: "k"})
			// A request that waits for a place does so for six seconds here.
			if rec.Code != http.StatusServiceUnavailable || env.sentRequests() > 0 || time.Since(start) > 3*time.Second {
				t.Fatalf("status %d after %v, %d requests sent", rec.Code, time.Since(start), env.sentRequests())
			}
			if got := rec.Header().Get("Retry-After"); (got != "") != tt.retry {
				t.Errorf("Retry-After is %q", got)
			}
			if !strings.Contains(rec.Body.String(), tt.reason) {
				t.Errorf("the reason is %q", rec.Body.String())
			}
		})
	}
}

// Guards against a new version that gets requests before its roll-out because the old one has no server in the allowed regions.
func TestRegionsDoNotStartARollOut(t *testing.T) {
	b := &fakeServer{respond: replyDone}
	env := newRegionEnv(t, matcher.Route{Kind: matcher.KindIdempotent, Regions: []string{"B"}}, map[string]*fakeServer{"a1": {respond: replyDone}, "b1": b})
	for i := range env.members {
		if env.members[i].Name == "b1" {
			env.members[i].Version, env.members[i].Incarnation = "v2", 3
		}
	}
	env.publishView()
	if rec, _ := env.serve(Request{}); rec.Code != http.StatusServiceUnavailable || len(b.requests()) != 0 {
		t.Fatalf("status %d, the version without a roll-out got %d requests", rec.Code, len(b.requests()))
	}
}

// Guards against a stream that is broken off while all servers that may go on with it are away for a moment: its caller has a part of
// the answer.
func TestBegunStreamWaitsForItsRegion(t *testing.T) {
	env := newRegionEnv(t, matcher.Route{Kind: matcher.KindStreaming, Resumable: true, Regions: []string{"B"}},
		map[string]*fakeServer{"a1": {respond: pausingStream(0)}, "b1": {}, "b2": {}})
	var begun atomic.Bool
	for _, name := range []string{"b1", "b2"} {
		env.servers[name].respond = func(n int, r *http.Request, w io.Writer) bool {
			if begun.Swap(true) {
				return pausingStream(0)(n, r, w)
			}
			env.evacuate("b")
			time.AfterFunc(200*time.Millisecond, func() { env.evacuate() })
			return breakStream(n, r, w)
		}
	}
	if rec, broken := env.serve(Request{}); broken || rec.Body.String() != wholeStream() {
		t.Fatalf("broken off %t, got %q", broken, rec.Body.String())
	}
}
