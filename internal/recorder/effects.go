package recorder

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// processEffects writes, sends and applies the node's effects, in this order, until there are none left.
func (r *Record) processEffects() error {
	for effects := r.node.TakeEffects(); !effects.IsEmpty(); effects = r.node.TakeEffects() {
		if effects.HasWrites() {
			if err := r.writeWithRetry(effects); err != nil {
				return err
			}
		}
		for _, m := range effects.Messages {
			r.deps.Send(m)
		}
		if err := r.apply(effects); err != nil {
			return err
		}
	}
	r.publishStatus()
	r.completeReads()
	return r.compactIfLong()
}

// writeRetryInterval is the interval between attempts to write to a disk that rejects writes.
const writeRetryInterval = 100 * timer.Millisecond

// writeWithRetry writes the effects. While the disk rejects writes, for instance because it is full, the goroutine
// blocks as it does on a slow disk: the other members elect another leader, and this member continues once a write
// succeeds.
func (r *Record) writeWithRetry(effects replicator.Effects) error {
	err := r.store.write(effects)
	if !errors.Is(err, ErrNotWritten) {
		return err
	}
	waitingSince := r.deps.Telemetry.Clock.Now()
	r.deps.Telemetry.Log.Error("record waits: its disk takes nothing", "error", err)
	for errors.Is(err, ErrNotWritten) {
		select {
		case <-r.deps.Telemetry.Clock.After(writeRetryInterval):
		case <-r.tomb.Dying():
			return err
		}
		err = r.store.write(effects)
	}
	if err == nil {
		r.deps.Telemetry.Log.Info("record goes on: its disk accepts writes again", "waited-ms", int64(r.deps.Telemetry.Clock.Now()-waitingSince))
	}
	return err
}

func (r *Record) apply(effects replicator.Effects) error {
	if effects.Restore != nil {
		if err := r.state.Restore(effects.Restore.State); err != nil {
			return trace.Wrap(err, "snapshot at entry %d", effects.Restore.Index)
		}
	}
	for _, e := range effects.Committed {
		if e.Kind != replicator.EntryCommand {
			r.completeProposal(e, applier.Result{}, ErrProposalUncertain)
			continue
		}
		result, err := r.state.Apply(e.Data)
		if err != nil {
			return trace.Wrap(err, "entry %d", e.Index)
		}
		r.completeProposal(e, result, nil)
	}
	if effects.Restore != nil || len(effects.Committed) > 0 {
		r.deps.OnChange(r.state)
	}
	return nil
}

// completeProposal sends the result to the proposer of an entry. If an entry of another term has the proposal's index,
// the proposer gets ErrProposalUncertain.
func (r *Record) completeProposal(e replicator.Entry, result applier.Result, err error) {
	pending, ok := r.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.Index)
	if pending.term != e.Term {
		err = ErrProposalUncertain
	}
	pending.done <- proposalOutcome{result: result, err: err}
}

func (r *Record) publishStatus() {
	n := r.node
	s := Status{
		ID: r.ID(), Role: n.Role(), Term: n.Term(), Leader: n.Leader(), Members: n.Members(), CommitIndex: n.CommitIndex(),
		HoldsLease: n.HoldsLease(r.deps.Telemetry.Clock.Now()),
	}
	if previous := r.status.Swap(&s); previous == nil || previous.Role != s.Role || previous.Leader != s.Leader {
		r.deps.Telemetry.Log.Info("role in the record", "member", s.ID, "role", s.Role, "term", s.Term, "leader", s.Leader, "commit", s.CommitIndex)
	}
	if s.Role != replicator.RoleLeader {
		r.failPendingProposals()
	}
}

// failPendingProposals fails all pending proposals with ErrProposalUncertain because this member no longer leads.
func (r *Record) failPendingProposals() {
	for index, pending := range r.pendingProposals {
		delete(r.pendingProposals, index)
		pending.done <- proposalOutcome{err: ErrProposalUncertain}
	}
}

// compactIfLong replaces a long log or a large journal with a snapshot.
func (r *Record) compactIfLong() error {
	if r.node.LogLength() < snapshotAfterEntries && r.store.journal.Bytes() < snapshotAfterBytes+2*r.bytesAfterRewrite {
		return nil
	}
	state, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	r.node.Compact(r.node.CommitIndex(), state)
	if effects := r.node.TakeEffects(); effects.Snapshot == nil {
		return nil
	}
	err = r.store.rewrite(r.node.DurableState())
	if errors.Is(err, ErrNotWritten) {
		// The unchanged journal holds the same state; the next attempt follows once more entries are committed.
		r.deps.Telemetry.Log.Warn("journal not rewritten", "bytes", r.store.journal.Bytes(), "error", err)
		err = nil
	}
	if err != nil {
		return err
	}
	r.bytesAfterRewrite = r.store.journal.Bytes()
	return nil
}
