package messenger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rater"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

// ProtocolVersion is the version of the envelope format; an instance also accepts the version before and after its own.
const ProtocolVersion = 1

// Peer identifies an instance to the other instances.
type Peer struct {
	Name        string        `cbor:"1,keyasint" json:"name"`
	DataCentre  string        `cbor:"2,keyasint" json:"data-centre"`
	Address     string        `cbor:"3,keyasint" json:"address"`
	Incarnation int64         `cbor:"4,keyasint" json:"incarnation"`
	Member      replicator.ID `cbor:"5,keyasint,omitempty" json:"member,omitempty"`
}

// Envelope is one message between instances; exactly one field besides Version, From and CallID is set.
type Envelope struct {
	Version int    `cbor:"1,keyasint"`
	From    string `cbor:"2,keyasint"`
	// CallID is the id that matches a reply to its request; 0 for messages that get no reply.
	CallID         uint64                  `cbor:"3,keyasint,omitempty"`
	Hello          *Peer                   `cbor:"4,keyasint,omitempty"`
	Heartbeat      *Heartbeat              `cbor:"5,keyasint,omitempty"`
	Raft           *replicator.Message     `cbor:"6,keyasint,omitempty"`
	Proposal       []byte                  `cbor:"7,keyasint,omitempty"`
	ProposalReply  *ProposalReply          `cbor:"8,keyasint,omitempty"`
	DocumentUpdate *DocumentUpdate         `cbor:"9,keyasint,omitempty"`
	Announcement   *registrar.Announcement `cbor:"10,keyasint,omitempty"`
	Bill           []byte                  `cbor:"11,keyasint,omitempty"`
	BillReply      *BillReply              `cbor:"12,keyasint,omitempty"`
	WaitingQuery   *WaitingQuery           `cbor:"13,keyasint,omitempty"`
	WaitingReply   *WaitingReply           `cbor:"14,keyasint,omitempty"`
	Crash          *quarantiner.Crash      `cbor:"15,keyasint,omitempty"`
	Ratings        []Rating                `cbor:"16,keyasint,omitempty"`
	RatedAnswer    *RatedAnswer            `cbor:"17,keyasint,omitempty"`
	CrashReply     *CrashReply             `cbor:"18,keyasint,omitempty"`
}

// isReply reports whether the envelope is the reply to a call.
func (e Envelope) isReply() bool {
	return e.ProposalReply != nil || e.BillReply != nil || e.WaitingReply != nil || e.CrashReply != nil
}

// RatedAnswer is the outcome of one answer of a version on roll-out. It is sent to the leader, which evaluates the
// version over the whole fleet.
type RatedAnswer struct {
	Environment string      `cbor:"1,keyasint"`
	Version     string      `cbor:"2,keyasint"`
	Class       rater.Class `cbor:"3,keyasint"`
	DataCentre  string      `cbor:"4,keyasint"`
	ExpectedBad float64     `cbor:"5,keyasint"`
	Good        bool        `cbor:"6,keyasint"`
}

// Rating is the result that the rating service gives for one answer.
type Rating struct {
	RequestID string `cbor:"1,keyasint" json:"request-id"`
	Good      bool   `cbor:"2,keyasint" json:"good"`
}

// WaitingQuery asks the leader which instances do not have a revision in force yet.
type WaitingQuery struct {
	Environment string `cbor:"1,keyasint"`
	Revision    int64  `cbor:"2,keyasint"`
}

// WaitingInstance is one instance that does not have a revision in force yet, with the reason.
type WaitingInstance struct {
	Instance   string `cbor:"1,keyasint" json:"instance"`
	DataCentre string `cbor:"2,keyasint" json:"data-centre"`
	Reason     string `cbor:"3,keyasint" json:"reason"`
}

// WaitingReply lists the instances that do not have a revision in force yet.
type WaitingReply struct {
	Instances []WaitingInstance `cbor:"1,keyasint"`
}

// Heartbeat carries the sender's revisions in force by environment and the peers that it knows.
type Heartbeat struct {
	Revisions map[string]int64 `cbor:"1,keyasint"`
	// HoldsLease is set while the sender leads the record and holds the lease, so that no other leader can have been
	// elected.
	HoldsLease bool `cbor:"2,keyasint,omitempty"`
	// Leader is the name of the leader as far as the sender knows.
	Leader     string `cbor:"3,keyasint,omitempty"`
	KnownPeers []Peer `cbor:"4,keyasint,omitempty"`
	// Stopping is set when the sender is about to stop, so that its silence does not count as a failure.
	Stopping bool `cbor:"5,keyasint,omitempty"`
}

// ProposalReply is the reply to a proposal.
type ProposalReply struct {
	Result    applier.Result `cbor:"1,keyasint"`
	NotLeader bool           `cbor:"2,keyasint,omitempty"`
	Error     string         `cbor:"3,keyasint,omitempty"`
}

// DocumentUpdate carries an accepted document to an instance that does not have it, either whole or as a patch on the
// revision before.
type DocumentUpdate struct {
	Environment string `cbor:"1,keyasint"`
	Revision    int64  `cbor:"2,keyasint"`
	// Text is the whole document; empty when Patch is given.
	Text string `cbor:"3,keyasint,omitempty"`
	// Patch holds the differences from the revision before; Digest is the SHA-256 of the canonical text of the patched
	// document.
	Patch  []parser.Difference `cbor:"4,keyasint,omitempty"`
	Digest []byte              `cbor:"5,keyasint,omitempty"`
}

// BillReply is the reply to a bill that was sent to another instance for a second copy.
type BillReply struct {
	Error string `cbor:"1,keyasint,omitempty"`
}

// CrashReply confirms that a crash report is stored.
type CrashReply struct{}

// maxEnvelopeBytes bounds one received message; a snapshot of the record is the largest.
const maxEnvelopeBytes = 64 << 20

func encode(e Envelope) ([]byte, error) {
	return cbor.Marshal(e)
}

func decode(raw []byte) (Envelope, error) {
	var e Envelope
	err := cbor.Unmarshal(raw, &e)
	return e, err
}
