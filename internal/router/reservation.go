package router

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// reserve takes a place for the next attempt at one of the servers that has room, and a retry of the budget; it reports whether
// both were to be had. A stalled answer may be left only then: a server that is slow would have completed it.
func (t *task) reserve(view *indexer.View, servers []registrar.BackendServer, affinity string) bool {
	if t.reserved != nil || t.attempts-t.notRun >= t.deps.Limits.MaxAttempts {
		return t.reserved != nil
	}
	now := t.deps.Telemetry.Clock.Now()
	withRoom := slices.DeleteFunc(slices.Clone(servers), func(s registrar.BackendServer) bool {
		free, _ := placer.FreeSlots([]registrar.BackendServer{s}, now)
		return free == 0 || s.Slow || s.Traffic.IsSuspect(now)
	})
	p, ok := t.deps.Placer.Place(view, placer.Query{Servers: withRoom, Affinity: affinity, Tried: t.triedServers, Isolated: t.suspect})
	if !ok {
		return false
	}
	if !t.deps.RetryBudget.TryRetry() {
		p.Release()
		return false
	}
	t.reserved = &p
	return true
}

// takeReserved returns the reserved place, if there is one, and counts the attempt.
func (t *task) takeReserved() (placer.Placement, bool) {
	if t.reserved == nil {
		return placer.Placement{}, false
	}
	p := *t.reserved
	t.reserved = nil
	t.recordAttempt(p)
	return p, true
}

// releaseReserved gives back a place that no attempt has used.
func (t *task) releaseReserved() {
	if t.reserved != nil {
		t.reserved.Release()
		t.reserved = nil
	}
}
