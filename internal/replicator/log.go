package replicator

import "slices"

// log holds the newest snapshot and the entries after it.
type log struct {
	snapshot    Snapshot
	entries     []Entry
	commitIndex uint64
}

func (l *log) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, and false if the log does not hold that entry.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// entriesAfter returns at most n entries that follow an index.
func (l *log) entriesAfter(index uint64, n int) []Entry {
	list := l.entries[index-l.snapshot.Index:]
	return list[:min(n, len(list))]
}

// entriesBetween returns the entries after one index, up to and including another.
func (l *log) entriesBetween(after, upTo uint64) []Entry {
	return l.entries[after-l.snapshot.Index : upTo-l.snapshot.Index]
}

// append adds entries at their indexes, truncating entries that conflict in term, and returns the new ones.
func (l *log) append(entries []Entry) []Entry {
	for i, e := range entries {
		term, known := l.term(e.Index)
		if e.Index <= l.snapshot.Index || known && term == e.Term {
			continue
		}
		kept := int(e.Index - l.snapshot.Index - 1)
		if kept < len(l.entries) {
			// Messages in flight share the old array, so the truncated log gets a new one.
			l.entries = slices.Clone(l.entries[:kept])
		}
		l.entries = append(l.entries, entries[i:]...)
		return entries[i:]
	}
	return nil
}

// compact replaces the entries up to the snapshot's index with the snapshot.
func (l *log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	if term, ok := l.term(s.Index); ok && term == s.Term {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	} else {
		l.entries = nil
	}
	l.snapshot = s
	l.commitIndex = max(l.commitIndex, s.Index)
}

// newestMembers returns the newest membership in the log, committed or not, and the index of its entry.
func (l *log) newestMembers() (Members, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return decodeMembers(l.entries[i].Data), l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
