package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// addReadings adds what an entry instance has read of the speed of servers' machines, and tells all of them what has changed. They send
// the readings of a server to one control instance, which hears of it most.
func (s *Steward) addReadings(list []gauger.Report) {
	var changed []gauger.Gauge
	for _, r := range list {
		if _, known := s.roster.Member(r.Server); !known {
			continue
		}
		if g, due := s.gauges.Add(r); due {
			changed = append(changed, g)
			s.deps.Telemetry.Log.Info("backend server's machine gauged", "server", g.Server, "percent", g.Percent)
		}
	}
	if len(changed) > 0 {
		s.sendToEntries(messenger.Packet{Gauges: changed})
	}
}
