package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newColdEnv returns an environment with the servers warm and cold, of which the second has just started.
func newColdEnv(t *testing.T, kind matcher.RouteKind) *testEnv {
	t.Helper()
	env := newTestEnv(t, matcher.Route{Kind: kind}, map[string]*fakeServer{"warm": {respond: replyDone}, "cold": {respond: replyDone}})
	s := env.policy.Services["s"]
	s.ColdRate, s.ColdStart = 10, 3*timer.Second
	policy := *env.policy
	policy.Services = map[string]matcher.Service{"s": s}
	env.policy = &policy
	for i := range env.members {
		env.members[i].Incarnation = 2
		if env.members[i].Name == "cold" {
			env.members[i].WarmUp = 10 * timer.Second
		}
	}
	env.publishView()
	return env
}

// grant answers the claims of the forwarder as the keeper does, and returns the number of starts that were granted.
func (e *testEnv) grant() int {
	granted := 0
	for _, c := range e.f.StartClaims() {
		granted += c.Wanted
		e.f.SetStarts([]allotter.StartGrant{{Server: c.Server, Incarnation: c.Incarnation, Starts: c.Wanted, Sequence: c.Sequence}})
	}
	return granted
}

// Load: a server has come back cold and is empty, so each request would choose it. Guards against all instances filling it at once.
func TestColdServerGetsOnlyWhatItsKeeperGrants(t *testing.T) {
	const requests = 20
	env := newColdEnv(t, matcher.KindIdempotent)
	// The warm server is the dearer one.
	for range 4 {
		env.f.serversByName["warm"].places.TakeFreely()
	}
	for range requests {
		if rec, _ := env.serve(Request{}); rec.Code != http.StatusOK {
			t.Fatalf("status %d", rec.Code)
		}
	}
	if n := len(env.servers["cold"].requests()); n > 0 {
		t.Fatalf("the cold server got %d requests without a start", n)
	}
	granted := env.grant()
	if granted == 0 {
		t.Fatal("no start was claimed for the requests that went elsewhere")
	}
	for range requests {
		env.serve(Request{})
	}
	if n := len(env.servers["cold"].requests()); n == 0 || n > granted {
		t.Fatalf("the cold server got %d requests, %d were granted", n, granted)
	}
}

// Load: all servers that have room are cold. Guards against requests that are refused though a start comes in time.
func TestRequestWaitsForAStart(t *testing.T) {
	env := newColdEnv(t, matcher.KindIdempotent)
	for range testSlots * 2 {
		env.f.serversByName["warm"].places.TakeFreely()
	}
	done := make(chan int)
	go func() {
		rec, _ := env.serve(Request{})
		done <- rec.Code
	}()
	for granted := 0; granted == 0; time.Sleep(5 * time.Millisecond) {
		granted = env.grant()
	}
	if status := <-done; status != http.StatusOK || len(env.servers["cold"].requests()) != 1 {
		t.Fatalf("status %d, the cold server got %d requests", status, len(env.servers["cold"].requests()))
	}
}

// Guards against a start that is used a while after it was given, because the connection took long to open: the starts of that later
// second come on top.
func TestStartIsNotUsedLate(t *testing.T) {
	env := newColdEnv(t, matcher.KindIdempotent)
	env.f.serversByName["cold"].starts.RecordPassed()
	env.grant()
	for range 4 {
		env.f.serversByName["warm"].places.TakeFreely()
	}
	env.connect = func() (client, server net.Conn) {
		env.connect = net.Pipe
		time.Sleep(2 * coldSendTimeout.Duration())
		return net.Pipe()
	}
	if rec, _ := env.serve(Request{}); rec.Code != http.StatusOK || len(env.servers["cold"].requests()) > 0 {
		t.Fatalf("status %d, the cold server got %d requests", rec.Code, len(env.servers["cold"].requests()))
	}
}

// Guards against a data centre that is filled at once when it is taken back: its servers had no work, and have said nothing yet.
func TestDataCentreThatWasTakenBackIsCold(t *testing.T) {
	tests := map[string]struct {
		ago    timer.Millis
		active bool
		isCold bool
	}{
		"just now":               {0, false, true},
		"some seconds ago":       {4 * timer.Second, false, false},
		"not yet":                {0, true, false},
		"two seconds ago, known": {2 * timer.Second, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newColdEnv(t, matcher.KindIdempotent)
			now := env.f.deps.Telemetry.Clock.Now()
			env.f.SetView(subscriber.View{Policy: env.policy, Members: env.members, Evacuations: []subscriber.Evacuation{
				{Evacuation: applier.Evacuation{DataCentre: "a", Active: tt.active, Number: 2}, LocalChangedAt: now - tt.ago}}})
			if got := env.f.serversByName["warm"].starts.IsCold(now); got != tt.isCold {
				t.Fatalf("cold: %t, want %t", got, tt.isCold)
			}
		})
	}
}

// Guards against a server that stays cold, or warm, for ever because its row is published again with other changes.
func TestColdnessFollowsTheNewestAnnouncement(t *testing.T) {
	env := newColdEnv(t, matcher.KindIdempotent)
	s := env.f.serversByName["cold"]
	now := env.f.deps.Telemetry.Clock.Now()
	env.publishView()
	if !s.starts.IsCold(now+9*timer.Second) || s.starts.IsCold(now+11*timer.Second) {
		t.Fatal("a row without news changed how long the server is cold")
	}
	for i := range env.members {
		env.members[i].Sequence, env.members[i].WarmUp = 5, 0
	}
	env.publishView()
	if s.starts.IsCold(env.f.deps.Telemetry.Clock.Now()) {
		t.Fatal("the server is cold though it has said that it is warm")
	}
	for i := range env.members {
		env.members[i].Sequence, env.members[i].WarmUp = 6, timer.Second
	}
	env.publishView()
	if !s.starts.IsCold(env.f.deps.Telemetry.Clock.Now()) {
		t.Fatal("the server is warm though it has turned cold again")
	}
}
