package steward

import (
	"math"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
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
	// comparisonInterval is the time over which the answers of both versions are compared with each other: when servers
	// crash, both versions fail at the same time.
	comparisonInterval = timer.Second
	// minRateAnswers is the number of answers that a rate is estimated from: a rate of one in ten is then known to a
	// twentieth.
	minRateAnswers = 40.0
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

// since returns the answers after an earlier sum. A sum shrinks when an entry instance is no longer counted; there are
// no answers between the two then.
func (c answerCounts) since(earlier answerCounts) answerCounts {
	return answerCounts{good: max(0, c.good-earlier.good), bad: max(0, c.bad-earlier.bad)}
}

// withPaces adds the counts of one entry instance by the pace of the answers; slow ones count as bad.
func (c answerCounts) withPaces(o messenger.Outcomes) answerCounts {
	return answerCounts{good: c.good + o.OnPace, bad: c.bad + o.OffPace}
}

// rollOutJudge compares the target version of one roll-out with the previous version: by answers that fail, and by answers
// that are slow.
type rollOutJudge struct {
	failures, pace versionComparison
}

// versionComparison compares two versions route by route with Wald's sequential probability ratio test, interval by
// interval.
type versionComparison struct {
	routes map[string]*routeComparison
}

// routeComparison is the comparison of both versions on one route.
type routeComparison struct {
	// endedIntervals is the logarithm of the likelihood ratio over all ended intervals.
	endedIntervals float64
	// startedAt is when the current interval began, since the start of the roll-out; previous and target are the sums at
	// that time.
	startedAt        timer.Millis
	previous, target answerCounts
	// recentGood and recentBad count the previous version's answers of the ended intervals; each interval halves the counts
	// before it. They stand in for its answers in the current interval, where it has few of them.
	recentGood, recentBad float64
}

func newRollOutJudge() *rollOutJudge {
	return &rollOutJudge{failures: versionComparison{map[string]*routeComparison{}}, pace: versionComparison{map[string]*routeComparison{}}}
}

// isWorse reports whether the target version is clearly worse on a route than the previous one; it gets the sums of all
// answers since the start of the roll-out.
func (j versionComparison) isWorse(route string, target, previous answerCounts, elapsed timer.Millis) bool {
	r := j.routes[route]
	if r == nil {
		r = &routeComparison{}
		j.routes[route] = r
	}
	answers := target.since(r.target)
	ratio := r.endedIntervals + answers.logLikelihoodRatio(r.expectedRate(previous))
	// Without a lower bound, a version that turns bad late would be protected by all its good answers before.
	ratio = max(ratio, math.Log(falseRollBackChance))
	if elapsed-r.startedAt >= comparisonInterval {
		r.endInterval(target, previous, ratio, elapsed)
	}
	return target.bad >= minBadAnswers && ratio > -math.Log(falseRollBackChance)
}

// expectedRate returns the rate of bad answers that a version as good as the previous one has in the current interval.
// Where the previous version has few answers in it, its earlier ones stand in, the recent ones first.
func (r *routeComparison) expectedRate(previous answerCounts) float64 {
	now := previous.since(r.previous)
	sample := rateSample{bad: float64(now.bad), total: float64(now.total())}
	sample = sample.withStandIn(rateSample{bad: r.recentBad, total: r.recentGood + r.recentBad}, minRateAnswers)
	sample = sample.withStandIn(rateSample{bad: float64(r.previous.bad), total: float64(r.previous.total())}, minRateAnswers/2)
	// One more good and one more bad answer are assumed (Laplace smoothing).
	return max(minBadRate, (sample.bad+1)/(sample.total+2))
}

// rateSample is a number of answers, which may be a fraction, with the bad ones among them.
type rateSample struct {
	bad, total float64
}

// withStandIn returns the sample with answers of another one added until it has want answers.
func (s rateSample) withStandIn(other rateSample, want float64) rateSample {
	missing := min(other.total, want-s.total)
	if missing <= 0 {
		return s
	}
	return rateSample{bad: s.bad + missing*other.bad/other.total, total: s.total + missing}
}

// endInterval begins the next interval.
func (r *routeComparison) endInterval(target, previous answerCounts, ratio float64, elapsed timer.Millis) {
	now := previous.since(r.previous)
	r.recentGood = r.recentGood/2 + float64(now.good)
	r.recentBad = r.recentBad/2 + float64(now.bad)
	r.endedIntervals, r.startedAt, r.previous, r.target = ratio, elapsed, previous, target
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the answers: those of a bad version against those
// of a version with the expected rate of bad answers.
func (c answerCounts) logLikelihoodRatio(expectedIfGood float64) float64 {
	expectedIfBad := min(maxBadRate, expectedIfGood+badRateMargin)
	return float64(c.bad)*math.Log(expectedIfBad/expectedIfGood) -
		float64(c.good)*math.Log((1-expectedIfGood)/(1-expectedIfBad))
}
