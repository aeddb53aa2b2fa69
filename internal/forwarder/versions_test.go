package forwarder

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newRollOutEnv returns an environment with an old and a target version and a roll-out of the given state and progress.
func newRollOutEnv(t *testing.T, state applier.RollOutState, progress float64) (env *testEnv, old, target *fakeServer) {
	respond := func(_ int, r *http.Request, w io.Writer) bool { return write(w, reply(r.Header.Get("Id"), "ok")) }
	old, target = &fakeServer{respond: respond}, &fakeServer{respond: respond}
	env = newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s1": old, "s2": target})
	for i := range env.members {
		if env.members[i].Name == "s2" {
			env.members[i].Version, env.members[i].Incarnation = "v2", 2
		}
	}
	const span = 100 * timer.Second
	v := subscriber.View{Policy: env.policy, Members: env.members}
	if state != "" {
		r := applier.RollOut{Service: "s", TargetVersion: "v2", State: state, MaxDuration: span}
		if state == applier.RollOutRolledBack {
			r.RolledBackVersions = []string{"v2"}
		}
		begun := env.f.deps.Telemetry.Clock.Now() - timer.Millis(progress*float64(span))
		v.RollOuts = []subscriber.RollOut{{RollOut: r, LocalStartedAt: begun}}
	}
	env.f.SetView(v)
	return env, old, target
}

func TestTargetVersionShare(t *testing.T) {
	const requests = 400
	tests := map[string]struct {
		state       applier.RollOutState
		progress    float64
		least, most int
	}{
		"a version without a rollout gets none":      {"", 0, 0, 0},
		"the target starts with a small share":       {applier.RollOutRunning, 0.1, 10, 60},
		"the target has all before the rollout ends": {applier.RollOutRunning, 0.9, requests, requests},
		"the target of a completed rollout has all":  {applier.RollOutCompleted, 1, requests, requests},
		"a target that was rolled back has none":     {applier.RollOutRolledBack, 0.3, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env, _, target := newRollOutEnv(t, tt.state, tt.progress)
			for n := range requests {
				env.serve(Request{ID: fmt.Sprintf("id-%d", n)})
			}
			if n := len(target.requests()); n < tt.least || n > tt.most {
				t.Fatalf("the target got %d of %d requests, want %d to %d", n, requests, tt.least, tt.most)
			}
		})
	}
}

func TestSessionsKeepTheirVersion(t *testing.T) {
	tests := map[string]struct {
		pinned   string
		progress float64
		halted   bool
		want     string
	}{
		"a session on the old version stays in the first half":       {"v1", 0.45, false, "s1"},
		"a session on the old version moves when the target has all": {"v1", 0.9, false, "s2"},
		"a session on the target stays":                              {"v2", 0.1, false, "s2"},
		"a session on the target stays when the target is halted":    {"v2", 0.1, true, "s2"},
		"new sessions avoid a halted target":                         {"", 0.6, true, "s1"},
		"no session moves within the move delay":                     {"", 0.005, false, "s1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env, old, target := newRollOutEnv(t, applier.RollOutRunning, tt.progress)
			if tt.halted {
				task := &task{route: &env.policy.Routes[0]}
				for range haltMinBad {
					env.f.recordOutcome(task, env.f.serversByName["s2"], gradeBad)
				}
			}
			for n := range 50 {
				session := fmt.Sprintf("session-%d", n)
				if tt.pinned != "" {
					env.f.sessions.set(session, pin{version: tt.pinned, lastUsedAt: env.f.deps.Telemetry.Clock.Now()})
				}
				env.serve(Request{ID: session, Session: session})
			}
			got := map[string]int{"s1": len(old.requests()), "s2": len(target.requests())}
			if got[tt.want] != 50 {
				t.Fatalf("got %v, want all at %s", got, tt.want)
			}
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	now := timer.Millis(0)
	b := newBudget(0.5, 3, 10*timer.Second, func() timer.Millis { return now })
	retries := 0
	for range 100 {
		b.deposit()
		for b.take(0) {
			retries++
		}
	}
	if retries > 53 {
		t.Fatalf("100 requests allowed %d retries, want at most 53", retries)
	}
	now += 10 * timer.Second
	if !b.take(0) {
		t.Fatal("the slack was not restored within a window")
	}
}

// Guards against a fleet that exceeds the bound on repeats in a window, by what its instances have not used in the windows before.
func TestRepeatsInEachWindowAreBounded(t *testing.T) {
	const (
		share, slack = 0.8, 3.0
		window       = 10 * timer.Second
		interval     = 160 * timer.Millisecond
	)
	now := timer.Millis(0)
	b := newBudget(share, slack, window, func() timer.Millis { return now })
	var firsts, repeats []timer.Millis
	for ; now < 60*timer.Second; now += interval {
		b.deposit()
		firsts = append(firsts, now)
		// All requests are answered at first, and then none.
		for now > 30*timer.Second && b.take(0) {
			repeats = append(repeats, now)
		}
	}
	within := func(list []timer.Millis, from timer.Millis) int {
		n := 0
		for _, at := range list {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	for from := timer.Millis(0); from < 50*timer.Second; from += 50 {
		// A request may arrive just before the window, and its repeat within it.
		if got, most := within(repeats, from), share*float64(within(firsts, from)+1)+slack; float64(got) > most+1 {
			t.Fatalf("%d repeats from %d ms on, want at most %.0f", got, from, most)
		}
	}
	if len(repeats) < 100 {
		t.Fatalf("only %d repeats were allowed", len(repeats))
	}
}

// Guards against requests that all count on the last token of the budget, and end an attempt for a retry that only one of them gets.
func TestLastRetryIsTakenOnce(t *testing.T) {
	const requests = 50
	f := &Forwarder{deps: Deps{Telemetry: observer.NewDiscard(timer.NewSystemClock()),
		Config: Config{RetryBurst: 1, RetryWindow: timer.Hour}}}
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			task := &task{f: f, writer: &writer{}, attempts: 1, deadline: math.MaxInt64, route: &matcher.Route{Kind: matcher.KindIdempotent, MaxAttempts: 3}}
			// A request that has taken the token keeps it until its next attempt.
			if task.canRetryRun() && task.canRetry() {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	if n := taken.Load(); n != 1 {
		t.Fatalf("%d of %d requests may be sent again with one token", n, requests)
	}
}

func TestServerIsSuspendedAfterConsecutiveFailures(t *testing.T) {
	s := newServer(registrar.Member{Name: "s"}, &rationer.Service{}, exchanger.Deps{})
	s.recordFailure(0, true)
	if suspended, _ := s.availability(1); suspended {
		t.Fatal("one failure suspended the server")
	}
	s.recordFailure(1, true)
	if suspended, _ := s.availability(2); !suspended {
		t.Fatal("two consecutive failures did not suspend the server")
	}
	if suspended, _ := s.availability(1 + maxSuspension); suspended {
		t.Fatal("the suspension did not end")
	}
}

// Guards against moving a session to the target version because its next request reaches a different instance.
func TestSessionOnOldVersionElsewhereKeepsOldVersion(t *testing.T) {
	here, old, target := newRollOutEnv(t, applier.RollOutRunning, 0.1)
	elsewhere, _, _ := newRollOutEnv(t, applier.RollOutRunning, 0.1)
	var sessions []string
	for n := 0; len(sessions) < 20; n++ {
		if id := fmt.Sprintf("session-%d", n); hashFraction(id) < canaryShare {
			sessions = append(sessions, id)
			elsewhere.f.sessions.set(id, pin{service: "s", version: "v1", lastUsedAt: elsewhere.f.deps.Telemetry.Clock.Now()})
		}
	}
	reported := elsewhere.f.NewOldVersionSessions()
	if len(reported) != len(sessions) || len(elsewhere.f.NewOldVersionSessions()) != 0 {
		t.Fatalf("%d sessions were reported, want %d, once", len(reported), len(sessions))
	}
	here.f.AddOldVersionSessions(reported)
	for _, id := range sessions {
		here.serve(Request{ID: id, Session: id})
	}
	if len(target.requests()) > 0 || len(old.requests()) != len(sessions) {
		t.Fatalf("%d of %d sessions moved in the first half", len(target.requests()), len(sessions))
	}
	// Once this instance has no record of the sessions, they hash to the target version.
	here.f.oldVersionSessions.clear()
	here.f.sessions.pins = map[string]pin{}
	here.serve(Request{ID: sessions[0], Session: sessions[0]})
	if len(target.requests()) != 1 {
		t.Fatal("a session that hashes to the target did not get it")
	}
}

// Guards against counting a long prefill on the large model as a slow response of a good target version.
func TestLongPrefillIsNotCountedAsSlow(t *testing.T) {
	tests := map[string]struct {
		prefill float64
		took    timer.Millis
		slow    int
	}{
		"as usual":                                  {100, 300, 0},
		"a short prompt, far above the average":     {100, 2500, 1},
		"a long prompt, near its prefill time":      {2000, 2500, 0},
		"a long prompt, far above its prefill time": {2000, 9000, 1},
		"a short prompt, within the margin":         {1, 390, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env, _, _ := newRollOutEnv(t, applier.RollOutRunning, 0.3)
			task, _ := env.f.newTask(&Request{ID: "id", Host: "h", Path: "/x"}, httptest.NewRecorder())
			for range minFirstByteSamples + 1 {
				env.f.firstByteTime(task, "").add(300)
			}
			env.f.recordFirstByte(task, &exchange{server: env.f.serversByName["s2"], prefill: tt.prefill}, tt.took)
			slow := 0
			for _, o := range env.f.VersionOutcomes() {
				slow += o.Slow
			}
			if slow != tt.slow {
				t.Fatalf("%d slow responses, want %d", slow, tt.slow)
			}
		})
	}
}

// Guards against passing on the errors of a bad target version before the leader has decided about it.
func TestRequestFailedByTargetIsRetriedOnOldVersion(t *testing.T) {
	env, old, target := newRollOutEnv(t, applier.RollOutRunning, 0.1)
	target.respond = func(_ int, r *http.Request, w io.Writer) bool {
		return write(w, "HTTP/1.1 500 Oops\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	}
	const requests = 200
	for n := range requests {
		if rec, _ := env.serve(Request{ID: fmt.Sprintf("id-%d", n), Session: fmt.Sprintf("session-%d", n)}); rec.Code != http.StatusOK {
			t.Errorf("request %d: status %d", n, rec.Code)
		}
	}
	if len(target.requests()) == 0 || len(old.requests()) != requests {
		t.Errorf("the target got %d requests, the old version %d, want some and %d", len(target.requests()),
			len(old.requests()), requests)
	}
}

func TestSessionOnTargetStaysThereAfterFailure(t *testing.T) {
	env, old, target := newRollOutEnv(t, applier.RollOutRunning, 0.1)
	env.f.sessions.set("s", pin{service: "s", version: "v2", server: "s2", lastUsedAt: env.f.deps.Telemetry.Clock.Now()})
	target.respond = func(n int, r *http.Request, w io.Writer) bool {
		status := "200 OK"
		if n == 1 {
			status = "500 Oops"
		}
		return write(w, "HTTP/1.1 "+status+"\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	}
	env.serve(Request{ID: "id", Session: "s"})
	if len(old.requests()) != 0 {
		t.Error("the session moved back to the old version")
	}
}

// Guards against a crash that counts once for every request in flight at the server.
func TestServerCrashCountsOncePerIncident(t *testing.T) {
	tests := map[string]struct {
		failures int
		interval timer.Millis
		bad      int
	}{
		"one failure":                      {1, 0, 1},
		"many at the same time":            {12, 0, 1},
		"several, one per incident window": {3, incidentWindow, 3},
		"many within one incident window":  {10, incidentWindow / 20, 1},
		"two crashes in different windows": {2, 2 * incidentWindow, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env, _, _ := newRollOutEnv(t, applier.RollOutRunning, 0.3)
			now := env.f.deps.Telemetry.Clock.Now()
			task, _ := env.f.newTask(&Request{ID: "id", Host: "h", Path: "/x"}, httptest.NewRecorder())
			for n := range tt.failures {
				task.recordBrokenConn(env.f.serversByName["s2"], now+timer.Millis(n)*tt.interval)
			}
			bad := 0
			for _, o := range env.f.VersionOutcomes() {
				bad += o.Bad
			}
			if bad != tt.bad {
				t.Fatalf("%d bad responses, want %d", bad, tt.bad)
			}
		})
	}
}
