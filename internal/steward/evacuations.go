package steward

import (
	"context"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// Evacuate commits an order that starts or withdraws the evacuation of a data centre; an order that is sent again changes nothing. It
// fails when the record cannot be reached.
func (s *Steward) Evacuate(ctx context.Context, o applier.EvacuationOrder) error {
	_, err := s.callLeader(ctx, messenger.Call{Command: &applier.Command{Evacuate: &o, At: s.deps.Telemetry.Clock.Now()}})
	return err
}

// Evacuations returns the evacuations that this instance has applied. It fails when ctx ends or the instance is stopping.
func (s *Steward) Evacuations(ctx context.Context) ([]applier.Evacuation, error) {
	var list []applier.Evacuation
	err := s.enqueueAndWait(ctx, func() { list = s.evacuations })
	return list, err
}

// adoptEvacuations stores the replicated evacuations and tells the entry instances.
func (s *Steward) adoptEvacuations(list []applier.Evacuation) {
	if slices.Equal(list, s.evacuations) {
		return
	}
	active := 0
	for _, e := range list {
		if e.Active {
			active++
		}
		if !slices.Contains(s.evacuations, e) {
			s.deps.Telemetry.Log.Info("evacuation known", "data-centre", e.DataCentre, "active", e.Active, "number", e.Number)
		}
	}
	s.deps.Telemetry.Gauge("evacuations.active").Update(int64(active))
	s.evacuations = list
	s.sendToEntries(messenger.Packet{Evacuations: s.evacuationsWithAge()})
}

// evacuationsWithAge returns the evacuations with the time since their last change.
func (s *Steward) evacuationsWithAge() []messenger.Evacuation {
	now := s.deps.Telemetry.Clock.Now()
	list := make([]messenger.Evacuation, 0, len(s.evacuations))
	for _, e := range s.evacuations {
		list = append(list, messenger.Evacuation{Evacuation: e, Elapsed: max(0, now-e.ChangedAt)})
	}
	return list
}
