package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// askForRest refuses a request and asks for a time without any.
func askForRest(rest timer.Millis) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		return write(w, fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nRefused: yes\r\nRest-Ms: %d\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), rest))
	}
}

// rest lets a server of the environment rest from now on.
func (e *testEnv) rest(name string, d timer.Millis) {
	e.f.serversByName[name].ration.Rest(e.f.deps.Telemetry.Clock.Now() + d)
}

// Guards against retries, second opinions, continuations and moves of prompts that are sent to a server which has asked for a
// time without requests.
func TestNothingIsSentToARestingServer(t *testing.T) {
	stream := func(headers, body string) func(int, *http.Request, io.Writer) bool {
		return func(_ int, r *http.Request, w io.Writer) bool {
			return write(w, streamHead(r.Header.Get("Id"), headers)+body)
		}
	}
	broken := func(int, *http.Request, io.Writer) bool { return false }
	models := matcher.Route{Kind: matcher.KindStreaming, Resumable: true, Models: []string{"small", "large"}}
	tests := map[string]struct {
		route   matcher.Route
		request Request
		respond func(n int, r *http.Request, w io.Writer) bool
		// suspended means that the other server is left out for its failures.
		suspended bool
	}{
		"first attempt, the other server is suspended": {matcher.Route{Kind: matcher.KindAtMostOnce}, Request{}, replyDone, true},
		"retry after a broken connection":              {matcher.Route{Kind: matcher.KindIdempotent}, Request{}, broken, false},
		"retry after a refusal":                        {matcher.Route{Kind: matcher.KindAtMostOnce}, Request{}, askForRest(0), false},
		"second opinion of a larger model": {models, Request{ChooseModel: true, PromptTokens: 300},
			stream("Confidence: 5\r\n", chunk(event(1))+streamEnd), false},
		"continuation of a stream": {matcher.Route{Kind: matcher.KindStreaming, Resumable: true}, Request{PromptTokens: 300},
			func(_ int, r *http.Request, w io.Writer) bool {
				write(w, streamHead(r.Header.Get("Id"), "")+chunk(event(1)))
				return false
			}, false},
		"move of a prompt that waits": {matcher.Route{Kind: matcher.KindStreaming, Resumable: true, TargetLatency: 200}, Request{PromptTokens: 300},
			func(_ int, r *http.Request, w io.Writer) bool {
				time.Sleep(400 * time.Millisecond)
				return write(w, streamHead(r.Header.Get("Id"), "")+chunk(event(1))+streamEnd)
			}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resting, other := &fakeServer{respond: replyDone}, &fakeServer{respond: tt.respond}
			tt.route.Timeout = 1500
			env := newTestEnv(t, tt.route, map[string]*fakeServer{"resting": resting, "other": other})
			env.connect = env.connectTCP
			env.rest("resting", 10*timer.Second)
			if tt.suspended {
				env.f.serversByName["other"].suspendUntil(env.f.deps.Telemetry.Clock.Now() + timer.Second)
			}
			env.serve(tt.request)
			if n := len(resting.requests()); n > 0 {
				t.Fatalf("the resting server got %d requests", n)
			}
			if len(other.requests()) == 0 {
				t.Fatal("the other server got no request")
			}
		})
	}
}

// Guards against a request that was placed before a server asked for a rest and is sent after that.
func TestRestHoldsForARequestThatIsBeingSent(t *testing.T) {
	first, second := &fakeServer{respond: replyDone}, &fakeServer{respond: replyDone}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"first": first, "second": second})
	env.f.serversByName["second"].DataCentre = "b"
	env.onDial = func() { env.rest("first", 10*timer.Second) }
	if rec, _ := env.serve(Request{}); rec.Code != http.StatusOK || len(first.requests()) != 0 || len(second.requests()) != 1 {
		t.Fatalf("got %d, the servers got %d and %d requests; want 200, 0 and 1", rec.Code, len(first.requests()), len(second.requests()))
	}
}

// Guards against callers that wait in vain, or come back too early, while all servers rest.
func TestRequestsWhileAllServersRest(t *testing.T) {
	tests := map[string]struct {
		rest, timeLimit timer.Millis
		status          int
		atOnce          bool
	}{
		"the rest ends before the deadline": {600, 3 * timer.Second, http.StatusOK, false},
		"the rest ends after the deadline":  {5 * timer.Second, timer.Second, http.StatusServiceUnavailable, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce, TargetLatency: 200}, map[string]*fakeServer{
				"s1": {respond: replyDone}, "s2": {respond: replyDone}})
			env.rest("s1", tt.rest)
			env.rest("s2", tt.rest+100)
			start := env.f.deps.Telemetry.Clock.Now()
			rec, _ := env.serve(Request{TimeLimit: tt.timeLimit})
			took := env.f.deps.Telemetry.Clock.Now() - start
			if rec.Code != tt.status || tt.atOnce && took > 100 || !tt.atOnce && took < tt.rest {
				t.Fatalf("got %d after %d ms, want %d", rec.Code, took, tt.status)
			}
			if rec.Code == http.StatusOK {
				return
			}
			seconds, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
			if err != nil || timer.Millis(seconds*float64(timer.Second)) < tt.rest-100 {
				t.Fatalf("Retry-After is %q, the servers rest for %d ms", rec.Header().Get("Retry-After"), tt.rest)
			}
		})
	}
}

// Guards against a caller that waits for one rest after the other.
func TestRequestWaitsForOneRestOnly(t *testing.T) {
	const rest = 300 * timer.Millisecond
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"s": {respond: askForRest(rest)}})
	env.rest("s", rest)
	start := env.f.deps.Telemetry.Clock.Now()
	rec, _ := env.serve(Request{})
	if took := env.f.deps.Telemetry.Clock.Now() - start; rec.Code != http.StatusServiceUnavailable || took < rest || took >= 2*rest {
		t.Fatalf("got %d after %d ms, want a refusal after one rest of %d ms", rec.Code, took, rest)
	}
}

// Guards against more waiting requests than the servers can take when their rest ends.
func TestFewRequestsWaitForTheEndOfARest(t *testing.T) {
	const callers = 3 * testSlots
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"s": {respond: replyDone}})
	env.rest("s", timer.Second)
	statuses := make(chan int)
	for n := range callers {
		go func() {
			rec, _ := env.serve(Request{ID: fmt.Sprint("r", n)})
			statuses <- rec.Code
		}()
	}
	served := 0
	for range callers {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	if served != testSlots {
		t.Fatalf("%d requests waited, want %d", served, testSlots)
	}
	if n := env.f.awaitingRest("s").Load(); n != 0 {
		t.Fatalf("%d requests still count as waiting", n)
	}
}

// Guards against a stream that is broken off in its middle because many requests wait for the end of a rest.
func TestStreamGoesOnAfterARest(t *testing.T) {
	first := &fakeServer{}
	second := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
		return write(w, streamHead(r.Header.Get("Id"), "")+chunk(event(2))+streamEnd)
	}}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindStreaming, Resumable: true}, map[string]*fakeServer{"first": first, "second": second})
	env.connect = env.connectTCP
	env.f.serversByName["second"].DataCentre = "b"
	first.respond = func(_ int, r *http.Request, w io.Writer) bool {
		write(w, streamHead(r.Header.Get("Id"), "")+chunk(event(1)))
		env.rest("first", 10*timer.Second)
		env.rest("second", 500*timer.Millisecond)
		return false
	}
	env.f.awaitingRest("s").Add(100)
	rec, broken := env.serve(Request{PromptTokens: 300})
	if got := rec.Body.String(); broken || got != event(1)+event(2) {
		t.Fatalf("broken off %t, got %q; want both events", broken, got)
	}
}

// Guards against a server that is blamed because it asks for a rest, and against a rest that outlives its server.
func TestRestIsNoFaultAndEndsWithItsServer(t *testing.T) {
	env, _, target := newRollOutEnv(t, applier.RollOutRunning, 0.9)
	target.respond = askForRest(60 * timer.Second)
	for n := range 20 {
		env.serve(Request{ID: fmt.Sprint("r", n)})
	}
	if n := len(target.requests()); n != 1 {
		t.Fatalf("the resting server got %d requests, want the one that it refused", n)
	}
	for _, o := range env.f.VersionOutcomes() {
		if o.Bad > 0 || o.Slow > 0 {
			t.Fatalf("refusals count against a version: %+v", o)
		}
	}
	if len(env.alarms) > 0 {
		t.Fatalf("the fleet was told that a server fails: %+v", env.alarms)
	}
	target.respond = replyDone
	for i := range env.members {
		if env.members[i].Name == "s2" {
			env.members[i].Incarnation++
		}
	}
	env.publishView()
	if s := env.f.serversByName["s2"]; s.ration.RestsUntil() != 0 {
		t.Fatal("a server that started anew rests")
	}
}
