package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// limitedReply answers a request and names a limit of requests per second.
func limitedReply(limit string) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		id := r.Header.Get("Id")
		return write(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %s\r\nContent-Length: 2\r\n\r\nok", id, limit))
	}
}

// Guards against a server that gets more requests than the limit that it names, while another one has room.
func TestServerGetsNoMoreThanItsRequestLimit(t *testing.T) {
	const (
		requests = 200
		// maxSent is what a limit of 2 requests a second allows in 4 s: one and a half times as much, and 5 more.
		maxSent = 1.5*4*2 + 5
	)
	limited, other := &fakeServer{respond: limitedReply("2")}, &fakeServer{respond: replyDone}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"limited": limited, "other": other})
	// The limited server is the nearest one.
	env.f.serversByName["other"].DataCentre = "b"
	for i := range requests {
		if rec, broken := env.serve(Request{ID: fmt.Sprint("first-", i)}); broken || rec.Code != http.StatusOK {
			t.Fatalf("request %d: broken off %t, got %d", i, broken, rec.Code)
		}
	}
	if n := len(limited.requests()); n > maxSent {
		t.Fatalf("the server got %d of %d requests, its limit allows %d in 4 s", n, requests, int(maxSent))
	}
}

// Guards against an instance that waits for its own answer from a server before it spares it.
func TestLimitHeardFromOtherInstancesHolds(t *testing.T) {
	// An answer of the near server without a limit would end it.
	near, far := &fakeServer{respond: limitedReply("1")}, &fakeServer{respond: replyDone}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"near": near, "far": far})
	env.f.serversByName["far"].DataCentre = "b"
	env.f.SetOthersRates([]rationer.Report{{Server: "near", Incarnation: 1, Limited: true, Limit: 1, DemandUnits: 1_000_000}})
	for i := range 20 {
		if rec, _ := env.serve(Request{ID: fmt.Sprint("r", i)}); rec.Code != http.StatusOK {
			t.Fatalf("request %d: got %d", i, rec.Code)
		}
	}
	if n := len(near.requests()); n > 1 {
		t.Fatalf("the limited server got %d of 20 requests, want at most one", n)
	}
	reports := env.f.RateReports()
	if len(reports) != 1 || reports[0].DemandUnits < 1000 {
		t.Fatalf("reported %+v, want the demand of 20 requests within a second for one server", reports)
	}
	// The report on another incarnation of the server ends nothing and limits nothing.
	env.f.SetOthersRates([]rationer.Report{{Server: "near", Incarnation: 2, Limited: false}})
	if got := env.f.RateReports(); len(got) != 1 || !got[0].Limited {
		t.Fatalf("a report on another incarnation changed the limit: %+v", got)
	}
}

// All servers are limited: the excess is refused, with the time after which to come back, and nothing waits for its deadline.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	const target = 400 * timer.Millisecond
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce, TargetLatency: target, Timeout: 5 * timer.Second},
		map[string]*fakeServer{"s1": {respond: limitedReply("1")}, "s2": {respond: limitedReply("1")}})
	refused := 0
	for i := range 8 {
		start := env.f.deps.Telemetry.Clock.Now()
		rec, broken := env.serve(Request{ID: fmt.Sprint("r", i)})
		if took := env.f.deps.Telemetry.Clock.Now() - start; broken || took > 2*target {
			t.Fatalf("request %d: broken off %t after %d ms", i, broken, took)
		}
		if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") != "" {
			refused++
		} else if rec.Code != http.StatusOK {
			t.Fatalf("request %d: got %d", i, rec.Code)
		}
	}
	if refused == 0 {
		t.Fatal("no request was refused")
	}
}

// Guards against an instance that has just started and takes a brittle server for a sound one, since the report of the others
// arrives before the server is known.
func TestReportsOfOthersHoldForServersThatAreKnownLater(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s1": {respond: replyDone}, "s2": {respond: replyDone}})
	members := env.members
	env.members = nil
	env.publishView()
	env.f.SetOthersRates([]rationer.Report{{Server: "s1", Incarnation: 1, Brittle: true, MaxRefusals: 3}})
	env.members = members
	env.publishView()
	now := env.f.deps.Telemetry.Clock.Now()
	for _, name := range []string{"s1", "s2"} {
		if !env.f.serversByName[name].ration.IsBrittle(now) {
			t.Errorf("server %s of a service with a brittle server counts as sound", name)
		}
	}
}
