package coordinator

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// proposalAttemptTimeout bounds one attempt to commit a command through one leader.
	proposalAttemptTimeout = timer.Second
	// proposalTimeout bounds all attempts to commit a command.
	proposalTimeout = 8 * timer.Second
	// proposalRetryDelay is the time between attempts.
	proposalRetryDelay = 50 * timer.Millisecond
)

// Propose commits a command through the current leader and returns its result. It retries after each failure until
// proposalTimeout. Retries are safe because every command is idempotent: changes by their id, claims by their request.
func (c *Coordinator) Propose(ctx context.Context, command applier.Command) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout.Duration())
	defer cancel()
	command.At = c.deps.Telemetry.Clock.Now()
	for {
		result, err := c.tryPropose(ctx, command)
		if err == nil {
			return result, nil
		}
		if sleepErr := c.deps.Telemetry.Clock.Sleep(ctx, proposalRetryDelay); sleepErr != nil {
			return applier.Result{}, trace.ConnectionProblem(err, "the record cannot be reached: %v", err)
		}
	}
}

func (c *Coordinator) tryPropose(ctx context.Context, command applier.Command) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalAttemptTimeout.Duration())
	defer cancel()
	leader := c.leaderName()
	if leader == c.deps.Self.Name && c.deps.Record != nil {
		return c.deps.Record.Propose(ctx, command)
	}
	if leader == "" {
		return applier.Result{}, trace.ConnectionProblem(nil, "no leader is known")
	}
	raw, err := command.Encode()
	if err != nil {
		return applier.Result{}, err
	}
	answer, err := c.mesh.Call(ctx, leader, messenger.Envelope{Proposal: raw})
	if err != nil {
		return applier.Result{}, err
	}
	if answer.ProposalReply == nil || answer.ProposalReply.Error != "" {
		return applier.Result{}, trace.ConnectionProblem(nil, "instance %s: %s", leader, answer.ProposalReply.Error)
	}
	return answer.ProposalReply.Result, nil
}

// runProposal commits a command for another instance and replies to that instance with the result.
func (c *Coordinator) runProposal(e messenger.Envelope) error {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), proposalAttemptTimeout.Duration())
	defer cancel()
	p := messenger.ProposalReply{}
	result, err := c.proposeLocally(ctx, e.Proposal)
	if err != nil {
		p.Error = err.Error()
		p.NotLeader = errors.Is(err, replicator.ErrNotLeader)
	}
	p.Result = result
	c.mesh.Send(e.From, messenger.Envelope{CallID: e.CallID, ProposalReply: &p})
	return nil
}

func (c *Coordinator) proposeLocally(ctx context.Context, raw []byte) (applier.Result, error) {
	if c.deps.Record == nil {
		return applier.Result{}, replicator.ErrNotLeader
	}
	var command applier.Command
	if err := cbor.Unmarshal(raw, &command); err != nil {
		return applier.Result{}, trace.Wrap(err)
	}
	return c.deps.Record.Propose(ctx, command)
}

// Change commits an operator's change. It returns the refusal of the change as an error, or another error if the record
// cannot be reached.
func (c *Coordinator) Change(ctx context.Context, change changer.Change) (changer.Accepted, error) {
	change.At = c.deps.Telemetry.Clock.Now()
	result, err := c.Propose(ctx, applier.Command{Change: &change})
	if err != nil {
		return changer.Accepted{}, err
	}
	if err := result.Err(); err != nil {
		return changer.Accepted{}, err
	}
	return *result.Accepted, nil
}

// AcquireClaim commits a claim and returns the claim that is in the record for the key, which may be an earlier one.
func (c *Coordinator) AcquireClaim(ctx context.Context, claim claimer.Claim) (claimer.Claim, error) {
	return c.proposeClaim(ctx, applier.Command{AcquireClaim: &claim})
}

// SettleClaim commits the settled state of a claim and returns the claim that is in the record.
func (c *Coordinator) SettleClaim(ctx context.Context, claim claimer.Claim) (claimer.Claim, error) {
	return c.proposeClaim(ctx, applier.Command{SettleClaim: &claim})
}

// ReleaseClaim settles a claim as not run and returns immediately. It retries until the record can be reached, because
// no other instance knows that the request was not sent.
func (c *Coordinator) ReleaseClaim(claim claimer.Claim) {
	c.tomb.Go(func() error { return c.runReleaseClaim(claim) })
}

func (c *Coordinator) runReleaseClaim(claim claimer.Claim) error {
	ctx := c.tomb.Context(context.Background())
	for {
		if _, err := c.SettleClaim(ctx, claim); err == nil || ctx.Err() != nil {
			return nil
		}
	}
}

func (c *Coordinator) proposeClaim(ctx context.Context, command applier.Command) (claimer.Claim, error) {
	result, err := c.Propose(ctx, command)
	if err != nil {
		return claimer.Claim{}, err
	}
	return *result.Claim, nil
}
