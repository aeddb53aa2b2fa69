package auditor

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Entry is one line of the audit trail.
type Entry struct {
	Sequence    int64        `json:"sequence" cbor:"1,keyasint"`
	At          timer.Millis `json:"at" cbor:"2,keyasint"`
	What        string       `json:"what" cbor:"3,keyasint"`
	Environment string       `json:"environment" cbor:"4,keyasint"`
	ChangeID    string       `json:"change-id,omitempty" cbor:"5,keyasint,omitempty"`
	Author      string       `json:"author,omitempty" cbor:"6,keyasint,omitempty"`
	From        int64        `json:"from-revision" cbor:"7,keyasint"`
	To          int64        `json:"to-revision" cbor:"8,keyasint"`
	Effects     []string     `json:"effects,omitempty" cbor:"9,keyasint,omitempty"`
	DataCentre  string       `json:"data-centre,omitempty" cbor:"10,keyasint,omitempty"`
	Before      string       `json:"before" cbor:"11,keyasint"`
	Hash        string       `json:"hash" cbor:"12,keyasint"`
}

// What an entry tells.
const (
	WhatAccepted = "accepted"
	WhatInForce  = "in-force"
	// WhatPublished tells of a policy in force, and WhatRollOut of a step of a roll-out.
	WhatPublished = "published"
	WhatRollOut   = "roll-out"
)

// MaxEntries bounds the trail that is kept; older entries live in the operators' copies.
const MaxEntries = 20_000

// Trail is the chain of entries.
type Trail struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Append adds an entry behind the newest one and returns it with its hash.
func (t *Trail) Append(e Entry) (Entry, error) {
	e.Sequence = 1
	e.Before = ""
	if n := len(t.Entries); n > 0 {
		e.Sequence = t.Entries[n-1].Sequence + 1
		e.Before = t.Entries[n-1].Hash
	}
	hash, err := hashOf(e)
	if err != nil {
		return e, err
	}
	e.Hash = hash
	t.Entries = append(t.Entries, e)
	if excess := len(t.Entries) - MaxEntries; excess > 0 {
		t.Entries = append([]Entry(nil), t.Entries[excess:]...)
	}
	return e, nil
}

func hashOf(e Entry) (string, error) {
	e.Hash = ""
	raw, err := cbor.Marshal(e)
	if err != nil {
		return "", trace.Wrap(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}

// ChainError names the first entry that does not fit the chain.
type ChainError struct {
	Sequence int64
	Reason   string
}

// Error prints the entry and the reason.
func (e *ChainError) Error() string {
	return fmt.Sprintf("audit entry %d: %s", e.Sequence, e.Reason)
}

// Verify returns a ChainError when an entry was changed, dropped or reordered.
func Verify(entries []Entry) error {
	for i, e := range entries {
		hash, err := hashOf(e)
		if err != nil {
			return err
		}
		if hash != e.Hash {
			return &ChainError{Sequence: e.Sequence, Reason: "its content does not match its hash"}
		}
		if i == 0 {
			continue
		}
		if e.Sequence != entries[i-1].Sequence+1 {
			return &ChainError{Sequence: e.Sequence, Reason: fmt.Sprintf("it follows entry %d", entries[i-1].Sequence)}
		}
		if e.Before != entries[i-1].Hash {
			return &ChainError{Sequence: e.Sequence, Reason: "it does not name the entry before it"}
		}
	}
	return nil
}
