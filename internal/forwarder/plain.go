package forwarder

import (
	"context"
	"io"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 8 << 20
	// patienceShare is the part of the time target after which an idempotent request is tried elsewhere, in percent.
	patienceShare = 90
)

// runPlain answers a request whose answer is no stream.
func (t *task) runPlain(ctx context.Context) *Refusal {
	for {
		s, refusal := t.place(ctx)
		if refusal != nil {
			return refusal
		}
		x, outcome := t.send(ctx, s, t.plainPatience())
		if outcome == outcomeAnswered {
			done, refusal := t.takePlain(x)
			if done {
				return refusal
			}
		} else if refusal := t.after(ctx, x, outcome); refusal != nil {
			return refusal
		}
	}
}

// plainPatience gives a repeatable request up at a silent server while there is time for another one.
func (t *task) plainPatience() func(timer.Millis) bool {
	if t.route.Kind != matcher.KindSafe || t.attempts >= t.route.MaxAttempts {
		return nil
	}
	limit := t.route.Target * patienceShare / 100
	return func(since timer.Millis) bool { return since < limit || !t.f.budget.left() }
}

// takePlain reads the whole answer and sends it on; done says that the request needs no other attempt.
func (t *task) takePlain(x *exchange) (done bool, refusal *Refusal) {
	defer func() { x.end(false) }()
	body, err := io.ReadAll(io.LimitReader(x.res.Body, maxAnswer+1))
	now := t.f.deps.Common.Clock.Now()
	if err != nil || len(body) > maxAnswer || x.res.Header.Get("Content-Encoding") != "" {
		t.ran = true
		x.server.failed(now, true)
		t.noteBroken(x.server, now)
		t.f.deps.Common.Log.Warn("answer not whole", "request", t.ID, "server", x.server.Name, "error", err, "bytes", len(body))
		return !t.mayRepeat(), t.lost("the backend server's answer broke off")
	}
	x.end(true)
	took := now - x.sentAt
	if x.res.StatusCode >= http.StatusInternalServerError {
		t.ran = true
		x.server.failed(now, true)
		t.noteBad(x.server)
		if t.mayRepeat() {
			return false, nil
		}
		t.deliver(x, body, now)
		return true, nil
	}
	x.server.succeeded()
	t.f.noteFirst(t, x, took)
	t.deliver(x, body, now)
	return true, nil
}

// deliver sends a whole answer to the caller.
func (t *task) deliver(x *exchange, body []byte, now timer.Millis) {
	if err := t.writer.whole(x.res, body, now); err != nil {
		t.f.deps.Common.Counter("requests.caller-left").Inc(1)
	}
}

// lost is the answer to a request that may have run and has no answer.
func (t *task) lost(reason string) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: reason}
}

// mayRepeat reports whether the request may be sent once more: it must be repeatable, within its attempts, its time and
// the fleet's budget for repeats.
func (t *task) mayRepeat() bool {
	return (!t.ran || t.route.Repeatable()) && t.attempts < t.route.MaxAttempts && t.f.deps.Common.Clock.Now() < t.deadline && t.f.budget.left()
}

// after decides what follows an attempt without an answer; a refusal ends the request.
func (t *task) after(ctx context.Context, x *exchange, o outcome) *Refusal {
	now := t.f.deps.Common.Clock.Now()
	switch o {
	case outcomeNotRun:
		status := x.res.StatusCode
		_, err := io.Copy(io.Discard, io.LimitReader(x.res.Body, maxAnswer))
		x.end(err == nil)
		x.server.refused(now, status)
	case outcomeNotSent:
		x.server.failed(now, false)
	case outcomeUnknown:
		t.ran = true
		if ctx.Err() == nil {
			x.server.failed(now, true)
			t.noteBroken(x.server, now)
			t.strike(ctx, x.server)
		}
	}
	if ctx.Err() != nil {
		return t.expired()
	}
	t.f.deps.Common.Log.Info("attempt failed", "request", t.ID, "server", x.server.Name, "attempt", t.attempts, "outcome", o,
		"error", x.err, "since-sent-ms", int64(now-x.sentAt), "load", x.server.load(now))
	if t.mayRepeat() {
		return nil
	}
	if t.ran {
		return t.lost("the backend server did not answer")
	}
	return t.full("the backend servers did not take the request")
}

// expired is the answer at the end of the caller's or the route's time.
func (t *task) expired() *Refusal {
	if t.ran || t.attempts > 0 {
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer came within the time limit"}
	}
	return t.full("the time limit passed before a backend server had room")
}

// full says that the request has not run, and when to come back.
func (t *task) full(reason string) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: spread(shortReturn)}
}
