package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 256 << 10
	// streamBuffer is the size of the reads of a stream, in bytes.
	streamBuffer = 4096
	// deadAfter is the silence of a server towards all requests of this instance after which a waiting stream moves.
	deadAfter = 700 * timer.Millisecond
	// firstPatience is how many times the target a stream waits for its first event at a server that answers others.
	firstPatience = 3
	// gapPatience is how many times the longest good pause a stream waits in its middle at a server that answers others.
	gapPatience = 2
)

var errLongEvent = errors.New("an event of the stream is too long")

// runStream answers a stream event by event, and lets it go on elsewhere where the route allows.
func (t *task) runStream(ctx context.Context) *Refusal {
	for {
		s, refusal := t.place(ctx)
		if refusal != nil {
			return refusal
		}
		x, outcome := t.send(ctx, s, t.streamPatience(s))
		if outcome == outcomeAnswered {
			done, refusal := t.takeStream(ctx, x)
			if done {
				return refusal
			}
		} else if refusal := t.after(ctx, x, outcome); refusal != nil {
			return refusal
		}
	}
}

// streamPatience moves a stream on when its server says nothing to anyone, or nothing to it for very long.
func (t *task) streamPatience(s *server) func(timer.Millis) bool {
	if !t.route.Repeatable() {
		return nil
	}
	// The prompt counts in full here: sending it makes the server look as if it held the shared parts already.
	wait := timer.Millis(s.work.before(t.urgency(s), t.f.deps.Common.Clock.Now()) + t.promptWork(s))
	return func(since timer.Millis) bool {
		if t.attempts >= t.route.MaxAttempts || !t.f.budget.left() {
			return true
		}
		now := t.f.deps.Common.Clock.Now()
		silent := min(since, now-timer.Millis(s.lastByte.Load()))
		dead := max(deadAfter, t.f.expected(t)*3/2)
		if s.running.Load() <= 1 {
			// Nobody else is there whom the server could answer while it reads.
			dead = max(dead, movePatience*wait)
		}
		return silent < dead && since < firstPatience*t.route.Target && !t.stuck(s, since, now)
	}
}

const (
	// stuckShare is the part of the target, in percent, after which a prompt that others overtake may go elsewhere.
	stuckShare = 60
	// stuckWork is the most work, in milliseconds, that may wait at the other server: moving must pay.
	stuckWork = 100.0
	// movePatience is how many times its reading at the other server a prompt waits before it is moved: what was read is
	// lost, and reading takes longer than its length says where a prompt is very long.
	movePatience = 2
)

// stuck reports whether a prompt waits far longer than another server would let it wait.
func (t *task) stuck(s *server, since, now timer.Millis) bool {
	if t.writer.status != 0 || since*100 < t.route.Target*stuckShare {
		return false
	}
	other := t.cheapest(t.candidates(now), now, false)
	if other == nil || other.Name == s.Name {
		return false
	}
	before := other.work.before(t.urgency(other), now)
	return before < stuckWork && float64(since) > movePatience*(before+t.promptWork(other))
}

// takeStream sends the events of one attempt on; done says that the request needs no other attempt.
func (t *task) takeStream(ctx context.Context, x *exchange) (done bool, refusal *Refusal) {
	defer func() { x.end(false) }()
	if x.res.StatusCode >= http.StatusMultipleChoices {
		if t.writer.status == 0 {
			return t.takePlain(x)
		}
		t.ran = true
		x.server.failed(t.f.deps.Common.Clock.Now(), true)
		return !t.mayRepeat(), t.lost("the stream could not go on elsewhere")
	}
	t.ran = true
	if small := t.model; t.escalate(x) {
		t.f.deps.Common.Log.Info("larger model asked", "request", t.ID, "server", x.server.Name, "model", small, "confidence", x.verdict.Confidence,
			"since-sent-ms", int64(t.f.deps.Common.Clock.Now()-x.sentAt), "next", t.model)
		x.end(false)
		x.server.succeeded()
		t.f.noteFirst(t, x, t.f.deps.Common.Clock.Now()-x.sentAt)
		return false, nil
	}
	err := t.pump(x)
	now := t.f.deps.Common.Clock.Now()
	if err == nil {
		x.end(true)
		x.server.succeeded()
		t.f.note(t, x.server, resultGood)
		return true, nil
	}
	x.end(false)
	if ctx.Err() != nil || errors.Is(err, errCallerLeft) {
		return true, t.expired()
	}
	x.server.failed(now, true)
	t.noteBroken(x.server, now)
	t.f.deps.Common.Log.Info("stream broke", "request", t.ID, "server", x.server.Name, "attempt", t.attempts,
		"last-event", t.LastEvent, "error", err, "after-ms", int64(now-x.sentAt))
	if t.mayRepeat() {
		return false, nil
	}
	return true, t.lost("the backend server's stream broke off")
}

var errCallerLeft = errors.New("the caller has left")

// pump reads events and sends each on as soon as it is whole; it returns nil at the stream's proper end.
func (t *task) pump(x *exchange) error {
	buf := make([]byte, 0, streamBuffer)
	first := true
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		x.conn.limitRead(t, first)
		n, err := x.res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		now := t.f.deps.Common.Clock.Now()
		if n > 0 {
			x.server.lastByte.Store(int64(now))
		}
		if whole := wholeEvents(buf); whole > 0 {
			if first {
				first = false
				t.f.noteFirst(t, x, now-x.sentAt)
			}
			if failed := t.forward(x, buf[:whole], now); failed != nil {
				return failed
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		switch {
		case err == io.EOF && len(buf) > 0 && t.writer.status != 0:
			return io.ErrUnexpectedEOF
		case err == io.EOF && first:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(buf) > maxEvent:
			return errLongEvent
		}
	}
}

// forward sends whole events to the caller.
func (t *task) forward(x *exchange, events []byte, now timer.Millis) error {
	if t.writer.status == 0 {
		t.writer.begin(x.res, -1, now)
	}
	if err := t.writer.piece(events); err != nil {
		return errCallerLeft
	}
	if id := lastEventID(events); id != "" {
		t.LastEvent = id
	}
	return nil
}

// limitRead bounds the wait for the next bytes of a stream.
func (c *conn) limitRead(t *task, first bool) {
	span := gapPatience * t.route.GapTarget
	if first || span == 0 {
		span = firstPatience * t.route.Target
	}
	if !t.route.Repeatable() || t.attempts >= t.route.MaxAttempts {
		span = t.route.Timeout
	}
	_ = c.SetReadDeadline(time.Now().Add(span.Duration()))
}

// wholeEvents returns the length of the events at the start of b that are complete.
func wholeEvents(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	whole := 0
	if lf >= 0 {
		whole = lf + 2
	}
	if crlf >= 0 {
		whole = max(whole, crlf+4)
	}
	return whole
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	mark := []byte("id:")
	for end := len(events); end > 0; {
		i := bytes.LastIndex(events[:end], mark)
		if i < 0 {
			return ""
		}
		if i == 0 || events[i-1] == '\n' {
			line := events[i+len(mark):]
			if j := bytes.IndexAny(line, "\r\n"); j >= 0 {
				line = line[:j]
			}
			return string(bytes.TrimSpace(line))
		}
		end = i
	}
	return ""
}
