package steward

import (
	"context"
	"fmt"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minBad and minSeen are the least bad answers and answers that a version is judged by: fewer may be chance.
	minBad  = 4
	minSeen = 6
	// badFactor and badMargin say how much worse than the version before a new one may be.
	badFactor = 2.0
	badMargin = 0.12
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

func (c count) rate() float64 {
	return float64(c.bad) / float64(max(1, c.seen()))
}

// worse reports whether a version is clearly worse than the one before.
func (c count) worse(before count) bool {
	return c.bad >= minBad && c.seen() >= minSeen && c.rate() > badFactor*before.rate()+badMargin
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
