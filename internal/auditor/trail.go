package auditor

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Entry is one entry of the audit trail; At is in milliseconds, and PreviousHash is the hash of the previous entry.
type Entry struct {
	Sequence     int64        `json:"sequence" cbor:"1,keyasint"`
	At           timer.Millis `json:"at" cbor:"2,keyasint"`
	Kind         string       `json:"what" cbor:"3,keyasint"`
	Environment  string       `json:"environment" cbor:"4,keyasint"`
	ChangeID     string       `json:"change-id,omitempty" cbor:"5,keyasint,omitempty"`
	Author       string       `json:"author,omitempty" cbor:"6,keyasint,omitempty"`
	FromRevision int64        `json:"from-revision" cbor:"7,keyasint"`
	ToRevision   int64        `json:"to-revision" cbor:"8,keyasint"`
	Effects      []string     `json:"effects,omitempty" cbor:"9,keyasint,omitempty"`
	DataCentre   string       `json:"data-centre,omitempty" cbor:"10,keyasint,omitempty"`
	PreviousHash string       `json:"before" cbor:"11,keyasint"`
	Hash         string       `json:"hash" cbor:"12,keyasint"`
}

// The values of Entry.Kind.
const (
	KindAccepted = "accepted"
	KindInForce  = "in-force"
	// KindPublished records that a policy is in force.
	KindPublished = "published"
	// KindRollOut records a step of a roll-out.
	KindRollOut = "roll-out"
	// KindEvacuation records that a data centre was evacuated or taken back.
	KindEvacuation = "evacuation"
)

// MaxEntries is the number of entries that a Trail keeps; older entries remain only in copies that operators keep.
const MaxEntries = 20_000

// Trail is the chain of entries.
type Trail struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Append adds an entry after the newest one, drops the oldest entries beyond MaxEntries, and returns the new entry with
// its sequence number and hashes.
func (t *Trail) Append(e Entry) (Entry, error) {
	e.Sequence = 1
	e.PreviousHash = ""
	if n := len(t.Entries); n > 0 {
		e.Sequence = t.Entries[n-1].Sequence + 1
		e.PreviousHash = t.Entries[n-1].Hash
	}
	hash, err := entryHash(e)
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

func entryHash(e Entry) (string, error) {
	e.Hash = ""
	raw, err := cbor.Marshal(e)
	if err != nil {
		return "", trace.Wrap(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}

// ChainError reports the first entry that breaks the hash chain.
type ChainError struct {
	Sequence int64
	Reason   string
}

// Error returns the sequence number of the entry and the reason.
func (e *ChainError) Error() string {
	return fmt.Sprintf("audit entry %d: %s", e.Sequence, e.Reason)
}

// Verify returns a *ChainError when an entry was changed, dropped or reordered, and another error when an entry cannot
// be encoded; it cannot detect that entries are missing at either end.
func Verify(entries []Entry) error {
	for i, e := range entries {
		hash, err := entryHash(e)
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
		if e.PreviousHash != entries[i-1].Hash {
			return &ChainError{Sequence: e.Sequence, Reason: "it does not name the entry before it"}
		}
	}
	return nil
}
