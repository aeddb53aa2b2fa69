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
	minSeen = 8
	// badFactor and badMargin say how much worse than the version before a new one may be.
	badFactor = 3.0
	badMargin = 0.1
	// settleShare is the part of a roll-out's time after which it ends once nothing runs on the old version, in percent.
	settleShare = 75
	// settleReserve is the time before its limit at which a roll-out ends in any case.
	settleReserve = 1500 * timer.Millisecond
)

// tally sums what all entry instances saw of the old and the new version.
type tally struct {
	oldGood, oldBad, newGood, newBad, oldRunning int
}

func (s *Steward) tally(r applier.RollOut) tally {
	var t tally
	for _, list := range s.outcomes {
		for _, o := range list {
			if o.Service != r.Service || o.Target != r.Target {
				continue
			}
			t = t.with(o, r.Target)
		}
	}
	return t
}

func (t tally) with(o messenger.Outcomes, target string) tally {
	if o.Version == target {
		t.newGood += o.Good
		t.newBad += o.Bad + o.Slow
		return t
	}
	t.oldGood += o.Good
	t.oldBad += o.Bad + o.Slow
	t.oldRunning += o.Running
	return t
}

// verdict returns how a roll-out of the given age ends now, and why; an empty state lets it go on.
func verdict(t tally, elapsed, span timer.Millis) (applier.RollOutState, string) {
	seen := t.newGood + t.newBad
	base := float64(t.oldBad) / float64(max(1, t.oldGood+t.oldBad))
	rate := float64(t.newBad) / float64(max(1, seen))
	if t.newBad >= minBad && seen >= minSeen && rate > badFactor*base+badMargin {
		return applier.RollOutRolledBack, fmt.Sprintf("%d of %d answers were bad, %d of %d on the version before", t.newBad, seen, t.oldBad, t.oldGood+t.oldBad)
	}
	done := elapsed*100 >= span*settleShare && t.oldRunning == 0 && seen > 0
	if done || elapsed >= span-settleReserve {
		return applier.RollOutCompleted, fmt.Sprintf("%d of %d answers were good", t.newGood, seen)
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
	if _, err := s.propose(s.tomb.Context(context.Background()), applier.Command{Settle: &end}); err != nil {
		s.deps.Common.Log.Warn("roll-out not settled yet", "service", end.Service, "target", end.Target, "state", end.State, "error", err)
		return nil
	}
	s.deps.Common.Log.Info("roll-out settled", "service", end.Service, "target", end.Target, "state", end.State, "reason", end.Reason)
	return nil
}
