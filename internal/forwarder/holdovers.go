package forwarder

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// firstShare is the part of sessions that a new version gets in the first half of a roll-out.
const firstShare = 0.08

// holdSpan is the time at the start of a roll-out in which nothing moves, so that every instance hears of the sessions
// that run on the old version: two reports and their way.
const holdSpan = 1200 * timer.Millisecond

// holdovers are sessions that would be drawn for the new version but run on the old one already, here or at another
// instance: callers reach a different instance with each request.
type holdovers struct {
	mu    sync.Mutex
	known map[uint64]bool
}

func newHoldovers() *holdovers {
	return &holdovers{known: map[uint64]bool{}}
}

// holdoverKey names a session within one roll-out.
func holdoverKey(session string, r *subscriber.RollOut) uint64 {
	return mix(xxhash.Sum64String(session) ^ xxhash.Sum64String(r.Service+" "+r.Target))
}

// drawOf returns a number from 0 up to 1 that every instance draws alike for a session.
func drawOf(session string) float64 {
	return float64(mix(xxhash.Sum64String(session))%1000) / 1000
}

func (h *holdovers) holds(key uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known[key]
}

// add takes keys in and returns those that were not known.
func (h *holdovers) add(keys []uint64) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var fresh []uint64
	for _, key := range keys {
		if !h.known[key] {
			h.known[key] = true
			fresh = append(fresh, key)
		}
	}
	return fresh
}

func (h *holdovers) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.known)
}

// HearHoldovers takes in sessions that other instances have on the old version.
func (f *Forwarder) HearHoldovers(keys []uint64) {
	f.holdovers.add(keys)
}

// Holdovers returns the sessions that this instance has on the old version and that nobody has told of yet.
func (f *Forwarder) Holdovers() []uint64 {
	p := f.picture.Load()
	now := f.deps.Common.Clock.Now()
	var fresh []uint64
	running := false
	for service := range p.rollOuts {
		v := p.versionsOf(service)
		if v.running == nil {
			continue
		}
		running = true
		var keys []uint64
		for _, id := range f.sessions.on(now, func(p pin) bool { return p.service == service && p.version != v.running.Target }) {
			if drawOf(id) < firstShare {
				keys = append(keys, holdoverKey(id, v.running))
			}
		}
		fresh = append(fresh, f.holdovers.add(keys)...)
	}
	if !running {
		f.holdovers.clear()
	}
	return fresh
}
