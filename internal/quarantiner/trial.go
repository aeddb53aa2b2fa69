package quarantiner

import (
	"cmp"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// trialSlot is how long one instance alone may start a trial; most answers begin, and most servers go down, within it.
	trialSlot = timer.Second
	// trialPatience is how long an instance waits for the outcome of its trial before it starts another one.
	trialPatience = 5 * timer.Second
	// anyoneCycles is the number of rounds without a trial by the reporting instances after which the others join in, and
	// anyoneOdds their odds against starting one in a slot.
	anyoneCycles = 2
	anyoneOdds   = 64
)

// trialPauses are the times from the last crash to the next trial, after no, one and two failed trials. Further ones would cost
// a server each and show nothing new.
var trialPauses = []timer.Millis{3 * timer.Second, 12 * timer.Second, 48 * timer.Second}

// trials is what this instance knows of its trials of a verdict.
type trials struct {
	startedAt timer.Millis
	// drawnSlot is the last slot for which it was drawn whether this instance joins in.
	drawnSlot int
	isDrawn   bool
}

// Check is the answer to whether a request may be sent.
type Check int

// The answers of Evidence.Check.
const (
	// Allowed is the answer for a request that is not blocked.
	Allowed Check = iota
	// Blocked is the answer for a request that crashes backend servers.
	Blocked
	// Trial is the answer for a blocked request that is to be sent once, to find out whether it still crashes servers.
	Trial
)

// Check reports whether the request, or parts of its prompt, crash backend servers. Once in a while it lets a blocked request
// through as a trial: verdicts rest on coincidence in part, and if nothing is sent, nothing can show that one is wrong.
func (e *Evidence) Check(request uint64, parts []uint64, now timer.Millis) Check {
	if !e.HasReports() {
		return Allowed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var matching []*verdict
	for _, v := range e.verdicts {
		if v.applies(request, parts) {
			matching = append(matching, v)
		}
	}
	if len(matching) == 0 {
		return Allowed
	}
	for _, v := range matching {
		if !e.isTrialDue(v, now) {
			return Blocked
		}
	}
	for _, v := range matching {
		v.trials.startedAt = now
	}
	return Trial
}

// isTrialDue reports whether this instance may start a trial of the verdict now. The instances that reported the crashes take
// turns, in an order that follows from the reports, so that only one of the fleet tries at a time.
func (e *Evidence) isTrialDue(v *verdict, now timer.Millis) bool {
	if v.failedTrials >= len(trialPauses) {
		return false
	}
	waited := now - v.lastCrashAt() - trialPauses[v.failedTrials]
	if waited < 0 || v.trials.startedAt > 0 && now-v.trials.startedAt < trialPatience {
		return false
	}
	turns := e.turns(v)
	slot := int(waited / trialSlot)
	if slot >= anyoneCycles*len(turns) && slot != v.trials.drawnSlot {
		v.trials.drawnSlot, v.trials.isDrawn = slot, e.draw(anyoneOdds) == 0
	}
	return turns[slot%len(turns)] || slot == v.trials.drawnSlot && v.trials.isDrawn
}

// turns returns for each report on the crashes of the verdict, in a fixed order, whether this instance made it.
func (e *Evidence) turns(v *verdict) []bool {
	var ids []reportID
	for id := range e.reports {
		if _, ok := v.crashes[id.crash]; ok {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b reportID) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.crash.server, b.crash.server),
			cmp.Compare(a.crash.incarnation, b.crash.incarnation))
	})
	var turns []bool
	for _, id := range ids {
		turns = append(turns, e.reports[id].isOwn)
	}
	return turns
}
