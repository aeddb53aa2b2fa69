package applier

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Evacuation says whether the backend servers of a data centre get new requests.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	// Active is true from the order until it is withdrawn.
	Active bool `cbor:"2,keyasint,omitempty"`
	// ChangedAt is when the last order was taken that changed anything, and Number counts these orders.
	ChangedAt timer.Millis `cbor:"3,keyasint"`
	Number    int64        `cbor:"4,keyasint"`
}

// EvacuationOrder starts the evacuation of a data centre, or withdraws it.
type EvacuationOrder struct {
	DataCentre string `cbor:"1,keyasint"`
	Withdraw   bool   `cbor:"2,keyasint,omitempty"`
}

// Supersedes reports whether the evacuation is a later state of that data centre.
func (e Evacuation) Supersedes(o Evacuation) bool {
	return e.Number > o.Number
}

// Evacuations returns the evacuations of all data centres that ever had one, sorted by data centre.
func (s *State) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(s.evacuations))
	for _, name := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[name])
	}
	return list
}

// evacuate starts or withdraws an evacuation. An order that is sent again because its acknowledgement was lost changes nothing.
func (s *State) evacuate(at timer.Millis, o EvacuationOrder) (Result, error) {
	e := s.evacuations[o.DataCentre]
	if e.Active == !o.Withdraw {
		return Result{}, nil
	}
	s.evacuations[o.DataCentre] = Evacuation{DataCentre: o.DataCentre, Active: !o.Withdraw, ChangedAt: at, Number: e.Number + 1}
	effect := o.DataCentre + " evacuated"
	if o.Withdraw {
		effect = o.DataCentre + " taken back"
	}
	_, err := s.trail.Append(auditor.Entry{At: at, Kind: auditor.KindEvacuation, DataCentre: o.DataCentre, Effects: []string{effect}})
	return Result{}, err
}
