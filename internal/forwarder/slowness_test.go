package forwarder

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against limits that grow because some servers are dead or slow, and against limits that stay while all of them are slow.
func TestLateLimitFollowsQuickResponses(t *testing.T) {
	const usual = 400
	samples := func(n int, took timer.Millis) []timer.Millis { return slices.Repeat([]timer.Millis{took}, n) }
	tests := map[string]struct {
		// took are the last times to the first byte, of responses and of attempts that were given up.
		took []timer.Millis
		age  timer.Millis
		want timer.Millis
	}{
		"nothing is known":                     {nil, 0, 0},
		"too few samples":                      {samples(minSlownessWindow-1, 1600), 0, 0},
		"as usual":                             {samples(16, usual), 0, lateFactor * usual},
		"all four times as slow":               {samples(16, 4*usual), 0, lateFactor * 4 * usual},
		"half of the servers are dead":         {append(samples(8, 4*usual), samples(8, usual)...), 0, lateFactor * usual},
		"most servers are slow":                {append(samples(11, 12*usual), samples(5, usual)...), 0, lateFactor * usual},
		"all were slow, some seconds ago":      {samples(16, 4*usual), slownessMaxAge + 1, 0},
		"the last 16 responses count, no more": {append(samples(16, 4*usual), samples(16, usual)...), 0, lateFactor * usual},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{})
			task := &task{f: env.f, route: &env.policy.Routes[0], service: "s"}
			x := &exchange{expected: usual}
			now := env.f.deps.Telemetry.Clock.Now()
			for _, took := range tt.took {
				task.recordSlowness(x, took, now)
			}
			if got := task.lateLimit(x, now+tt.age); got != tt.want {
				t.Fatalf("got %d ms, want %d ms", got, tt.want)
			}
		})
	}
}
