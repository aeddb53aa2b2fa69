package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/verifier"
)

// serviceTask serves one request to a plain service.
type serviceTask struct {
	*task
}

// runIdempotent retries the request on other backend servers until one returns a complete answer.
func (s *serviceTask) runIdempotent(ctx context.Context) error {
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	s.deps.RetryBudget.RecordFirstAttempt()
	defer s.releaseReserved()
	for {
		answer, err := s.attempt(ctx)
		if err == nil {
			return s.finish(answer, false)
		}
		if !s.canRetry(ctx, err) {
			return s.toRefusal(ctx, err)
		}
		if err := s.checkQuarantine(); err != nil {
			return err
		}
	}
}

// runAtMostOnce claims the request before it sends any of it, and does not retry it once it may have run.
func (s *serviceTask) runAtMostOnce(ctx context.Context) error {
	if s.view().Mode != indexer.ModeConnected {
		return receiver.NewRefusal(http.StatusServiceUnavailable, "cut-off",
			"this data centre is cut off from the record, so a request that must not run twice is not run at all")
	}
	if len(s.view().ServiceServers(s.req.Service)) == 0 {
		return s.noServerError()
	}
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	claim, err := s.deps.Claimer.Acquire(ctx, s.req)
	if err != nil {
		s.decisions.Record("claimer", "refused: %v", err)
		return err
	}
	if claim.State == claimer.StateDone {
		s.decisions.Record("claimer", "replayed the answer of request %s", claim.RequestID)
		s.reply.Header().Set(receiver.HeaderReplayed, claim.RequestID)
		return s.finish(claim.Answer, true)
	}
	s.decisions.Record("claimer", "claimed")
	answer, err := s.attemptAtMostOnce(ctx)
	if err != nil {
		return s.settleClaim(ctx, claim, err)
	}
	if err := s.deps.Claimer.MarkDone(context.WithoutCancel(ctx), claim, answer); err != nil {
		// The answer is still sent. After a restart the claim is in doubt, which prevents a second run.
		s.deps.Telemetry.Log.Error("answer not durable", "request", s.req.ID, "error", err)
	}
	return s.finish(answer, false)
}

// attemptAtMostOnce retries on other backend servers only while the request has certainly not run.
func (s *serviceTask) attemptAtMostOnce(ctx context.Context) (claimer.Answer, error) {
	for {
		answer, err := s.attempt(ctx)
		if err == nil || s.ranSoFar() != receiver.RanNo || !s.canRetry(ctx, err) {
			return answer, err
		}
	}
}

// settleClaim records in the claim whether the failed request did not run or may have run.
func (s *serviceTask) settleClaim(ctx context.Context, claim claimer.Claim, err error) error {
	record := s.deps.Claimer.MarkUnknown
	if s.ranSoFar() == receiver.RanNo {
		record = s.deps.Claimer.MarkNotRun
	}
	// The claim must be settled even after the deadline of the request.
	if recordErr := record(context.WithoutCancel(ctx), claim); recordErr != nil {
		s.deps.Telemetry.Log.Error("claim not durable", "request", s.req.ID, "error", recordErr)
	}
	return s.toRefusal(ctx, err)
}

func (s *serviceTask) attempt(ctx context.Context) (claimer.Answer, error) {
	p, release, err := s.takePlace(ctx)
	if err != nil {
		return claimer.Answer{}, err
	}
	defer release()
	answer, err := s.exchange(ctx, p)
	if err != nil {
		s.recordFailure(ctx, p, err)
		return answer, err
	}
	p.Server.Traffic.RecordSuccess()
	return answer, nil
}

// takePlace takes the reserved place, or waits until the service's servers have room. The caller must call release once the attempt
// has ended.
func (s *serviceTask) takePlace(ctx context.Context) (p placer.Placement, release func(), err error) {
	if p, ok := s.takeReserved(); ok {
		return p, p.Release, nil
	}
	ticket, err := s.admitToPool(ctx, "service/"+s.req.Service, func() []registrar.BackendServer { return s.view().ServiceServers(s.req.Service) })
	if err != nil {
		return p, nil, err
	}
	view := s.view()
	if p, err = s.place(view, view.ServiceServers(s.req.Service), ""); err != nil {
		ticket.Release()
		return p, nil, err
	}
	return p, func() { p.Release(); ticket.Release() }, nil
}

// mayLeave reports whether a stalled answer may be left: the request may run twice, and another server has room.
func (s *serviceTask) mayLeave() bool {
	view := s.view()
	return s.req.Idempotent && s.reserve(view, view.ServiceServers(s.req.Service), "")
}

func (s *serviceTask) exchange(ctx context.Context, p placer.Placement) (claimer.Answer, error) {
	service, _ := s.view().Document.Service(s.req.Service)
	ctx, cancel := context.WithTimeout(ctx, service.Timeout.Duration())
	defer cancel()
	sentAt := time.Now()
	res, err := s.deps.Send(ctx, s.newCall(p))
	if err != nil {
		return claimer.Answer{}, err
	}
	p.Server.Traffic.RecordFirstByte(time.Since(sentAt), s.deps.Telemetry.Clock.Now())
	defer func() { _ = res.Body.Close() }()
	body, err := s.readAll(res)
	if err != nil {
		return claimer.Answer{}, s.markMaybeRan(err)
	}
	if s.req.Idempotent && res.Status >= http.StatusInternalServerError {
		return claimer.Answer{}, &verifier.Fault{Kind: verifier.FaultEngineError, Detail: http.StatusText(res.Status)}
	}
	if err := verifier.CheckServiceResponse(s.req.Method, res.Status, len(body)); err != nil {
		return claimer.Answer{}, s.markMaybeRan(err)
	}
	return claimer.Answer{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// markMaybeRan records that the request may have run, since its answer broke off or was too large, and returns the
// error with that mark.
func (s *serviceTask) markMaybeRan(err error) error {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) {
		s.recordRan(receiver.RanUnknown)
		return err
	}
	return &dispatcher.SendError{Ran: receiver.RanUnknown, Err: err}
}

func (s *serviceTask) newCall(p placer.Placement) dispatcher.Call {
	return dispatcher.Call{
		Address: p.Server.Address, RequestID: s.req.ID, Attempt: s.attempts, Method: s.req.Method, Path: s.req.Path,
		Query: s.req.Query, Header: s.req.Header, Body: s.req.Body, Priority: s.req.Priority(), NoTransportRetry: !s.req.Idempotent,
		MayLeave: s.mayLeave,
	}
}

// finish bills the answer and sends it.
func (s *serviceTask) finish(a claimer.Answer, replayed bool) error {
	bill := biller.Bill{
		Workspace: s.req.Workspace.Name, Key: s.req.DeduplicationKey(), Digest: s.req.Fingerprint(), RequestID: s.req.ID,
		Service: s.req.Service, Price: s.req.Route.Price, At: s.deps.Telemetry.Clock.Now(),
	}
	if err := s.writeBill(bill); err != nil {
		return err
	}
	s.decisions.Record("reply", "status %d, %d bytes, replayed %t", a.Status, len(a.Body), replayed)
	s.reply.Header().Set(receiver.HeaderBilled, "yes")
	s.reply.Header().Set("Content-Type", a.ContentType)
	if err := s.reply.WriteAll(a.Status, a.Body); err != nil {
		return errCallerLeft.WithRan(receiver.RanYes)
	}
	return nil
}
