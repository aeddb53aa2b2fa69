package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func streamRoute(resumable bool) matcher.Route {
	return matcher.Route{Kind: matcher.KindStreaming, Resumable: resumable, CacheAffinity: true, TargetGap: 300,
		TargetLatency: timer.Second}
}

// breakOnceThenResume responds with events 1 to 4, starting after the last event that the caller has; the first
// response breaks within the third event.
func breakOnceThenResume(hasBroken *atomic.Bool) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		write(w, streamHead(r.Header.Get("Id"), ""))
		first := 1
		if last := r.Header.Get("Last"); last != "" {
			first = int(last[0]-'0') + 1
		}
		for n := first; n <= 4; n++ {
			if n == 3 && hasBroken.CompareAndSwap(false, true) {
				write(w, chunk(event(n)[:5]))
				return false
			}
			write(w, chunk(event(n)))
		}
		return write(w, streamEnd)
	}
}

func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	var hasBroken atomic.Bool
	env := newTestEnv(t, streamRoute(true),
		map[string]*fakeServer{"s1": {respond: breakOnceThenResume(&hasBroken)}, "s2": {respond: breakOnceThenResume(&hasBroken)}})
	rec, broken := env.serve(Request{PromptTokens: 300})
	want := event(1) + event(2) + event(3) + event(4)
	if broken || rec.Body.String() != want {
		t.Fatalf("broken off %t, got %q, want %q", broken, rec.Body, want)
	}
}

func TestNonResumableStreamIsBrokenOff(t *testing.T) {
	var hasBroken atomic.Bool
	env := newTestEnv(t, streamRoute(false),
		map[string]*fakeServer{"s1": {respond: breakOnceThenResume(&hasBroken)}, "s2": {respond: breakOnceThenResume(&hasBroken)}})
	rec, broken := env.serve(Request{PromptTokens: 300})
	if !broken || rec.Body.String() != event(1)+event(2) || env.sentRequests() != 1 {
		t.Fatalf("broken off %t after %q, sent %d requests", broken, rec.Body, env.sentRequests())
	}
}

func TestCascade(t *testing.T) {
	tests := map[string]struct {
		confidence string
		queueWait  float64
		inFlight   int64
		models     string
		lastEvent  string
	}{
		"a confident response of the smallest model is passed on": {"80", 0, 0, "small", ""},
		"low confidence escalates to the largest model":           {"10", 0, 0, "small large", ""},
		"medium confidence escalates to the next larger model":    {"50", 0, 0, "small middle", ""},
		"a long prefill queue lowers the required confidence":     {"40", 800, 0, "small", ""},
		// An instance has stopped, and callers resume their streams at another instance.
		"a resumed stream escalates like a new one": {"10", 0, 0, "small large", "3"},
		// A pool has lost servers, and the remaining ones are nearly full.
		"nearly full servers lower the required confidence": {"30", 0, testSlots - 1, "small", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				confidence := "Confidence: 99\r\n"
				if r.Header.Get("Model") == "small" {
					confidence = "Confidence: " + tt.confidence + "\r\n"
				}
				return write(w, streamHead(r.Header.Get("Id"), confidence)) && write(w, chunk(event(1))) && write(w, streamEnd)
			}
			b := &fakeServer{respond: respond}
			route := streamRoute(true)
			route.Models = []string{"small", "middle", "large"}
			env := newTestEnv(t, route, map[string]*fakeServer{"s1": b})
			env.f.serversByName["s1"].prefillQueue.setOthers([]float64{tt.queueWait}, env.f.deps.Telemetry.Clock.Now())
			env.f.serversByName["s1"].inFlight.Add(tt.inFlight)
			if rec, broken := env.serve(Request{ChooseModel: true, PromptTokens: 300, LastEventID: tt.lastEvent}); broken || rec.Body.String() != event(1) {
				t.Fatalf("broken off %t, got %q", broken, rec.Body)
			}
			var models []string
			for _, r := range b.requests() {
				models = append(models, r.Header.Get("Model"))
			}
			if got := strings.Join(models, " "); got != tt.models {
				t.Fatalf("asked models %q, want %q", got, tt.models)
			}
		})
	}
}

// Guards against a prompt that waits at a server with more urgent prompts while another server is idle.
func TestOvertakenPromptMovesToIdleServer(t *testing.T) {
	busy := &fakeServer{}
	idle := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
		return write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1))) && write(w, streamEnd)
	}}
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	route := streamRoute(true)
	route.TargetLatency = 400
	env := newTestEnv(t, route, map[string]*fakeServer{"s1": busy, "s2": idle})
	busy.respond = func(int, *http.Request, io.Writer) bool {
		// The server responds to other requests during this time, so it does not look dead.
		for range 40 {
			env.f.serversByName["s1"].lastByte.Store(int64(env.f.deps.Telemetry.Clock.Now()))
			select {
			case <-release:
				return false
			case <-time.After(50 * time.Millisecond):
			}
		}
		return false
	}
	env.f.serversByName["s2"].prefillQueue.setOthers([]float64{50}, env.f.deps.Telemetry.Clock.Now())
	startedAt := time.Now()
	rec, broken := env.serve(Request{PromptTokens: 300})
	if broken || rec.Body.String() != event(1) {
		t.Fatalf("broken off %t, got %q", broken, rec.Body)
	}
	if took := time.Since(startedAt); took > 1500*time.Millisecond {
		t.Fatalf("the prompt waited %s, its target is 400 ms", took)
	}
}

// Guards against moving a prompt of tens of thousands of tokens while the large model still runs its prefill, which
// takes most of the time target.
func TestLongPromptIsNotMovedDuringPrefill(t *testing.T) {
	const prefill = 500 * time.Millisecond
	respond := func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(prefill)
		return write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1))) && write(w, streamEnd)
	}
	route := streamRoute(true)
	route.TargetLatency = 400
	env := newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
	env.f.prefillEstimator.msPerToken[""] = 0.01
	rec, broken := env.serve(Request{PromptTokens: 30_000})
	if broken || rec.Body.String() != event(1) || env.sentRequests() != 1 {
		t.Fatalf("broken off %t, got %q, sent %d requests, want one", broken, rec.Body, env.sentRequests())
	}
}

// Guards against sending short prompts to a server to which another instance has sent a long one.
func TestShortPromptsAvoidServerWithLongPrefill(t *testing.T) {
	respond := func(_ int, r *http.Request, w io.Writer) bool {
		return write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1))) && write(w, streamEnd)
	}
	busy, idle := &fakeServer{respond: respond}, &fakeServer{respond: respond}
	env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": busy, "s2": idle})
	for range 10 {
		env.f.serversByName["s1"].prefillQueue.setOthers([]float64{0, 0, 0, 600}, env.f.deps.Telemetry.Clock.Now())
		env.serve(Request{PromptTokens: 100})
	}
	if n := len(busy.requests()); n > 0 {
		t.Fatalf("%d of 10 short prompts went to the server with the long prefill", n)
	}
}

// In a large fleet an instance seldom has two requests at the same server, so that every slow prompt meets a server that
// has been silent. Such a prompt must not be moved and read twice, unless other instances have raised an alarm.
func TestLonePromptIsNotMovedBecauseOfSilence(t *testing.T) {
	tests := map[string]struct {
		alarm bool
		sent  int
	}{
		"the server is slow": {false, 1},
		"the server is dead": {true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first atomic.Bool
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{})
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				if first.CompareAndSwap(false, true) {
					if tt.alarm {
						env.f.SuspendServers([]messenger.ServerAlarm{{Server: r.Header.Get("Server"), Incarnation: 1}})
					}
					time.Sleep(1200 * time.Millisecond)
				}
				return write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1))) && write(w, streamEnd)
			}
			route := streamRoute(true)
			route.TargetLatency = 3 * timer.Second
			env = newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
			rec, broken := env.serve(Request{PromptTokens: 300})
			if broken || rec.Body.String() != event(1) || env.sentRequests() != tt.sent {
				t.Fatalf("broken off %t, got %q, sent %d requests, want %d", broken, rec.Body, env.sentRequests(), tt.sent)
			}
		})
	}
}

// Guards against refusing to escalate the longest prompts: their prefill on the large model takes the whole time
// target, but a late correct response is preferred.
func TestLongPromptEscalatesDespitePrefillTime(t *testing.T) {
	respond := func(_ int, r *http.Request, w io.Writer) bool {
		confidence := "Confidence: 99\r\n"
		if r.Header.Get("Model") == "small" {
			confidence = "Confidence: 12\r\n"
		}
		return write(w, streamHead(r.Header.Get("Id"), confidence)) && write(w, chunk(event(1))) && write(w, streamEnd)
	}
	b := &fakeServer{respond: respond}
	route := streamRoute(true)
	route.Models = []string{"small", "large"}
	env := newTestEnv(t, route, map[string]*fakeServer{"s1": b})
	env.f.prefillEstimator.msPerToken["large"] = 0.05
	env.serve(Request{ChooseModel: true, PromptTokens: 20_000})
	if n := len(b.requests()); n != 2 || b.requests()[1].Header.Get("Model") != "large" {
		t.Fatalf("sent %d requests, want one to each model", n)
	}
}

// reportOthersPrefill reports the prefill of other instances at all servers until stop is called, as often as they do: a report
// counts for less than a second.
func (e *testEnv) reportOthersPrefill(millis float64) (stop func()) {
	const reportInterval = 150 * time.Millisecond
	report := func() {
		for _, s := range e.f.serversByName {
			s.prefillQueue.setOthers([]float64{millis}, e.f.deps.Telemetry.Clock.Now())
		}
	}
	report()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(reportInterval):
				report()
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// Guards against treating a server as dead while a prompt waits behind prompts of other instances and the server
// responds to no other request of this instance.
func TestQueuedPromptDoesNotMakeServerLookDead(t *testing.T) {
	respond := func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep((deadTimeout + 200*timer.Millisecond).Duration())
		return write(w, streamHead(r.Header.Get("Id"), "")) && write(w, chunk(event(1))) && write(w, streamEnd)
	}
	env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
	stop := env.reportOthersPrefill(800)
	defer stop()
	rec, broken := env.serve(Request{PromptTokens: 300})
	if broken || rec.Body.String() != event(1) || env.sentRequests() != 1 {
		t.Fatalf("broken off %t, got %q, sent %d requests, want one", broken, rec.Body, env.sentRequests())
	}
}

// Guards against refusals and errors that count as the time of a prefill: a prompt is then expected at once at every server.
func TestRefusalsAreNoPrefillTimes(t *testing.T) {
	const estimate = 0.5
	for name, head := range map[string]string{
		"refused": "HTTP/1.1 503 Full\r\nRefused: yes\r\n", "failed": "HTTP/1.1 500 Error\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				return write(w, head+"Id: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
			}
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
			env.f.prefillEstimator.msPerToken[""] = estimate
			env.serve(Request{PromptTokens: 300, TimeLimit: timer.Second})
			if got := env.f.prefillEstimator.perToken(""); got != estimate {
				t.Fatalf("the estimate is %v ms per token after a response in a moment, want %v", got, estimate)
			}
		})
	}
}

// Guards against a response that is dropped for a larger model whose servers refuse the request.
func TestRefusedEscalationKeepsTheAnswer(t *testing.T) {
	tests := map[string]string{
		"refused": "HTTP/1.1 503 Full\r\nRefused: yes\r\n", "failed": "HTTP/1.1 500 Error\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				if r.Header.Get("Model") != "small" {
					return write(w, head+"Id: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
				}
				return write(w, streamHead(r.Header.Get("Id"), "Confidence: 10\r\n")) && write(w, chunk(event(1))) && write(w, streamEnd)
			}
			route := streamRoute(true)
			route.Models = []string{"small", "large"}
			env := newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
			env.connect = env.connectTCP
			if rec, broken := env.serve(Request{ChooseModel: true, PromptTokens: 300}); broken || rec.Body.String() != event(1) || env.sentRequests() != 2 {
				t.Fatalf("broken off %t, got %d %q, sent %d requests", broken, rec.Code, rec.Body, env.sentRequests())
			}
		})
	}
}
