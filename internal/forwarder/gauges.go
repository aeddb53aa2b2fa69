package forwarder

import (
	"maps"

	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
)

// Readings returns what this instance has read from the answers of servers since the last call, by the server's data centre; it is
// called by the goroutine that calls SetView.
func (f *Forwarder) Readings() map[string][]gauger.Report {
	now := f.deps.Telemetry.Clock.Now()
	reports := map[string][]gauger.Report{}
	for _, s := range f.serversByName {
		if r, ok := s.meter.TakeReport(gauger.Report{Server: s.Name, Incarnation: s.Incarnation}, now); ok {
			reports[s.DataCentre] = append(reports[s.DataCentre], r)
		}
	}
	return reports
}

// SetLoads stores the loads that servers have reported to any instance; it is called by the goroutine that calls SetView.
func (f *Forwarder) SetLoads(list []gauger.Load) {
	now := f.deps.Telemetry.Clock.Now()
	for _, l := range list {
		if s := f.serversByName[l.Server]; s != nil && s.Incarnation == l.Incarnation {
			s.updateSharedLoad(l.Load, now)
		}
	}
}

// SetGauges stores the estimates of all instances together; it is called by the goroutine that calls SetView.
func (f *Forwarder) SetGauges(list []gauger.Gauge) {
	for _, g := range list {
		f.gauges[g.Server] = g
		if s := f.serversByName[g.Server]; s != nil {
			f.applyGauge(s)
		}
	}
}

// applyGauge applies the estimate of a server's machine, which may arrive before the server is known.
func (f *Forwarder) applyGauge(s *server) {
	if g := f.gauges[s.Name]; g.Incarnation == s.Incarnation {
		s.meter.SetShared(g.Percent)
	}
}

// dropGauges drops the estimates of servers that are gone.
func (f *Forwarder) dropGauges() {
	if len(f.gauges) > 2*len(f.serversByName) {
		maps.DeleteFunc(f.gauges, func(name string, _ gauger.Gauge) bool { return f.serversByName[name] == nil })
	}
}
