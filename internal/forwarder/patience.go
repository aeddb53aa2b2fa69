package forwarder

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// deadTimeout is the time without a byte from a server on any connection of this instance after which a waiting
	// stream is moved.
	deadTimeout = 700 * timer.Millisecond
	// loneWaitPercent is the part of the time target, in percent, that a stream waits at a server where this instance has
	// no other request: in a large fleet that is the rule, and silence alone does not show that the server is dead. An
	// alarm of another instance does.
	loneWaitPercent = 50
	// firstEventFactor is the multiple of the time target that a stream waits for its first event if the server
	// responds to other requests.
	firstEventFactor = 3
	// gapFactor is the multiple of the gap target that a stream waits for its next event if the server responds to
	// other requests.
	gapFactor = 2
	// plainWaitPercent is the part of the time target after which an idempotent request is retried at another server, in
	// percent.
	plainWaitPercent = 90
)

const (
	// stuckPercent is the part of the time target, in percent, after which a prompt that others overtake may move.
	stuckPercent = 60
	// maxMoveQueue is the longest prefill queue, in milliseconds, at a server that a prompt moves to: the move must
	// save time.
	maxMoveQueue = 100.0
	// moveFactor is the multiple of the expected wait at the other server that a prompt waits before it moves: a move
	// discards the prefill done so far, and very long prompts take more time than their length suggests.
	moveFactor = 2
)

// delay is a limit on an attempt's waiting time that was exceeded.
type delay struct {
	// reason names the limit in logs and metrics; empty if none was exceeded.
	reason string
	// waited and limit are the waiting time and its limit, in milliseconds.
	waited, limit timer.Millis
}

const (
	// delaySilence: the server has sent nothing to this instance; delayFirstByte and delayFirstEvent: it sends the response late;
	// delayQueue: another server would have answered by now; delayGap: the stream pauses; delayBody: a body comes too slowly.
	delaySilence    = "silence"
	delayFirstByte  = "first-byte"
	delayFirstEvent = "first-event"
	delayQueue      = "queue"
	delayGap        = "gap"
	delayBody       = "body"
)

// checkLimit returns the delay if the waiting time has reached its limit.
func checkLimit(reason string, waited, limit timer.Millis) delay {
	if waited < limit {
		return delay{}
	}
	return delay{reason: reason, waited: waited, limit: limit}
}

// responsePollInterval is the time between checks of the limits while a server has not responded.
const responsePollInterval = 100 * timer.Millisecond

// await bounds a wait by limits that are checked at each poll.
func (t *task) await(ctx context.Context, x *exchange, check func(now timer.Millis) delay) exchanger.Wait {
	return func(now timer.Millis) (timer.Millis, bool) {
		if t.next != nil {
			return t.waitForTakeover(ctx, x, x.delay, now)
		}
		if now < x.patientUntil {
			return min(now+responsePollInterval, x.patientUntil), true
		}
		d := check(now)
		switch {
		case d.reason == "":
			return now + responsePollInterval, true
		case t.isSilenceShared(x, d.waited, now):
			// Once the others answer again, this server has the whole time to do so too.
			x.patientUntil = now + d.limit
			return now + responsePollInterval, true
		}
		return t.waitForTakeover(ctx, x, d, now)
	}
}

// streamWait gives an attempt up if its server responds to no request at all, or does not respond to this one for a long time.
func (t *task) streamWait(ctx context.Context, x *exchange) exchanger.Wait {
	if !t.route.IsRetryable() {
		return nil
	}
	return t.await(ctx, x, func(now timer.Millis) delay { return t.streamDelay(x, now) })
}

// streamDelay returns how an attempt exceeds the limits on the time to the first byte of a stream.
func (t *task) streamDelay(x *exchange, now timer.Millis) delay {
	s, since := x.server, now-x.sentAt
	if since < t.lateLimit(x, now) {
		return delay{}
	}
	silenceLimit := max(deadTimeout, t.f.expectedFirstByte(t)*3/2)
	if s.inFlight.Load() <= 1 {
		// No other request is in flight that the server could respond to during the prefill.
		silenceLimit = max(silenceLimit, moveFactor*timer.Millis(x.queueWait+x.prefill))
		if suspended, _ := s.availability(now); !suspended {
			silenceLimit = max(silenceLimit, t.route.TargetLatency*loneWaitPercent/100)
		}
	}
	if d := checkLimit(delaySilence, min(since, s.silence(now)), silenceLimit); d.reason != "" {
		return d
	}
	if d := checkLimit(delayFirstByte, since, firstEventFactor*t.route.TargetLatency); d.reason != "" {
		return d
	}
	if t.isStuck(s, since, now) {
		return delay{reason: delayQueue, waited: since, limit: t.route.TargetLatency * stuckPercent / 100}
	}
	return delay{}
}

// isStuck reports whether a prompt has waited far longer than it would at another server.
func (t *task) isStuck(s *server, since, now timer.Millis) bool {
	if t.writer.status != 0 || since*100 < t.route.TargetLatency*stuckPercent {
		return false
	}
	other, _ := t.cheapestServer(t.candidates(now), now, false)
	if other == nil || other.Name == s.Name || other.ration.Pressure(now) >= 1 {
		return false
	}
	queueWait := other.prefillQueue.waitFor(t.urgency(other), now)
	return queueWait < maxMoveQueue && float64(since) > moveFactor*(queueWait+t.prefillTime(other))
}

// plainWait gives an attempt of an idempotent request up at a server that has not responded.
func (t *task) plainWait(ctx context.Context, x *exchange) exchanger.Wait {
	if t.route.Kind != matcher.KindIdempotent {
		return nil
	}
	limit := t.route.TargetLatency * plainWaitPercent / 100
	return t.await(ctx, x, func(now timer.Millis) delay {
		return checkLimit(delayFirstByte, now-x.sentAt, max(limit, t.lateLimit(x, now)))
	})
}

// bodyWait bounds the wait for the rest of a body that comes too slowly.
func (t *task) bodyWait(ctx context.Context, x *exchange) exchanger.Wait {
	if !t.route.IsRetryable() {
		return func(now timer.Millis) (timer.Millis, bool) { return now + timer.Second, true }
	}
	return t.await(ctx, x, func(now timer.Millis) delay { return delay{reason: delayBody, waited: now - x.sentAt} })
}

// eventWait bounds the wait for the next event while another server could go on with the stream. Otherwise, a late event
// is better than none.
func (t *task) eventWait(ctx context.Context, x *exchange) exchanger.EventWait {
	return func(lastEventAt, now timer.Millis, hasEvents bool) (timer.Millis, bool) {
		reason, limit := delayGap, gapFactor*t.route.TargetGap
		if !hasEvents || limit == 0 {
			reason, limit = delayFirstEvent, firstEventFactor*t.route.TargetLatency
		}
		due := max(lastEventAt+limit, x.patientUntil)
		switch {
		case now < due:
			return due, true
		case !t.route.IsRetryable():
			return now + limit, true
		case t.next == nil && t.isSilenceShared(x, now-lastEventAt, now):
			x.patientUntil = now + limit
			return x.patientUntil, true
		}
		return t.waitForTakeover(ctx, x, delay{reason: reason, waited: now - lastEventAt, limit: limit}, now)
	}
}

// logGivenUp logs why an attempt is given up and what was known about the other servers then.
func (t *task) logGivenUp(x *exchange, d delay, now timer.Millis) {
	usual, samples := t.f.firstByteTime(t, x.model).get()
	waiting, silent := t.f.silentServers(t, x.server, d.waited, now)
	t.f.deps.Telemetry.Counter("requests.given-up." + d.reason).Inc(1)
	t.f.deps.Telemetry.Log.Info("attempt given up", "request", t.ID, "server", x.server.Name, "attempt", t.attempts,
		"reason", d.reason, "waited-ms", int64(d.waited), "limit-ms", int64(d.limit), "usual-ms", int64(usual), "samples", samples,
		"expected-ms", int64(x.expected), "quick", t.slowness(x.model).quick(now), "progress", x.progress(),
		"others-waiting", waiting, "others-silent", silent, "policy", t.view.Policy.Version)
}

// silentServers counts the other servers of the request's service that have had a request of this instance for at least the
// given time, and how many of them have sent it nothing in that time.
func (f *Forwarder) silentServers(t *task, except *server, d, now timer.Millis) (waiting, silent int) {
	for _, s := range f.fleetView.Load().servers[t.service] {
		if s.Name == except.Name || s.inFlight.Load() == 0 || now-timer.Millis(s.busySince.Load()) < d {
			continue
		}
		waiting++
		if s.silence(now) >= d {
			silent++
		}
	}
	return waiting, silent
}
