package recorder

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// founder is the identity of the storage of every member that founds a record; a wiped disk never gets it again.
const founder = "founder"

// confirmedRead waits until a majority has confirmed that this member still leads.
type confirmedRead struct {
	since timer.Millis
	done  chan error
}

// ReadConfirmed runs f on the record's thread with a state that holds every change committed before the call.
// replicator.ErrNotLeader says that another member must be asked. f may run after the context has ended.
func (r *Record) ReadConfirmed(ctx context.Context, f func(*applier.State)) error {
	read := confirmedRead{done: make(chan error, 1)}
	err := r.do(ctx, func() {
		read.since = r.deps.Common.Clock.Now()
		r.reads = append(r.reads, read)
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
	return r.Read(ctx, f)
}

// settleReads answers the reads that a majority has confirmed, and refuses all when this member does not lead.
func (r *Record) settleReads() {
	if len(r.reads) == 0 {
		return
	}
	now := r.deps.Common.Clock.Now()
	if r.node.Role() != replicator.RoleLeader {
		for _, read := range r.reads {
			read.done <- replicator.ErrNotLeader
		}
		r.reads = nil
		return
	}
	confirmed := r.node.ConfirmedAt(now)
	var open []confirmedRead
	for _, read := range r.reads {
		// A message of the same millisecond may have been sent before the read began.
		if confirmed > read.since {
			read.done <- nil
			continue
		}
		open = append(open, read)
	}
	r.reads = open
}

// CaughtUp reports whether a member holds nearly the whole log, as far as this leader knows.
func (r *Record) CaughtUp(ctx context.Context, id replicator.ID) (bool, error) {
	ok := false
	err := r.do(ctx, func() { ok = r.node.CaughtUp(id) })
	return ok, err
}

// found makes this member one of the founders of a record. Every founder writes the same first snapshot, so none needs
// to wait for another.
func (r *Record) found(instances []string) error {
	first := replicator.Snapshot{Index: 1, Term: 1}
	for _, name := range instances {
		first.Members.Voters = append(first.Members.Voters, replicator.ID(name+"#"+founder))
	}
	r.store.stored = replicator.Stored{Vote: replicator.Vote{Term: 1}, Snapshot: first}
	return r.store.rebase(r.store.stored)
}

// errFounders says that the founders do not hold this member.
var errFounders = errors.New("the founders of the record must name this member")
