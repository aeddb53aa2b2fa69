package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/verifier"
)

// task is what every kind of request needs while it is served.
type task struct {
	*Router
	req      *receiver.Request
	reply    *receiver.Reply
	story    *explainer.Story
	tried    []string
	attempts int
	// suspect says that the request has crashed a backend server, so that it runs alone.
	suspect bool
	// unsent counts the attempts that no backend server ran.
	unsent int
	// ran is the most that any attempt so far may have done.
	ran receiver.Ran
}

// view returns the newest view of the request's environment.
func (t *task) view() *indexer.View {
	return t.deps.View(t.req.Environment)
}

// errCallerLeft ends a request whose caller takes no more of the answer.
var errCallerLeft = &receiver.Refusal{
	Status: admitter.StatusCallerLeft, Type: "caller-left", Message: "the caller left before the end of the answer", Ran: receiver.RanUnknown,
}

// place chooses a backend server that was not tried yet and counts the attempt.
func (t *task) place(servers []registrar.BackendServer, affinity string) (placer.Placement, error) {
	start := time.Now()
	p, ok := t.deps.Placer.Place(t.view(), placer.Query{Servers: servers, Affinity: affinity, Tried: t.tried, Alone: t.suspect})
	t.meter.placement.Update(time.Since(start).Microseconds())
	if !ok {
		return p, t.noServer()
	}
	t.attempts++
	t.tried = append(t.tried, p.Server.Name)
	t.meter.attempts.Inc(1)
	t.story.Note("placer", "attempt %d on %s of %d candidates, score %.3f, affinity %t", t.attempts, p.Server.Name, p.Candidates, p.Score, p.Affinity)
	return p, nil
}

// admitTo waits until the pool has room for one more request.
func (t *task) admitTo(ctx context.Context, pool string, servers func() []registrar.BackendServer) (*admitter.Ticket, error) {
	room := func() (int, int) { return placer.Room(servers(), t.deps.Common.Clock.Now()) }
	ticket, err := t.deps.Admitter.AdmitTo(ctx, pool, room, t.req)
	if err != nil {
		t.story.Note("admitter", "pool %s: %v", pool, err)
		return nil, receiver.AsRefusal(err).WithRan(t.ranSoFar())
	}
	return ticket, nil
}

func (t *task) noServer() error {
	r := receiver.Refuse(http.StatusServiceUnavailable, "no-backend-server", "no backend server is left to try")
	r.RetryAfter = 1
	return r.WithRan(t.ranSoFar())
}

func (t *task) ranSoFar() receiver.Ran {
	if t.ran == "" {
		return receiver.RanNo
	}
	return t.ran
}

// noteRan remembers the most that an attempt may have done.
func (t *task) noteRan(ran receiver.Ran) {
	if ran == receiver.RanNo || t.ran == receiver.RanYes {
		return
	}
	t.ran = ran
}

// noteFailure counts a failed attempt; a caller who left or erred is not held against the backend server.
func (t *task) noteFailure(ctx context.Context, p placer.Placement, err error) {
	var refusal *receiver.Refusal
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		p.Server.Traffic.NoteFailure(t.deps.Common.Clock.Now())
		t.meter.faults.Inc(1)
	}
	t.story.Note("dispatcher", "attempt %d failed: %v", t.attempts, err)
	t.deps.Common.Log.Warn("attempt failed", "request", t.req.ID, "server", p.Server.Name, "attempt", t.attempts, "error", err)
	var sent *dispatcher.SendError
	if errors.As(err, &sent) {
		t.noteRan(sent.Ran)
		t.noteCrash(ctx, p, sent.Ran)
		return
	}
	t.noteRan(receiver.RanYes)
	t.noteCrash(ctx, p, receiver.RanYes)
}

// noteCrash makes the request a suspect when its backend server went down while it ran there.
func (t *task) noteCrash(ctx context.Context, p placer.Placement, ran receiver.Ran) {
	if ran == receiver.RanNo || ctx.Err() != nil || !t.deps.Crashed(p.Server.Address) {
		return
	}
	t.suspect = true
	t.story.Note("quarantiner", "backend server %s went down while it ran the request", p.Server.Name)
	t.deps.Common.Log.Warn("backend server crashed", "request", t.req.ID, "server", p.Server.Name)
	t.deps.Quarantine.Strike(quarantiner.Strike{Digest: t.digest(), Server: p.Server.Name, Incarnation: p.Server.Incarnation})
}

// digest identifies what the request asks, whoever sends it again.
func (t *task) digest() string {
	return t.req.Workspace.Name + "/" + t.req.Digest()
}

// checkQuarantine refuses a request that has crashed too many backend servers, and marks one that crashed any.
func (t *task) checkQuarantine() error {
	digest := t.digest()
	t.suspect = t.deps.Quarantine.Suspect(digest)
	if !t.deps.Quarantine.Barred(digest) {
		return nil
	}
	t.story.Note("quarantiner", "refused: two backend servers went down while they ran it")
	return receiver.Refuse(http.StatusUnprocessableEntity, "quarantined",
		"two backend servers went down while they ran this request; it is not run again").WithRan(t.ranSoFar())
}

// mayRetry reports whether another attempt is allowed after the failure.
func (t *task) mayRetry(ctx context.Context, err error) bool {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil {
		return false
	}
	if neverSent(err) {
		// Such attempts are bounded by the backend servers that there are: none is tried twice.
		t.unsent++
		t.meter.retries.Inc(1)
		return true
	}
	if t.attempts-t.unsent >= t.deps.Limits.MaxAttempts {
		return false
	}
	if !t.deps.Budget.Retry() {
		t.story.Note("retrier", "the retry budget is spent")
		return false
	}
	t.meter.retries.Inc(1)
	return true
}

// neverSent reports whether the failed attempt cost no backend server any work, so that a retry cannot add to a storm.
func neverSent(err error) bool {
	var sent *dispatcher.SendError
	return errors.As(err, &sent) && sent.Ran == receiver.RanNo
}

// refusal turns the last failure into what the caller is told.
func (t *task) refusal(ctx context.Context, err error) error {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return errCallerLeft.WithRan(t.ranSoFar())
	}
	r := receiver.Refuse(http.StatusBadGateway, "backend-server-failed", err.Error()).WithRan(t.ranSoFar())
	if ctx.Err() != nil {
		r.Status = http.StatusGatewayTimeout
		r.Type = "deadline-passed"
	}
	return r
}

// readAll reads an answer that is held until it is whole.
func (t *task) readAll(res *dispatcher.Response) ([]byte, error) {
	limit := t.deps.Limits.MaxAnswer
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, &verifier.Fault{Kind: verifier.FaultCut, Detail: err.Error()}
	}
	if int64(len(body)) > limit {
		return nil, receiver.Refuse(http.StatusBadGateway, "answer-too-large", "the answer is larger than max-answer").WithRan(receiver.RanYes)
	}
	return body, nil
}
