package steward

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// forwardEvidence sends crash reports and acquittals that are new here to all instances, once.
func (s *Steward) forwardEvidence(p messenger.Packet) {
	now := s.deps.Telemetry.Clock.Now()
	before := s.evidence.Verdicts()
	added := messenger.Packet{CrashReports: s.evidence.AddReports(p.CrashReports, now), Acquittals: s.evidence.AddAcquittals(p.Acquittals, now)}
	s.deps.Telemetry.Counter("crash-reports.received").Inc(int64(len(added.CrashReports)))
	if len(added.CrashReports) > 0 || len(added.Acquittals) > 0 {
		s.sendToAll(added)
	}
	if after := s.evidence.Verdicts(); !slices.Equal(before, after) {
		s.deps.Telemetry.Log.Warn("requests and prompt parts that crash backend servers", "blocked", after)
	}
}
