package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// dialTimeout is the time limit for opening a connection. A lost SYN is retransmitted after one second, so trying
// another server is faster than waiting.
const dialTimeout = 600 * timer.Millisecond

// attemptOutcome is the result of one attempt.
type attemptOutcome uint8

const (
	// attemptNotSent: nothing reached the server.
	attemptNotSent attemptOutcome = iota
	// attemptNotRun: the server reports that it did not run the request.
	attemptNotRun
	// attemptUnknown: the request was sent and no usable response arrived.
	attemptUnknown
	// attemptResponded: the status line and header of a response have arrived.
	attemptResponded
)

// exchange is one attempt at one server.
type exchange struct {
	server *server
	conn   *conn
	res    *http.Response
	info   ResponseInfo
	sentAt timer.Millis
	// urgency and pendingPrefill are what the request adds to the server's prefill queue until its first event.
	urgency        int
	pendingPrefill float64
	// prefill is the estimated prefill time of the prompt, in milliseconds.
	prefill float64
	// detachContext stops the context from closing the connection; it returns false if that has already happened.
	detachContext func() bool
	err           error
}

// releasePrefill removes the prompt from the server's prefill queue; it is called at the first byte or at the end of
// the attempt.
func (x *exchange) releasePrefill() {
	if x.pendingPrefill > 0 {
		x.server.prefillQueue.add(x.urgency, -x.pendingPrefill)
		x.pendingPrefill = 0
	}
}

// release returns the connection to the pool if its response was read completely, and closes it otherwise.
func (x *exchange) release(complete bool) {
	if x.conn == nil {
		return
	}
	connOpen := x.detachContext()
	x.releasePrefill()
	x.server.inFlight.Add(-1)
	if complete && connOpen && !x.res.Close && x.conn.SetDeadline(time.Time{}) == nil {
		if x.info.KeepAliveTimeout > 0 {
			x.conn.idleTimeout = max(0, x.info.KeepAliveTimeout-idleMargin)
		}
		x.server.pool.put(x.conn)
	} else {
		_ = x.conn.Close()
	}
	x.conn = nil
}

// send makes one attempt and reads the header of the response. If a reused connection breaks after the request was
// written, the server may have run the request: the outcome is attemptUnknown.
func (t *task) send(ctx context.Context, s *server, keepWaiting func(timer.Millis) bool) (*exchange, attemptOutcome) {
	x := &exchange{server: s}
	now := t.f.deps.Telemetry.Clock.Now()
	c := s.pool.get()
	if c == nil {
		var err error
		if c, err = s.pool.dial(ctx, min(dialTimeout, t.deadline-now)); err != nil {
			x.err = err
			return x, attemptNotSent
		}
	}
	x.conn = c
	s.inFlight.Add(1)
	x.urgency, x.pendingPrefill = t.urgency(s), t.prefillTime(s)
	x.prefill = x.pendingPrefill
	s.prefillQueue.add(x.urgency, x.pendingPrefill)
	if x.pendingPrefill >= longPrefill {
		t.f.deps.OnLongPrefill()
	}
	t.f.prefixTracker.recordSent(t.prefixKey(), s.Name, now)
	x.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	header := t.f.deps.Codec.RequestHeader(t.Request, t.newAttempt(s, x.urgency))
	x.sentAt = t.f.deps.Telemetry.Clock.Now()
	if err := c.writeRequest(t.Request, header); err != nil {
		return t.abortAttempt(x, err)
	}
	if err := t.awaitResponse(x, keepWaiting); err != nil {
		return t.abortAttempt(x, err)
	}
	res, info, err := c.readResponse(t.Method, t.ID, t.f.deps.Codec.ParseResponse)
	if err != nil {
		return t.abortAttempt(x, err)
	}
	x.res, x.info = res, info
	now = t.f.deps.Telemetry.Clock.Now()
	s.lastByte.Store(int64(now))
	x.releasePrefill()
	if t.PromptTokens > 0 {
		t.f.prefillEstimator.observe(t.model, t.PromptTokens, now-x.sentAt)
	}
	s.updateLoad(info, now)
	t.confidence = info.Confidence
	if info.NotRun {
		return x, attemptNotRun
	}
	return x, attemptResponded
}

// abortAttempt records the error of an attempt and closes its connection.
func (t *task) abortAttempt(x *exchange, err error) (*exchange, attemptOutcome) {
	x.err = err
	x.release(false)
	return x, attemptUnknown
}

// newAttempt returns what is added to the request for the given server.
func (t *task) newAttempt(s *server, urgency int) AttemptInfo {
	a := AttemptInfo{Server: s.Name, TimeLeft: t.deadline - t.f.deps.Telemetry.Clock.Now(), Model: t.model, Urgency: urgency,
		LastEventID: t.LastEventID}
	if t.workspace != nil {
		a.Workspace = t.workspace.Name
	}
	return a
}

// responsePollInterval is the time between calls of keepWaiting while a server has not responded.
const responsePollInterval = 100 * timer.Millisecond

// awaitResponse waits for the first byte of a response while keepWaiting returns true; keepWaiting receives the time
// since the request was sent, in milliseconds. The end of the context closes the connection.
func (t *task) awaitResponse(x *exchange, keepWaiting func(timer.Millis) bool) error {
	if keepWaiting == nil {
		return nil
	}
	for {
		if err := x.conn.SetReadDeadline(time.Now().Add(responsePollInterval.Duration())); err != nil {
			return err
		}
		_, err := x.conn.reader.Peek(1)
		if err == nil {
			return x.conn.SetReadDeadline(time.Time{})
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !keepWaiting(t.f.deps.Telemetry.Clock.Now()-x.sentAt) {
			return err
		}
	}
}
