package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	testElection  = 100 * timer.Millisecond
	testHeartbeat = 20 * timer.Millisecond
	testTick      = 5 * timer.Millisecond
)

// testMember is a node with its simulated disk and the entries that it applied.
type testMember struct {
	node    *Node
	stored  DurableState
	applied []string
	down    bool
}

// scheduledMessage is a message in flight.
type scheduledMessage struct {
	deliverAt timer.Millis
	message   Message
}

// network simulates message loss, delay, duplication and partitions between nodes, all drawn from one seed.
type network struct {
	t              *testing.T
	seed           uint64
	rand           *rand.Rand
	now            timer.Millis
	members        map[ID]*testMember
	inFlight       []scheduledMessage
	blocked        map[[2]ID]bool
	lossPercent    int
	maxDelayMillis int
	// history is the sequence of entries that every member must apply.
	history      []string
	leaderByTerm map[uint64]ID
}

func newNetwork(t *testing.T, seed uint64, voters int) *network {
	w := &network{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 17)), now: 1000, members: map[ID]*testMember{},
		blocked: map[[2]ID]bool{}, leaderByTerm: map[uint64]ID{}, maxDelayMillis: 15,
	}
	var m Members
	for i := range voters {
		m = m.WithVoter(ID(fmt.Sprintf("v%d", i)))
	}
	for _, id := range m.Voters {
		w.addMember(id, DurableState{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}})
	}
	return w
}

func (w *network) addMember(id ID, stored DurableState) {
	w.members[id] = &testMember{stored: stored}
	w.startMember(id)
}

// startMember starts a member from its simulated disk.
func (w *network) startMember(id ID) {
	m := w.members[id]
	cfg := Config{ID: id, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, RandIntN: w.rand.IntN}
	stored := m.stored
	stored.Entries = slices.Clone(stored.Entries)
	m.node = NewNode(cfg, stored, w.now)
	m.down = false
	w.processEffects(id)
}

// processEffects performs a node's effects: writes, then messages, then commands.
func (w *network) processEffects(id ID) {
	m := w.members[id]
	for out := m.node.TakeEffects(); !out.IsEmpty(); out = m.node.TakeEffects() {
		w.storeEffects(m, out)
		for _, msg := range out.Messages {
			w.send(msg)
		}
		if out.Restore != nil {
			m.applied = decodeState(out.Restore.State)
		}
		for _, e := range out.Committed {
			m.applied = append(m.applied, fmt.Sprintf("%d/%d/%d/%x", e.Index, e.Term, e.Kind, e.Data))
		}
		w.checkHistory(id, m)
	}
	w.checkLeader(id, m.node)
}

func (w *network) storeEffects(m *testMember, out Effects) {
	if out.Vote != nil {
		m.stored.Vote = *out.Vote
	}
	if out.Snapshot != nil {
		kept := DurableState{Vote: m.stored.Vote, Snapshot: *out.Snapshot}
		for _, e := range m.stored.Entries {
			if e.Index > out.Snapshot.Index {
				kept.Entries = append(kept.Entries, e)
			}
		}
		m.stored = kept
	}
	for _, e := range out.Entries {
		keep := int(e.Index - m.stored.Snapshot.Index - 1)
		if keep < 0 || keep > len(m.stored.Entries) {
			w.t.Fatalf("seed %d: entry %d leaves a gap in the stored log", w.seed, e.Index)
		}
		m.stored.Entries = append(slices.Clone(m.stored.Entries[:keep]), e)
	}
}

// send schedules a message, which may be lost or duplicated.
func (w *network) send(m Message) {
	copies := 1
	if w.rand.IntN(100) < w.lossPercent {
		copies = 0
	}
	if w.rand.IntN(100) < w.lossPercent/2 {
		copies++
	}
	for range copies {
		w.inFlight = append(w.inFlight, scheduledMessage{deliverAt: w.now + 1 + timer.Millis(w.rand.IntN(w.maxDelayMillis)), message: m})
	}
}

// run simulates a span of time.
func (w *network) run(span timer.Millis) {
	for end := w.now + span; w.now < end; {
		w.now += testTick
		w.deliverDue()
		for _, id := range w.ids() {
			if m := w.members[id]; !m.down {
				m.node.Tick(w.now)
				w.processEffects(id)
			}
		}
		w.checkLeases()
	}
}

func (w *network) deliverDue() {
	var due, later []scheduledMessage
	for _, d := range w.inFlight {
		if d.deliverAt <= w.now {
			due = append(due, d)
			continue
		}
		later = append(later, d)
	}
	w.inFlight = later
	w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		m := w.members[d.message.To]
		if m == nil || m.down || w.blocked[[2]ID{d.message.From, d.message.To}] {
			continue
		}
		m.node.Step(w.now, d.message)
		w.processEffects(d.message.To)
	}
}

func (w *network) ids() []ID {
	var ids []ID
	for id := range w.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// leader returns the leader of the newest term, or nil.
func (w *network) leader() *Node {
	var newest *Node
	for _, id := range w.ids() {
		m := w.members[id]
		if !m.down && m.node.Role() == RoleLeader && (newest == nil || m.node.Term() > newest.Term()) {
			newest = m.node
		}
	}
	return newest
}

// isolate blocks a member's messages in the given directions.
func (w *network) isolate(id ID, blockIn, blockOut bool) {
	for _, other := range w.ids() {
		if other == id {
			continue
		}
		w.blocked[[2]ID{other, id}] = blockIn
		w.blocked[[2]ID{id, other}] = blockOut
	}
}

func (w *network) removePartitions() {
	w.blocked = map[[2]ID]bool{}
}

// checkHistory fails if a member's entries differ from the history: a committed entry is never lost or changed.
func (w *network) checkHistory(id ID, m *testMember) {
	for i, e := range m.applied {
		if i < len(w.history) {
			if w.history[i] != e {
				w.t.Fatalf("seed %d: %s applied %s at position %d, others %s", w.seed, id, e, i, w.history[i])
			}
			continue
		}
		w.history = append(w.history, e)
	}
}

func (w *network) checkLeader(id ID, n *Node) {
	if n.Role() != RoleLeader {
		return
	}
	if other, ok := w.leaderByTerm[n.Term()]; ok && other != id {
		w.t.Fatalf("seed %d: %s and %s are both leaders of term %d", w.seed, id, other, n.Term())
	}
	w.leaderByTerm[n.Term()] = id
}

// checkLeases fails if two leaders hold a lease or the holder has not applied all committed entries.
func (w *network) checkLeases() {
	var holder ID
	for _, id := range w.ids() {
		m := w.members[id]
		if m.down || !m.node.HoldsLease(w.now) {
			continue
		}
		if holder != "" {
			w.t.Fatalf("seed %d: %s and %s both hold a lease", w.seed, holder, id)
		}
		holder = id
		if len(m.applied) < len(w.history) {
			w.t.Fatalf("seed %d: %s holds the lease but applied %d of %d entries", w.seed, id, len(m.applied), len(w.history))
		}
	}
}

func encodeState(applied []string) []byte {
	var b []byte
	for _, s := range applied {
		b = append(append(b, s...), '\n')
	}
	return b
}

func decodeState(b []byte) []string {
	var list []string
	start := 0
	for i, c := range b {
		if c == '\n' {
			list = append(list, string(b[start:i]))
			start = i + 1
		}
	}
	return list
}
