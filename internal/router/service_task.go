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

// serviceTask serves one call of a plain service.
type serviceTask struct {
	*task
}

// runIdempotent repeats the call on other backend servers until one gives a whole answer.
func (s *serviceTask) runIdempotent(ctx context.Context) error {
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	s.deps.Budget.First()
	for {
		answer, err := s.attempt(ctx)
		if err == nil {
			return s.finish(answer, false)
		}
		if !s.mayRetry(ctx, err) {
			return s.refusal(ctx, err)
		}
		if err := s.checkQuarantine(); err != nil {
			return err
		}
	}
}

// runOnce claims the call before a byte of it goes out, and never runs it again once it may have run.
func (s *serviceTask) runOnce(ctx context.Context) error {
	if s.view().Mode != indexer.ModeConnected {
		return receiver.Refuse(http.StatusServiceUnavailable, "cut-off",
			"this data centre is cut off from the record, so a request that must not run twice is not run at all")
	}
	if len(s.view().Services(s.req.Service)) == 0 {
		return s.noServer()
	}
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	claim, err := s.deps.Claimer.Take(ctx, s.req)
	if err != nil {
		s.story.Note("claimer", "refused: %v", err)
		return err
	}
	if claim.State == claimer.StateDone {
		s.story.Note("claimer", "replayed the answer of request %s", claim.RequestID)
		s.reply.Header().Set(receiver.HeaderReplayed, claim.RequestID)
		return s.finish(claim.Answer, true)
	}
	s.story.Note("claimer", "claimed")
	answer, err := s.attemptOnce(ctx)
	if err != nil {
		return s.settle(ctx, claim, err)
	}
	if err := s.deps.Claimer.Done(context.WithoutCancel(ctx), claim, answer); err != nil {
		// The answer is known and goes out; after a restart the claim is in doubt and still bars a second run.
		s.deps.Common.Log.Error("answer not durable", "request", s.req.ID, "error", err)
	}
	return s.finish(answer, false)
}

// attemptOnce tries other backend servers only while it is sure that the call did not run.
func (s *serviceTask) attemptOnce(ctx context.Context) (claimer.Answer, error) {
	for {
		answer, err := s.attempt(ctx)
		if err == nil || s.ranSoFar() != receiver.RanNo || !s.mayRetry(ctx, err) {
			return answer, err
		}
	}
}

// settle notes what is known of a failed call.
func (s *serviceTask) settle(ctx context.Context, claim claimer.Claim, err error) error {
	note := s.deps.Claimer.Unknown
	if s.ranSoFar() == receiver.RanNo {
		note = s.deps.Claimer.DidNotRun
	}
	// The note must be made even when the request's own time has passed.
	if noted := note(context.WithoutCancel(ctx), claim); noted != nil {
		s.deps.Common.Log.Error("claim not durable", "request", s.req.ID, "error", noted)
	}
	return s.refusal(ctx, err)
}

func (s *serviceTask) attempt(ctx context.Context) (claimer.Answer, error) {
	ticket, err := s.admitTo(ctx, "service/"+s.req.Service, func() []registrar.BackendServer { return s.view().Services(s.req.Service) })
	if err != nil {
		return claimer.Answer{}, err
	}
	defer ticket.Release()
	p, err := s.place(s.view().Services(s.req.Service), "")
	if err != nil {
		return claimer.Answer{}, err
	}
	defer p.Release()
	answer, err := s.exchange(ctx, p)
	if err != nil {
		s.noteFailure(ctx, p, err)
		return answer, err
	}
	p.Server.Traffic.NoteSuccess()
	return answer, nil
}

func (s *serviceTask) exchange(ctx context.Context, p placer.Placement) (claimer.Answer, error) {
	service, _ := s.view().Document.Service(s.req.Service)
	ctx, cancel := context.WithTimeout(ctx, service.Timeout.Duration())
	defer cancel()
	sentAt := time.Now()
	res, err := s.deps.Send(ctx, s.call(p))
	if err != nil {
		return claimer.Answer{}, err
	}
	p.Server.Traffic.NoteFirst(time.Since(sentAt), s.deps.Common.Clock.Now())
	defer func() { _ = res.Body.Close() }()
	body, err := s.readAll(res)
	if err != nil {
		return claimer.Answer{}, s.maybeRan(err)
	}
	if s.req.Idempotent && res.Status >= http.StatusInternalServerError {
		return claimer.Answer{}, &verifier.Fault{Kind: verifier.FaultEngine, Detail: http.StatusText(res.Status)}
	}
	if err := verifier.CheckService(s.req.Method, res.Status, len(body)); err != nil {
		return claimer.Answer{}, s.maybeRan(err)
	}
	return claimer.Answer{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// maybeRan marks a broken answer as one whose call may have run.
func (s *serviceTask) maybeRan(err error) error {
	var refusal *receiver.Refusal
	if errors.As(err, &refusal) {
		s.noteRan(receiver.RanUnknown)
		return err
	}
	return &dispatcher.SendError{Ran: receiver.RanUnknown, Err: err}
}

func (s *serviceTask) call(p placer.Placement) dispatcher.Call {
	return dispatcher.Call{
		Address: p.Server.Address, RequestID: s.req.ID, Attempt: s.attempts, Method: s.req.Method, Path: s.req.Path,
		Query: s.req.Query, Header: s.req.Header, Body: s.req.Body, Priority: s.req.Priority(), Once: !s.req.Idempotent,
	}
}

// finish bills the whole answer and sends it.
func (s *serviceTask) finish(a claimer.Answer, replayed bool) error {
	bill := biller.Bill{
		Workspace: s.req.Workspace.Name, Key: s.req.Key(), Digest: s.req.Digest(), RequestID: s.req.ID,
		Service: s.req.Service, Price: s.req.Route.Price, At: s.deps.Common.Clock.Now(),
	}
	if err := s.writeBill(bill); err != nil {
		return err
	}
	s.story.Note("reply", "status %d, %d bytes, replayed %t", a.Status, len(a.Body), replayed)
	s.reply.Header().Set(receiver.HeaderBilled, "yes")
	s.reply.Header().Set("Content-Type", a.ContentType)
	if err := s.reply.Whole(a.Status, a.Body); err != nil {
		return errCallerLeft.WithRan(receiver.RanYes)
	}
	return nil
}
