package subscriber

import "github.com/eelgrasshook/eelgrasshook/internal/messenger"

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
