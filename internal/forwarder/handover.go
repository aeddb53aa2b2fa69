package forwarder

import (
	"context"
	"net/http"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// takeoverTime is how long a server may take to refuse a request that it has no room for; after that it has taken the request.
	takeoverTime = 250 * timer.Millisecond
	// takeoverPollInterval is the time between looks at the connection to the next server.
	takeoverPollInterval = 25 * timer.Millisecond
	// placePollInterval is the time between looks for a server that takes over.
	placePollInterval = 250 * timer.Millisecond
)

// waitForTakeover bounds the wait for more bytes of an attempt that takes too long. It is given up once another server has taken the
// request; until then it goes on, and the server that answers first is listened to.
func (t *task) waitForTakeover(ctx context.Context, x *exchange, d delay, now timer.Millis) (until timer.Millis, ok bool) {
	if t.next == nil && !t.startNext(ctx, x) {
		x.patientUntil = now + placePollInterval
		return x.patientUntil, true
	}
	x.delay = d
	n := t.next
	switch t.awaitTakeover(ctx, n, now) {
	case takeoverRefused:
		t.next = nil
		// The servers with the most room have just been asked.
		x.patientUntil = t.f.deps.Telemetry.Clock.Now() + max(d.limit, placePollInterval)
		return x.patientUntil, true
	case takeoverPending:
		if now = t.f.deps.Telemetry.Clock.Now(); now-n.sentAt < takeoverTime {
			return now + takeoverPollInterval, true
		}
	}
	if x.res == nil {
		t.recordSlowness(x, now-x.sentAt, now)
	}
	t.logGivenUp(x, d, now)
	return now, false
}

// takeover is how far a server has taken over a request.
type takeover uint8

const (
	// takeoverPending: the server has not answered.
	takeoverPending takeover = iota
	// takeoverRefused: the server has refused the request or failed.
	takeoverRefused
	// takeoverDone: a good response has begun.
	takeoverDone
)

// awaitTakeover waits for the head of the next server's response, at least for a moment.
func (t *task) awaitTakeover(ctx context.Context, n *exchange, until timer.Millis) takeover {
	if !n.conn.Await(until) {
		return takeoverPending
	}
	outcome := t.readHead(n, nil)
	if outcome == attemptResponded && n.res.StatusCode < http.StatusMultipleChoices &&
		(t.writer.status == 0 || isEventStream(n.res.Response)) {
		return takeoverDone
	}
	t.recordRefusedTakeover(ctx, n, outcome, t.f.deps.Telemetry.Clock.Now())
	return takeoverRefused
}

// startNext sends the request to a server that has room for it, within the budgets, and reports whether it was sent.
func (t *task) startNext(ctx context.Context, x *exchange) bool {
	now := t.f.deps.Telemetry.Clock.Now()
	if !t.canRetryRun() || t.isBlocked() || t.f.isAboutToStop(now) {
		return false
	}
	isCounted := !t.f.isSuspect(x, now)
	if isCounted && !t.budgets().takeovers.take(0) {
		t.giveBackRetry()
		return false
	}
	if !t.sendNext(ctx, x, now) {
		t.giveBackRetry()
		if isCounted {
			t.budgets().takeovers.giveBack()
		}
		return false
	}
	return true
}

// isSuspect reports whether there is more evidence against the server of an attempt than the time that the attempt has waited: failures
// of other requests, the loss of its announcement, or a way that is cut.
func (f *Forwarder) isSuspect(x *exchange, now timer.Millis) bool {
	suspended, _ := x.server.availability(now)
	return suspended || !f.isListed(x.server) || !x.isDetour && f.deps.Paths.IsDetour(x.server.Address)
}

// isListed reports whether a server still serves, in the same incarnation.
func (f *Forwarder) isListed(s *server) bool {
	return slices.ContainsFunc(f.fleetView.Load().servers[s.Service], func(other *server) bool {
		return other.Name == s.Name && other.Incarnation == s.Incarnation
	})
}

// sendNext sends the request to another server that has room for it.
func (t *task) sendNext(ctx context.Context, x *exchange, now timer.Millis) bool {
	t.view = t.f.fleetView.Load()
	t.avoidTarget(x.server)
	t.tried[x.server.Name] = true
	s := t.admittedServer(t.candidates(now), now, false)
	if s == nil {
		// Servers that were full earlier may have room later.
		clear(t.tried)
		t.tried[x.server.Name] = true
		t.forgetDeclined(now)
		return false
	}
	t.tried[s.Name] = true
	n, outcome := t.transmit(ctx, s)
	if outcome != attemptPending {
		t.recordRefusedTakeover(ctx, n, outcome, now)
		return false
	}
	t.next = n
	return true
}

// recordRefusedTakeover records that a server did not take over a request, which its first server goes on with.
func (t *task) recordRefusedTakeover(ctx context.Context, n *exchange, outcome attemptOutcome, now timer.Millis) {
	t.f.deps.Telemetry.Counter("requests.takeovers-refused").Inc(1)
	if outcome == attemptResponded {
		t.recordServerError(n, now)
		n.release(false)
	} else {
		// Whether the request may be sent again is decided when the attempt in progress ends.
		_ = t.handleFailedAttempt(ctx, n, outcome)
	}
	t.giveBackRetry()
}

// dropNext cancels the attempt that was to take over, since the server before it answers.
func (t *task) dropNext() {
	if n := t.next; n != nil {
		t.next = nil
		n.release(false)
		t.f.deps.Telemetry.Counter("requests.takeovers-dropped").Inc(1)
	}
}
