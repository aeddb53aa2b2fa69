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

// Pace of the record.
const (
	electionSpan  = 600 * timer.Millisecond
	heartbeatSpan = 120 * timer.Millisecond
	tickSpan      = 30 * timer.Millisecond
	maxQueued     = 4096
	// snapshotEntries is the length of the log at which a snapshot replaces it.
	snapshotEntries = 500
	// snapshotBytes is the size of the journal at which a snapshot replaces it.
	snapshotBytes = 4 << 20
)

// ErrLostProposal says that it is not known whether a proposal was committed.
var ErrLostProposal = errors.New("the leader changed before the proposal was known to be committed")

// Deps is what a record needs.
type Deps struct {
	Common   observer.Common
	Instance string
	Disk     Disk
	// Founders are the instances that make a new record together, this one among them; empty where none is to be made.
	Founders []string
	// Leaseless says that reads are confirmed by a majority, so that nobody relies on a leader's lease.
	Leaseless bool
	// Send hands a message to the link towards its receiver; it never waits.
	Send func(replicator.Message)
	// Changed is told on the record's thread that the state has changed.
	Changed func(*applier.State)
}

// Record is this instance's member of the replicated record.
type Record struct {
	deps    Deps
	store   *store
	node    *replicator.Node
	state   *applier.State
	waiting map[uint64]waiter
	events  chan func()
	reads   []confirmedRead
	status  atomic.Pointer[Status]
	// baseBytes is the size of the journal right after its last rewrite.
	baseBytes int
	tomb      tomb.Tomb
}

type waiter struct {
	term uint64
	done chan proposed
}

type proposed struct {
	result applier.Result
	err    error
}

// Status is what others may know of the member.
type Status struct {
	ID      replicator.ID
	Role    replicator.Role
	Term    uint64
	Leader  replicator.ID
	Members replicator.Members
	Commit  uint64
	// Lease says that no other leader can have been elected at the time of the status.
	Lease bool
}

// NewRecord opens the member's journal.
func NewRecord(deps Deps) (*Record, error) {
	founds := len(deps.Founders) > 0
	if founds && !slices.Contains(deps.Founders, deps.Instance) {
		return nil, errFounders
	}
	store, err := openStore(deps.Disk, founds)
	if err != nil {
		return nil, err
	}
	r := &Record{deps: deps, store: store, state: applier.NewState(), waiting: map[uint64]waiter{}, events: make(chan func(), maxQueued)}
	if founds && store.identity == founder && store.stored.Snapshot.Index == 0 {
		if err := r.found(deps.Founders); err != nil {
			return nil, err
		}
	}
	r.startNode()
	r.publish()
	return r, nil
}

func (r *Record) startNode() {
	cfg := replicator.Config{ID: r.ID(), Election: electionSpan, Heartbeat: heartbeatSpan, Random: rand.IntN, Leaseless: r.deps.Leaseless}
	r.node = replicator.NewNode(cfg, r.store.stored, r.deps.Common.Clock.Now())
}

// ID returns the member's identity: the instance and the incarnation of its storage.
func (r *Record) ID() replicator.ID {
	return replicator.ID(r.deps.Instance + "#" + r.store.identity)
}

// InstanceOf returns the instance that a member's identity names.
func InstanceOf(id replicator.ID) string {
	for i := range id {
		if id[i] == '#' {
			return string(id[:i])
		}
	}
	return string(id)
}

// Start begins the record's thread.
func (r *Record) Start() {
	r.tomb.Go(r.loop)
}

// Stop hands leadership on and ends the record's thread.
func (r *Record) Stop() error {
	r.tomb.Kill(nil)
	return trace.NewAggregate(r.tomb.Wait(), r.store.journal.Close())
}

// Dead is closed once the record's thread has ended.
func (r *Record) Dead() <-chan struct{} {
	return r.tomb.Dead()
}

// Status returns the newest status.
func (r *Record) Status() Status {
	return *r.status.Load()
}

// Bootstrap makes a record of this member alone; it is refused once the member belongs to one.
func (r *Record) Bootstrap(ctx context.Context) error {
	var refusal error
	err := r.do(ctx, func() { refusal = r.bootstrap() })
	return trace.NewAggregate(err, refusal)
}

func (r *Record) bootstrap() error {
	if len(r.node.Members().Voters) > 0 {
		return trace.AlreadyExists("this instance belongs to a record already")
	}
	// The first snapshot is the start of the one history that every later member copies.
	first := replicator.Snapshot{Index: 1, Term: 1, Members: replicator.Members{Voters: []replicator.ID{r.ID()}}}
	r.store.stored = replicator.Stored{Vote: replicator.Vote{Term: 1}, Snapshot: first}
	if err := r.store.rebase(r.store.stored); err != nil {
		return err
	}
	r.startNode()
	return nil
}

// Step hands a message of another member to the record's thread; a full queue drops it, as a network may.
func (r *Record) Step(m replicator.Message) {
	select {
	case r.events <- func() { r.node.Step(r.deps.Common.Clock.Now(), m) }:
	default:
		r.deps.Common.Counter("record.messages-dropped").Inc(1)
	}
}

// Propose commits a command and returns its result; replicator.ErrNotLeader says that another member must be asked.
func (r *Record) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return applier.Result{}, err
	}
	w := waiter{done: make(chan proposed, 1)}
	err = r.do(ctx, func() { r.propose(data, w) })
	if err != nil {
		return applier.Result{}, err
	}
	select {
	case p := <-w.done:
		return p.result, p.err
	case <-ctx.Done():
		return applier.Result{}, errors.Join(ErrLostProposal, ctx.Err())
	case <-r.tomb.Dead():
		return applier.Result{}, ErrLostProposal
	}
}

func (r *Record) propose(data []byte, w waiter) {
	index, term, err := r.node.Propose(data)
	if err != nil {
		w.done <- proposed{err: err}
		return
	}
	w.term = term
	r.waiting[index] = w
}

// ChangeMembers proposes a membership that differs in one member.
func (r *Record) ChangeMembers(ctx context.Context, m replicator.Members) error {
	var refusal error
	err := r.do(ctx, func() { _, refusal = r.node.ChangeMembers(m) })
	return errors.Join(err, refusal)
}

// Transfer hands leadership to another voter.
func (r *Record) Transfer(ctx context.Context) error {
	return r.do(ctx, func() { r.node.Transfer() })
}

// Read runs f on the record's thread with the state, which f must not keep.
func (r *Record) Read(ctx context.Context, f func(*applier.State)) error {
	return r.do(ctx, func() { f(r.state) })
}

func (r *Record) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.events <- func() { f(); close(done) }:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-r.tomb.Dying():
		return trace.ConnectionProblem(nil, "the record is closed")
	}
	select {
	case <-done:
		return nil
	case <-r.tomb.Dead():
		return trace.ConnectionProblem(nil, "the record closed")
	}
}

func (r *Record) loop() error {
	if err := r.settle(); err != nil {
		return err
	}
	tick := r.deps.Common.Clock.After(tickSpan)
	for {
		select {
		case f := <-r.events:
			f()
			r.drain()
		case <-tick:
			r.node.Tick(r.deps.Common.Clock.Now())
			if len(r.reads) > 0 {
				r.node.Confirm(r.deps.Common.Clock.Now())
			}
			tick = r.deps.Common.Clock.After(tickSpan)
		case <-r.tomb.Dying():
			return nil
		}
		if err := r.settle(); err != nil {
			r.deps.Common.Log.Error("record failed", "error", err)
			return err
		}
	}
}

// drain takes in what waits already, so that one sync serves all of it.
func (r *Record) drain() {
	for range maxBatch {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}
