package recorder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
)

// journalItem is one payload of the record's journal; exactly one field is set.
type journalItem struct {
	Identity string                `cbor:"1,keyasint,omitempty"`
	Vote     *replicator.VoteState `cbor:"2,keyasint,omitempty"`
	Entry    *replicator.Entry     `cbor:"3,keyasint,omitempty"`
	Snapshot *replicator.Snapshot  `cbor:"4,keyasint,omitempty"`
}

// store persists the durable state of a member.
type store struct {
	journal  *Journal
	identity string
	stored   replicator.DurableState
}

// openStore reads the journal. A new folder gets a random identity, so that an instance with a wiped disk is a new
// member and cannot vote again in a term in which its lost storage voted. A founder gets a fixed identity instead.
func openStore(disk Disk, isFounder bool) (*store, error) {
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
	if isFounder {
		s.identity = founderIdentity
	}
	return s, s.append([]journalItem{{Identity: s.identity}})
}

func (s *store) replay(payload []byte) error {
	var item journalItem
	if err := cbor.Unmarshal(payload, &item); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case item.Identity != "":
		s.identity = item.Identity
	case item.Vote != nil:
		s.stored.Vote = *item.Vote
	case item.Snapshot != nil:
		s.replaySnapshot(*item.Snapshot)
	case item.Entry != nil:
		return s.replayEntry(*item.Entry)
	}
	return nil
}

func (s *store) replaySnapshot(snap replicator.Snapshot) {
	var kept []replicator.Entry
	for _, e := range s.stored.Entries {
		if e.Index > snap.Index {
			kept = append(kept, e)
		}
	}
	s.stored.Snapshot = snap
	s.stored.Entries = kept
}

func (s *store) replayEntry(e replicator.Entry) error {
	if e.Index <= s.stored.Snapshot.Index {
		return nil
	}
	position := int(e.Index - s.stored.Snapshot.Index - 1)
	if position > len(s.stored.Entries) {
		return trace.BadParameter("entry %d does not follow entry %d", e.Index, s.stored.Snapshot.Index+uint64(len(s.stored.Entries)))
	}
	s.stored.Entries = append(s.stored.Entries[:position], e)
	return nil
}

// write writes the effects with one sync.
func (s *store) write(effects replicator.Effects) error {
	var items []journalItem
	if effects.Vote != nil {
		items = append(items, journalItem{Vote: effects.Vote})
	}
	if effects.Snapshot != nil {
		items = append(items, journalItem{Snapshot: effects.Snapshot})
	}
	for i := range effects.Entries {
		items = append(items, journalItem{Entry: &effects.Entries[i]})
	}
	return s.append(items)
}

func (s *store) append(items []journalItem) error {
	payloads, err := encodeItems(items)
	if err != nil {
		return err
	}
	return s.journal.Append(payloads...)
}

// rewrite replaces the journal's content with the given state.
func (s *store) rewrite(stored replicator.DurableState) error {
	items := []journalItem{{Identity: s.identity}, {Vote: &stored.Vote}, {Snapshot: &stored.Snapshot}}
	for i := range stored.Entries {
		items = append(items, journalItem{Entry: &stored.Entries[i]})
	}
	payloads, err := encodeItems(items)
	if err != nil {
		return err
	}
	return s.journal.Rewrite(payloads...)
}

func encodeItems(items []journalItem) ([][]byte, error) {
	payloads := make([][]byte, len(items))
	for i, item := range items {
		raw, err := cbor.Marshal(item)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		payloads[i] = raw
	}
	return payloads, nil
}
