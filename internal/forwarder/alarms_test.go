package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

func replyDone(_ int, r *http.Request, w io.Writer) bool {
	return write(w, reply(r.Header.Get("Id"), "done"))
}

// Most of a pool has crashed at once and refuses connections. Nothing has reached those servers, so neither the attempt
// limit nor the retry budget keeps a request from the rest of the pool.
func TestRefusedConnectionsAreNoAttempts(t *testing.T) {
	kinds := map[string]matcher.RouteKind{"idempotent": matcher.KindIdempotent, "at most once": matcher.KindAtMostOnce}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			servers := map[string]*fakeServer{}
			for n := range 8 {
				servers[fmt.Sprintf("s%d", n)] = &fakeServer{respond: replyDone, down: n > 0}
			}
			env := newTestEnv(t, matcher.Route{Kind: kind}, servers)
			env.f.deps.Config.RetryBurst, env.f.deps.Config.RetryRatio = 0, 0
			rec, brokenOff := env.serve(Request{})
			if brokenOff || rec.Code != http.StatusOK || env.sentRequests() != 1 {
				t.Fatalf("status %d after %d requests, want an answer", rec.Code, env.sentRequests())
			}
		})
	}
}

// A whole pool is down: the request is refused at once, not at its deadline, and the promise that it has not run holds.
func TestPoolThatIsDownRefusesAtOnce(t *testing.T) {
	servers := map[string]*fakeServer{}
	for n := range 20 {
		servers[fmt.Sprintf("s%d", n)] = &fakeServer{respond: replyDone, down: true}
	}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, servers)
	startedAt := env.f.deps.Telemetry.Clock.Now()
	rec, _ := env.serve(Request{})
	if took := env.f.deps.Telemetry.Clock.Now() - startedAt; rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" || took > 300 {
		t.Fatalf("status %d, Retry-After %q after %d ms", rec.Code, rec.Header().Get("Retry-After"), took)
	}
}

// One instance finds a crashed server; the others must not send it a request to find out by themselves.
func TestAlarmSuspendsServer(t *testing.T) {
	down := &fakeServer{respond: replyDone, down: true}
	servers := map[string]*fakeServer{"down": down, "up": {respond: replyDone}}
	finder := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, servers)
	// The server that is down is nearer, so it is asked first.
	finder.f.serversByName["up"].DataCentre = "b"
	for n := range 3 {
		finder.serve(Request{ID: fmt.Sprint("a", n)})
	}
	want := messenger.ServerAlarm{Server: "down", Incarnation: 1, Refused: true}
	if len(finder.alarms) != 1 || finder.alarms[0] != want {
		t.Fatalf("alarms %+v, want one: %+v", finder.alarms, want)
	}
	tests := map[string]struct {
		alarm       messenger.ServerAlarm
		justReplied bool
		suspended   bool
	}{
		"the server is suspended":           {alarm: want, suspended: true},
		"it has just sent bytes":            {alarm: want, justReplied: true},
		"the alarm is of an earlier start":  {alarm: messenger.ServerAlarm{Server: "down", Incarnation: 0, Refused: true}},
		"the alarm is of an unknown server": {alarm: messenger.ServerAlarm{Server: "other", Incarnation: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, servers)
			now := env.f.deps.Telemetry.Clock.Now()
			if tt.justReplied {
				env.f.serversByName["down"].lastByte.Store(int64(now))
			}
			env.f.SuspendServers([]messenger.ServerAlarm{tt.alarm})
			if suspended, _ := env.f.serversByName["down"].availability(now + 1); suspended != tt.suspended {
				t.Fatalf("suspended %t, want %t", suspended, tt.suspended)
			}
		})
	}
}

// A caller leaves while a connection is opened: that is no fault of the server.
func TestCallerThatLeavesDuringTheDialRaisesNoAlarm(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s": {respond: replyDone}})
	ctx, leave := context.WithCancel(context.Background())
	env.f.exchange.Dial = func(ctx context.Context, _ exchanger.Endpoint, _ exchanger.Relays) (net.Conn, error) {
		leave()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	env.members[0].Incarnation++
	env.publishView()
	req := &Request{ID: "id", Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", ArrivedAt: env.f.deps.Telemetry.Clock.Now()}
	func() {
		defer func() { _ = recover() }()
		env.f.Serve(ctx, req, httptest.NewRecorder())
	}()
	if suspended, _ := env.f.serversByName["s"].availability(env.f.deps.Telemetry.Clock.Now()); suspended || len(env.alarms) > 0 {
		t.Fatalf("suspended %t, alarms %v", suspended, env.alarms)
	}
}

// A server is announced as serving again after it has drained: its connections must be kept again.
func TestServerThatServesAgainKeepsConnections(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s": {respond: replyDone}})
	for _, state := range []registrar.MemberState{registrar.MemberStateLeaving, registrar.MemberStateServing} {
		env.members[0].State = state
		env.publishView()
	}
	env.serve(Request{})
	if env.f.serversByName["s"].pool.Get(nil, nil) == nil {
		t.Fatal("the connection was not kept")
	}
}

// The process stands still between the choice of a server and the send: the choice is made again, with what holds now.
func TestServerIsChosenAgainAfterStandstill(t *testing.T) {
	tests := map[string]struct {
		change func(*testEnv)
		status int
		sentTo string
	}{
		"the server has left": {func(e *testEnv) { e.members[0].State = registrar.MemberStateLeaving }, http.StatusOK, "second"},
		"the key is revoked": {func(e *testEnv) {
			policy := *e.policy
			policy.Workspaces = []matcher.Workspace{{Name: "w", APIKeys: []string{"other"}}}
			indexed, err := policy.WithIndexes()
			if err != nil {
				t.Fatal(err)
			}
			e.policy = indexed
		}, http.StatusUnauthorized, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := &fakeServer{respond: replyDone}, &fakeServer{respond: replyDone}
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"first": first, "second": second})
			env.members = []registrar.Member{env.members[0], env.members[1]}
			if env.members[0].Name != "first" {
				env.members[0], env.members[1] = env.members[1], env.members[0]
			}
			env.policy.Routes[0].AuthExempt = false
			policy := *env.policy
			policy.Workspaces = []matcher.Workspace{{Name: "w", APIKeys: []string{"key"}}}
			indexed, err := policy.WithIndexes()
			if err != nil {
				t.Fatal(err)
			}
			env.policy = indexed
			env.publishView()
			// The first server is chosen: the second one is far away.
			env.f.serversByName["second"].DataCentre = "b"
			env.onDial = func() {
				tt.change(env)
				env.publishView()
				env.stoodStill.Store(true)
			}
			rec, _ := env.serve(Request{APIKey: "key"})
			if rec.Code != tt.status || len(first.requests()) != 0 || (len(second.requests()) == 1) != (tt.sentTo == "second") {
				t.Fatalf("status %d, first got %d, second got %d", rec.Code, len(first.requests()), len(second.requests()))
			}
		})
	}
}
