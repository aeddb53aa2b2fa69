package replicator

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Errors of proposals.
var (
	ErrNotLeader      = errors.New("this voter does not lead the record")
	ErrMembersPending = errors.New("a change of membership is still pending")
	ErrNotCaughtUp    = errors.New("the learner has not caught up yet")
)

const (
	// maxEntriesPerMessage bounds one message to a follower.
	maxEntriesPerMessage = 256
	// caughtUpEntries is how far behind a learner may be to become a voter.
	caughtUpEntries = 64
	// leasePart of the election span is safe to rely on, in percent; the rest covers clocks that run unequally.
	leasePart = 80
)

// Node is one member of the record.
type Node struct {
	cfg     Config
	log     log
	vote    Vote
	role    Role
	leader  ID
	members Members
	// membersAt is the index of the membership entry in use.
	membersAt uint64
	applied   uint64

	now       timer.Millis
	heardAt   timer.Millis
	patience  timer.Millis
	heartbeat timer.Millis
	votes     map[ID]bool
	peers     map[ID]*peer
	transfer  ID
	// transferAt is when the transfer began; a leader that offered its place never answers from its lease again.
	transferAt timer.Millis
	out        Effects
}

// peer is what a leader knows of another member.
type peer struct {
	next    uint64
	match   uint64
	heardAt timer.Millis
	// ackedAt is the leader's sending time of the newest request that the member answered.
	ackedAt timer.Millis
	// snapshotAt is when a snapshot was last sent, so that it is not sent again at once.
	snapshotAt timer.Millis
}

// Stored is what a node finds on its disk.
type Stored struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry
}

// NewNode returns a follower with what its disk held at the given time in milliseconds.
func NewNode(cfg Config, stored Stored, now timer.Millis) *Node {
	n := &Node{cfg: cfg, vote: stored.Vote, role: RoleFollower, now: now, heardAt: now}
	n.log = log{snapshot: stored.Snapshot, entries: stored.Entries, commit: stored.Snapshot.Index}
	n.applied = stored.Snapshot.Index
	if stored.Snapshot.Index > 0 {
		n.out.Restore = &stored.Snapshot
	}
	n.adoptMembers()
	n.drawPatience()
	if cfg.Leaseless {
		n.heardAt = now - cfg.Election
		n.patience = cfg.Election + n.firstPatience()
	}
	return n
}

// Take returns what must be done since the last call.
func (n *Node) Take() Effects {
	if n.applied < n.log.commit {
		n.out.Committed = append(n.out.Committed, n.log.between(n.applied, n.log.commit)...)
		n.applied = n.log.commit
	}
	out := n.out
	n.out = Effects{}
	return out
}

// Role returns what the node does now.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.vote.Term }

// Leader returns the known leader, empty when there is none.
func (n *Node) Leader() ID { return n.leader }

// Members returns the membership in use.
func (n *Node) Members() Members { return n.members }

// Commit returns the index of the newest committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// LogLength returns the number of entries since the newest snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// Lease reports whether this node leads and no other can have been elected yet.
func (n *Node) Lease(now timer.Millis) bool {
	if n.role != RoleLeader || n.transfer != "" || !n.committedInTerm() {
		return false
	}
	return now < n.quorumAckedAt(now)+n.cfg.Election*leasePart/100
}

// quorumAckedAt returns the sending time of the newest request that a quorum has answered.
func (n *Node) quorumAckedAt(now timer.Millis) timer.Millis {
	return quorumOf(n.members.Voters, func(id ID) timer.Millis {
		if id == n.cfg.ID {
			return now
		}
		return n.peers[id].ackedAt
	})
}

// quorumOf returns the greatest value that a majority of the voters reaches.
func quorumOf[T uint64 | timer.Millis](voters []ID, value func(ID) T) T {
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-len(values)/2-1]
}

func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.vote.Term
}

// Propose appends a command; its index and term tell later whether it was committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader || n.transfer != "" {
		return 0, 0, ErrNotLeader
	}
	index = n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return index, n.vote.Term, nil
}

// ChangeMembers appends a membership that differs from the current one in one member.
func (n *Node) ChangeMembers(m Members) (index uint64, err error) {
	if n.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if n.membersAt > n.log.commit || !n.committedInTerm() {
		return 0, ErrMembersPending
	}
	for _, id := range m.Voters {
		if !n.members.Votes(id) && n.peers[id] != nil && n.peers[id].match+caughtUpEntries < n.log.lastIndex() {
			return 0, ErrNotCaughtUp
		}
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return 0, err
	}
	return n.appendOwn(Entry{Kind: EntryMembers, Data: data}), nil
}

// Transfer hands leadership to the most advanced other voter, for a planned stop.
func (n *Node) Transfer() {
	if n.role != RoleLeader {
		return
	}
	var best ID
	for _, id := range n.members.Voters {
		if id == n.cfg.ID || n.now-n.peers[id].heardAt > n.cfg.Election {
			continue
		}
		if best == "" || n.peers[id].match > n.peers[best].match {
			best = id
		}
	}
	n.transfer = best
	n.transferAt = n.now
	n.tryTransfer()
}

func (n *Node) tryTransfer() {
	if n.transfer != "" && n.peers[n.transfer].match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: n.transfer})
	}
}

// Compact replaces applied entries by a snapshot of the applied state.
func (n *Node) Compact(index uint64, state []byte) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index <= n.log.snapshot.Index {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: n.membersUpTo(index), State: state}
	n.log.compact(s)
	n.out.Snapshot = &s
}

func (n *Node) membersUpTo(index uint64) Members {
	for i := int(index - n.log.snapshot.Index); i > 0; i-- {
		if e := n.log.entries[i-1]; e.Kind == EntryMembers {
			return decodeMembers(e.Data)
		}
	}
	return n.log.snapshot.Members
}

// Stored returns what the disk must hold, for a rewrite of the journal.
func (n *Node) Stored() Stored {
	return Stored{Vote: n.vote, Snapshot: n.log.snapshot, Entries: n.log.entries}
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.vote.Term
	n.out.Entries = append(n.out.Entries, n.log.append([]Entry{e})...)
	if e.Kind == EntryMembers {
		n.adoptMembers()
	}
	n.broadcast()
	n.advanceCommit()
	return e.Index
}

// adoptMembersOf uses the membership of the log if the new entries may have changed it.
func (n *Node) adoptMembersOf(entries []Entry) {
	changed := slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryMembers })
	if changed || len(entries) > 0 && entries[0].Index <= n.membersAt {
		n.adoptMembers()
	}
}

// adoptMembers uses the newest membership of the log, committed or not.
func (n *Node) adoptMembers() {
	n.members, n.membersAt = n.log.members()
	if n.role != RoleLeader {
		return
	}
	for _, id := range n.members.all() {
		if n.peers[id] == nil {
			n.peers[id] = &peer{next: n.log.lastIndex() + 1, heardAt: n.now}
		}
	}
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

func (n *Node) setVote(v Vote) {
	n.vote = v
	n.out.Vote = &v
}

// drawPatience makes voters lose patience at different times: each has a part of the span of its own, so that two that
// lose their leader at the same moment do not stand against each other even where their draws are alike.
func (n *Node) drawPatience() {
	voters := slices.Sorted(slices.Values(n.members.Voters))
	part := n.cfg.Election / timer.Millis(max(1, len(voters)))
	rank := timer.Millis(max(0, slices.Index(voters, n.cfg.ID)))
	n.patience = n.cfg.Election + rank*part + timer.Millis(n.cfg.Random(max(1, int(part)/2)))
}

// firstPatience is how long a member that has just started waits for a leader: it asks before it disturbs the term, so
// that a live leader stays.
func (n *Node) firstPatience() timer.Millis {
	return n.cfg.Heartbeat + (n.patience-n.cfg.Election)/2
}

// decodeMembers reads a membership entry, which only this package writes.
func decodeMembers(data []byte) Members {
	var m Members
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic("a membership entry that this program wrote cannot be read: " + err.Error())
	}
	return m
}
