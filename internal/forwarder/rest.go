package forwarder

import (
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// restsUntil returns the first time at which a server that may serve the request has rested, 0 if one does not rest.
func (t *task) restsUntil(now timer.Millis) timer.Millis {
	var first timer.Millis
	for _, s := range t.candidates(now) {
		until := s.ration.RestsUntil()
		if until <= now {
			return 0
		}
		if first == 0 || until < first {
			first = until
		}
	}
	return first
}

// canAwait reports whether the request may wait for a server that takes requests again at the given time, 0 if that is not
// known. It must be able to answer before the deadline, and no more requests wait than the servers run at once: after their
// rest, they take them a few at a time.
func (t *task) canAwait(opensAt timer.Millis) bool {
	if opensAt == 0 {
		return true
	}
	if opensAt+t.f.expectedFirstByte(t) >= t.deadline {
		return false
	}
	if t.awaitsRestUntil > 0 && opensAt > t.awaitsRestUntil {
		// A server that asks again after its rest is not waited for twice.
		return false
	}
	if t.awaitsRest {
		return true
	}
	slots := 0
	for _, s := range t.view.servers[t.service] {
		slots += s.Slots
	}
	t.awaitsRest, t.awaitsRestUntil = true, opensAt
	return t.f.awaitingRest(t.service).Add(1) <= int64(slots)
}

// stopAwaitingRest ends the wait of a request that canAwait has let wait.
func (t *task) stopAwaitingRest() {
	if t.awaitsRest {
		t.awaitsRest = false
		t.f.awaitingRest(t.service).Add(-1)
	}
}

// awaitingRest returns the number of requests that wait for servers of a service that rest.
func (f *Forwarder) awaitingRest(service string) *atomic.Int64 {
	n, _ := f.restWaiters.LoadOrStore(service, &atomic.Int64{})
	return n.(*atomic.Int64)
}

// withRetryAfter returns the refusal of a request that has not run with a later time for the caller to return at, if it is
// known. The callers are spread over a while, since a server that has rested takes requests a few at a time.
func (r *Refusal) withRetryAfter(after timer.Millis) *Refusal {
	if r.RetryAfter == 0 || after <= 0 {
		return r
	}
	refusal := *r
	refusal.RetryAfter = after + jitter(shortRetryAfter)
	return &refusal
}
