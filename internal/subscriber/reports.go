package subscriber

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// reportPendingPrefill reports the waiting prefill to the control instances of the own region, since prompts cross
// between its data centres. One empty report ends a series; further empty ones are not sent.
func (s *Subscriber) reportPendingPrefill() {
	list := s.deps.PendingPrefill()
	if len(list) == 0 && !s.hasReportedPrefill {
		return
	}
	s.hasReportedPrefill = len(list) > 0
	for l := range s.links {
		if s.isNear(l.PeerGreeting().DataCentre) {
			l.Send(messenger.Packet{PendingPrefill: list, HasPendingPrefill: true})
		}
	}
}

// reportRates reports what is known of servers that limit their requests to all control instances. One empty report ends a
// series; further empty ones are not sent.
func (s *Subscriber) reportRates() {
	list := s.deps.RateReports()
	if len(list) == 0 && !s.hasReportedRates {
		return
	}
	s.hasReportedRates = len(list) > 0
	s.broadcast(messenger.Packet{RateReports: list, HasRateReports: true})
}

// isNear reports whether a data centre is in the own region.
func (s *Subscriber) isNear(dataCentre string) bool {
	own := s.deps.Self.DataCentre
	region, listed := s.deps.RegionOf[dataCentre]
	return dataCentre == own || listed && region == s.deps.RegionOf[own]
}

// reportAlarms reports an alarm, together with those queued after it.
func (s *Subscriber) reportAlarms(first messenger.ServerAlarm) {
	list := []messenger.ServerAlarm{first}
	for len(s.alarms) > 0 {
		list = append(list, <-s.alarms)
	}
	s.sendToNearest(messenger.Packet{ServerAlarms: list})
}

// reportReadings reports what was read from the answers of servers to one control instance of each server's data centre, where
// the readings of all instances meet.
func (s *Subscriber) reportReadings() {
	byLink := map[*messenger.Link][]gauger.Report{}
	for dataCentre, list := range s.deps.Readings() {
		if l := s.keeperIn(dataCentre); l != nil {
			byLink[l] = append(byLink[l], list...)
		}
	}
	for l, list := range byLink {
		l.Send(messenger.Packet{Readings: list})
	}
}

// keeperIn returns the link to the control instance that keeps what concerns a whole data centre, nil if none is linked.
func (s *Subscriber) keeperIn(dataCentre string) *messenger.Link {
	var candidates []allotter.Candidate
	linkOf := map[allotter.Candidate]*messenger.Link{}
	for l := range s.links {
		c := allotter.Candidate{Instance: l.PeerGreeting().Instance, DataCentre: l.PeerGreeting().DataCentre}
		linkOf[c] = l
		candidates = append(candidates, c)
	}
	keeper, _ := allotter.Keeper(dataCentre, dataCentre, candidates)
	return linkOf[keeper]
}

func (s *Subscriber) reportOldVersionSessions() {
	if keys := s.deps.NewOldVersionSessions(); len(keys) > 0 {
		s.sendToNearest(messenger.Packet{OldVersionSessions: keys})
	}
}

// sendToNearest sends a report to one control instance, which forwards it to all entry instances. It prefers one of the
// own data centre, because that is the nearest.
func (s *Subscriber) sendToNearest(p messenger.Packet) {
	var nearest *messenger.Link
	for l := range s.links {
		if nearest == nil || l.PeerGreeting().DataCentre == s.deps.Self.DataCentre {
			nearest = l
		}
	}
	if nearest != nil {
		nearest.Send(p)
	}
}

// requestRoster asks one control instance for its roster if none of the own data centre is linked, which would send it
// unasked.
func (s *Subscriber) requestRoster() {
	for l := range s.links {
		if l.PeerGreeting().DataCentre == s.deps.Self.DataCentre {
			return
		}
	}
	s.sendToNearest(messenger.Packet{RequestsRoster: true})
}

// handleServerReports passes on what other instances know of backend servers in trouble.
func (s *Subscriber) handleServerReports(p messenger.Packet) {
	if len(p.ServerAlarms) > 0 {
		s.deps.SuspendServers(p.ServerAlarms)
	}
	if len(p.Gateways) > 0 {
		s.knowsGateways = true
		s.deps.SetGateways(p.Gateways)
	}
	if p.HasRateReports {
		s.deps.SetOthersRates(p.RateReports)
	}
	if len(p.PlaceGrants) > 0 {
		s.deps.SetPlaces(p.PlaceGrants)
	}
	if len(p.Gauges) > 0 {
		s.deps.SetGauges(p.Gauges)
	}
	if len(p.Loads) > 0 {
		s.deps.SetLoads(p.Loads)
	}
	if len(p.StartGrants) > 0 {
		s.deps.SetStarts(p.StartGrants)
	}
	if len(p.Acquittals) > 0 {
		s.deps.AddAcquittals(p.Acquittals)
	}
	if len(p.CrashReports) > 0 {
		s.deps.AddCrashReports(p.CrashReports)
	}
}
