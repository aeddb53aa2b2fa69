package recorder

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// settle writes, then sends, then applies, until the node asks for nothing more.
func (r *Record) settle() error {
	for out := r.node.Take(); !out.Empty(); out = r.node.Take() {
		if out.Writes() {
			if err := r.write(out); err != nil {
				return err
			}
		}
		for _, m := range out.Messages {
			r.deps.Send(m)
		}
		if err := r.apply(out); err != nil {
			return err
		}
	}
	r.publish()
	r.settleReads()
	return r.compact()
}

// writeRetry is the time between attempts to write to a disk that takes nothing.
const writeRetry = 100 * timer.Millisecond

// write makes the effects durable. While the disk takes nothing the thread waits, as it does for a slow disk: the others
// elect another leader, and this member goes on once there is room.
func (r *Record) write(out replicator.Effects) error {
	err := r.store.write(out)
	if !errors.Is(err, ErrNotWritten) {
		return err
	}
	began := r.deps.Common.Clock.Now()
	r.deps.Common.Log.Error("record waits: its disk takes nothing", "error", err)
	for errors.Is(err, ErrNotWritten) {
		select {
		case <-r.deps.Common.Clock.After(writeRetry):
		case <-r.tomb.Dying():
			return err
		}
		err = r.store.write(out)
	}
	if err == nil {
		r.deps.Common.Log.Info("record goes on: its disk takes data again", "waited-ms", int64(r.deps.Common.Clock.Now()-began))
	}
	return err
}

func (r *Record) apply(out replicator.Effects) error {
	if out.Restore != nil {
		if err := r.state.Restore(out.Restore.State); err != nil {
			return trace.Wrap(err, "snapshot at entry %d", out.Restore.Index)
		}
	}
	for _, e := range out.Committed {
		if e.Kind != replicator.EntryCommand {
			r.answer(e, applier.Result{}, ErrLostProposal)
			continue
		}
		result, err := r.state.Apply(e.Data)
		if err != nil {
			return trace.Wrap(err, "entry %d", e.Index)
		}
		r.answer(e, result, nil)
	}
	if out.Restore != nil || len(out.Committed) > 0 {
		r.deps.Changed(r.state)
	}
	return nil
}

// answer tells the proposer of an entry; an entry of another term in its place means that the proposal is lost.
func (r *Record) answer(e replicator.Entry, result applier.Result, err error) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		err = ErrLostProposal
	}
	w.done <- proposed{result: result, err: err}
}

func (r *Record) publish() {
	n := r.node
	s := Status{
		ID: r.ID(), Role: n.Role(), Term: n.Term(), Leader: n.Leader(), Members: n.Members(), Commit: n.Commit(),
		Lease: n.Lease(r.deps.Common.Clock.Now()),
	}
	if old := r.status.Swap(&s); old == nil || old.Role != s.Role || old.Leader != s.Leader {
		r.deps.Common.Log.Info("role in the record", "member", s.ID, "role", s.Role, "term", s.Term, "leader", s.Leader, "commit", s.Commit)
	}
	if s.Role != replicator.RoleLeader {
		r.failWaiting()
	}
}

// failWaiting tells proposers whose leader stepped down that the outcome is open.
func (r *Record) failWaiting() {
	for index, w := range r.waiting {
		delete(r.waiting, index)
		w.done <- proposed{err: ErrLostProposal}
	}
}

// compact replaces a long log by a snapshot.
func (r *Record) compact() error {
	if r.node.LogLength() < snapshotEntries && r.store.journal.Bytes() < snapshotBytes+2*r.baseBytes {
		return nil
	}
	state, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	r.node.Compact(r.node.Commit(), state)
	if out := r.node.Take(); out.Snapshot == nil {
		return nil
	}
	err = r.store.rebase(r.node.Stored())
	if errors.Is(err, ErrNotWritten) {
		// The longer journal holds the same; the next attempt comes once it has grown further.
		r.deps.Common.Log.Warn("journal not rewritten", "bytes", r.store.journal.Bytes(), "error", err)
		err = nil
	}
	if err != nil {
		return err
	}
	r.baseBytes = r.store.journal.Bytes()
	return nil
}
