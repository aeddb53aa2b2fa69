package rationer

import (
	"math/rand/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// blindTime is how long a request may be at the server before all instances learn of it.
	blindTime = 60 * timer.Millisecond
	// maxPlaceShare is the part of the slots that is used while a server does not tell its load: the parts of the instances add
	// up to more than the whole at times. Each time the server is full it shrinks by placeShareCut, down to minPlaceShare, and it
	// grows by placeShareGrowth a second.
	maxPlaceShare    = 0.7
	minPlaceShare    = 0.4
	placeShareCut    = 0.8
	placeShareGrowth = 0.04
	// placeDraw is the time after which an instance draws anew whether it takes a place of which it has only a part.
	placeDraw = 25 * timer.Millisecond
	// fullPause is how long a brittle server gets no request after it had to refuse one. Each instance takes half to one and a
	// half times as long, so that they do not return together.
	fullPause = 800 * timer.Millisecond
)

// Occupancy is what an instance knows about the places of a server.
type Occupancy struct {
	// Slots is how many requests the server runs at once, and Load how many it has; of these, Own are this instance's.
	Slots, Load, Own int
	// Told is true if Load includes what the server has told, ToldAge ago.
	Told    bool
	ToldAge timer.Millis
}

// ObserveBrittle stores whether the server stated that it falls over when it must refuse more than maxRefusals requests per
// second for want of room, and reports whether that differs from what held before. It must be called before Observe.
func (r *Ration) ObserveBrittle(maxRefusals float64, brittle bool, statedAt timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if statedAt < r.statedAt {
		return false
	}
	changed := r.brittle != brittle || brittle && r.maxRefusals != maxRefusals
	r.brittle, r.maxRefusals = brittle, maxRefusals
	r.service.observe(maxRefusals, brittle, statedAt)
	if brittle {
		r.limitedAt = statedAt
	}
	return changed
}

// IsBrittle reports whether the server falls over when it must refuse many requests, as far as it or its service is known.
func (r *Ration) IsBrittle(now timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isBrittle(now)
}

func (r *Ration) isBrittle(now timer.Millis) bool {
	if r.statedAt > 0 {
		return r.brittle
	}
	_, brittle := r.service.terms(now)
	return brittle
}

// MaxRefusals returns the number of refusals per second that a brittle server bears.
func (r *Ration) MaxRefusals(now timer.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statedAt > 0 {
		return r.maxRefusals
	}
	n, _ := r.service.terms(now)
	return n
}

// RecordFull records that a server had no room for a request of any instance, and reports whether the others must know.
func (r *Ration) RecordFull(now timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isBrittle(now) {
		return false
	}
	wasPaused := now < r.pausedUntil
	if !wasPaused {
		r.placeShare, r.placeShareAt = max(minPlaceShare, r.placeShareNow(now)*placeShareCut), now
	}
	r.pausedUntil = max(r.pausedUntil, now+fullPause/2+timer.Millis(rand.Int64N(int64(fullPause))))
	return !wasPaused
}

// HasRoom estimates whether a server is not brittle, or will have room for another request, without a ledger of its places. Each instance takes a part of the free
// places that is its part of the demand, since it does not see yet what the others send. Where the server does not tell its
// load, all of its places are divided so.
func (r *Ration) HasRoom(now timer.Millis, o Occupancy) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isBrittle(now) {
		return true
	}
	if now < r.pausedUntil {
		return false
	}
	unseen := 0
	if now-r.admittedSince < blindTime {
		unseen = r.admitted
	}
	share := r.demandShare(now)
	ofAll, ofFree := r.placeShareNow(now)*float64(o.Slots)*share-float64(o.Own), float64(o.Slots-o.Load)*share-float64(unseen)
	switch {
	case !o.Told:
		return r.takesPlace(ofAll, o.Own == 0, now)
	case o.ToldAge > blindTime:
		// Where answers take long, the others may have sent many requests since.
		return r.takesPlace(min(ofAll, ofFree), o.Load == 0, now)
	}
	return r.takesPlace(ofFree, o.Load == 0, now)
}

// placeShareNow returns the part of the slots that all instances use while the server does not tell its load.
func (r *Ration) placeShareNow(now timer.Millis) float64 {
	return min(maxPlaceShare, r.placeShare+placeShareGrowth*float64(now-r.placeShareAt)/float64(timer.Second))
}

// takesPlace reports whether a request may take one of a number of places. If parts count, a part of a place is taken for that
// part of the time.
func (r *Ration) takesPlace(places float64, partsCount bool, now timer.Millis) bool {
	if now-r.drawnAt >= placeDraw {
		r.drawn, r.drawnAt = rand.Float64(), now
	}
	return places >= 1 || partsCount && r.drawn < places*float64(placeDraw)/float64(blindTime)
}

// countAdmitted counts a request that the server's reports may not show yet.
func (r *Ration) countAdmitted(now timer.Millis) {
	if now-r.admittedSince >= blindTime {
		r.admittedSince, r.admitted = now, 0
	}
	r.admitted++
}

// demandShare returns the part of the demand of all instances that is this one's. Each instance counts with one request more
// than it has: the parts of those that have none yet must not add up to more than the whole.
func (r *Ration) demandShare(now timer.Millis) float64 {
	const one = float64(timer.Second) / float64(demandWindow)
	own, others := r.demandNow(now)+one, r.others+one*float64(r.othersCount)
	return own / (own + others)
}
