package changer

import (
	"fmt"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Change is an operator's request to replace the document of one environment.
type Change struct {
	ID           string       `json:"change-id" cbor:"1,keyasint"`
	Environment  string       `json:"environment" cbor:"2,keyasint"`
	BaseRevision int64        `json:"base-revision" cbor:"3,keyasint"`
	Author       string       `json:"author" cbor:"4,keyasint"`
	Text         string       `json:"document" cbor:"5,keyasint"`
	At           timer.Millis `json:"at,omitempty" cbor:"6,keyasint,omitempty"`
	// TrialRevision is the revision of the trial environment that the document is promoted from; 0 for any other change.
	TrialRevision int64 `json:"promotes,omitempty" cbor:"7,keyasint,omitempty"`
}

// Accepted describes an accepted change; a resent change gets the same value again.
type Accepted struct {
	ID          string       `json:"change-id" cbor:"1,keyasint"`
	Environment string       `json:"environment" cbor:"2,keyasint"`
	Revision    int64        `json:"revision" cbor:"3,keyasint"`
	At          timer.Millis `json:"at" cbor:"4,keyasint"`
	Author      string       `json:"author" cbor:"5,keyasint"`
	Effects     []string     `json:"effects" cbor:"6,keyasint"`
}

// ConflictError reports that the base revision of a change is not the current revision of its environment.
type ConflictError struct {
	Environment     string   `json:"environment" cbor:"1,keyasint"`
	BaseRevision    int64    `json:"base-revision" cbor:"2,keyasint"`
	CurrentRevision int64    `json:"current-revision" cbor:"3,keyasint"`
	Differences     []string `json:"differences" cbor:"4,keyasint"`
}

// Error returns the message with the current and the base revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("environment %s is at revision %d, not at base revision %d",
		e.Environment, e.CurrentRevision, e.BaseRevision)
}

// ReusedIDError reports that an accepted change with other content has the same id.
type ReusedIDError struct {
	ID string `json:"change-id" cbor:"1,keyasint"`
}

// Error returns the message with the id.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s came before with other content", e.ID)
}

// InvalidError reports that the content of a change is invalid, whatever the current revision is.
type InvalidError struct {
	Reason string `json:"reason" cbor:"1,keyasint"`
}

// Error returns the reason.
func (e *InvalidError) Error() string {
	return e.Reason
}
