package recorder

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Timing and limits of the record.
const (
	electionTimeout   = 600 * timer.Millisecond
	heartbeatInterval = 120 * timer.Millisecond
	tickInterval      = 30 * timer.Millisecond
	maxQueuedCalls    = 4096
	// snapshotAfterEntries is the number of log entries from which on a snapshot replaces them.
	snapshotAfterEntries = 500
	// snapshotAfterBytes is the minimum journal size in bytes from which on a snapshot replaces the journal;
	// compactIfLong adds twice the size after the last rewrite.
	snapshotAfterBytes = 4 << 20
)

// ErrProposalUncertain reports that it is unknown whether a proposal was committed.
var ErrProposalUncertain = errors.New("the leader changed before the proposal was known to be committed")

// Deps holds the dependencies of a record.
type Deps struct {
	Telemetry observer.Telemetry
	Instance  string
	Disk      Disk
	// Founders are the instances that found a new record, including this one; empty if this instance founds none.
	Founders []string
	// WithoutLeases means that a majority confirms each read, so that nothing relies on leader leases.
	WithoutLeases bool
	// Send queues a message on the link to its receiver without blocking.
	Send func(replicator.Message)
	// OnChange is called on the record's goroutine after the state has changed.
	OnChange func(*applier.State)
}

// Record is this instance's member of the replicated record.
type Record struct {
	deps             Deps
	store            *store
	node             *replicator.Node
	state            *applier.State
	pendingProposals map[uint64]pendingProposal
	calls            chan func()
	pendingReads     []pendingRead
	status           atomic.Pointer[Status]
	// bytesAfterRewrite is the size of the journal in bytes after its last rewrite.
	bytesAfterRewrite int
	tomb              tomb.Tomb
}

type pendingProposal struct {
	term uint64
	done chan proposalOutcome
}

type proposalOutcome struct {
	result applier.Result
	err    error
}

// Status is the externally visible state of the member at one moment.
type Status struct {
	ID          replicator.ID
	Role        replicator.Role
	Term        uint64
	Leader      replicator.ID
	Members     replicator.Members
	CommitIndex uint64
	// HoldsLease reports whether this member leads and no other leader can have been elected at the time of the status.
	HoldsLease bool
}

// NewRecord opens the member's journal and returns a record that must be started. It fails if there are founders and
// they do not include the instance.
func NewRecord(deps Deps) (*Record, error) {
	isFounder := len(deps.Founders) > 0
	if isFounder && !slices.Contains(deps.Founders, deps.Instance) {
		return nil, errNotAFounder
	}
	store, err := openStore(deps.Disk, isFounder)
	if err != nil {
		return nil, err
	}
	r := &Record{deps: deps, store: store, state: applier.NewState(), pendingProposals: map[uint64]pendingProposal{}, calls: make(chan func(), maxQueuedCalls)}
	if isFounder && store.identity == founderIdentity && store.stored.Snapshot.Index == 0 {
		if err := r.writeFoundersSnapshot(deps.Founders); err != nil {
			return nil, err
		}
	}
	r.startNode()
	r.publishStatus()
	return r, nil
}

func (r *Record) startNode() {
	cfg := replicator.Config{ID: r.ID(), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		RandIntN: rand.IntN, WithoutLeases: r.deps.WithoutLeases}
	r.node = replicator.NewNode(cfg, r.store.stored, r.deps.Telemetry.Clock.Now())
}

// ID returns the member's identity: the instance and the incarnation of its storage.
func (r *Record) ID() replicator.ID {
	return replicator.ID(r.deps.Instance + "#" + r.store.identity)
}

// InstanceOf returns the name of the instance in a member's identity.
func InstanceOf(id replicator.ID) string {
	for i := range id {
		if id[i] == '#' {
			return string(id[:i])
		}
	}
	return string(id)
}

// Start starts the record's goroutine.
func (r *Record) Start() {
	r.tomb.Go(r.loop)
}

// Stop stops the record's goroutine and closes the journal; it does not transfer leadership.
func (r *Record) Stop() error {
	r.tomb.Kill(nil)
	return trace.NewAggregate(r.tomb.Wait(), r.store.journal.Close())
}

// Done returns a channel that is closed once the record's goroutine has ended.
func (r *Record) Done() <-chan struct{} {
	return r.tomb.Dead()
}

// Status returns the latest published status.
func (r *Record) Status() Status {
	return *r.status.Load()
}

// Bootstrap creates a record with this member as its only voter. It fails if the member already belongs to a record.
func (r *Record) Bootstrap(ctx context.Context) error {
	var callErr error
	err := r.runOnLoop(ctx, func() { callErr = r.bootstrap() })
	return trace.NewAggregate(err, callErr)
}

func (r *Record) bootstrap() error {
	if len(r.node.Members().Voters) > 0 {
		return trace.AlreadyExists("this instance belongs to a record already")
	}
	// All members that join later copy their history from this first snapshot.
	firstSnapshot := replicator.Snapshot{Index: 1, Term: 1, Members: replicator.Members{Voters: []replicator.ID{r.ID()}}}
	r.store.stored = replicator.DurableState{Vote: replicator.VoteState{Term: 1}, Snapshot: firstSnapshot}
	if err := r.store.rewrite(r.store.stored); err != nil {
		return err
	}
	r.startNode()
	return nil
}

// Step queues a message from another member without blocking. If the queue is full, it drops the message, which the
// protocol tolerates.
func (r *Record) Step(m replicator.Message) {
	select {
	case r.calls <- func() { r.node.Step(r.deps.Telemetry.Clock.Now(), m) }:
	default:
		r.deps.Telemetry.Counter("record.messages-dropped").Inc(1)
	}
}

// Propose commits a command and returns its result. It returns replicator.ErrNotLeader if this member does not lead,
// and ErrProposalUncertain if the outcome is unknown.
func (r *Record) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return applier.Result{}, err
	}
	pending := pendingProposal{done: make(chan proposalOutcome, 1)}
	err = r.runOnLoop(ctx, func() { r.propose(data, pending) })
	if err != nil {
		return applier.Result{}, err
	}
	select {
	case outcome := <-pending.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return applier.Result{}, errors.Join(ErrProposalUncertain, ctx.Err())
	case <-r.tomb.Dead():
		return applier.Result{}, ErrProposalUncertain
	}
}

func (r *Record) propose(data []byte, pending pendingProposal) {
	index, term, err := r.node.Propose(data)
	if err != nil {
		pending.done <- proposalOutcome{err: err}
		return
	}
	pending.term = term
	r.pendingProposals[index] = pending
}

// ChangeMembers proposes a membership that differs in one member.
func (r *Record) ChangeMembers(ctx context.Context, m replicator.Members) error {
	var callErr error
	err := r.runOnLoop(ctx, func() { _, callErr = r.node.ChangeMembers(m) })
	return errors.Join(err, callErr)
}

// TransferLeadership transfers leadership to another voter; it does nothing if this member does not lead.
func (r *Record) TransferLeadership(ctx context.Context) error {
	return r.runOnLoop(ctx, func() { r.node.TransferLeadership() })
}

// ReadLocal calls f on the record's goroutine with this member's state, which may be stale; f must not retain the
// state.
func (r *Record) ReadLocal(ctx context.Context, f func(*applier.State)) error {
	return r.runOnLoop(ctx, func() { f(r.state) })
}

// runOnLoop runs f on the record's goroutine and waits until it has returned. If the context ends before f begins, as it may while
// the disk hangs, f does not run at all.
func (r *Record) runOnLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	// isTaken decides between the run of f and the end of the context.
	var isTaken atomic.Bool
	call := func() {
		if isTaken.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}
	select {
	case r.calls <- call:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-r.tomb.Dying():
		return trace.ConnectionProblem(nil, "the record is closed")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		if isTaken.CompareAndSwap(false, true) {
			return trace.ConnectionProblem(ctx.Err(), "the record did not answer in time: its disk may hang")
		}
		// f has begun; it does not wait for anything.
		<-done
		return nil
	case <-r.tomb.Dead():
		return trace.ConnectionProblem(nil, "the record closed")
	}
}

func (r *Record) loop() error {
	if err := r.processEffects(); err != nil {
		return err
	}
	tick := r.deps.Telemetry.Clock.After(tickInterval)
	for {
		select {
		case f := <-r.calls:
			f()
			r.runQueuedCalls()
		case <-tick:
			r.node.Tick(r.deps.Telemetry.Clock.Now())
			if len(r.pendingReads) > 0 {
				r.node.ConfirmLeadership(r.deps.Telemetry.Clock.Now())
			}
			tick = r.deps.Telemetry.Clock.After(tickInterval)
		case <-r.tomb.Dying():
			return nil
		}
		if err := r.processEffects(); err != nil {
			r.deps.Telemetry.Log.Error("record failed", "error", err)
			return err
		}
	}
}

// runQueuedCalls runs the calls that are already queued, so that one sync covers all of them.
func (r *Record) runQueuedCalls() {
	for range maxBatch {
		select {
		case f := <-r.calls:
			f()
		default:
			return
		}
	}
}
