package forwarder

import (
	"strconv"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// rationRetryInterval is the time after which a waiting request asks again for a place at servers that limit their
// requests.
const rationRetryInterval = 250 * timer.Millisecond

// recordTerms stores what a response says about the requests that its server takes.
func (t *task) recordTerms(x *exchange, now timer.Millis) {
	s, info := x.server, x.res.Info
	t.recordBrittleness(s, info, now)
	t.recordRateLimit(s, info, now)
	t.recordLeaving(x)
	t.recordColdAnswer(s, info, now)
	if info.InvalidRest != "" {
		t.f.deps.Telemetry.Log.Warn("backend server asks to be left alone for a time that is not understood", "server", s.Name,
			"time", strconv.Quote(info.InvalidRest), "request", t.ID)
	}
	if info.Rest == 0 {
		return
	}
	x.conn.ReportRest(info.Rest)
	if t.f.rest(s, info.Rest, now) {
		t.f.deps.Telemetry.Log.Info("backend server asks to be left alone", "server", s.Name, "for-ms", int64(info.Rest), "request", t.ID)
	}
}

// recordRateLimit stores the limit that a response names.
func (t *task) recordRateLimit(s *server, info exchanger.Info, now timer.Millis) {
	if s.ration.Observe(info.RateLimit, info.HasRateLimit, now) {
		t.f.deps.Telemetry.Log.Info("backend server changes its request limit", "server", s.Name, "limited", info.HasRateLimit,
			"per-second", info.RateLimit, "request", t.ID, "attempt", t.attempts)
	}
}

// recordBrittleness stores whether a response says that its server falls over when it must refuse many requests.
func (t *task) recordBrittleness(s *server, info exchanger.Info, now timer.Millis) {
	if s.ration.ObserveBrittle(info.MaxRefusals, info.IsBrittle, now) {
		t.f.deps.Telemetry.Log.Info("backend server changes how many refusals it bears", "server", s.Name, "brittle", info.IsBrittle,
			"per-second", info.MaxRefusals, "request", t.ID)
	}
}

// recordFull records that a server had no room, and tells the other instances if it is brittle: each of them would otherwise
// find out by a refusal of its own.
func (t *task) recordFull(x *exchange, now timer.Millis) {
	s := x.server
	if s.ration.IsBrittle(now) {
		s.places.RecordRefusal()
		t.f.deps.Telemetry.Counter("servers.refused-brittle").Inc(1)
		k := x.knowledge
		t.f.deps.Telemetry.Log.Info("brittle backend server refused a request", "server", s.Name, "request", t.ID, "known-brittle", k.brittle,
			"known-for-ms", int64(k.knownFor), "load", k.occupancy.Load, "own", k.occupancy.Own, "slots", k.occupancy.Slots,
			"told", k.occupancy.Told, "told-age-ms", int64(k.occupancy.ToldAge), "demand", k.demand, "others", k.othersDemand)
	}
	if s.ration.RecordFull(now) {
		t.f.deps.Telemetry.Counter("servers.full-brittle").Inc(1)
		t.f.deps.OnServerAlarm(messenger.ServerAlarm{Server: s.Name, Incarnation: s.Incarnation, Full: true})
	}
}

// admittedServer returns the cheapest server that takes the request within its request limit, nil if there is none. The request
// has a place there, which must be returned. The choice and the place are one step: requests that choose at the same moment would
// otherwise see the same loads.
func (t *task) admittedServer(list []*server, now timer.Millis, suspendedOnly bool) *server {
	t.f.choiceMu.Lock()
	defer t.f.choiceMu.Unlock()
	for first := true; ; first = false {
		s, cold := t.cheapestServer(list, now, suspendedOnly)
		if first && cold != nil {
			// The next request may find a start there.
			cold.starts.RecordPassed()
			t.f.deps.OnPlacesChanged()
		}
		if s == nil {
			return nil
		}
		if s.ration.Admit(now) {
			if s.takePlace(now) {
				return s
			}
			// Another request has taken the place meanwhile.
			s.ration.Refund()
			continue
		}
		t.f.deps.Telemetry.Counter("servers.over-limit").Inc(1)
		if t.declined == nil {
			t.declined = map[string]bool{}
		}
		t.declined[s.Name] = true
		t.declinedAt = now
	}
}

// forgetDeclined lets a waiting request ask again at servers that had no place within their request limit.
func (t *task) forgetDeclined(now timer.Millis) {
	if now-t.declinedAt >= rationRetryInterval {
		clear(t.declined)
	}
}

// RateReports returns what this instance knows of the servers that limit their requests.
func (f *Forwarder) RateReports() []rationer.Report {
	now := f.deps.Telemetry.Clock.Now()
	var list []rationer.Report
	for _, servers := range f.fleetView.Load().servers {
		for _, s := range servers {
			if r, ok := s.ration.Report(s.Name, s.Incarnation, now); ok {
				list = append(list, r)
			}
		}
	}
	return list
}

// othersRates is the last report of the other instances.
type othersRates struct {
	reports    []rationer.Report
	receivedAt timer.Millis
}

// SetOthersRates stores what the other instances know of the servers that limit their requests; it is called by the goroutine
// that calls SetView.
func (f *Forwarder) SetOthersRates(list []rationer.Report) {
	f.othersRates = othersRates{reports: list, receivedAt: f.deps.Telemetry.Clock.Now()}
	f.applyOthersRates()
}

// applyOthersRates applies the last report of the other instances to the servers that are known. The first one arrives before an
// instance that has just started knows any.
func (f *Forwarder) applyOthersRates() {
	byName := map[string]rationer.Report{}
	for _, r := range f.othersRates.reports {
		byName[r.Server] = r
	}
	for _, servers := range f.fleetView.Load().servers {
		for _, s := range servers {
			r, ok := byName[s.Name]
			if !ok || r.Incarnation != s.Incarnation {
				s.ration.SetOthersDemand(0, 0)
				continue
			}
			statedAt := f.othersRates.receivedAt - max(0, r.Age)
			s.ration.SetOthersDemand(r.DemandUnits, r.Instances)
			s.ration.ObserveBrittle(r.MaxRefusals, r.Brittle, statedAt)
			s.ration.Observe(r.Limit, r.Limited, statedAt)
		}
	}
}
