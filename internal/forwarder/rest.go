package forwarder

import (
	"errors"
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/internal/tunneler"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// rest leaves a server alone for the given time, and lets the instances that use this one as a gateway know. It reports whether
// the server rests longer than before.
func (f *Forwarder) rest(s *server, d, now timer.Millis) bool {
	if !s.ration.Rest(now + d) {
		return false
	}
	f.deps.Telemetry.Counter("servers.resting").Inc(1)
	f.deps.OnServerRests(s.Address)
	return true
}

// RestServer leaves the server at an address alone: it has asked for that with an answer to a request of another instance, which
// was sent through this one.
func (f *Forwarder) RestServer(address string, d timer.Millis) {
	if s := f.fleetView.Load().serverAt(address); s != nil {
		f.rest(s, d, f.deps.Telemetry.Clock.Now())
	}
}

// RestLeft returns for how long the server at an address gets nothing from this instance, because it asked for that or is
// leaving.
func (f *Forwarder) RestLeft(address string) timer.Millis {
	view := f.fleetView.Load()
	s := view.serverAt(address)
	switch {
	case s == nil && view.leaving[address], s != nil && s.isLeaving.Load():
		return leavingRest
	case s == nil:
		return 0
	}
	return max(0, s.ration.RestsUntil()-f.deps.Telemetry.Clock.Now())
}

// recordRestingGateway leaves a server alone that rests for the machine of a gateway, and reports whether the error says so.
func (t *task) recordRestingGateway(s *server, err error) bool {
	var resting *tunneler.RestingError
	if !errors.As(err, &resting) {
		return false
	}
	t.f.rest(s, resting.Left, t.f.deps.Telemetry.Clock.Now())
	return true
}

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
	for _, s := range t.candidates(t.f.deps.Telemetry.Clock.Now()) {
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
