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
	// minBad is the least bad answers that a version is judged by.
	minBad = 4
	// badMargin is how much more often than the version before a bad one fails: those of the users' days fail a third.
	badMargin = 0.3
	// leastBad is the least share of bad answers that is expected of a good version.
	leastBad = 0.03
	// mostBad keeps the share that is expected of a bad version below one.
	mostBad = 0.95
	// falseHalts is the chance with which a good version may be taken for a bad one on a route.
	falseHalts = 0.001
	// settleShare is the part of a roll-out's time after which it ends once nothing runs on the old version, in percent.
	settleShare = 78
	// settleReserve is the time before its limit at which a roll-out ends in any case.
	settleReserve = 1500 * timer.Millisecond
)

// count is what was seen of a version.
type count struct {
	good, bad int
}

func (c count) with(o messenger.Outcomes) count {
	return count{good: c.good + o.Good, bad: c.bad + o.Bad + o.Slow}
}

func (c count) seen() int {
	return c.good + c.bad
}

// worse reports whether a version is clearly worse than the one before, by a sequential likelihood-ratio test (Wald).
func (c count) worse(before count) bool {
	return c.bad >= minBad && c.evidence(before) > -math.Log(falseHalts)
}

// evidence is the logarithm of how much likelier the answers are from a bad version than from one as good as that before.
func (c count) evidence(before count) float64 {
	// One good and one bad answer more stand for what is not known of the version before.
	good := max(leastBad, float64(before.bad+1)/float64(before.seen()+2))
	bad := min(mostBad, good+badMargin)
	return float64(c.bad)*math.Log(bad/good) - float64(c.good)*math.Log((1-good)/(1-bad))
}

// tally sums what all entry instances saw of the old and the new version, on each route and on all together.
type tally struct {
	before, target map[string]count
	// running is how many requests run on the old version.
	running int
}

// allRoutes is the key of the sum over all routes.
const allRoutes = ""

func (s *Steward) tally(r applier.RollOut) tally {
	t := tally{before: map[string]count{}, target: map[string]count{}}
	for _, list := range s.outcomes {
		for _, o := range list {
			if o.Service != r.Service || o.Target != r.Target {
				continue
			}
			side := t.before
			if o.Version == r.Target {
				side = t.target
			} else {
				t.running += o.Running
			}
			side[allRoutes] = side[allRoutes].with(o)
			if o.Route != allRoutes {
				side[o.Route] = side[o.Route].with(o)
			}
		}
	}
	return t
}

// verdict returns how a roll-out of the given age ends now, and why; an empty state lets it go on.
func verdict(t tally, elapsed, span timer.Millis) (applier.RollOutState, string) {
	for route, c := range t.target {
		if before := t.before[route]; c.worse(before) {
			return applier.RollOutRolledBack, fmt.Sprintf("route %q: %d of %d answers were bad, %d of %d on the version before",
				route, c.bad, c.seen(), before.bad, before.seen())
		}
	}
	all := t.target[allRoutes]
	done := elapsed*100 >= span*settleShare && t.running == 0 && all.seen() > 0
	if done || elapsed >= span-settleReserve {
		return applier.RollOutCompleted, fmt.Sprintf("%d of %d answers were good", all.good, all.seen())
	}
	return "", ""
}

// judgeRollOuts lets the leader end the roll-outs whose outcome is clear.
func (s *Steward) judgeRollOuts() {
	if s.deps.Record.Status().Role != replicator.RoleLeader {
		return
	}
	now := s.deps.Common.Clock.Now()
	for _, r := range s.rollOuts {
		if r.State != applier.RollOutRunning {
			continue
		}
		state, reason := verdict(s.tally(r), now-s.begun[r.Service+" "+r.Target], r.Span)
		if state == "" {
			continue
		}
		s.tomb.Go(func() error {
			return s.runSettle(applier.Settle{Service: r.Service, Target: r.Target, State: state, Reason: reason})
		})
	}
}

// runSettle commits the end of a roll-out; the next look tries again where it fails.
func (s *Steward) runSettle(end applier.Settle) error {
	if _, err := s.ask(s.tomb.Context(context.Background()), messenger.Call{Command: &applier.Command{Settle: &end, At: s.deps.Common.Clock.Now()}}); err != nil {
		s.deps.Common.Log.Warn("roll-out not settled yet", "service", end.Service, "target", end.Target, "state", end.State, "error", err)
		return nil
	}
	s.deps.Common.Log.Info("roll-out settled", "service", end.Service, "target", end.Target, "state", end.State, "reason", end.Reason)
	return nil
}
