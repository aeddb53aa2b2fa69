package quarantiner

import (
	"maps"
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// maxAnsweredParts bounds the parts that are kept; at most two generations of half of them.
const maxAnsweredParts = 8192

// answeredParts are the prompt parts that backend servers have answered lately.
type answeredParts struct {
	mu sync.Mutex
	// answeredAt are the times of the newest answers; older holds the generation before, which is dropped first.
	answeredAt, older map[uint64]timer.Millis
}

func (a *answeredParts) add(parts []uint64, now timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range parts {
		if _, known := a.answeredAt[p]; !known && len(a.answeredAt) >= maxAnsweredParts/2 {
			a.older, a.answeredAt = a.answeredAt, map[uint64]timer.Millis{}
		}
		a.answeredAt[p] = now
	}
}

// among returns those of the parts that were answered within the lifetime of evidence.
func (a *answeredParts) among(parts []uint64, now timer.Millis) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(p uint64) bool {
		at, known := a.answeredAt[p]
		if !known {
			at, known = a.older[p]
		}
		return !known || now-at > evidenceLifetime
	})
}

func (a *answeredParts) expire(now timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, generation := range []map[uint64]timer.Millis{a.answeredAt, a.older} {
		maps.DeleteFunc(generation, func(_ uint64, at timer.Millis) bool { return now-at > evidenceLifetime })
	}
}
