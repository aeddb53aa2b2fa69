package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// coldSendTimeout is how long after its choice a request may be sent to a cold server: its start counts for the second in which it was
// given.
const coldSendTimeout = 100 * timer.Millisecond

// coldTerms are the rate and the usual time of cold servers of a service.
type coldTerms struct {
	rate float64
	span timer.Millis
}

// coldTermsOf returns the terms of the services whose servers bear few requests while they are cold. With thousands of servers, a view
// must not look into the policy for each of them.
func coldTermsOf(p *matcher.Policy) map[string]coldTerms {
	terms := map[string]coldTerms{}
	if p == nil {
		return terms
	}
	for name, s := range p.Services {
		if s.ColdRate > 0 {
			terms[name] = coldTerms{rate: s.ColdRate, span: s.ColdStart}
		}
	}
	return terms
}

// updateCold stores until when a server is cold. The servers of a data centre that was taken back count as cold for the usual time:
// they may have been without work long enough to turn cold, and say so only with their next announcement.
func (f *Forwarder) updateCold(s *server, m registrar.Member, view *fleetView, now timer.Millis) {
	terms, ok := view.coldTerms[m.Service]
	if !ok {
		s.starts.SetWarm()
		return
	}
	if s.announcedSequence != m.Sequence {
		s.announcedSequence, s.announcedCold = m.Sequence, now+m.WarmUp
	}
	until := s.announcedCold
	if at, ok := view.takenBackAt[m.DataCentre]; ok {
		until = max(until, at+terms.span)
	}
	if s.starts.SetCold(terms.rate, until, now) {
		f.logCold(s, until-now, "announcement or evacuation")
	}
}

// recordColdAnswer stores that a response says that its server is cold.
func (t *task) recordColdAnswer(s *server, info exchanger.Info, now timer.Millis) {
	if info.ColdLeft > 0 && s.starts.ExtendCold(now+info.ColdLeft, now) {
		t.f.logCold(s, info.ColdLeft, "answer")
	}
}

func (f *Forwarder) logCold(s *server, left timer.Millis, source string) {
	f.deps.Telemetry.Counter("servers.cold").Inc(1)
	f.deps.Telemetry.Log.Info("backend server is cold", "server", s.Name, "data-centre", s.DataCentre, "for-ms", int64(left), "source", source)
}

// StartClaims returns the claims for starts at cold servers that are due.
func (f *Forwarder) StartClaims() []allotter.StartClaim {
	now := f.deps.Telemetry.Clock.Now()
	var list []allotter.StartClaim
	for _, s := range f.serversByName {
		c := allotter.StartClaim{Server: s.Name, Incarnation: s.Incarnation, DataCentre: s.DataCentre}
		if c, due := s.starts.Claim(c, now); due {
			list = append(list, c)
		}
	}
	return list
}

// SetStarts applies the grants of the keepers of cold servers; it is called by the goroutine that calls SetView.
func (f *Forwarder) SetStarts(grants []allotter.StartGrant) {
	now := f.deps.Telemetry.Clock.Now()
	isUsable := false
	for _, g := range grants {
		if s := f.serversByName[g.Server]; s != nil && s.Incarnation == g.Incarnation {
			isUsable = s.starts.Apply(g, now) || isUsable
		}
	}
	if isUsable {
		f.wakeWaiting()
	}
}
