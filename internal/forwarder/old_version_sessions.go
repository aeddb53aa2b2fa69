package forwarder

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// canaryShare is the share of sessions that run on the target version in the first half of a roll-out.
const canaryShare = 0.08

// moveDelay is the time at the start of a roll-out during which no session moves, so that every instance learns which
// sessions run on the old version: two reports and their transmission.
const moveDelay = 1200 * timer.Millisecond

// oldVersionSessions holds the sessions that hash to the target version but already run on the old one, at this
// instance or another: callers reach a different instance with each request.
type oldVersionSessions struct {
	mu          sync.Mutex
	sessionKeys map[uint64]bool
}

func newOldVersionSessions() *oldVersionSessions {
	return &oldVersionSessions{sessionKeys: map[uint64]bool{}}
}

// rollOutSessionKey identifies a session within one roll-out.
func rollOutSessionKey(session string, r *subscriber.RollOut) uint64 {
	return mixBits(xxhash.Sum64String(session) ^ xxhash.Sum64String(r.Service+" "+r.TargetVersion))
}

// hashFraction maps a session to a number from 0 up to 1; every instance computes the same number.
func hashFraction(session string) float64 {
	return float64(mixBits(xxhash.Sum64String(session))%1000) / 1000
}

func (s *oldVersionSessions) contains(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessionKeys[key]
}

// add stores the keys and returns those that are new.
func (s *oldVersionSessions) add(keys []uint64) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []uint64
	for _, key := range keys {
		if !s.sessionKeys[key] {
			s.sessionKeys[key] = true
			added = append(added, key)
		}
	}
	return added
}

func (s *oldVersionSessions) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.sessionKeys)
}

// AddOldVersionSessions adds the sessions that other instances serve on the old version.
func (f *Forwarder) AddOldVersionSessions(keys []uint64) {
	f.oldVersionSessions.add(keys)
}

// NewOldVersionSessions returns the sessions that this instance serves on the old version and that no instance has
// reported yet.
func (f *Forwarder) NewOldVersionSessions() []uint64 {
	view := f.fleetView.Load()
	now := f.deps.Telemetry.Clock.Now()
	var unreported []uint64
	hasRollOut := false
	for service := range view.rollOuts {
		v := view.splitVersions(service)
		if v.rollOut == nil {
			continue
		}
		hasRollOut = true
		var keys []uint64
		for _, id := range f.sessions.matching(now,
			func(p pin) bool { return p.service == service && p.version != v.rollOut.TargetVersion }) {
			if hashFraction(id) < canaryShare {
				keys = append(keys, rollOutSessionKey(id, v.rollOut))
			}
		}
		unreported = append(unreported, f.oldVersionSessions.add(keys)...)
	}
	if !hasRollOut {
		f.oldVersionSessions.clear()
	}
	return unreported
}
