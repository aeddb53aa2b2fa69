package replicator

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ID names one voter or learner: an instance with one incarnation of its storage.
type ID string

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryEmpty
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Members is the membership of the record; learners receive the log but do not count.
type Members struct {
	Voters   []ID `cbor:"1,keyasint"`
	Learners []ID `cbor:"2,keyasint"`
}

// WithVoter returns a copy in which the id votes.
func (m Members) WithVoter(id ID) Members {
	return Members{Voters: append(without(m.Voters, id), id), Learners: without(m.Learners, id)}
}

// WithLearner returns a copy in which the id learns.
func (m Members) WithLearner(id ID) Members {
	return Members{Voters: without(m.Voters, id), Learners: append(without(m.Learners, id), id)}
}

// Without returns a copy that does not know the id.
func (m Members) Without(id ID) Members {
	return Members{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

// Votes reports whether the id is a voter.
func (m Members) Votes(id ID) bool {
	return slices.Contains(m.Voters, id)
}

// Knows reports whether the id is a voter or a learner.
func (m Members) Knows(id ID) bool {
	return m.Votes(id) || slices.Contains(m.Learners, id)
}

func (m Members) all() []ID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

func without(list []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(list), func(x ID) bool { return x == id })
}

// Vote is what a voter must not forget about elections.
type Vote struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint"`
}

// Snapshot stands for all entries up to its index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	State   []byte  `cbor:"4,keyasint"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageSnapshot
	MessageTimeoutNow
)

// Message travels between two members.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	From      ID          `cbor:"2,keyasint"`
	To        ID          `cbor:"3,keyasint"`
	Term      uint64      `cbor:"4,keyasint"`
	LastIndex uint64      `cbor:"5,keyasint,omitempty"`
	LastTerm  uint64      `cbor:"6,keyasint,omitempty"`
	Entries   []Entry     `cbor:"7,keyasint,omitempty"`
	Commit    uint64      `cbor:"8,keyasint,omitempty"`
	Granted   bool        `cbor:"9,keyasint,omitempty"`
	Snapshot  *Snapshot   `cbor:"10,keyasint,omitempty"`
	// SentAt is the leader's time of the request that an answer belongs to.
	SentAt timer.Millis `cbor:"11,keyasint,omitempty"`
	// Transfer marks an election that the leader itself asked for.
	Transfer bool `cbor:"12,keyasint,omitempty"`
}

// Role is what a node does at the moment.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String prints a role for logs.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// Config says who a node is and how patient it is.
type Config struct {
	ID ID
	// Election is the least silence of a leader after which others may be elected, in milliseconds.
	Election timer.Millis
	// Heartbeat is the time between messages of a leader that has nothing to say, in milliseconds.
	Heartbeat timer.Millis
	// Leaseless says that nobody relies on a leader's lease, so that a member that has just started need not wait it out.
	Leaseless bool
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

// Effects is what must be done after a step: first all writes with a sync, then the messages, then the commands.
type Effects struct {
	Vote     *Vote
	Entries  []Entry
	Snapshot *Snapshot
	Messages []Message
	// Restore is a snapshot that replaces the applied state.
	Restore *Snapshot
	// Committed are entries that everybody will apply in this order.
	Committed []Entry
}

// Empty reports whether nothing must be done.
func (e Effects) Empty() bool {
	return e.Vote == nil && e.Snapshot == nil && e.Restore == nil && len(e.Entries) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// Writes reports whether something must be made durable.
func (e Effects) Writes() bool {
	return e.Vote != nil || e.Snapshot != nil || len(e.Entries) > 0
}
