package recorder

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// founderIdentity is the storage identity of every founder of a record. Only an empty disk gets it, and only while
// Deps.Founders is set; a disk that is wiped later gets a random identity.
const founderIdentity = "founder"

// pendingRead is a read that waits until a majority has confirmed that this member still leads.
type pendingRead struct {
	startedAt timer.Millis
	done      chan error
}

// ReadConfirmed calls f on the record's goroutine with a state that holds every change committed before the call. It
// returns replicator.ErrNotLeader if this member does not lead.
func (r *Record) ReadConfirmed(ctx context.Context, f func(*applier.State)) error {
	read := pendingRead{done: make(chan error, 1)}
	err := r.runOnLoop(ctx, func() {
		read.startedAt = r.deps.Telemetry.Clock.Now()
		r.pendingReads = append(r.pendingReads, read)
	})
	if err != nil {
		return err
	}
	select {
	case err := <-read.done:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-r.tomb.Dead():
		return trace.ConnectionProblem(nil, "the record closed")
	}
	return r.ReadLocal(ctx, f)
}

// completeReads completes the reads that a majority has confirmed, or fails all of them if this member does not lead.
func (r *Record) completeReads() {
	if len(r.pendingReads) == 0 {
		return
	}
	now := r.deps.Telemetry.Clock.Now()
	if r.node.Role() != replicator.RoleLeader {
		for _, read := range r.pendingReads {
			read.done <- replicator.ErrNotLeader
		}
		r.pendingReads = nil
		return
	}
	confirmedAt := r.node.LeadershipConfirmedAt(now)
	var unconfirmed []pendingRead
	for _, read := range r.pendingReads {
		// A message of the same millisecond may have been sent before the read began, so equal times do not confirm it.
		if confirmedAt > read.startedAt {
			read.done <- nil
			continue
		}
		unconfirmed = append(unconfirmed, read)
	}
	r.pendingReads = unconfirmed
}

// IsCaughtUp reports whether this member leads and the other one has acknowledged nearly the whole log.
func (r *Record) IsCaughtUp(ctx context.Context, id replicator.ID) (bool, error) {
	caughtUp := false
	err := r.runOnLoop(ctx, func() { caughtUp = r.node.IsCaughtUp(id) })
	return caughtUp, err
}

// writeFoundersSnapshot writes the first snapshot of a new record. Every founder writes the same one, so no founder
// waits for another.
func (r *Record) writeFoundersSnapshot(instances []string) error {
	firstSnapshot := replicator.Snapshot{Index: 1, Term: 1}
	for _, name := range instances {
		firstSnapshot.Members.Voters = append(firstSnapshot.Members.Voters, replicator.ID(name+"#"+founderIdentity))
	}
	r.store.stored = replicator.DurableState{Vote: replicator.VoteState{Term: 1}, Snapshot: firstSnapshot}
	return r.store.rewrite(r.store.stored)
}

// errNotAFounder reports that the founders do not include this instance.
var errNotAFounder = errors.New("the founders of the record must name this member")
