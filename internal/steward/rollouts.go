package steward

import (
	"context"
	"fmt"
	"math"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minBadAnswers is the number of bad answers below which a version is not rolled back.
	minBadAnswers = 4
	// badRateMargin is how much the rate of bad answers of a bad version exceeds that of the previous one. Bad versions in
	// the users' recorded days fail a third of their answers.
	badRateMargin = 0.3
	// minBadRate is the lower bound of the rate of bad answers that is expected of a good version.
	minBadRate = 0.03
	// maxBadRate keeps the rate of bad answers that is expected of a bad version below 1, where the likelihood ratio is
	// undefined.
	maxBadRate = 0.95
	// falseRollBackChance is the accepted probability of rolling a good version back because of one route.
	falseRollBackChance = 0.001
	// completionPercent is the share of a roll-out's time limit, in percent, after which it completes as soon as no
	// request runs on the previous version.
	completionPercent = 78
	// completionReserve is the time before its limit at which a roll-out completes in any case.
	completionReserve = 1500 * timer.Millisecond
)

// answerCounts counts the good and the bad answers of a version.
type answerCounts struct {
	good, bad int
}

// withOutcomes adds the counts of one entry instance; slow answers count as bad.
func (c answerCounts) withOutcomes(o messenger.Outcomes) answerCounts {
	return answerCounts{good: c.good + o.Good, bad: c.bad + o.Bad + o.Slow}
}

func (c answerCounts) total() int {
	return c.good + c.bad
}

// isWorseThan reports whether a version is clearly worse than the previous one, by Wald's sequential probability ratio
// test.
func (c answerCounts) isWorseThan(previous answerCounts) bool {
	return c.bad >= minBadAnswers && c.logLikelihoodRatio(previous) > -math.Log(falseRollBackChance)
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the answers: those of a bad version against those
// of a version that is as good as the previous one.
func (c answerCounts) logLikelihoodRatio(previous answerCounts) float64 {
	// The rate of the previous version is estimated with one more good and one more bad answer (Laplace smoothing).
	expectedIfGood := max(minBadRate, float64(previous.bad+1)/float64(previous.total()+2))
	expectedIfBad := min(maxBadRate, expectedIfGood+badRateMargin)
	return float64(c.bad)*math.Log(expectedIfBad/expectedIfGood) -
		float64(c.good)*math.Log((1-expectedIfGood)/(1-expectedIfBad))
}

// rollOutOutcomes sums the outcomes that all entry instances reported for a roll-out.
type rollOutOutcomes struct {
	// previous and target count the answers of the previous and the target version by route, and under allRoutes.
	previous, target map[string]answerCounts
	// runningOnPrevious is the number of requests in flight on the previous version.
	runningOnPrevious int
}

// allRoutes is the key of the sum over all routes.
const allRoutes = ""

// rollOutOutcomes sums the reported outcomes of one roll-out.
func (s *Steward) rollOutOutcomes(r applier.RollOut) rollOutOutcomes {
	sums := rollOutOutcomes{previous: map[string]answerCounts{}, target: map[string]answerCounts{}}
	for _, list := range s.outcomes {
		for _, o := range list {
			if o.Service != r.Service || o.Target != r.TargetVersion {
				continue
			}
			counts := sums.previous
			if o.Version == r.TargetVersion {
				counts = sums.target
			} else {
				sums.runningOnPrevious += o.InFlight
			}
			counts[allRoutes] = counts[allRoutes].withOutcomes(o)
			if o.Route != allRoutes {
				counts[o.Route] = counts[o.Route].withOutcomes(o)
			}
		}
	}
	return sums
}

// decideRollOut returns the state in which a roll-out ends now and the reason; an empty state means that it continues.
func decideRollOut(sums rollOutOutcomes, elapsed, span timer.Millis) (applier.RollOutState, string) {
	for route, c := range sums.target {
		if previous := sums.previous[route]; c.isWorseThan(previous) {
			return applier.RollOutRolledBack, fmt.Sprintf("route %q: %d of %d answers were bad, %d of %d on the version before",
				route, c.bad, c.total(), previous.bad, previous.total())
		}
	}
	overall := sums.target[allRoutes]
	canComplete := elapsed*100 >= span*completionPercent && sums.runningOnPrevious == 0 && overall.total() > 0
	if canComplete || elapsed >= span-completionReserve {
		return applier.RollOutCompleted, fmt.Sprintf("%d of %d answers were good", overall.good, overall.total())
	}
	return "", ""
}

// settleRollOuts ends the roll-outs that decideRollOut has decided, if this instance leads.
func (s *Steward) settleRollOuts() {
	if s.deps.Record.Status().Role != replicator.RoleLeader {
		return
	}
	now := s.deps.Telemetry.Clock.Now()
	for _, r := range s.rollOuts {
		if r.State != applier.RollOutRunning {
			continue
		}
		state, reason := decideRollOut(s.rollOutOutcomes(r), now-s.rollOutStartedAt[r.Service+" "+r.TargetVersion], r.MaxDuration)
		if state == "" {
			continue
		}
		s.tomb.Go(func() error {
			return s.runSettle(applier.RollOutEnd{Service: r.Service, TargetVersion: r.TargetVersion, State: state, Reason: reason})
		})
	}
}

// runSettle commits the end of a roll-out; after a failure the next tick retries.
func (s *Steward) runSettle(end applier.RollOutEnd) error {
	if _, err := s.callLeader(s.tomb.Context(context.Background()),
		messenger.Call{Command: &applier.Command{EndRollOut: &end, At: s.deps.Telemetry.Clock.Now()}}); err != nil {
		s.deps.Telemetry.Log.Warn("roll-out not settled yet", "service", end.Service, "target", end.TargetVersion,
			"state", end.State, "error", err)
		return nil
	}
	s.deps.Telemetry.Log.Info("roll-out settled", "service", end.Service, "target", end.TargetVersion,
		"state", end.State, "reason", end.Reason)
	return nil
}
