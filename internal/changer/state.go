package changer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

const (
	// maxAcceptedChanges bounds how many accepted changes a state remembers for resends.
	maxAcceptedChanges = 50_000
	// maxRevisionTexts bounds how many revisions a state keeps the document texts of.
	maxRevisionTexts = 100
	// maxFieldBytes bounds the length of a change id and of an author.
	maxFieldBytes = 128
)

// AcceptedChange is an accepted change with the digest of its content, which tells a resend from a reused id.
type AcceptedChange struct {
	Digest   string   `cbor:"1,keyasint"`
	Accepted Accepted `cbor:"2,keyasint"`
}

// RevisionText is the document text of one revision.
type RevisionText struct {
	Revision int64  `cbor:"1,keyasint"`
	Text     string `cbor:"2,keyasint"`
}

// Snapshot is the stored content of a state; both lists have the oldest entry first.
type Snapshot struct {
	Environment     string           `cbor:"1,keyasint"`
	AcceptedChanges []AcceptedChange `cbor:"2,keyasint"`
	Texts           []RevisionText   `cbor:"3,keyasint"`
}

// State holds the accepted document of one environment, its recent revisions and its recently accepted changes.
type State struct {
	snapshot     Snapshot
	doc          *parser.Document
	acceptedByID map[string]AcceptedChange
}

// NewState returns the state before any change, at revision 0.
func NewState(environment string) *State {
	return &State{snapshot: Snapshot{Environment: environment}, acceptedByID: map[string]AcceptedChange{}}
}

// RestoreState returns the state from a snapshot, or an error if its newest document cannot be parsed.
func RestoreState(snapshot Snapshot) (*State, error) {
	s := &State{snapshot: snapshot, acceptedByID: map[string]AcceptedChange{}}
	for _, a := range snapshot.AcceptedChanges {
		s.acceptedByID[a.Accepted.ID] = a
	}
	if n := len(snapshot.Texts); n > 0 {
		doc, err := parser.Parse(snapshot.Environment, snapshot.Texts[n-1].Text)
		if err != nil {
			return nil, err
		}
		s.doc = doc
	}
	return s, nil
}

// Snapshot returns the content of the state.
func (s *State) Snapshot() Snapshot {
	return s.snapshot
}

// Revision returns the newest accepted revision, 0 before the first change.
func (s *State) Revision() int64 {
	if n := len(s.snapshot.Texts); n > 0 {
		return s.snapshot.Texts[n-1].Revision
	}
	return 0
}

// Document returns the accepted document, nil before the first change.
func (s *State) Document() *parser.Document {
	return s.doc
}

// Text returns the document text of a revision; it reports false for a revision that is not remembered.
func (s *State) Text(revision int64) (string, bool) {
	for _, t := range s.snapshot.Texts {
		if t.Revision == revision {
			return t.Text, true
		}
	}
	return "", false
}

// FindAccepted returns the result of an earlier change with the same id and content. The error refuses a change that
// has invalid fields or the id of a change with other content.
func (s *State) FindAccepted(c Change) (accepted Accepted, resent bool, err error) {
	if err := checkFields(c); err != nil {
		return Accepted{}, false, err
	}
	old, ok := s.acceptedByID[c.ID]
	if ok && old.Digest != changeDigest(c) {
		return Accepted{}, false, &ReusedIDError{ID: c.ID}
	}
	return old.Accepted, ok, nil
}

// Apply accepts the change or returns the error that refuses it; a resent change gets its first result.
// doc is the parsed text of the change, and parseErr the reason if it could not be parsed.
func (s *State) Apply(c Change, doc *parser.Document, parseErr error) (accepted Accepted, resent bool, err error) {
	if accepted, resent, err := s.FindAccepted(c); resent || err != nil {
		return accepted, resent, err
	}
	if parseErr != nil {
		return Accepted{}, false, parseErr
	}
	if err := s.checkApplicable(c, doc); err != nil {
		return Accepted{}, false, err
	}
	accepted = Accepted{ID: c.ID, Environment: c.Environment, Revision: s.Revision() + 1, At: c.At, Author: c.Author, Effects: s.effects(doc)}
	s.recordAccepted(c, accepted)
	s.doc = doc
	return accepted, false, nil
}

// checkApplicable refuses a change for another environment or another base revision.
func (s *State) checkApplicable(c Change, doc *parser.Document) error {
	if doc.Environment.Name != c.Environment {
		reason := fmt.Sprintf("the change is for environment %q, its document for %q", c.Environment, doc.Environment.Name)
		return &InvalidError{Reason: reason}
	}
	if c.BaseRevision != s.Revision() {
		return &ConflictError{
			Environment: c.Environment, BaseRevision: c.BaseRevision, CurrentRevision: s.Revision(), Differences: s.effects(doc),
		}
	}
	return nil
}

func (s *State) recordAccepted(c Change, accepted Accepted) {
	a := AcceptedChange{Digest: changeDigest(c), Accepted: accepted}
	s.acceptedByID[c.ID] = a
	s.snapshot.AcceptedChanges = append(s.snapshot.AcceptedChanges, a)
	if excess := len(s.snapshot.AcceptedChanges) - maxAcceptedChanges; excess > 0 {
		for _, old := range s.snapshot.AcceptedChanges[:excess] {
			delete(s.acceptedByID, old.Accepted.ID)
		}
		s.snapshot.AcceptedChanges = append([]AcceptedChange(nil), s.snapshot.AcceptedChanges[excess:]...)
	}
	s.snapshot.Texts = append(s.snapshot.Texts, RevisionText{Revision: accepted.Revision, Text: c.Text})
	if excess := len(s.snapshot.Texts) - maxRevisionTexts; excess > 0 {
		s.snapshot.Texts = append([]RevisionText(nil), s.snapshot.Texts[excess:]...)
	}
}

func (s *State) effects(doc *parser.Document) []string {
	if s.doc == nil {
		return []string{"first document"}
	}
	var lines []string
	for _, d := range parser.Diff(s.doc, doc) {
		lines = append(lines, d.String())
	}
	return lines
}

func checkFields(c Change) error {
	switch {
	case c.ID == "" || len(c.ID) > maxFieldBytes:
		return &InvalidError{Reason: fmt.Sprintf("change-id must have 1 to %d characters", maxFieldBytes)}
	case c.Author == "" || len(c.Author) > maxFieldBytes:
		return &InvalidError{Reason: fmt.Sprintf("author must have 1 to %d characters", maxFieldBytes)}
	case c.BaseRevision < 0:
		return &InvalidError{Reason: "base-revision must not be below 0"}
	case strings.TrimSpace(c.Environment) == "":
		return &InvalidError{Reason: "environment must be named"}
	}
	return nil
}

// changeDigest covers what a resend has in common with the first change, so it leaves out the time of arrival.
func changeDigest(c Change) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s\x00%d\x00%s", c.Environment, c.BaseRevision, c.Author, c.TrialRevision, c.Text))
	return hex.EncodeToString(sum[:])
}
