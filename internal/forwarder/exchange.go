package forwarder

import (
	"context"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// dialTimeout is the time limit for opening a connection. The round trip to the farthest server takes tens of
	// milliseconds and a lost SYN is retransmitted after one second, so trying another server is faster than waiting.
	dialTimeout = 300 * timer.Millisecond
	// maxFailedDials is the number of servers that a request fails to connect to before it is refused.
	maxFailedDials = 8
)

// attemptOutcome is the result of one attempt.
type attemptOutcome uint8

const (
	// attemptNotSent: nothing reached the server.
	attemptNotSent attemptOutcome = iota
	// attemptNotRun: the server reports that it did not run the request.
	attemptNotRun
	// attemptUnknown: the request was sent and no usable response arrived.
	attemptUnknown
	// attemptOutdated: before the request was sent, the process stood still, or the server said that it leaves or asked to be left
	// alone, so the choice of the server is outdated.
	attemptOutdated
	// attemptResponded: the status line and header of a response have arrived.
	attemptResponded
	// attemptPending: the request was sent, and its response is awaited.
	attemptPending
)

// exchange is one attempt at one server.
type exchange struct {
	server  *server
	conn    *exchanger.Conn
	request exchanger.Request
	res     *exchanger.Response
	sentAt  timer.Millis
	// model is the model that was asked; the task may go on with a larger one.
	model string
	// delay is the limit for which another server is asked to take over. Before patientUntil none is asked, since none took the
	// request.
	delay        delay
	patientUntil timer.Millis
	// firstEventAt is when the first event of a stream arrived; 0 before that.
	firstEventAt timer.Millis
	// lastEventAt is when the last event of a stream arrived; gaps are the first gaps between its events, in milliseconds.
	lastEventAt  timer.Millis
	gaps         []float64
	paceRecorded bool
	// isDetour is true if the connection leads through another instance.
	isDetour bool
	// knowledge is what this instance knew of the server when the request was sent.
	knowledge serverKnowledge
	// loadAtSend is the number of requests at the server when the request was sent.
	loadAtSend int
	// survived is true once the answer has gone on for survivalTime.
	survived bool
	// urgency and pendingPrefill are what the request adds to the server's prefill queue until its first event.
	urgency        int
	pendingPrefill float64
	// prefill is the estimated prefill time of the prompt, and queueWait that of the prompts before it, in milliseconds.
	prefill, queueWait float64
	// expected is the estimated time to the first byte, in milliseconds; 0 if nothing is known.
	expected float64
	// returnPlace gives the place at the server back; if the response is not complete, the server may go on for a while.
	returnPlace func(complete bool)
	// detachContext stops the context from closing the connection; it returns false if that has already happened.
	detachContext func() bool
	err           error
}

// progress tells in logs how much of a response has arrived.
func (x *exchange) progress() string {
	switch {
	case x.firstEventAt > 0:
		return "events"
	case x.res != nil:
		return "head"
	}
	return "none"
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
	if complete && connOpen {
		x.server.pool.PutAfter(x.conn, x.res)
	} else {
		_ = x.conn.Close()
	}
	x.conn = nil
	x.returnPlace(complete)
}

// firstByteWait bounds the wait for the first byte of a response; nil waits until the end of the context closes the connection.
type firstByteWait func(ctx context.Context, x *exchange) exchanger.Wait

// attempt makes the next attempt and reads the header of its response, or goes on with an attempt that was started while the last
// one was in progress.
func (t *task) attempt(ctx context.Context, wait firstByteWait) (*exchange, attemptOutcome, *Refusal) {
	x, outcome := t.next, attemptPending
	if x != nil {
		t.next = nil
		t.recordPlaced(x.server, x.sentAt)
	} else {
		s, refusal := t.acquireServer(ctx)
		if refusal != nil {
			return nil, attemptNotSent, refusal
		}
		x, outcome = t.transmit(ctx, s)
	}
	switch {
	case x.res != nil:
		outcome = attemptResponded
	case outcome == attemptPending:
		outcome = t.readHead(x, wait(ctx, x))
	}
	if outcome == attemptResponded {
		t.confidence = x.res.Info.Confidence
	}
	return x, outcome, nil
}

// transmit sends the request to a server; the outcome is attemptPending if its response can be read.
func (t *task) transmit(ctx context.Context, s *server) (*exchange, attemptOutcome) {
	now := t.f.deps.Telemetry.Clock.Now()
	x := &exchange{server: s, sentAt: now, model: t.model}
	// A copy of the response to an earlier attempt bears the same id, so no connection carries two attempts of a request.
	c := s.pool.Get(t.usedConns, t.relays())
	if c == nil {
		var err error
		if c, err = s.pool.Open(ctx, min(dialTimeout, t.deadline-now), t.relays()); err != nil {
			x.err = err
			t.returnPlace(s)
			if t.recordRestingGateway(s, err) {
				return x, attemptOutdated
			}
			return x, attemptNotSent
		}
	}
	// The connection may have taken a while to open, in which another answer has arrived.
	opened := t.f.deps.Telemetry.Clock.Now()
	isLateStart := opened-now > coldSendTimeout && s.starts.IsCold(opened)
	if t.f.deps.AwaitCurrent(ctx) || s.isLeaving.Load() || t.f.deps.Telemetry.Clock.Now() < s.ration.RestsUntil() || isLateStart {
		s.pool.Put(c)
		t.returnPlace(s)
		return x, attemptOutdated
	}
	t.usedConns = append(t.usedConns, c)
	t.countAttempt()
	t.begin(ctx, x, c)
	x.request = exchanger.Request{ID: t.ID, Method: t.Method, Target: t.Target, Host: t.Host, Body: t.Body,
		Header: t.f.deps.Codec.RequestHeader(t.Request, t.newAttempt(s, x.urgency))}
	x.sentAt = t.f.deps.Telemetry.Clock.Now()
	x.loadAtSend = s.load(x.sentAt)
	x.knowledge = s.knowledge(x.sentAt)
	if err := c.Write(x.request); err != nil {
		return x, t.abortAttempt(x, err)
	}
	return x, attemptPending
}

// readHead reads the header of the response to an attempt. If a reused connection breaks after the request was written, the server
// may have run the request: the outcome is attemptUnknown.
func (t *task) readHead(x *exchange, wait exchanger.Wait) attemptOutcome {
	res, err := x.conn.ReadResponse(x.request, t.f.deps.Codec.ParseResponse, wait)
	if err != nil {
		return t.abortAttempt(x, err)
	}
	if t.f.seals.isMissing(t.service, res) {
		return t.abortAttempt(x, errNoSeal)
	}
	s := x.server
	x.res = res
	now := t.f.deps.Telemetry.Clock.Now()
	s.lastByte.Store(int64(now))
	x.releasePrefill()
	s.updateLoad(res.Info, now)
	t.recordTerms(x, now)
	if res.Info.NotRun {
		return attemptNotRun
	}
	if t.PromptTokens > 0 && res.StatusCode < http.StatusMultipleChoices {
		t.f.prefillEstimator.observe(t.model, t.PromptTokens, float64(now-x.sentAt)/s.meter.Factor())
	}
	return attemptResponded
}

// countAttempt counts an attempt against the attempt limit and uses its token of the retry budget. A server that accepts no
// connection gets no request, so it is not counted.
func (t *task) countAttempt() {
	t.attempts++
	t.hasRetryToken = false
}

// begin registers the attempt at its server.
func (t *task) begin(ctx context.Context, x *exchange, c *exchanger.Conn) {
	s := x.server
	x.conn, x.isDetour = c, c.IsDetour()
	if s.inFlight.Add(1) == 1 {
		s.busySince.Store(int64(t.f.deps.Telemetry.Clock.Now()))
	}
	// Before prefixTracker assumes that the server caches the shared parts, which prefillTime then leaves out.
	x.urgency, x.pendingPrefill = t.urgency(s), t.prefillTime(s)
	x.prefill, x.queueWait = x.pendingPrefill, s.prefillQueue.waitFor(x.urgency, x.sentAt)
	x.expected = t.expectedTime(x)
	s.prefillQueue.add(x.urgency, x.pendingPrefill)
	if x.pendingPrefill >= longPrefill {
		t.f.deps.OnLongPrefill()
	}
	t.f.prefixTracker.recordSent(t.prefixKey(), s.Name, x.sentAt)
	x.returnPlace = func(complete bool) {
		if complete {
			t.returnPlace(s)
			return
		}
		s.places.ReturnLater(t.f.deps.Telemetry.Clock.Now() + abandonedWorkTime)
	}
	x.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
}

// abortAttempt records the error of an attempt and closes its connection.
func (t *task) abortAttempt(x *exchange, err error) attemptOutcome {
	x.err = err
	x.release(false)
	return attemptUnknown
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
