package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// runStream relays a stream event by event and resumes it at another server if the route allows that.
func (t *task) runStream(ctx context.Context) *Refusal {
	for {
		x, outcome, refusal := t.attempt(ctx, t.streamWait)
		if refusal != nil {
			return refusal
		}
		if outcome == attemptResponded {
			done, refusal := t.relayStream(ctx, x)
			if done {
				return refusal
			}
		} else if refusal := t.handleFailedAttempt(ctx, x, outcome); refusal != nil {
			return refusal
		}
	}
}

// relayStream sends the events of one attempt to the caller; done means that no other attempt is needed.
func (t *task) relayStream(ctx context.Context, x *exchange) (done bool, refusal *Refusal) {
	defer func() { x.release(false) }()
	isContinuation := t.writer.status != 0
	if x.res.StatusCode >= http.StatusMultipleChoices || isContinuation && !isEventStream(x.res.Response) {
		if !isContinuation {
			return t.relayPlain(ctx, x)
		}
		t.mayHaveRun = true
		t.recordServerFailure(x.server, t.f.deps.Telemetry.Clock.Now())
		return !t.canRetry(), t.badGatewayRefusal("the stream could not go on elsewhere")
	}
	t.mayHaveRun = true
	t.dropNext()
	if current := t.model; t.escalate(ctx, x) {
		t.f.deps.Telemetry.Log.Info("larger model asked", "request", t.ID, "server", x.server.Name, "model", current,
			"confidence", x.res.Info.Confidence, "since-sent-ms", int64(t.f.deps.Telemetry.Clock.Now()-x.sentAt), "next", t.model)
		x.release(false)
		x.server.recordSuccess()
		t.f.recordFirstByte(t, x, t.f.deps.Telemetry.Clock.Now()-x.sentAt)
		return false, nil
	}
	err := t.relayEvents(ctx, x, isContinuation)
	now := t.f.deps.Telemetry.Clock.Now()
	if err == nil {
		x.release(true)
		x.server.recordSuccess()
		t.recordSurvival()
		t.recordStreamPace(x)
		t.f.recordOutcome(t, x.server, gradeGood)
		return true, nil
	}
	x.release(false)
	if ctx.Err() != nil || errors.Is(err, errCallerLeft) {
		return true, t.timeoutRefusal()
	}
	t.f.deps.Telemetry.Log.Info("stream broke", "request", t.ID, "server", x.server.Name, "attempt", t.attempts,
		"last-event", t.LastEventID, "error", err, "after-ms", int64(now-x.sentAt), "progress", x.progress(),
		"shared-parts", t.sharedPartIDs())
	t.recordBrokenAttempt(ctx, x, now)
	if t.canRetry() {
		return false, nil
	}
	return true, t.badGatewayRefusal("the backend server's stream broke off")
}

// isEventStream reports whether a response announces events.
func isEventStream(res *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// errNoContinuation is the error of a server that was to go on with a stream and sent other events.
var errNoContinuation = errors.New("the events do not continue the stream")

var errCallerLeft = errors.New("the caller closed its connection")

// relayEvents sends each event to the caller as soon as it is complete; it returns nil at the regular end of the
// stream. The ids of events increase, and the events of a continuation must follow those that the caller has.
func (t *task) relayEvents(ctx context.Context, x *exchange, isContinuation bool) error {
	reader := x.res.Events(t.eventWait(ctx, x))
	if t.LastEventID != "" && !t.hasMoreEvents {
		reader = reader.WithEmptyRest()
	}
	defer reader.Free()
	// lastID is the id of the last event of this attempt.
	lastID := ""
	for first := true; ; first = false {
		events, err := reader.Next()
		switch {
		case err == io.EOF:
			if t.writer.status == 0 {
				t.writer.writeHead(x.res.Response, -1, t.f.deps.Telemetry.Clock.Now())
			}
			return nil
		case err != nil:
			t.hasMoreEvents = t.hasMoreEvents || reader.HasPart()
			return err
		}
		t.hasMoreEvents = false
		now := t.f.deps.Telemetry.Clock.Now()
		x.server.lastByte.Store(int64(now))
		if isContinuation && !exchanger.ContinueStream(t.LastEventID, events) || !exchanger.HasIncreasingIDs(lastID, events) {
			return errNoContinuation
		}
		t.dropNext()
		lastID = cmp.Or(exchanger.LastEventID(events), lastID)
		if first {
			x.firstEventAt = now
			t.f.recordFirstByte(t, x, now-x.sentAt)
		}
		t.recordGaps(x, exchanger.CountEvents(events), now)
		if !x.survived && now-x.firstEventAt >= survivalTime {
			x.survived = true
			t.recordSurvival()
		}
		if err := t.writeEvents(x, events, now); err != nil {
			return err
		}
	}
}

// writeEvents sends complete events to the caller.
func (t *task) writeEvents(x *exchange, events []byte, now timer.Millis) error {
	if t.writer.status == 0 {
		t.writer.writeHead(x.res.Response, -1, now)
	}
	if err := t.writer.writeChunk(events); err != nil {
		return errCallerLeft
	}
	if id := exchanger.LastEventID(events); id != "" {
		t.LastEventID = id
	}
	return nil
}
