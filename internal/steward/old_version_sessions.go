package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// forwardOldVersionSessions sends sessions that are new here to the entry instances, which are all connected to this
// instance.
func (s *Steward) forwardOldVersionSessions(keys []uint64) {
	if added := addNew(s.oldVersionSessions, keys); len(added) > 0 {
		s.sendToEntries(messenger.Packet{OldVersionSessions: added})
	}
}

// addNew adds keys to a set and returns those that were not in it.
func addNew(set map[uint64]bool, keys []uint64) []uint64 {
	var added []uint64
	for _, key := range keys {
		if !set[key] {
			set[key] = true
			added = append(added, key)
		}
	}
	return added
}

func sortedKeys(set map[uint64]bool) []uint64 {
	return slices.Sorted(maps.Keys(set))
}
