package forwarder

import (
	"context"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const streamKind = matcher.KindStreaming

const (
	// fullLoadCost is the cost of a full server compared with an empty one, in milliseconds: more requests make each
	// token slower.
	fullLoadCost = 250.0
	// otherRegionCost and otherDataCentreCost are the costs of a server in another region, and in another data centre of
	// the same region, in milliseconds: traffic between them is paid for, and the way to other regions is long.
	otherRegionCost     = 400.0
	otherDataCentreCost = 120.0
	// slowServerCost is the additional cost of a server that responds far later than usual, in milliseconds.
	slowServerCost = 200.0
	// coldCacheCost is the cost of each cache rank below the first, in milliseconds per shared token: the shared parts
	// of the prompt are probably not in that server's cache.
	coldCacheCost = 0.02
	// engineQueueShare and plainQueueShare bound the requests that queue at a server, as a share of its slots.
	engineQueueShare = 0.5
	plainQueueShare  = 2.0
	// slotPollInterval is the time between checks for a free slot while a request waits.
	slotPollInterval = 25 * timer.Millisecond
	// slotWaitPercent is the part of the time target that a request waits for a free slot, in percent.
	slotWaitPercent = 60
)

// acquireServer waits for a server with a free slot.
func (t *task) acquireServer(ctx context.Context) (*server, *Refusal) {
	defer t.stopWaiting()
	if t.isBlocked() {
		return nil, t.crashRefusal()
	}
	// The servers may have changed since the last attempt; the route stays as matched on arrival.
	t.view = t.f.fleetView.Load()
	if t.isKeyRevoked() {
		return nil, &Refusal{Status: http.StatusUnauthorized, Reason: "the key was revoked"}
	}
	waitUntil := t.ArrivedAt + max(t.route.TargetLatency*slotWaitPercent/100, slotPollInterval)
	for {
		now := t.f.deps.Telemetry.Clock.Now()
		if t.writer.status == 0 && t.allowed().excluded {
			return nil, t.excludedRefusal()
		}
		s, reason := t.pickServer(now)
		if s != nil {
			t.tried[s.Name] = true
			t.recordPlaced(s, now)
			return s, nil
		}
		if t.f.isAboutToStop(now) {
			return nil, t.noServerRefusal(stoppingReason)
		}
		opensAt := t.restsUntil(now)
		isTooLate := now > max(waitUntil, opensAt, t.awaitsRestUntil+rationer.ReturnSpan)
		// A stream that has begun waits as long as it can: its caller has a part of the answer.
		if now >= t.deadline || t.writer.status == 0 && (isTooLate || !t.canAwait(opensAt)) {
			return nil, t.noServerRefusal(reason).withRetryAfter(opensAt - now)
		}
		t.claimPlace(now)
		if !t.f.awaitPlace(ctx) {
			return nil, t.timeoutRefusal()
		}
		t.view = t.f.fleetView.Load()
		t.forgetDeclined(t.f.deps.Telemetry.Clock.Now())
		if len(t.tried) > 0 {
			// Servers that were full earlier may have a free slot now.
			clear(t.tried)
			t.tried[t.lastServer.Name] = true
		}
	}
}

// recordPlaced records the server that has the request now.
func (t *task) recordPlaced(s *server, now timer.Millis) {
	t.lastServer = s
	clear(t.declined)
	t.f.sessions.set(t.Session, pin{service: s.Service, version: s.Version, server: s.Name, lastUsedAt: now})
}

// isKeyRevoked reports whether a request that no server has got came with a key that is no longer valid.
func (t *task) isKeyRevoked() bool {
	return t.workspace != nil && t.attempts == 0 && t.view.Policy.WorkspaceByKey(t.APIKey) == nil
}

func (t *task) noServerRefusal(reason string) *Refusal {
	if t.mayHaveRun {
		return &Refusal{Status: http.StatusBadGateway, Reason: reason}
	}
	return t.unavailableRefusal(reason)
}

// pickServer returns the cheapest server with a free slot, or the reason why there is none.
func (t *task) pickServer(now timer.Millis) (*server, string) {
	list := t.candidates(now)
	if len(list) == 0 {
		return nil, "no backend server of the service is known"
	}
	best := t.admittedServer(list, now, false)
	if best == nil {
		// If all others are suspended or full, a suspended server is better than none.
		best = t.admittedServer(list, now, true)
	}
	if best == nil {
		return nil, "no backend server has room"
	}
	return best, ""
}

// cheapestServer returns the server with the lowest cost among those with a free slot, nil if there is none. It
// considers either the suspended servers or the others. The cold server is one that would be cheaper if it took the request, nil
// if there is none.
func (t *task) cheapestServer(list []*server, now timer.Millis, suspendedOnly bool) (best, cold *server) {
	lowest, lowestCold := 0.0, 0.0
	ranks := t.cacheRanks(list)
	for i, s := range list {
		suspended, slowness := s.availability(now)
		if suspended != suspendedOnly || t.hasAsked(s) {
			continue
		}
		slots, load := max(1, s.Slots), s.load(now)
		if load >= t.maxLoad(slots) {
			continue
		}
		mayGet := s.mayGet(now, load)
		if !mayGet && !s.starts.IsCold(now) {
			continue
		}
		cost := t.cost(s, load, slots, slowness, rankAt(ranks, i), now)
		switch {
		case mayGet && (best == nil || cost < lowest):
			best, lowest = s, cost
		case !mayGet && (cold == nil || cost < lowestCold):
			cold, lowestCold = s, cost
		}
	}
	if best != nil && lowest <= lowestCold {
		cold = nil
	}
	return best, cold
}

// hasAsked reports whether the request was sent to a server already, or declined there.
func (t *task) hasAsked(s *server) bool {
	return t.tried[s.Name] || t.declined[s.Name]
}

// rankAt returns the cache rank of a server in a list, -1 if the request has no shared parts.
func rankAt(ranks []int, i int) int {
	if ranks == nil {
		return -1
	}
	return ranks[i]
}

// cost estimates the time to the server's response, in milliseconds, and adds the penalties for traffic between data
// centres and for a cold cache.
func (t *task) cost(s *server, load, slots int, slowness float64, cacheRank int, now timer.Millis) float64 {
	prefill := t.prefillTime(s)
	prefillMs := s.prefillQueue.waitFor(t.urgency(s), now) + prefill
	cost := prefillMs + float64(load)/float64(slots)*fullLoadCost*s.meter.Factor()
	if prefill > shortPrefill && s.meter.IsKnown() {
		cost += strainOf(prefillMs, t.view.gapTargets[t.service], load)
	}
	if slowness > slowServerFactor {
		cost = cost*slowness + slowServerCost
	}
	cost += t.f.deps.Paths.Distance(s.endpoint())
	if cacheRank > 0 {
		cost += float64(cacheRank) * coldCacheCost * float64(t.sharedTokens())
	}
	return cost
}

// DistanceCost returns the cost of the way between two data centres, in milliseconds; a data centre without a region in
// regions is a region of its own.
func DistanceCost(regions map[string]string, from, to string) float64 {
	switch {
	case from == to:
		return 0
	case regionOf(regions, from) == regionOf(regions, to):
		return otherDataCentreCost
	}
	return otherRegionCost
}

func regionOf(regions map[string]string, dataCentre string) string {
	if region, ok := regions[dataCentre]; ok {
		return region
	}
	return dataCentre
}

// slowServerFactor is the multiple of the usual time to the first byte above which a server is slow.
const slowServerFactor = 2.5

// maxLoad returns the maximum number of requests in flight and queued at a server.
func (t *task) maxLoad(slots int) int {
	if t.view.Policy.Services[t.service].BatchSlots > 0 {
		return slots + int(engineQueueShare*float64(slots))
	}
	return slots + int(plainQueueShare*float64(slots))
}

// prefillTime estimates the prefill time of the request's prompt at the server, in milliseconds.
func (t *task) prefillTime(s *server) float64 {
	tokens := t.PromptTokens
	if key := t.prefixKey(); key != 0 && t.f.prefixTracker.isCached(key, s.Name, t.f.deps.Telemetry.Clock.Now()) {
		tokens -= t.sharedTokens()
	}
	return float64(max(0, tokens)) * t.f.prefillEstimator.perToken(t.model) * s.meter.Factor()
}

const (
	// shortPrefill is the prefill time, in milliseconds, up to which a prompt is served before longer ones: it delays
	// them little.
	shortPrefill = 50.0
	// shortPrefillBoost is the number of urgency levels by which such a prompt moves up.
	shortPrefillBoost = 2
)

// urgency returns the urgency of the request's prompt at a server; 0 is served first.
func (t *task) urgency(s *server) int {
	u := urgencyOf(t.route, t.workspace)
	if t.prefillTime(s) <= shortPrefill {
		u -= shortPrefillBoost
	}
	return max(0, u)
}
