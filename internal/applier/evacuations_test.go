package applier

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against orders that are done twice because their acknowledgement was lost, and against a withdrawal that is undone by a row
// of an instance that has not applied it yet.
func TestOrdersOfEvacuations(t *testing.T) {
	type step struct {
		at       timer.Millis
		order    EvacuationOrder
		restored bool
	}
	start, withdraw := EvacuationOrder{DataCentre: "a"}, EvacuationOrder{DataCentre: "a", Withdraw: true}
	tests := map[string]struct {
		steps   []step
		want    []Evacuation
		entries int
	}{
		"started": {[]step{{at: 1, order: start}}, []Evacuation{{"a", true, 1, 1}}, 1},
		"sent again, after a restart too": {[]step{{at: 1, order: start}, {at: 5, order: start}, {at: 9, order: start, restored: true}},
			[]Evacuation{{"a", true, 1, 1}}, 1},
		"withdrawn, and the withdrawal sent again": {[]step{{at: 1, order: start}, {at: 5, order: withdraw}, {at: 9, order: withdraw}},
			[]Evacuation{{"a", false, 5, 2}}, 2},
		"withdrawn before it was started": {[]step{{at: 1, order: withdraw}}, []Evacuation{}, 0},
		"started once more after a restart": {[]step{{at: 1, order: start}, {at: 5, order: withdraw}, {at: 9, order: start, restored: true}},
			[]Evacuation{{"a", true, 9, 3}}, 3},
		"two data centres": {[]step{{at: 1, order: EvacuationOrder{DataCentre: "b"}}, {at: 2, order: start}},
			[]Evacuation{{"a", true, 2, 1}, {"b", true, 1, 1}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for _, step := range tt.steps {
				if step.restored {
					restore(t, s)
				}
				applyCommand(t, s, Command{At: step.at, Evacuate: &step.order})
			}
			if got := s.Evacuations(); !slices.Equal(got, tt.want) || len(s.Trail()) != tt.entries {
				t.Fatalf("got %v and %d entries of the trail, want %v and %d", got, len(s.Trail()), tt.want, tt.entries)
			}
		})
	}
}

func restore(t *testing.T, s *State) {
	t.Helper()
	raw, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(raw); err != nil {
		t.Fatal(err)
	}
}

// Guards against snapshots of earlier builds, which know of no evacuations, that are refused.
func TestSnapshotWithoutEvacuationsIsRead(t *testing.T) {
	raw, err := cbor.Marshal(map[int]any{4: Policy{Version: 3}})
	if err != nil {
		t.Fatal(err)
	}
	s := NewState()
	if err := s.Restore(raw); err != nil || s.Policy().Version != 3 {
		t.Fatalf("policy %d, %v", s.Policy().Version, err)
	}
	applyCommand(t, s, Command{At: 1, Evacuate: &EvacuationOrder{DataCentre: "a"}})
	if len(s.Evacuations()) != 1 {
		t.Fatal("no evacuation after the order")
	}
}
