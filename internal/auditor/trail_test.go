package auditor

import (
	"errors"
	"slices"
	"testing"
)

func TestVerifyDetectsTampering(t *testing.T) {
	var trail Trail
	for i := range int64(6) {
		if _, err := trail.Append(Entry{Kind: KindAccepted, Author: "aigul", FromRevision: i, ToRevision: i + 1, Effects: []string{"x"}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := Verify(trail.Entries); err != nil {
		t.Fatal(err)
	}
	tests := map[string]func([]Entry) []Entry{
		"changed author": func(entries []Entry) []Entry { entries[2].Author = "omar"; return entries },
		"changed effect": func(entries []Entry) []Entry { entries[2].Effects = []string{"y"}; return entries },
		"dropped":        func(entries []Entry) []Entry { return slices.Delete(entries, 2, 3) },
		"reordered":      func(entries []Entry) []Entry { entries[2], entries[3] = entries[3], entries[2]; return entries },
		"hash recomputed": func(entries []Entry) []Entry {
			entries[2].Author = "omar"
			entries[2].Hash, _ = entryHash(entries[2])
			return entries
		},
		"dropped and renumbered": func(entries []Entry) []Entry {
			entries = slices.Delete(entries, 2, 3)
			entries[2].Sequence--
			entries[2].Hash, _ = entryHash(entries[2])
			return entries
		},
	}
	for name, tamper := range tests {
		t.Run(name, func(t *testing.T) {
			var chainErr *ChainError
			if err := Verify(tamper(slices.Clone(trail.Entries))); !errors.As(err, &chainErr) {
				t.Errorf("Verify returned %v, want a *ChainError", err)
			}
		})
	}
}
