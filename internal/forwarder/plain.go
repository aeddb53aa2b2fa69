package forwarder

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"github.com/eelgrasshook/eelgrasshook/internal/pathfinder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// runPlain serves a request with a response that is not a stream.
func (t *task) runPlain(ctx context.Context) *Refusal {
	for {
		x, outcome, refusal := t.attempt(ctx, t.plainWait)
		if refusal != nil {
			return refusal
		}
		if outcome == attemptResponded {
			done, refusal := t.relayPlain(ctx, x)
			if done {
				return refusal
			}
		} else if refusal := t.handleFailedAttempt(ctx, x, outcome); refusal != nil {
			return refusal
		}
	}
}

// relayPlain reads the complete response and sends it to the caller; done means that no other attempt is needed.
func (t *task) relayPlain(ctx context.Context, x *exchange) (done bool, refusal *Refusal) {
	defer func() { x.release(false) }()
	if x.res.StatusCode < http.StatusMultipleChoices {
		t.dropNext()
	}
	body, err := x.res.ReadBody(t.bodyWait(ctx, x))
	now := t.f.deps.Telemetry.Clock.Now()
	if err != nil {
		t.mayHaveRun = true
		t.f.deps.Telemetry.Log.Warn("answer is incomplete or invalid", "request", t.ID, "server", x.server.Name,
			"error", err)
		t.recordBrokenAttempt(ctx, x, now)
		return !t.canRetry(), t.badGatewayRefusal("the backend server's answer broke off")
	}
	defer body.Free()
	x.release(true)
	took := now - x.sentAt
	if x.res.StatusCode >= http.StatusInternalServerError {
		t.recordServerError(x, now)
		if t.canRetry() {
			return false, nil
		}
		t.writeWholeResponse(x, body.Bytes, now)
		return true, nil
	}
	x.server.recordSuccess()
	if x.res.StatusCode < http.StatusMultipleChoices {
		t.recordSurvival()
		t.recordPlainPace(x, took)
	}
	t.f.recordFirstByte(t, x, took)
	t.writeWholeResponse(x, body.Bytes, now)
	return true, nil
}

// recordServerError records a response that says that the server failed.
func (t *task) recordServerError(x *exchange, now timer.Millis) {
	t.mayHaveRun = true
	if x.res.Info.Rest == 0 {
		t.recordServerFailure(x.server, now)
		t.recordBadResponse(x.server)
	}
	t.f.deps.Telemetry.Log.Info("server error", "request", t.ID, "server", x.server.Name, "version", x.server.Version,
		"attempt", t.attempts, "status", x.res.StatusCode, "took-ms", int64(now-x.sentAt), "retried", t.canRetry())
}

// writeWholeResponse sends a complete response to the caller.
func (t *task) writeWholeResponse(x *exchange, body []byte, now timer.Millis) {
	if err := t.writer.writeWhole(x.res.Response, body, now); err != nil {
		t.f.deps.Telemetry.Counter("requests.caller-left").Inc(1)
	}
}

// badGatewayRefusal is the response to a request that may have run but produced no complete response.
func (t *task) badGatewayRefusal(reason string) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: reason}
}

// canRetry reports whether the request may be sent again: it is idempotent or has not run, and its attempt limit, its
// deadline and the retry budget allow another attempt, whose token it has then.
func (t *task) canRetry() bool {
	return (!t.mayHaveRun || t.route.IsRetryable()) && t.hasAttemptLeft()
}

// canRetryRun reports whether a request that a server runs now may be sent again.
func (t *task) canRetryRun() bool {
	return t.route.IsRetryable() && t.hasAttemptLeft()
}

func (t *task) hasAttemptLeft() bool {
	if t.next != nil {
		return true
	}
	used := t.attempts
	if t.writer.status != 0 {
		// A refusal is no run, and the caller has a part of the answer.
		used -= t.refusals
	}
	return used < t.route.MaxAttempts && t.failedDials < maxFailedDials &&
		t.f.deps.Telemetry.Clock.Now() < t.deadline && t.takeRetry(0)
}

// canDialAgain reports whether a request that no server has got may be sent to another one.
func (t *task) canDialAgain() bool {
	return t.attempts == 0 && t.failedDials < maxFailedDials && t.f.deps.Telemetry.Clock.Now() < t.deadline
}

// recordServerFailure counts a failure of a server that accepted the connection, and reports the server to the fleet if
// it is suspended for it.
func (t *task) recordServerFailure(s *server, now timer.Millis) {
	if s.recordFailure(now, true) {
		t.f.reportAlarm(s, now, false)
	}
}

// handleFailedAttempt records an attempt without a response; it returns nil if the request is to be retried, otherwise
// the refusal.
func (t *task) handleFailedAttempt(ctx context.Context, x *exchange, o attemptOutcome) *Refusal {
	now := t.f.deps.Telemetry.Clock.Now()
	switch o {
	case attemptOutdated:
		if ctx.Err() != nil {
			return t.timeoutRefusal()
		}
		clear(t.tried)
		return nil
	case attemptNotRun:
		t.refusals++
		status := x.res.StatusCode
		x.server.recordRefusal(now, status)
		if status == http.StatusServiceUnavailable {
			// Before the place is given back, or another instance gets it.
			t.recordFull(x, now)
		}
		err := x.res.Discard()
		x.release(err == nil)
	case attemptNotSent:
		t.failedDials++
		if ctx.Err() == nil {
			x.server.recordFailure(now, false)
			if !errors.Is(x.err, pathfinder.ErrUnconfirmed) {
				t.f.reportAlarm(x.server, now, errors.Is(x.err, syscall.ECONNREFUSED))
			}
		}
	case attemptUnknown:
		t.mayHaveRun = true
		if ctx.Err() == nil {
			t.recordBrokenAttempt(ctx, x, now)
		}
	}
	if ctx.Err() != nil {
		return t.timeoutRefusal()
	}
	t.f.deps.Telemetry.Log.Info("attempt failed", "request", t.ID, "server", x.server.Name, "attempt", t.attempts,
		"outcome", o, "error", x.err, "since-sent-ms", int64(now-x.sentAt), "load", x.server.load(now),
		"progress", x.progress(), "shared-parts", t.sharedPartIDs())
	if t.canRetry() || o == attemptNotSent && t.canDialAgain() {
		return nil
	}
	if t.mayHaveRun {
		return t.badGatewayRefusal("the backend server did not answer")
	}
	return t.unavailableRefusal("the backend servers did not take the request")
}

// timeoutRefusal is the response when the caller's or the route's time limit has passed.
func (t *task) timeoutRefusal() *Refusal {
	if t.mayHaveRun || t.attempts > 0 {
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer came within the time limit"}
	}
	return t.unavailableRefusal("the time limit passed before a backend server had room")
}

// unavailableRefusal is the response to a request that has not run; it says when to retry.
func (t *task) unavailableRefusal(reason string) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: jitter(shortRetryAfter)}
}
