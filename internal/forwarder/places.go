package forwarder

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// maxClaimedServers is the number of brittle servers at which one request waits for a place at the same time.
	maxClaimedServers = 3
	// abandonedWorkTime is how long a server may go on with a request whose connection was closed.
	abandonedWorkTime = 300 * timer.Millisecond
)

// mayGet reports whether a server with the given load takes another request of this instance now. A server that rests or leaves gets
// none; a cold one gets those that have a start from its keeper; a brittle one gets those that have a place in its ledger, and if nobody keeps the ledger, those for which there is
// probably room.
func (s *server) mayGet(now timer.Millis, load int) bool {
	o := s.occupancy(load, now)
	switch {
	case s.isLeaving.Load() || s.ration.IsResting(now, o):
		return false
	case !s.starts.CanStart(now):
		return false
	case !s.ration.IsBrittle(now):
		return true
	case s.places.IsKeeperSilent(now):
		return s.ration.HasRoom(now, o)
	}
	return s.places.HasPlace()
}

// takePlace takes a place at the server for a request, and reports whether there was one.
func (s *server) takePlace(now timer.Millis) bool {
	if s.ration.IsBrittle(now) && !s.places.IsKeeperSilent(now) {
		if !s.places.Take(now) {
			return false
		}
	} else {
		s.places.TakeFreely()
	}
	if s.starts.Take(now) {
		return true
	}
	s.places.Return(now)
	return false
}

// returnPlace gives the place of a request back that has ended, or was not sent.
func (t *task) returnPlace(s *server) {
	now := t.f.deps.Telemetry.Clock.Now()
	s.places.Return(now)
	t.f.reportPlaces(s, now)
}

// reportPlaces lets the keeper of a brittle server's ledger know that the places of this instance have changed.
func (f *Forwarder) reportPlaces(s *server, now timer.Millis) {
	if s.ration.IsBrittle(now) {
		f.deps.OnPlacesChanged()
	}
}

// claimPlace lets the request wait for a place at the cheapest brittle or cold server at which it does not wait yet.
func (t *task) claimPlace(now timer.Millis) {
	if len(t.claimed) >= maxClaimedServers {
		return
	}
	var best *server
	lowest := 0.0
	list := t.candidates(now)
	ranks := t.cacheRanks(list)
	for i, s := range list {
		suspended, slowness := s.availability(now)
		load := s.load(now)
		hasKeeper := s.ration.IsBrittle(now) || s.starts.IsCold(now)
		if suspended || t.tried[s.Name] || t.claimed[s] || !hasKeeper || s.ration.IsResting(now, s.occupancy(load, now)) {
			continue
		}
		if cost := t.cost(s, load, max(1, s.Slots), slowness, rankAt(ranks, i), now); best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil {
		return
	}
	if t.claimed == nil {
		t.claimed = map[*server]bool{}
	}
	t.claimed[best] = true
	best.places.AddWaiting(1)
	best.starts.AddWaiting(1)
	t.f.deps.OnPlacesChanged()
}

// stopWaiting ends all waits of a request that has a server, or gets none.
func (t *task) stopWaiting() {
	t.stopAwaitingRest()
	for s := range t.claimed {
		s.places.AddWaiting(-1)
		s.starts.AddWaiting(-1)
	}
	if len(t.claimed) > 0 {
		clear(t.claimed)
		t.f.deps.OnPlacesChanged()
	}
}

// awaitPlace waits until a place is granted, at most slotPollInterval; it returns false if the context ends.
func (f *Forwarder) awaitPlace(ctx context.Context) bool {
	f.placeMu.Lock()
	granted := f.placeGranted
	f.placeMu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-granted:
	case <-f.deps.Telemetry.Clock.After(slotPollInterval):
	}
	return true
}

// PlaceClaims returns the claims for places of brittle servers that have changed, or all of them.
func (f *Forwarder) PlaceClaims(all bool) []allotter.Claim {
	now := f.deps.Telemetry.Clock.Now()
	var list []allotter.Claim
	for _, s := range f.serversByName {
		if !s.ration.IsBrittle(now) {
			continue
		}
		o := s.occupancy(0, now)
		c := allotter.Claim{Server: s.Name, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Slots: o.Slots, MaxRefusals: s.ration.MaxRefusals(now)}
		if c, due := s.places.Claim(c, now, all); due {
			list = append(list, c)
		}
	}
	return list
}

// SetPlaces applies the grants of the keepers of ledgers; it is called by the goroutine that calls SetView.
func (f *Forwarder) SetPlaces(grants []allotter.Grant) {
	now := f.deps.Telemetry.Clock.Now()
	isWanted := false
	for _, g := range grants {
		if s := f.serversByName[g.Server]; s != nil && s.Incarnation == g.Incarnation {
			isWanted = s.places.Apply(g, now) || isWanted
		}
	}
	if isWanted {
		f.wakeWaiting()
	}
}

// wakeWaiting wakes the requests that wait for a place.
func (f *Forwarder) wakeWaiting() {
	f.placeMu.Lock()
	defer f.placeMu.Unlock()
	close(f.placeGranted)
	f.placeGranted = make(chan struct{})
}
