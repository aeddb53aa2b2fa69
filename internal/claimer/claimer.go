package claimer

import (
	"context"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// pollInterval is the time between two polls of a claim that another request holds.
const pollInterval = 50 * timer.Millisecond

// Deps holds the dependencies of a Claimer.
type Deps struct {
	Telemetry   observer.Telemetry
	Owner       string
	Incarnation int64
	// Acquire commits a claim to the record and returns the current claim of the key.
	Acquire func(context.Context, Claim) (Claim, error)
	// Settle commits the outcome of a claim to the record and returns the current claim of the key.
	Settle func(context.Context, Claim) (Claim, error)
	// Release releases a claim as not run; it retries in the background until the record has committed it.
	Release func(Claim)
}

// Claimer acquires and finishes claims for the requests of this instance.
type Claimer struct {
	deps Deps
}

// NewClaimer returns a claimer with the given dependencies.
func NewClaimer(deps Deps) *Claimer {
	return &Claimer{deps: deps}
}

// Acquire claims a request durably and returns its claim, or the earlier claim of the key if that one is done. It waits
// while another request with the key is running, and fails with a *receiver.Refusal.
func (c *Claimer) Acquire(ctx context.Context, req *receiver.Request) (Claim, error) {
	wanted := Claim{
		Workspace: req.Workspace.Name, Key: req.DeduplicationKey(), Digest: req.Fingerprint(), RequestID: req.ID,
		State: StateClaimed, At: c.deps.Telemetry.Clock.Now(), Owner: c.deps.Owner, Incarnation: c.deps.Incarnation,
	}
	for {
		current, err := c.deps.Acquire(ctx, wanted)
		if err != nil {
			// The claim may have been committed despite the error. The request is not sent, so the claim is released;
			// otherwise the key would stay blocked.
			c.deps.Release(wanted.WithState(StateDidNotRun))
			return Claim{}, receiver.NewRefusal(http.StatusServiceUnavailable, "claim-not-durable", err.Error())
		}
		if decided, err := c.decide(wanted, current); decided || err != nil {
			return current, err
		}
		if err := c.deps.Telemetry.Clock.Sleep(ctx, pollInterval); err != nil {
			return Claim{}, stillRunningError(current)
		}
	}
}

// decide reports whether the current claim ends the wait: the request may run, is already done, or is refused (error).
func (c *Claimer) decide(wanted, current Claim) (bool, error) {
	switch {
	case current.Digest != wanted.Digest:
		return false, receiver.NewRefusal(http.StatusUnprocessableEntity, "key-reused", "the idempotency key came before with another request")
	case current.RequestID == wanted.RequestID && current.State == StateClaimed, current.State == StateDone:
		return true, nil
	case current.State == StateUnknown:
		return false, inDoubtError(current)
	}
	return false, nil
}

func inDoubtError(claim Claim) error {
	message := "an earlier attempt with this key may have run as request " + claim.RequestID + "; it is not run again"
	return &receiver.Refusal{Status: http.StatusConflict, Type: "in-doubt", Message: message, Ran: receiver.RanUnknown}
}

func stillRunningError(claim Claim) error {
	message := "request " + claim.RequestID + " with the same key is still running"
	return &receiver.Refusal{Status: http.StatusGatewayTimeout, Type: "still-running", Message: message, Ran: receiver.RanUnknown}
}

// MarkDone stores the answer of a claimed request durably; it fails if the record does not commit it.
func (c *Claimer) MarkDone(ctx context.Context, claim Claim, a Answer) error {
	return c.settle(ctx, claim.WithAnswer(a))
}

// MarkNotRun releases the key of a claimed request durably; it fails if the record does not commit it.
func (c *Claimer) MarkNotRun(ctx context.Context, claim Claim) error {
	return c.settle(ctx, claim.WithState(StateDidNotRun))
}

// MarkUnknown marks the outcome of a claimed request as unknown durably; it fails if the record does not commit it.
func (c *Claimer) MarkUnknown(ctx context.Context, claim Claim) error {
	return c.settle(ctx, claim.WithState(StateUnknown))
}

func (c *Claimer) settle(ctx context.Context, claim Claim) error {
	_, err := c.deps.Settle(ctx, claim)
	if err == nil {
		c.deps.Telemetry.Counter("claims." + string(claim.State)).Inc(1)
	}
	return err
}
