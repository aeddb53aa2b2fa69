package applier

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Command is one change of the replicated state; At is its time in milliseconds, and exactly one other field is set.
type Command struct {
	At              timer.Millis     `cbor:"1,keyasint"`
	Change          *changer.Change  `cbor:"2,keyasint,omitempty"`
	AcquireClaim    *claimer.Claim   `cbor:"3,keyasint,omitempty"`
	SettleClaim     *claimer.Claim   `cbor:"4,keyasint,omitempty"`
	InstanceStarted *InstanceStart   `cbor:"5,keyasint,omitempty"`
	InForce         *InForce         `cbor:"6,keyasint,omitempty"`
	ExpireClaims    *ClaimExpiry     `cbor:"7,keyasint,omitempty"`
	PublishPolicy   *Policy          `cbor:"8,keyasint,omitempty"`
	StartRollOut    *RollOut         `cbor:"9,keyasint,omitempty"`
	EndRollOut      *RollOutEnd      `cbor:"10,keyasint,omitempty"`
	Evacuate        *EvacuationOrder `cbor:"11,keyasint,omitempty"`
}

// InstanceStart records that an instance began a new incarnation; the running claims of its earlier ones become in
// doubt.
type InstanceStart struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// InForce records that a revision is in force in a data centre.
type InForce struct {
	Environment string `cbor:"1,keyasint"`
	Revision    int64  `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
}

// ClaimExpiry puts claims that have run since before RunningCutoff in doubt, and removes those settled before
// SettledCutoff.
type ClaimExpiry struct {
	RunningCutoff timer.Millis `cbor:"1,keyasint"`
	SettledCutoff timer.Millis `cbor:"2,keyasint"`
}

// Result is the answer to a command; when the change was refused, one of the error fields is set.
type Result struct {
	Accepted *changer.Accepted      `cbor:"1,keyasint,omitempty"`
	Claim    *claimer.Claim         `cbor:"2,keyasint,omitempty"`
	Conflict *changer.ConflictError `cbor:"3,keyasint,omitempty"`
	Reused   *changer.ReusedIDError `cbor:"4,keyasint,omitempty"`
	Invalid  *changer.InvalidError  `cbor:"5,keyasint,omitempty"`
	Problems decoder.Problems       `cbor:"6,keyasint,omitempty"`
	// Version is the policy version in force after a policy was published.
	Version int64 `cbor:"7,keyasint,omitempty"`
	// RollOut is the newest roll-out of the service after an order to start one; IsOrderRefused is true if the order was not
	// accepted because that one is running.
	RollOut        *RollOut `cbor:"8,keyasint,omitempty"`
	IsOrderRefused bool     `cbor:"9,keyasint,omitempty"`
}

// Err returns the error of a refused change, or nil.
func (r Result) Err() error {
	switch {
	case r.Conflict != nil:
		return r.Conflict
	case r.Reused != nil:
		return r.Reused
	case r.Invalid != nil:
		return r.Invalid
	case len(r.Problems) > 0:
		return r.Problems
	}
	return nil
}

// Encode returns the command in CBOR, as the replicated log stores it.
func (c Command) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(c)
	return raw, trace.Wrap(err)
}
