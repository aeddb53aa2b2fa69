package steward

import (
	"context"
	"fmt"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// completionPercent is the share of a roll-out's time limit, in percent, after which it completes as soon as no
	// request runs on the previous version.
	completionPercent = 78
	// completionReserve is the time before its limit at which a roll-out completes in any case.
	completionReserve = 1500 * timer.Millisecond
)

// rollOutOutcomes sums the outcomes that all entry instances reported for a roll-out.
type rollOutOutcomes struct {
	// previous and target count the answers of the previous and the target version by route, and under allRoutes.
	previous, target map[string]answerCounts
	// previousPace and targetPace do the same by the pace of the answers.
	previousPace, targetPace map[string]answerCounts
	// paceByServer counts the answers of the target version by pace and server.
	paceByServer messenger.PaceByServer
	// runningOnPrevious is the number of requests in flight on the previous version.
	runningOnPrevious int
}

// allRoutes is the key of the sum over all routes.
const allRoutes = ""

// rollOutOutcomes sums the reported outcomes of one roll-out.
func (s *Steward) rollOutOutcomes(r applier.RollOut) rollOutOutcomes {
	sums := rollOutOutcomes{previous: map[string]answerCounts{}, target: map[string]answerCounts{},
		previousPace: map[string]answerCounts{}, targetPace: map[string]answerCounts{}, paceByServer: messenger.PaceByServer{}}
	for _, list := range s.outcomes {
		for _, o := range list {
			if o.Service != r.Service || o.Target != r.TargetVersion {
				continue
			}
			counts, paces := sums.previous, sums.previousPace
			if o.Version == r.TargetVersion {
				counts, paces = sums.target, sums.targetPace
				sums.paceByServer.Merge(o.PaceByServer)
			} else {
				sums.runningOnPrevious += o.InFlight
			}
			counts[allRoutes] = counts[allRoutes].withOutcomes(o)
			paces[allRoutes] = paces[allRoutes].withPaces(o)
			if o.Route != allRoutes {
				counts[o.Route] = counts[o.Route].withOutcomes(o)
				paces[o.Route] = paces[o.Route].withPaces(o)
			}
		}
	}
	return sums
}

// incarnationKey identifies one process run of an instance.
func incarnationKey(g messenger.Greeting) string {
	return fmt.Sprintf("%s#%d", g.Instance, g.Incarnation)
}

// clearRunning sets the running requests of a disconnected entry instance to 0, since it may never reconnect; its
// counted answers stay.
func (s *Steward) clearRunning(g messenger.Greeting) {
	rows := slices.Clone(s.outcomes[incarnationKey(g)])
	for i := range rows {
		rows[i].InFlight = 0
	}
	s.outcomes[incarnationKey(g)] = rows
}

// decide returns the state in which a roll-out ends now and the reason; an empty state means that it continues.
func (j *rollOutJudge) decide(sums rollOutOutcomes, elapsed, span timer.Millis) (applier.RollOutState, string) {
	for route, c := range sums.target {
		if previous := sums.previous[route]; j.failures.isWorse(route, c, previous, elapsed) {
			return applier.RollOutRolledBack, fmt.Sprintf("route %q: %d of %d answers were bad, %d of %d on the version before",
				route, c.bad, c.total(), previous.bad, previous.total())
		}
	}
	for route, c := range sums.targetPace {
		previous := sums.previousPace[route]
		if j.pace.isWorse(route, c, previous, elapsed) && sums.paceByServer.IsSpread() {
			return applier.RollOutRolledBack, fmt.Sprintf("route %q: %d of %d answers were slow, %d of %d on the version before",
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

// rollOutKey identifies a roll-out; a version may be rolled out again after it was rolled back.
func rollOutKey(r applier.RollOut) string {
	return fmt.Sprint(r.Service, " ", r.TargetVersion, " ", int64(r.StartedAt))
}

// settleRollOuts ends the roll-outs that their judges have decided, if this instance leads.
func (s *Steward) settleRollOuts() {
	if s.deps.Record.Status().Role != replicator.RoleLeader {
		return
	}
	now := s.deps.Telemetry.Clock.Now()
	for _, r := range s.rollOuts {
		key := rollOutKey(r)
		if r.State != applier.RollOutRunning {
			delete(s.rollOutJudges, key)
			continue
		}
		if s.rollOutJudges[key] == nil {
			s.rollOutJudges[key] = newRollOutJudge()
		}
		state, reason := s.rollOutJudges[key].decide(s.rollOutOutcomes(r), now-s.rollOutStartedAt[key], r.MaxDuration)
		if state == "" {
			continue
		}
		s.tomb.Go(func() error {
			return s.runSettle(applier.RollOutEnd{Service: r.Service, TargetVersion: r.TargetVersion, StartedAt: r.StartedAt,
				State: state, Reason: reason})
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
