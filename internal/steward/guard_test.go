package steward

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestVerdict(t *testing.T) {
	const span = 20 * timer.Second
	tests := map[string]struct {
		before, target map[string]count
		running        int
		elapsed        timer.Millis
		want           applier.RollOutState
	}{
		"few bad answers may be chance": {
			before: map[string]count{"": {100, 2}}, target: map[string]count{"": {2, 3}}, elapsed: 2 * timer.Second,
		},
		"half of the answers are bad": {
			before: map[string]count{"": {100, 2}}, target: map[string]count{"": {10, 10}}, elapsed: 2 * timer.Second, want: applier.RollOutRolledBack,
		},
		"one route is bad": {
			before: map[string]count{"": {900, 9}, "r": {100, 1}}, target: map[string]count{"": {90, 4}, "r": {6, 4}},
			elapsed: 5 * timer.Second, want: applier.RollOutRolledBack,
		},
		"the version before fails as often": {
			before: map[string]count{"": {70, 30}}, target: map[string]count{"": {14, 6}}, elapsed: 5 * timer.Second,
		},
		"a few of the long prompts are slow by chance": {
			before: map[string]count{"": {250, 23}, "r": {181, 12}}, target: map[string]count{"": {30, 5}, "r": {7, 4}}, elapsed: 12 * timer.Second,
		},
		"a third of the answers on one route is bad": {
			before: map[string]count{"": {500, 23}, "r": {181, 12}}, target: map[string]count{"": {90, 12}, "r": {18, 10}},
			elapsed: 12 * timer.Second, want: applier.RollOutRolledBack,
		},
		"a version that turns bad late": {
			before: map[string]count{"": {500, 20}}, target: map[string]count{"": {70, 20}}, elapsed: 12 * timer.Second, want: applier.RollOutRolledBack,
		},
		"servers of the new version crashed more by chance": {
			before: map[string]count{"": {1312, 182}}, target: map[string]count{"": {114, 38}}, elapsed: 12 * timer.Second,
		},
		"a route that the version before has hardly served": {
			before: map[string]count{"": {500, 20}, "r": {1, 0}}, target: map[string]count{"": {50, 4}, "r": {2, 4}}, elapsed: 8 * timer.Second,
		},
		"requests still run on the version before": {
			before: map[string]count{"": {100, 0}}, target: map[string]count{"": {50, 0}}, running: 3, elapsed: 16 * timer.Second,
		},
		"all is done": {
			before: map[string]count{"": {100, 0}}, target: map[string]count{"": {50, 0}}, elapsed: 16 * timer.Second, want: applier.RollOutCompleted,
		},
		"the limit is near": {
			before: map[string]count{"": {100, 0}}, target: map[string]count{"": {50, 0}}, running: 3, elapsed: span - timer.Second, want: applier.RollOutCompleted,
		},
		"a bad version is not completed at its limit": {
			before: map[string]count{"": {100, 20}}, target: map[string]count{"": {14, 32}}, elapsed: span, want: applier.RollOutRolledBack,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, why := verdict(tally{before: tt.before, target: tt.target, running: tt.running}, tt.elapsed, span)
			if got != tt.want {
				t.Fatalf("got %q (%s), want %q", got, why, tt.want)
			}
		})
	}
}

// The pattern: servers of both versions crash at the time at which the new version's share of requests grows, so that most
// of its answers, but few of the old one's, fall into the trouble.
func TestTroubleOfAllVersionsTakesNoneBack(t *testing.T) {
	const span = 24 * timer.Second
	seconds := []struct {
		before, target count
	}{
		{count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 1}}, {count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}},
		{count{100, 5}, count{6, 1}}, {count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}},
		{count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}}, {count{100, 5}, count{6, 0}},
		{count{33, 27}, count{12, 10}}, {count{33, 27}, count{12, 10}}, {count{33, 27}, count{12, 10}}, {count{33, 27}, count{12, 10}},
		{count{33, 27}, count{12, 10}},
	}
	all := tally{before: map[string]count{}, target: map[string]count{}}
	for n, s := range seconds {
		b, c := all.before[allRoutes], all.target[allRoutes]
		all.before[allRoutes] = count{b.good + s.before.good, b.bad + s.before.bad}
		all.target[allRoutes] = count{c.good + s.target.good, c.bad + s.target.bad}
		if state, why := verdict(all, timer.Millis(n+1)*timer.Second, span); state != "" {
			t.Fatalf("after %d s: %q (%s), want none", n+1, state, why)
		}
	}
}
