package recorder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
)

// line is one payload of the record's journal; exactly one field is set.
type line struct {
	Identity string               `cbor:"1,keyasint,omitempty"`
	Vote     *replicator.Vote     `cbor:"2,keyasint,omitempty"`
	Entry    *replicator.Entry    `cbor:"3,keyasint,omitempty"`
	Snapshot *replicator.Snapshot `cbor:"4,keyasint,omitempty"`
}

// store keeps what a voter must not forget.
type store struct {
	journal  *Journal
	identity string
	stored   replicator.Stored
}

// openStore reads the journal; a new folder gets an identity of its own, which can never vote for what another forgot.
func openStore(disk Disk, founds bool) (*store, error) {
	s := &store{}
	journal, err := OpenJournal(disk, s.replay)
	if err != nil {
		return nil, err
	}
	s.journal = journal
	if s.identity != "" {
		return s, nil
	}
	s.identity = uuid.NewString()
	if founds {
		s.identity = founder
	}
	return s, s.append([]line{{Identity: s.identity}})
}

func (s *store) replay(payload []byte) error {
	var l line
	if err := cbor.Unmarshal(payload, &l); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case l.Identity != "":
		s.identity = l.Identity
	case l.Vote != nil:
		s.stored.Vote = *l.Vote
	case l.Snapshot != nil:
		s.takeSnapshot(*l.Snapshot)
	case l.Entry != nil:
		return s.takeEntry(*l.Entry)
	}
	return nil
}

func (s *store) takeSnapshot(snap replicator.Snapshot) {
	var kept []replicator.Entry
	for _, e := range s.stored.Entries {
		if e.Index > snap.Index {
			kept = append(kept, e)
		}
	}
	s.stored.Snapshot = snap
	s.stored.Entries = kept
}

func (s *store) takeEntry(e replicator.Entry) error {
	if e.Index <= s.stored.Snapshot.Index {
		return nil
	}
	place := int(e.Index - s.stored.Snapshot.Index - 1)
	if place > len(s.stored.Entries) {
		return trace.BadParameter("entry %d does not follow entry %d", e.Index, s.stored.Snapshot.Index+uint64(len(s.stored.Entries)))
	}
	s.stored.Entries = append(s.stored.Entries[:place], e)
	return nil
}

// write makes the effects durable with one sync.
func (s *store) write(out replicator.Effects) error {
	var lines []line
	if out.Vote != nil {
		lines = append(lines, line{Vote: out.Vote})
	}
	if out.Snapshot != nil {
		lines = append(lines, line{Snapshot: out.Snapshot})
	}
	for i := range out.Entries {
		lines = append(lines, line{Entry: &out.Entries[i]})
	}
	return s.append(lines)
}

func (s *store) append(lines []line) error {
	payloads, err := encodeLines(lines)
	if err != nil {
		return err
	}
	return s.journal.Append(payloads...)
}

// rebase replaces the journal by what the node holds now.
func (s *store) rebase(stored replicator.Stored) error {
	lines := []line{{Identity: s.identity}, {Vote: &stored.Vote}, {Snapshot: &stored.Snapshot}}
	for i := range stored.Entries {
		lines = append(lines, line{Entry: &stored.Entries[i]})
	}
	payloads, err := encodeLines(lines)
	if err != nil {
		return err
	}
	return s.journal.Rebase(payloads...)
}

func encodeLines(lines []line) ([][]byte, error) {
	payloads := make([][]byte, len(lines))
	for i, l := range lines {
		raw, err := cbor.Marshal(l)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		payloads[i] = raw
	}
	return payloads, nil
}
