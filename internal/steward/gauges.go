package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// addReadings adds what an entry instance has read from the answers of servers, and tells all of them what has changed of the machines. They send
// the readings of a server to one control instance, which hears of it most.
func (s *Steward) addReadings(list []gauger.Report) {
	var changed []gauger.Gauge
	for _, r := range list {
		if _, known := s.roster.Member(r.Server); !known {
			continue
		}
		if g, due := s.gauges.Add(r, s.deps.Telemetry.Clock.Now()); due {
			changed = append(changed, g)
			s.deps.Telemetry.Log.Info("backend server's machine gauged", "server", g.Server, "percent", g.Percent)
		}
	}
	if len(changed) > 0 {
		s.sendToEntries(messenger.Packet{Gauges: changed})
	}
	if s.loadTimer == nil {
		s.loadTimer = s.deps.Telemetry.Clock.After(loadInterval)
	}
}

// loadInterval is the time between messages on the loads of servers: a request takes longer on average, so that loads change little.
const loadInterval = 150 * timer.Millisecond

// sendLoads tells the entry instances of the own region the loads that have come in: they send most of the requests to these servers.
func (s *Steward) sendLoads() {
	p := messenger.Packet{Loads: s.gauges.TakeLoads()}
	if len(p.Loads) == 0 {
		return
	}
	for conn, g := range s.connections {
		if g.Address == "" && s.isNear(g.DataCentre) {
			conn.Send(p)
		}
	}
}

// isNear reports whether a data centre is in the own region.
func (s *Steward) isNear(dataCentre string) bool {
	own := s.deps.Self.DataCentre
	region, listed := s.deps.RegionOf[dataCentre]
	return dataCentre == own || listed && region == s.deps.RegionOf[own]
}
