package replicator

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Errors that proposals return.
var (
	ErrNotLeader           = errors.New("this voter does not lead the record")
	ErrMemberChangePending = errors.New("a membership change is still pending")
	ErrNotCaughtUp         = errors.New("the learner has not caught up yet")
)

const (
	// maxEntriesPerMessage limits the entries in one append request.
	maxEntriesPerMessage = 256
	// maxCaughtUpLag is the greatest number of entries that a learner may lag behind the leader and still become a voter.
	maxCaughtUpLag = 64
	// leasePercent is the leader lease as a percentage of the election timeout; the rest allows for clock drift.
	leasePercent = 80
)

// Node is one member of the replication group.
type Node struct {
	cfg     Config
	log     log
	vote    VoteState
	role    Role
	leader  ID
	members Members
	// membersIndex is the index of the entry that holds the current membership.
	membersIndex uint64
	appliedIndex uint64

	now                timer.Millis
	electionTimerStart timer.Millis
	electionTimeout    timer.Millis
	broadcastAt        timer.Millis
	grantedVotes       map[ID]bool
	peers              map[ID]*peer
	transferTarget     ID
	// transferStartedAt is when the leadership transfer started; the leader does not use its lease from then on.
	transferStartedAt timer.Millis
	effects           Effects
}

// peer is a leader's replication state for another member.
type peer struct {
	nextIndex   uint64
	matchIndex  uint64
	respondedAt timer.Millis
	// ackedSentAt is when the leader sent the newest request that the member answered.
	ackedSentAt timer.Millis
	// snapshotSentAt is when the last snapshot was sent; it delays the next one.
	snapshotSentAt timer.Millis
}

// DurableState is the durable state of a node.
type DurableState struct {
	Vote     VoteState
	Snapshot Snapshot
	Entries  []Entry
}

// NewNode returns a follower with the given durable state; now is in milliseconds.
func NewNode(cfg Config, stored DurableState, now timer.Millis) *Node {
	n := &Node{cfg: cfg, vote: stored.Vote, role: RoleFollower, now: now, electionTimerStart: now}
	n.log = log{snapshot: stored.Snapshot, entries: stored.Entries, commitIndex: stored.Snapshot.Index}
	n.appliedIndex = stored.Snapshot.Index
	if stored.Snapshot.Index > 0 {
		n.effects.Restore = &stored.Snapshot
	}
	n.updateMembers()
	n.drawElectionTimeout()
	if cfg.WithoutLeases {
		n.electionTimerStart = now - cfg.ElectionTimeout
		n.electionTimeout = cfg.ElectionTimeout + n.firstElectionDelay()
	}
	return n
}

// TakeEffects returns the effects that accumulated since the last call.
func (n *Node) TakeEffects() Effects {
	if n.appliedIndex < n.log.commitIndex {
		n.effects.Committed = append(n.effects.Committed, n.log.entriesBetween(n.appliedIndex, n.log.commitIndex)...)
		n.appliedIndex = n.log.commitIndex
	}
	effects := n.effects
	n.effects = Effects{}
	return effects
}

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.vote.Term }

// Leader returns the current leader, empty if it is unknown.
func (n *Node) Leader() ID { return n.leader }

// Members returns the current membership, committed or not.
func (n *Node) Members() Members { return n.members }

// CommitIndex returns the index of the newest committed entry.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// LogLength returns the number of entries since the newest snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// HoldsLease reports whether this node leads and holds a lease, so that no other node can have been elected yet.
func (n *Node) HoldsLease(now timer.Millis) bool {
	if n.role != RoleLeader || n.transferTarget != "" || !n.hasCommittedInTerm() {
		return false
	}
	return now < n.quorumAckedSentAt(now)+n.cfg.ElectionTimeout*leasePercent/100
}

// quorumAckedSentAt returns when the newest request that a quorum has answered was sent.
func (n *Node) quorumAckedSentAt(now timer.Millis) timer.Millis {
	return quorumValue(n.members.Voters, func(id ID) timer.Millis {
		if id == n.cfg.ID {
			return now
		}
		return n.peers[id].ackedSentAt
	})
}

// quorumValue returns the greatest value that a majority of the voters has reached.
func quorumValue[T uint64 | timer.Millis](voters []ID, value func(ID) T) T {
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-len(values)/2-1]
}

func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.log.commitIndex)
	return ok && term == n.vote.Term
}

// Propose appends a command and returns its index and term; the command is committed once the entry committed at that
// index has that term. It returns ErrNotLeader if the node does not lead.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader || n.transferTarget != "" {
		return 0, 0, ErrNotLeader
	}
	index = n.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return index, n.vote.Term, nil
}

// ChangeMembers appends a membership that differs from the current one in one member. It returns ErrNotLeader,
// ErrMemberChangePending or ErrNotCaughtUp if the change is not possible now.
func (n *Node) ChangeMembers(m Members) (index uint64, err error) {
	if n.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if n.membersIndex > n.log.commitIndex || !n.hasCommittedInTerm() {
		return 0, ErrMemberChangePending
	}
	for _, id := range m.Voters {
		if !n.members.IsVoter(id) && n.peers[id] != nil && n.peers[id].matchIndex+maxCaughtUpLag < n.log.lastIndex() {
			return 0, ErrNotCaughtUp
		}
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return 0, err
	}
	return n.appendAsLeader(Entry{Kind: EntryMembers, Data: data}), nil
}

// TransferLeadership transfers leadership to the reachable voter with the longest log, for a planned stop.
func (n *Node) TransferLeadership() {
	if n.role != RoleLeader {
		return
	}
	var target ID
	for _, id := range n.members.Voters {
		if id == n.cfg.ID || n.now-n.peers[id].respondedAt > n.cfg.ElectionTimeout {
			continue
		}
		if target == "" || n.peers[id].matchIndex > n.peers[target].matchIndex {
			target = id
		}
	}
	n.transferTarget = target
	n.transferStartedAt = n.now
	n.sendTimeoutNowIfReady()
}

// sendTimeoutNowIfReady lets the transfer target start its election once it has the whole log.
func (n *Node) sendTimeoutNowIfReady() {
	if n.transferTarget != "" && n.peers[n.transferTarget].matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: n.transferTarget})
	}
}

// Compact replaces the applied entries up to the index with a snapshot of the applied state.
func (n *Node) Compact(index uint64, state []byte) {
	term, ok := n.log.term(index)
	if !ok || index > n.appliedIndex || index <= n.log.snapshot.Index {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: n.membersAt(index), State: state}
	n.log.compact(s)
	n.effects.Snapshot = &s
}

// membersAt returns the membership as of an index of the log.
func (n *Node) membersAt(index uint64) Members {
	for i := int(index - n.log.snapshot.Index); i > 0; i-- {
		if e := n.log.entries[i-1]; e.Kind == EntryMembers {
			return decodeMembers(e.Data)
		}
	}
	return n.log.snapshot.Members
}

// DurableState returns the state that must be durable, for a rewrite of the journal.
func (n *Node) DurableState() DurableState {
	return DurableState{Vote: n.vote, Snapshot: n.log.snapshot, Entries: n.log.entries}
}

func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.vote.Term
	n.effects.Entries = append(n.effects.Entries, n.log.append([]Entry{e})...)
	if e.Kind == EntryMembers {
		n.updateMembers()
	}
	n.broadcastAppend()
	n.advanceCommit()
	return e.Index
}

// updateMembersAfterAppend updates the membership if the appended entries hold one or replaced the entry that held it.
func (n *Node) updateMembersAfterAppend(entries []Entry) {
	changed := slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryMembers })
	if changed || len(entries) > 0 && entries[0].Index <= n.membersIndex {
		n.updateMembers()
	}
}

// updateMembers switches to the newest membership in the log, committed or not.
func (n *Node) updateMembers() {
	n.members, n.membersIndex = n.log.newestMembers()
	if n.role != RoleLeader {
		return
	}
	for _, id := range n.members.allIDs() {
		if n.peers[id] == nil {
			n.peers[id] = &peer{nextIndex: n.log.lastIndex() + 1, respondedAt: n.now}
		}
	}
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	n.effects.Messages = append(n.effects.Messages, m)
}

func (n *Node) setVote(v VoteState) {
	n.vote = v
	n.effects.Vote = &v
}

// drawElectionTimeout draws the election timeout. Each voter has a separate slot after the configured timeout and adds
// a random delay of up to half a slot, so that voters that lose their leader at the same moment do not split the vote,
// even if their random delays are equal.
func (n *Node) drawElectionTimeout() {
	voters := slices.Sorted(slices.Values(n.members.Voters))
	slot := n.cfg.ElectionTimeout / timer.Millis(max(1, len(voters)))
	rank := timer.Millis(max(0, slices.Index(voters, n.cfg.ID)))
	n.electionTimeout = n.cfg.ElectionTimeout + rank*slot + timer.Millis(n.cfg.RandIntN(max(1, int(slot)/2)))
}

// firstElectionDelay returns how long a member that has just started waits for a leader before its first pre-vote. The
// delay may be short: a pre-vote does not raise the term, so a live leader keeps its role.
func (n *Node) firstElectionDelay() timer.Millis {
	return n.cfg.HeartbeatInterval + (n.electionTimeout-n.cfg.ElectionTimeout)/2
}

// decodeMembers decodes a membership entry; it panics on malformed data, since only this package writes such entries.
func decodeMembers(data []byte) Members {
	var m Members
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic("cannot decode a membership entry: " + err.Error())
	}
	return m
}
