package forwarder

import (
	"maps"

	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
)

// Readings returns what this instance has read of the speed of servers' machines since the last call, by the server's data centre; it is
// called by the goroutine that calls SetView.
func (f *Forwarder) Readings() map[string][]gauger.Report {
	reports := map[string][]gauger.Report{}
	for _, s := range f.serversByName {
		if percents := s.meter.TakeUnsent(); len(percents) > 0 {
			reports[s.DataCentre] = append(reports[s.DataCentre], gauger.Report{Server: s.Name, Incarnation: s.Incarnation, Percents: percents})
		}
	}
	return reports
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
