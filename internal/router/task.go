package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/verifier"
)

// task is the state of one request that model and service requests have in common.
type task struct {
	*Router
	req          *receiver.Request
	reply        *receiver.Reply
	decisions    *explainer.DecisionLog
	triedServers []string
	attempts     int
	// suspect is set when the request may have crashed a backend server; it is then placed alone on a server.
	suspect bool
	// notRun counts the attempts that certainly did not run on a backend server.
	notRun int
	// ran is the worst case over all attempts so far; empty means that none has run.
	ran receiver.Ran
	// reserved is the place of the next attempt and its server, taken with a retry of the budget before a stalled answer is
	// left; nil if there is none.
	reserved *placer.Placement
}

// view returns the newest view of the request's environment.
func (t *task) view() *indexer.View {
	return t.deps.View(t.req.Environment)
}

// errCallerLeft ends a request after its caller has disconnected.
var errCallerLeft = &receiver.Refusal{
	Status: admitter.StatusCallerLeft, Type: "caller-left", Message: "the caller left before the end of the answer", Ran: receiver.RanUnknown,
}

// place chooses a backend server that was not tried yet, and counts the attempt.
func (t *task) place(view *indexer.View, servers []registrar.BackendServer, affinity string) (placer.Placement, error) {
	start := time.Now()
	p, ok := t.deps.Placer.Place(view, placer.Query{Servers: servers, Affinity: affinity, Tried: t.triedServers, Isolated: t.suspect})
	t.metrics.placementMicros.Update(time.Since(start).Microseconds())
	if !ok {
		return p, t.noServerError()
	}
	t.recordAttempt(p)
	return p, nil
}

// recordAttempt counts an attempt at the server of a placement.
func (t *task) recordAttempt(p placer.Placement) {
	t.attempts++
	t.triedServers = append(t.triedServers, p.Server.Name)
	t.metrics.attempts.Inc(1)
	t.decisions.Record("placer", "attempt %d on %s of %d candidates, score %.3f, affinity %t", t.attempts, p.Server.Name, p.Candidates, p.Score, p.ByAffinity)
}

// admitToPool waits in the pool's queue until its servers have room for the request.
func (t *task) admitToPool(ctx context.Context, pool string, servers func() []registrar.BackendServer) (*admitter.Ticket, error) {
	room := func() (int, int) { return placer.FreeSlots(servers(), t.deps.Telemetry.Clock.Now()) }
	ticket, err := t.deps.Admitter.AdmitToPool(ctx, pool, room, t.req)
	if err != nil {
		t.decisions.Record("admitter", "pool %s: %v", pool, err)
		return nil, receiver.AsRefusal(err).WithRan(t.ranSoFar())
	}
	return ticket, nil
}

func (t *task) noServerError() error {
	r := receiver.NewRefusal(http.StatusServiceUnavailable, "no-backend-server", "no backend server is left to try")
	r.RetryAfterSeconds = 1
	return r.WithRan(t.ranSoFar())
}

func (t *task) ranSoFar() receiver.Ran {
	if t.ran == "" {
		return receiver.RanNo
	}
	return t.ran
}

// recordRan raises t.ran to ran: yes outranks unknown, and unknown outranks no.
func (t *task) recordRan(ran receiver.Ran) {
	if ran == receiver.RanNo || t.ran == receiver.RanYes {
		return
	}
	t.ran = ran
}

// recordFailure records a failed attempt. A caller who disconnects or sends a bad request does not count as a failure
// of the backend server.
func (t *task) recordFailure(ctx context.Context, p placer.Placement, err error) {
	var refusal *receiver.Refusal
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		p.Server.Traffic.RecordFailure(t.deps.Telemetry.Clock.Now())
		t.metrics.answerFaults.Inc(1)
	}
	t.decisions.Record("dispatcher", "attempt %d failed: %v", t.attempts, err)
	t.deps.Telemetry.Log.Warn("attempt failed", "request", t.req.ID, "server", p.Server.Name, "attempt", t.attempts, "error", err)
	var sendErr *dispatcher.SendError
	if errors.As(err, &sendErr) {
		t.recordRan(sendErr.Ran)
		t.recordCrash(ctx, p, sendErr.Ran)
		return
	}
	t.recordRan(receiver.RanYes)
	t.recordCrash(ctx, p, receiver.RanYes)
}

// recordCrash marks the request as a suspect if its backend server crashed while the request ran on it.
func (t *task) recordCrash(ctx context.Context, p placer.Placement, ran receiver.Ran) {
	if ran == receiver.RanNo || ctx.Err() != nil || !t.deps.RefusesConnection(p.Server.Address) {
		return
	}
	t.suspect = true
	t.decisions.Record("quarantiner", "backend server %s went down while it ran the request", p.Server.Name)
	t.deps.Telemetry.Log.Warn("backend server crashed", "request", t.req.ID, "server", p.Server.Name)
	t.deps.Quarantine.Report(quarantiner.Crash{Digest: t.digest(), Server: p.Server.Name, Incarnation: p.Server.Incarnation})
}

// digest identifies the content of the request within its workspace, so that a resend has the same digest.
func (t *task) digest() string {
	return t.req.Workspace.Name + "/" + t.req.Fingerprint()
}

// checkQuarantine refuses a request that has crashed too many backend servers, and marks one that has crashed any as a
// suspect.
func (t *task) checkQuarantine() error {
	digest := t.digest()
	t.suspect = t.deps.Quarantine.IsSuspect(digest)
	if !t.deps.Quarantine.IsBlocked(digest) {
		return nil
	}
	t.decisions.Record("quarantiner", "refused: two backend servers went down while they ran it")
	return receiver.NewRefusal(http.StatusUnprocessableEntity, "quarantined",
		"two backend servers went down while they ran this request; it is not run again").WithRan(t.ranSoFar())
}

// canRetry reports whether another attempt is allowed after the failure.
func (t *task) canRetry(ctx context.Context, err error) bool {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil {
		return false
	}
	if didNotRun(err) {
		// The number of backend servers bounds these attempts, since none is tried twice.
		t.notRun++
		t.metrics.retries.Inc(1)
		return true
	}
	if t.reserved != nil {
		// The retry was taken from the budget together with the place.
		t.metrics.retries.Inc(1)
		return true
	}
	if t.attempts-t.notRun >= t.deps.Limits.MaxAttempts {
		return false
	}
	if !t.deps.RetryBudget.TryRetry() {
		t.decisions.Record("retrier", "the retry budget is spent")
		return false
	}
	t.metrics.retries.Inc(1)
	return true
}

// didNotRun reports whether the failed attempt certainly did not run. Its retry adds no work to the backend servers and
// so cannot cause a retry storm.
func didNotRun(err error) bool {
	var sendErr *dispatcher.SendError
	return errors.As(err, &sendErr) && sendErr.Ran == receiver.RanNo
}

// toRefusal turns the error of the last attempt into the refusal that is sent to the caller.
func (t *task) toRefusal(ctx context.Context, err error) error {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return errCallerLeft.WithRan(t.ranSoFar())
	}
	r := receiver.NewRefusal(http.StatusBadGateway, "backend-server-failed", err.Error()).WithRan(t.ranSoFar())
	if ctx.Err() != nil {
		r.Status = http.StatusGatewayTimeout
		r.Type = "deadline-passed"
	}
	return r
}

// readAll reads the body of an answer that is not streamed, up to the limit.
func (t *task) readAll(res *dispatcher.Response) ([]byte, error) {
	limit := t.deps.Limits.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, &verifier.Fault{Kind: verifier.FaultTruncated, Detail: err.Error()}
	}
	if int64(len(body)) > limit {
		return nil, receiver.NewRefusal(http.StatusBadGateway, "answer-too-large", "the answer is larger than max-answer").WithRan(receiver.RanYes)
	}
	if exchanger.HoldsResponse(body, nil, hasRequestID) {
		return nil, &verifier.Fault{Kind: verifier.FaultTruncated, Detail: "another answer ran into this one"}
	}
	return body, nil
}

// hasRequestID reports whether an answer says which request it belongs to.
func hasRequestID(res *http.Response) bool {
	return res.Header.Get(receiver.HeaderRequestID) != ""
}
