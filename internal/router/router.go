package router

import (
	"context"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/retrier"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
)

// Limits bounds the attempts of a request and the buffering of its answer.
type Limits struct {
	// MaxAttempts bounds the attempts that may have run on a backend server.
	MaxAttempts int
	// MaxEventBytes bounds one event of a stream, in bytes.
	MaxEventBytes int
	// MaxAnswerBytes bounds an answer that is not streamed, in bytes.
	MaxAnswerBytes int64
}

// Deps holds the dependencies of a router: the filters in the order of their use, and what they share.
type Deps struct {
	Telemetry   observer.Telemetry
	View        func(environment string) *indexer.View
	Admitter    *admitter.Admitter
	Selector    *selector.Selector
	Claimer     *claimer.Claimer
	Placer      *placer.Placer
	Send        func(context.Context, dispatcher.Call) (*dispatcher.Response, error)
	Biller      *biller.Biller
	RetryBudget *retrier.Budget
	Explainer   *explainer.Explainer
	// OnAnswer is called after each complete answer of a model; the answer counts as good unless it is rated as bad.
	OnAnswer func(*receiver.Request, selector.Selection)
	// OnFault is called after each faulty answer of a model.
	OnFault    func(*receiver.Request, selector.Selection)
	Quarantine *quarantiner.Quarantine
	// RefusesConnection reports whether the backend server at an address refuses connections; it is called right after the
	// server broke an answer off.
	RefusesConnection func(address string) bool
	Limits            Limits
}

// Router serves requests; it is safe for concurrent use.
type Router struct {
	deps    Deps
	metrics requestMetrics
}

// NewRouter returns a router with the given dependencies.
func NewRouter(deps Deps) *Router {
	return &Router{deps: deps, metrics: newRequestMetrics(deps.Telemetry)}
}

// Serve runs one request through the filters and writes the answer to reply. A returned error is for the caller, in
// place of the answer or of its end.
func (r *Router) Serve(ctx context.Context, req *receiver.Request, reply *receiver.Reply) error {
	decisions := r.deps.Explainer.StartLog(req.ID)
	decisions.Record("receiver", "workspace %s, %s, key %s", req.Workspace.Name, req.Kind, req.DeduplicationKey())
	ticket, err := r.deps.Admitter.Admit(ctx, req)
	if err != nil {
		decisions.Record("admitter", "refused: %v", err)
		return err
	}
	defer ticket.Release()
	if !req.Idempotent {
		// A caller who disconnects must not leave an order half done: it continues and its answer is stored.
		ctx = context.WithoutCancel(ctx)
	}
	remaining := (req.Deadline - r.deps.Telemetry.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeout(ctx, max(remaining, time.Millisecond))
	defer cancel()
	err = r.serve(ctx, req, reply, decisions)
	r.recordResult(req, decisions, err)
	return err
}

func (r *Router) serve(ctx context.Context, req *receiver.Request, reply *receiver.Reply, decisions *explainer.DecisionLog) error {
	t := &task{Router: r, req: req, reply: reply, decisions: decisions}
	if req.Kind != receiver.KindService {
		m := &modelTask{task: t}
		return m.run(ctx)
	}
	s := &serviceTask{task: t}
	if req.Idempotent {
		return s.runIdempotent(ctx)
	}
	return s.runAtMostOnce(ctx)
}

// recordResult records the duration and the outcome of a request.
func (r *Router) recordResult(req *receiver.Request, decisions *explainer.DecisionLog, err error) {
	elapsed := r.deps.Telemetry.Clock.Now() - req.ReceivedAt
	r.metrics.requestMillis.Update(int64(elapsed))
	if err != nil {
		decisions.Record("reply", "refused: %v", err)
		return
	}
	r.metrics.requestsServed.Inc(1)
	r.deps.Telemetry.Log.Info("request served", "request", req.ID, "workspace", req.Workspace.Name, "kind", req.Kind, "took", elapsed)
}
