package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// dialLimit is how long a connection may take: a lost opening packet is sent again after a second, so that trying
// another server is faster than waiting for it.
const dialLimit = 600 * timer.Millisecond

// outcome says how far an attempt came.
type outcome uint8

const (
	// outcomeNotSent: nothing reached the server.
	outcomeNotSent outcome = iota
	// outcomeNotRun: the server says that it did not run the request.
	outcomeNotRun
	// outcomeUnknown: the request went out and no usable answer came.
	outcomeUnknown
	// outcomeAnswered: the head of an answer is there.
	outcomeAnswered
)

// exchange is one attempt at one server.
type exchange struct {
	server  *server
	conn    *conn
	res     *http.Response
	verdict Verdict
	sentAt  timer.Millis
	// urgency and work are what the request's prompt adds to the server's work until its first event.
	urgency int
	work    float64
	// reading is how long the prompt takes to read, in milliseconds.
	reading float64
	cancel  func() bool
	err     error
}

// read takes the prompt off the server's work once it is read, or the attempt has ended.
func (x *exchange) read() {
	if x.work > 0 {
		x.server.work.add(x.urgency, -x.work)
		x.work = 0
	}
}

// end returns the connection for reuse when its answer was read to its end, and drops it otherwise.
func (x *exchange) end(whole bool) {
	if x.conn == nil {
		return
	}
	live := x.cancel()
	x.read()
	x.server.running.Add(-1)
	if whole && live && !x.res.Close && x.conn.SetDeadline(time.Time{}) == nil {
		if x.verdict.IdleSpan > 0 {
			x.conn.idle = max(0, x.verdict.IdleSpan-idleMargin)
		}
		x.server.pool.put(x.conn)
	} else {
		_ = x.conn.Close()
	}
	x.conn = nil
}

// send makes one attempt and reads the head of the answer. A kept connection is used only while it is open and silent; one
// that breaks after the request was written leaves open whether the server has run it.
func (t *task) send(ctx context.Context, s *server, patience func(timer.Millis) bool) (*exchange, outcome) {
	x := &exchange{server: s}
	now := t.f.deps.Common.Clock.Now()
	c := s.pool.get()
	if c == nil {
		var err error
		if c, err = s.pool.dial(ctx, min(dialLimit, t.deadline-now)); err != nil {
			x.err = err
			return x, outcomeNotSent
		}
	}
	x.conn = c
	s.running.Add(1)
	x.urgency, x.work = t.urgency(s), t.promptWork(s)
	x.reading = x.work
	s.work.add(x.urgency, x.work)
	if x.work >= longPrompt {
		t.f.deps.WorkGrown()
	}
	t.f.prefixes.note(t.prefixKey(), s.Name, now)
	x.cancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	header := t.f.deps.Codec.Prepare(t.Request, t.attempt(s, x.urgency))
	x.sentAt = t.f.deps.Common.Clock.Now()
	if err := c.write(t.Request, header); err != nil {
		return t.failed(x, err)
	}
	if err := t.await(x, patience); err != nil {
		return t.failed(x, err)
	}
	res, verdict, err := c.read(t.Method, t.ID, t.f.deps.Codec.Inspect)
	if err != nil {
		return t.failed(x, err)
	}
	x.res, x.verdict = res, verdict
	now = t.f.deps.Common.Clock.Now()
	s.lastByte.Store(int64(now))
	x.read()
	if t.TokensIn > 0 {
		t.f.paces.learn(t.model, t.TokensIn, now-x.sentAt)
	}
	s.report(verdict, now)
	t.confidence = verdict.Confidence
	if verdict.Refused {
		return x, outcomeNotRun
	}
	return x, outcomeAnswered
}

func (t *task) failed(x *exchange, err error) (*exchange, outcome) {
	x.err = err
	x.end(false)
	return x, outcomeUnknown
}

func (t *task) attempt(s *server, urgency int) Attempt {
	a := Attempt{Server: s.Name, TimeLeft: t.deadline - t.f.deps.Common.Clock.Now(), Model: t.model, Urgency: urgency, LastEvent: t.LastEvent}
	if t.workspace != nil {
		a.Workspace = t.workspace.Name
	}
	return a
}

// watchEvery is the time between looks at a server that has not answered.
const watchEvery = 100 * timer.Millisecond

// await waits for the first byte of an answer, as long as patience lasts; patience is asked with the time since the
// request was sent, in milliseconds. The end of the context closes the connection.
func (t *task) await(x *exchange, patience func(timer.Millis) bool) error {
	if patience == nil {
		return nil
	}
	for {
		if err := x.conn.SetReadDeadline(time.Now().Add(watchEvery.Duration())); err != nil {
			return err
		}
		_, err := x.conn.reader.Peek(1)
		if err == nil {
			return x.conn.SetReadDeadline(time.Time{})
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !patience(t.f.deps.Common.Clock.Now()-x.sentAt) {
			return err
		}
	}
}
