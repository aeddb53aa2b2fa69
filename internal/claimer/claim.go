package claimer

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// State is the processing state of a claimed request.
type State string

// The states of a claim; StateUnknown means that the request may have run.
const (
	StateClaimed   State = "claimed"
	StateDone      State = "done"
	StateDidNotRun State = "did-not-run"
	StateUnknown   State = "unknown"
)

// Answer is the stored answer of a completed request.
type Answer struct {
	Status      int    `json:"status" cbor:"1,keyasint"`
	ContentType string `json:"content-type" cbor:"2,keyasint"`
	Body        []byte `json:"body" cbor:"3,keyasint"`
}

// Claim is the immutable record of one non-idempotent request and its idempotency key.
type Claim struct {
	Workspace string       `json:"workspace" cbor:"1,keyasint"`
	Key       string       `json:"key" cbor:"2,keyasint"`
	Digest    string       `json:"digest" cbor:"3,keyasint"`
	RequestID string       `json:"request-id" cbor:"4,keyasint"`
	State     State        `json:"state" cbor:"5,keyasint"`
	Server    string       `json:"server,omitempty" cbor:"6,keyasint,omitempty"`
	Answer    Answer       `json:"answer" cbor:"7,keyasint"`
	At        timer.Millis `json:"at" cbor:"8,keyasint"`
	// Owner is the instance that runs the request; Incarnation identifies the process.
	Owner       string `json:"owner" cbor:"9,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"10,keyasint"`
}

// WithState returns a copy in the given state.
func (c Claim) WithState(s State) Claim {
	c.State = s
	return c
}

// WithAnswer returns a copy in StateDone with the given answer.
func (c Claim) WithAnswer(a Answer) Claim {
	c.State = StateDone
	c.Answer = a
	return c
}
