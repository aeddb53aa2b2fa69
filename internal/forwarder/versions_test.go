package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// rolling returns a world with an old and a new version and a roll-out of the given state and progress.
func rolling(t *testing.T, state applier.RollOutState, progress float64) (w *world, old, target *backend) {
	answer := func(_ int, r *http.Request, w io.Writer) bool { return say(w, whole(r.Header.Get("Id"), "ok")) }
	old, target = &backend{answer: answer}, &backend{answer: answer}
	w = newWorld(t, matcher.Route{Kind: matcher.KindSafe}, map[string]*backend{"s1": old, "s2": target})
	for i := range w.members {
		if w.members[i].Name == "s2" {
			w.members[i].Version, w.members[i].Incarnation = "v2", 2
		}
	}
	const span = 100 * timer.Second
	v := subscriber.View{Policy: w.policy, Members: w.members}
	if state != "" {
		r := applier.RollOut{Service: "s", Target: "v2", State: state, Span: span}
		if state == applier.RollOutRolledBack {
			r.Bad = []string{"v2"}
		}
		begun := w.f.deps.Common.Clock.Now() - timer.Millis(progress*float64(span))
		v.RollOuts = []subscriber.RollOut{{RollOut: r, Begun: begun}}
	}
	w.f.Publish(v)
	return w, old, target
}

func TestShareOfVersions(t *testing.T) {
	const requests = 400
	tests := map[string]struct {
		state       applier.RollOutState
		progress    float64
		least, most int
	}{
		"a version that nobody ordered takes nothing": {"", 0, 0, 0},
		"a new version begins with a few":             {applier.RollOutRunning, 0.1, 10, 60},
		"it has all before the limit":                 {applier.RollOutRunning, 0.9, requests, requests},
		"a completed one has all":                     {applier.RollOutCompleted, 1, requests, requests},
		"a rolled back one has nothing":               {applier.RollOutRolledBack, 0.3, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, _, target := rolling(t, tt.state, tt.progress)
			for n := range requests {
				w.serve(Request{ID: fmt.Sprintf("id-%d", n)})
			}
			if n := len(target.requests()); n < tt.least || n > tt.most {
				t.Fatalf("the new version got %d of %d requests, want %d to %d", n, requests, tt.least, tt.most)
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
		"a session of the old version stays in the first half":       {"v1", 0.45, false, "s1"},
		"it moves when the new version has all":                      {"v1", 0.9, false, "s2"},
		"a session of the new version stays":                         {"v2", 0.1, false, "s2"},
		"a session of the new version stays when others are held":    {"v2", 0.1, true, "s2"},
		"sessions without a version are held back from a bad target": {"", 0.6, true, "s1"},
		"nothing moves before holdovers are known":                   {"", 0.005, false, "s1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, old, target := rolling(t, applier.RollOutRunning, tt.progress)
			if tt.halted {
				task := &task{route: &w.policy.Routes[0]}
				for range haltBad {
					w.f.note(task, w.f.known["s2"], resultBad)
				}
			}
			for n := range 50 {
				session := fmt.Sprintf("session-%d", n)
				if tt.pinned != "" {
					w.f.sessions.set(session, pin{version: tt.pinned, at: w.f.deps.Common.Clock.Now()})
				}
				w.serve(Request{ID: session, Session: session})
			}
			got := map[string]int{"s1": len(old.requests()), "s2": len(target.requests())}
			if got[tt.want] != 50 {
				t.Fatalf("got %v, want all at %s", got, tt.want)
			}
		})
	}
}

func TestBudgetBoundsRepeats(t *testing.T) {
	now := timer.Millis(0)
	b := newBudget(Rules{RetryShare: 0.5, RetrySlack: 3, RetryWindow: 10 * timer.Second}, func() timer.Millis { return now })
	spent := 0
	for range 100 {
		b.earn()
		for b.left() {
			b.spend()
			spent++
		}
	}
	if spent > 53 {
		t.Fatalf("100 requests allowed %d repeats, at most 53 are earned", spent)
	}
	now += 10 * timer.Second
	if !b.left() {
		t.Fatal("the slack has not grown back within a window")
	}
}

func TestAServerThatFailsAgainAndAgainIsSetAside(t *testing.T) {
	s := newServer(registrar.Member{Name: "s"}, func() timer.Millis { return 0 }, nil)
	s.failed(0, true)
	if suspended, _ := s.state(1); suspended {
		t.Fatal("one failure set the server aside")
	}
	s.failed(1, true)
	if suspended, _ := s.state(2); !suspended {
		t.Fatal("two failures in a row did not set the server aside")
	}
	if suspended, _ := s.state(1 + maxSuspension); suspended {
		t.Fatal("the server is not tried again")
	}
}

// The pattern: callers reach another instance with each request of a session.
func TestASessionThatRunsOnTheOldVersionElsewhereStaysThere(t *testing.T) {
	here, old, target := rolling(t, applier.RollOutRunning, 0.1)
	elsewhere, _, _ := rolling(t, applier.RollOutRunning, 0.1)
	var sessions []string
	for n := 0; len(sessions) < 20; n++ {
		if id := fmt.Sprintf("session-%d", n); drawOf(id) < firstShare {
			sessions = append(sessions, id)
			elsewhere.f.sessions.set(id, pin{service: "s", version: "v1", at: elsewhere.f.deps.Common.Clock.Now()})
		}
	}
	told := elsewhere.f.Holdovers()
	if len(told) != len(sessions) || len(elsewhere.f.Holdovers()) != 0 {
		t.Fatalf("%d sessions were told of, want %d, once", len(told), len(sessions))
	}
	here.f.HearHoldovers(told)
	for _, id := range sessions {
		here.serve(Request{ID: id, Session: id})
	}
	if len(target.requests()) > 0 || len(old.requests()) != len(sessions) {
		t.Fatalf("%d of %d sessions moved in the first half", len(target.requests()), len(sessions))
	}
	// Once nothing is known of them, they are drawn for the new version.
	here.f.holdovers.clear()
	here.f.sessions.rows = map[string]pin{}
	here.serve(Request{ID: sessions[0], Session: sessions[0]})
	if len(target.requests()) != 1 {
		t.Fatal("a fresh session that is drawn for the new version did not get it")
	}
}

// The pattern: a long prompt goes to the large model of a good new version, which takes seconds to read it.
func TestALongPromptIsNoSlowAnswer(t *testing.T) {
	tests := map[string]struct {
		reading float64
		took    timer.Millis
		slow    int
	}{
		"as usual":                        {100, 300, 0},
		"a short prompt takes long":       {100, 2500, 1},
		"a long prompt takes its time":    {2000, 2500, 0},
		"a long prompt takes far longer":  {2000, 9000, 1},
		"a short prompt, within a margin": {1, 390, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, _, _ := rolling(t, applier.RollOutRunning, 0.3)
			task, _ := w.f.newTask(&Request{ID: "id", Host: "h", Path: "/x"}, httptest.NewRecorder())
			for range usualSamples + 1 {
				w.f.firstOf(task).add(300)
			}
			w.f.noteFirst(task, &exchange{server: w.f.known["s2"], reading: tt.reading}, tt.took)
			slow := 0
			for _, o := range w.f.Outcomes() {
				slow += o.Slow
			}
			if slow != tt.slow {
				t.Fatalf("%d slow answers, want %d", slow, tt.slow)
			}
		})
	}
}

// The pattern: a bad version fails every request during its roll-out, before the leader has judged it.
func TestARequestThatANewVersionFailsIsServedByTheOldOne(t *testing.T) {
	w, old, target := rolling(t, applier.RollOutRunning, 0.1)
	target.answer = func(_ int, r *http.Request, w io.Writer) bool {
		return say(w, "HTTP/1.1 500 Oops\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	}
	const requests = 200
	for n := range requests {
		if rec, _ := w.serve(Request{ID: fmt.Sprintf("id-%d", n), Session: fmt.Sprintf("session-%d", n)}); rec.Code != http.StatusOK {
			t.Errorf("request %d: status %d", n, rec.Code)
		}
	}
	if len(target.requests()) == 0 || len(old.requests()) != requests {
		t.Errorf("the new version got %d requests, the old one %d, want some and %d", len(target.requests()), len(old.requests()), requests)
	}
}

func TestASessionOnTheNewVersionStaysThereWhenItFails(t *testing.T) {
	w, old, target := rolling(t, applier.RollOutRunning, 0.1)
	w.f.sessions.set("s", pin{service: "s", version: "v2", server: "s2", at: w.f.deps.Common.Clock.Now()})
	target.answer = func(n int, r *http.Request, w io.Writer) bool {
		status := "200 OK"
		if n == 1 {
			status = "500 Oops"
		}
		return say(w, "HTTP/1.1 "+status+"\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	}
	w.serve(Request{ID: "id", Session: "s"})
	if len(old.requests()) != 0 {
		t.Error("the session went back to the old version")
	}
}

// The pattern: a server crashes, and all that ran there breaks off at the same moment.
func TestACrashCountsOnceAgainstAVersion(t *testing.T) {
	tests := map[string]struct {
		failures int
		apart    timer.Millis
		bad      int
	}{
		"one failure":                  {1, 0, 1},
		"many at the same moment":      {12, 0, 1},
		"some, each a while after":     {3, incidentSpan, 3},
		"a crash that takes its time":  {10, incidentSpan / 20, 1},
		"two crashes within some time": {2, 2 * incidentSpan, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, _, _ := rolling(t, applier.RollOutRunning, 0.3)
			now := w.f.deps.Common.Clock.Now()
			task, _ := w.f.newTask(&Request{ID: "id", Host: "h", Path: "/x"}, httptest.NewRecorder())
			for n := range tt.failures {
				task.noteBroken(w.f.known["s2"], now+timer.Millis(n)*tt.apart)
			}
			bad := 0
			for _, o := range w.f.Outcomes() {
				bad += o.Bad
			}
			if bad != tt.bad {
				t.Fatalf("%d bad answers, want %d", bad, tt.bad)
			}
		})
	}
}
