package demonstrator

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
)

// worker sends requests of one kind, one after another, until its context ends.
type worker struct {
	kind         string
	workspace    string
	number       int
	callers      []*caller.Caller
	outcomes     *outcomeLog
	pause        time.Duration
	send         func(ctx context.Context, w *worker, turn int) outcome
	sessionToken string
}

func (w *worker) run(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		o := w.send(context.WithoutCancel(ctx), w, turn)
		w.outcomes.add(o)
		select {
		case <-time.After(w.pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// callerFor returns the caller for this turn. It alternates between the instances, as a load balancer does.
func (w *worker) callerFor(turn int) *caller.Caller {
	return w.callers[(w.number+turn)%len(w.callers)]
}

func (w *worker) newOutcome(turn int) outcome {
	return outcome{
		kind: w.kind, workspace: w.workspace, startedAt: time.Now(),
		marker: fmt.Sprintf("%s%s-%d-%d", imitator.MarkerPrefix, w.kind, w.number, turn),
	}
}

// sendConsultation streams a long answer within a session and keeps the session token for the next turn.
func sendConsultation(ctx context.Context, w *worker, turn int) outcome {
	o := w.newOutcome(turn)
	o.session = fmt.Sprintf("%s-%d", w.kind, w.number)
	prompt := caller.Prompt{
		Model: modelName, SessionID: o.session, SessionToken: w.sessionToken, MaxTokens: consultationTokens, Stream: true,
		Text: "Breed, chest and back length of a rescue dog in cold weather. " + o.marker,
	}
	o.answer, o.err = w.callerFor(turn).Chat(ctx, prompt)
	if o.answer.SessionToken != "" {
		w.sessionToken = o.answer.SessionToken
	}
	return o
}

// sendLabel requests a short answer without streaming.
func sendLabel(ctx context.Context, w *worker, turn int) outcome {
	o := w.newOutcome(turn)
	o.answer, o.err = w.callerFor(turn).Chat(ctx, caller.Prompt{Model: modelName, Text: "Size label for " + o.marker, MaxTokens: labelTokens})
	return o
}

// sendQuestion streams a short answer without a session.
func sendQuestion(ctx context.Context, w *worker, turn int) outcome {
	o := w.newOutcome(turn)
	o.answer, o.err = w.callerFor(turn).Chat(ctx, caller.Prompt{Model: modelName, Text: "Does size 4 fit? " + o.marker, MaxTokens: questionTokens, Stream: true})
	return o
}

// sendOrder sends an order twice with the same idempotency key, to two instances.
// A caller does so when the first answer was lost.
func sendOrder(ctx context.Context, w *worker, turn int) outcome {
	o := w.newOutcome(turn)
	o.idempotencyKey = fmt.Sprintf("order-%d-%d", w.number, turn)
	body := []byte(`{"coat":"winter","size":4}`)
	o.answer, o.err = w.callerFor(turn).CallService(ctx, "POST", "/services/coat-desk/orders", o.idempotencyKey, body)
	resent := o
	resent.kind = "resent order"
	resent.answer, resent.err = w.callerFor(turn+1).CallService(ctx, "POST", "/services/coat-desk/orders", o.idempotencyKey, body)
	w.outcomes.add(resent)
	return o
}

// sendLookUp reads the catalogue.
func sendLookUp(ctx context.Context, w *worker, turn int) outcome {
	o := w.newOutcome(turn)
	o.answer, o.err = w.callerFor(turn).CallService(ctx, "GET", fmt.Sprintf("/services/coat-desk/catalogue/coat-%d", turn), "", nil)
	return o
}
