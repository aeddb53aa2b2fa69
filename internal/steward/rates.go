package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// rateBatchDelay batches the reports of several entry instances on servers that limit their requests into one message.
const rateBatchDelay = 50 * timer.Millisecond

// addRateReports stores the reports of an entry instance. All entry instances report to every control instance, since a
// limit holds for the whole fleet.
func (s *Steward) addRateReports(conn *messenger.Link, list []rationer.Report) {
	s.rates.Set(conn, list, s.deps.Telemetry.Clock.Now())
	if s.rateTimer == nil {
		s.rateTimer = s.deps.Telemetry.Clock.After(rateBatchDelay)
	}
}

// sendOthersRates sends the entry instances that this instance is a relay for what the others have reported.
func (s *Steward) sendOthersRates() {
	totals := s.rates.Totals(s.deps.Telemetry.Clock.Now())
	for _, conn := range s.relayedEntries() {
		conn.Send(messenger.Packet{RateReports: s.rates.WithoutOwn(conn, totals), HasRateReports: true})
	}
}
