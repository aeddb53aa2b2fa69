package subscriber

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// mergeEvacuations merges the evacuations that a control instance sent. The instances apply the orders at different times, so an
// earlier state may arrive after a later one.
func (s *Subscriber) mergeEvacuations(list []messenger.Evacuation) {
	now := s.deps.Telemetry.Clock.Now()
	merged := slices.Clone(s.view.Evacuations)
	for _, e := range list {
		received := Evacuation{Evacuation: e.Evacuation, LocalChangedAt: now - max(0, e.Elapsed)}
		i := slices.IndexFunc(merged, func(o Evacuation) bool { return o.DataCentre == e.DataCentre })
		switch {
		case i < 0:
			merged = append(merged, received)
		case e.Supersedes(merged[i].Evacuation):
			merged[i] = received
		default:
			continue
		}
		s.viewChanged, s.viewIsUrgent = true, true
		s.deps.Telemetry.Log.Info("evacuation known", "data-centre", e.DataCentre, "active", e.Active, "number", e.Number, "elapsed", e.Elapsed)
	}
	s.view.Evacuations = merged
}
