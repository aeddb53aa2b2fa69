package replicator

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ID identifies one voter or learner: an instance and one incarnation of its storage.
type ID string

// EntryKind is the kind of content that a log entry holds.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryNoOp
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Members is the membership of the replication group; learners receive the log but do not count towards a quorum.
type Members struct {
	Voters   []ID `cbor:"1,keyasint"`
	Learners []ID `cbor:"2,keyasint"`
}

// WithVoter returns a copy in which the id is a voter.
func (m Members) WithVoter(id ID) Members {
	return Members{Voters: append(without(m.Voters, id), id), Learners: without(m.Learners, id)}
}

// WithLearner returns a copy in which the id is a learner.
func (m Members) WithLearner(id ID) Members {
	return Members{Voters: without(m.Voters, id), Learners: append(without(m.Learners, id), id)}
}

// Without returns a copy that does not contain the id.
func (m Members) Without(id ID) Members {
	return Members{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

// IsVoter reports whether the id is a voter.
func (m Members) IsVoter(id ID) bool {
	return slices.Contains(m.Voters, id)
}

// Contains reports whether the id is a voter or a learner.
func (m Members) Contains(id ID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

func (m Members) allIDs() []ID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

func without(list []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(list), func(x ID) bool { return x == id })
}

// VoteState is the durable election state of a member: its current term and the candidate that it voted for in that
// term.
type VoteState struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint"`
}

// Snapshot replaces all entries up to its index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	State   []byte  `cbor:"4,keyasint"`
}

// MessageKind is the kind of a request or response between members.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageSnapshot
	MessageTimeoutNow
)

// Message is a request or response that one member sends to another.
type Message struct {
	Kind        MessageKind `cbor:"1,keyasint"`
	From        ID          `cbor:"2,keyasint"`
	To          ID          `cbor:"3,keyasint"`
	Term        uint64      `cbor:"4,keyasint"`
	LastIndex   uint64      `cbor:"5,keyasint,omitempty"`
	LastTerm    uint64      `cbor:"6,keyasint,omitempty"`
	Entries     []Entry     `cbor:"7,keyasint,omitempty"`
	CommitIndex uint64      `cbor:"8,keyasint,omitempty"`
	Granted     bool        `cbor:"9,keyasint,omitempty"`
	Snapshot    *Snapshot   `cbor:"10,keyasint,omitempty"`
	// SentAt is the leader's clock when it sent the request; the response repeats it.
	SentAt timer.Millis `cbor:"11,keyasint,omitempty"`
	// IsTransfer marks an election that the leader started to transfer its leadership.
	IsTransfer bool `cbor:"12,keyasint,omitempty"`
}

// Role is the current role of a node.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name for logs.
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

// Config holds a node's identity and timeouts.
type Config struct {
	ID ID
	// ElectionTimeout is the minimum election timeout in milliseconds: the time without contact from the leader after
	// which another member may be elected.
	ElectionTimeout timer.Millis
	// HeartbeatInterval is the interval between heartbeats of the leader, in milliseconds.
	HeartbeatInterval timer.Millis
	// WithoutLeases means that nothing relies on leader leases, so that a member that has just started does not wait for
	// one to expire.
	WithoutLeases bool
	// RandIntN returns a random number from 0 to n-1.
	RandIntN func(n int) int
}

// Effects are the actions that the caller performs after a step, in this order: write and sync Vote, Entries and
// Snapshot; send Messages; apply Restore and Committed.
type Effects struct {
	Vote     *VoteState
	Entries  []Entry
	Snapshot *Snapshot
	Messages []Message
	// Restore is a snapshot that replaces the applied state.
	Restore *Snapshot
	// Committed are newly committed entries, which every member applies in this order.
	Committed []Entry
}

// IsEmpty reports whether there is nothing to do.
func (e Effects) IsEmpty() bool {
	return e.Vote == nil && e.Snapshot == nil && e.Restore == nil && len(e.Entries) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// HasWrites reports whether something must be written to disk.
func (e Effects) HasWrites() bool {
	return e.Vote != nil || e.Snapshot != nil || len(e.Entries) > 0
}
