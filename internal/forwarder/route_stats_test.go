package forwarder

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against limits that fall back to those of an instance that knows nothing, because a new document dropped the statistics
// of routes that it does not change.
func TestStatisticsSurviveChangesOfOtherRoutes(t *testing.T) {
	tests := map[string]struct {
		change func(*matcher.Route)
		kept   bool
	}{
		"nothing":         {func(*matcher.Route) {}, true},
		"timeout":         {func(r *matcher.Route) { r.Timeout *= 2 }, true},
		"target":          {func(r *matcher.Route) { r.TargetLatency *= 2 }, true},
		"another service": {func(r *matcher.Route) { r.Shares = []matcher.Share{{Service: "other", Weight: 1}} }, true},
		"models":          {func(r *matcher.Route) { r.Models = []string{"large"} }, false},
		"kind":            {func(r *matcher.Route) { r.Kind = matcher.KindAtMostOnce }, false},
		"path":            {func(r *matcher.Route) { r.PathPrefix = "/other/" }, false},
		"host":            {func(r *matcher.Route) { r.Host = "other" }, false},
		"removed":         {func(r *matcher.Route) { r.Name = "renamed" }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{})
			task := &task{f: env.f, route: &env.policy.Routes[0], service: "s"}
			env.f.firstByteTime(task, "").add(300)
			env.f.answerTime(task).add(900)
			pace := paceKey{service: "s", route: "r", dataCentre: "a"}
			env.f.paces.Store(pace, &paceWindow{})

			policy := matcher.Policy{Version: 2, Routes: []matcher.Route{env.policy.Routes[0]},
				Services: map[string]matcher.Service{"s": env.policy.Services["s"], "other": {Name: "other"}}}
			tt.change(&policy.Routes[0])
			next, err := policy.WithIndexes()
			if err != nil {
				t.Fatal(err)
			}
			env.policy = next
			env.publishView()

			_, count := env.f.firstByteTime(task, "").get()
			answer, _ := env.f.answerTime(task).get()
			_, hasPace := env.f.paces.Load(pace)
			if got := count == 1; got != tt.kept || (answer > 0) != tt.kept || hasPace != tt.kept {
				t.Fatalf("first byte kept %t, answer time %v, pace kept %t, want kept: %t", got, answer, hasPace, tt.kept)
			}
			other := *task
			other.service = "other"
			if usual := env.f.expectedFirstByte(&other); usual != timer.Millis(0) {
				t.Errorf("another service is expected to take %d ms as this one", usual)
			}
		})
	}
}
