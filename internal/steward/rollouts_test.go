package steward

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestDecideRollOut(t *testing.T) {
	const span = 20 * timer.Second
	tests := map[string]struct {
		previous, target  map[string]answerCounts
		runningOnPrevious int
		elapsed           timer.Millis
		want              applier.RollOutState
	}{
		"too few bad answers to decide": {
			previous: map[string]answerCounts{"": {100, 2}}, target: map[string]answerCounts{"": {2, 3}},
			elapsed: 2 * timer.Second,
		},
		"half of the answers are bad": {
			previous: map[string]answerCounts{"": {100, 2}}, target: map[string]answerCounts{"": {10, 10}},
			elapsed: 2 * timer.Second, want: applier.RollOutRolledBack,
		},
		"one route is bad": {
			previous: map[string]answerCounts{"": {900, 9}, "r": {100, 1}},
			target:   map[string]answerCounts{"": {90, 4}, "r": {6, 4}},
			elapsed:  5 * timer.Second, want: applier.RollOutRolledBack,
		},
		"the previous version fails as often": {
			previous: map[string]answerCounts{"": {70, 30}}, target: map[string]answerCounts{"": {14, 6}},
			elapsed: 5 * timer.Second,
		},
		"some long prompts are slow by chance": {
			previous: map[string]answerCounts{"": {250, 23}, "r": {181, 12}},
			target:   map[string]answerCounts{"": {30, 5}, "r": {7, 4}}, elapsed: 12 * timer.Second,
		},
		"a third of the answers on one route are bad": {
			previous: map[string]answerCounts{"": {500, 23}, "r": {181, 12}},
			target:   map[string]answerCounts{"": {90, 12}, "r": {18, 10}},
			elapsed:  12 * timer.Second, want: applier.RollOutRolledBack,
		},
		"the target version becomes bad late": {
			previous: map[string]answerCounts{"": {500, 20}}, target: map[string]answerCounts{"": {70, 20}},
			elapsed: 12 * timer.Second, want: applier.RollOutRolledBack,
		},
		"servers of the target version crashed more often by chance": {
			previous: map[string]answerCounts{"": {1312, 182}}, target: map[string]answerCounts{"": {114, 38}},
			elapsed: 12 * timer.Second,
		},
		"the previous version has answered only one request on a route": {
			previous: map[string]answerCounts{"": {500, 20}, "r": {1, 0}},
			target:   map[string]answerCounts{"": {50, 4}, "r": {2, 4}}, elapsed: 8 * timer.Second,
		},
		"requests still run on the previous version": {
			previous: map[string]answerCounts{"": {100, 0}}, target: map[string]answerCounts{"": {50, 0}}, runningOnPrevious: 3,
			elapsed: 16 * timer.Second,
		},
		"no request runs on the previous version": {
			previous: map[string]answerCounts{"": {100, 0}}, target: map[string]answerCounts{"": {50, 0}},
			elapsed: 16 * timer.Second, want: applier.RollOutCompleted,
		},
		"the limit is near": {
			previous: map[string]answerCounts{"": {100, 0}}, target: map[string]answerCounts{"": {50, 0}}, runningOnPrevious: 3,
			elapsed: span - timer.Second, want: applier.RollOutCompleted,
		},
		"a bad version is not completed at its limit": {
			previous: map[string]answerCounts{"": {100, 20}}, target: map[string]answerCounts{"": {14, 32}}, elapsed: span,
			want: applier.RollOutRolledBack,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, reason := decideRollOut(rollOutOutcomes{previous: tt.previous, target: tt.target,
				runningOnPrevious: tt.runningOnPrevious}, tt.elapsed, span)
			if got != tt.want {
				t.Fatalf("got %q (%s), want %q", got, reason, tt.want)
			}
		})
	}
}

// Servers of both versions crash while the share of requests on the target version grows. Most answers of the target
// version, but few of the previous one's, come from the time of the crashes. This must not cause a rollback.
func TestFailuresOfBothVersionsDoNotRollBack(t *testing.T) {
	const span = 24 * timer.Second
	seconds := []struct {
		previous, target answerCounts
	}{
		{answerCounts{100, 5}, answerCounts{6, 0}}, {answerCounts{100, 5}, answerCounts{6, 1}},
		{answerCounts{100, 5}, answerCounts{6, 0}}, {answerCounts{100, 5}, answerCounts{6, 0}},
		{answerCounts{100, 5}, answerCounts{6, 1}}, {answerCounts{100, 5}, answerCounts{6, 0}},
		{answerCounts{100, 5}, answerCounts{6, 0}}, {answerCounts{100, 5}, answerCounts{6, 0}},
		{answerCounts{100, 5}, answerCounts{6, 0}}, {answerCounts{100, 5}, answerCounts{6, 0}},
		{answerCounts{100, 5}, answerCounts{6, 0}}, {answerCounts{100, 5}, answerCounts{6, 0}},
		{answerCounts{33, 27}, answerCounts{12, 10}}, {answerCounts{33, 27}, answerCounts{12, 10}},
		{answerCounts{33, 27}, answerCounts{12, 10}}, {answerCounts{33, 27}, answerCounts{12, 10}},
		{answerCounts{33, 27}, answerCounts{12, 10}},
	}
	all := rollOutOutcomes{previous: map[string]answerCounts{}, target: map[string]answerCounts{}}
	for n, second := range seconds {
		previousSum, targetSum := all.previous[allRoutes], all.target[allRoutes]
		all.previous[allRoutes] = answerCounts{previousSum.good + second.previous.good, previousSum.bad + second.previous.bad}
		all.target[allRoutes] = answerCounts{targetSum.good + second.target.good, targetSum.bad + second.target.bad}
		if state, reason := decideRollOut(all, timer.Millis(n+1)*timer.Second, span); state != "" {
			t.Fatalf("after %d s: state %q (%s), want none", n+1, state, reason)
		}
	}
}
