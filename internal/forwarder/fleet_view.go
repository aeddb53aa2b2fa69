package forwarder

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// fleetView is an immutable view of the policy, the roll-outs and the servers.
type fleetView struct {
	subscriber.View
	// servers holds the servers of each service that accept new work, oldest first.
	servers map[string][]*server
	// addresses are the addresses of all servers that are not gone.
	addresses map[string]bool
	// leaving are the addresses of servers that are leaving.
	leaving map[string]bool
	// coldTerms are those of the services that name some.
	coldTerms map[string]coldTerms
	// gapTargets are the targets for pauses of the streams of each service.
	gapTargets map[string]timer.Millis
	// evacuated are the data centres whose servers get no new requests; takenBackAt is when others were taken back.
	evacuated   map[string]bool
	takenBackAt map[string]timer.Millis
	// rollOuts holds the newest roll-out of each service.
	rollOuts map[string]subscriber.RollOut
}

// SetView replaces the current view; it is called by one goroutine at a time.
func (f *Forwarder) SetView(v subscriber.View) {
	old := f.fleetView.Load()
	view := &fleetView{View: v, servers: map[string][]*server{}, addresses: map[string]bool{}, leaving: map[string]bool{}, rollOuts: map[string]subscriber.RollOut{},
		evacuated: evacuatedDataCentres(v.Evacuations), takenBackAt: takenBackAt(v.Evacuations)}
	if view.gapTargets, view.coldTerms = old.gapTargets, old.coldTerms; old.Policy != v.Policy {
		view.gapTargets, view.coldTerms = gapTargets(v.Policy), coldTermsOf(v.Policy)
	}
	now := f.deps.Telemetry.Clock.Now()
	for _, r := range v.RollOuts {
		view.rollOuts[r.Service] = r
	}
	previous := f.serversByName
	f.serversByName = map[string]*server{}
	for _, m := range v.Members {
		s := f.serverFor(previous[m.Name], m)
		f.serversByName[m.Name] = s
		f.updateCold(s, m, view, now)
		if len(f.gauges) > 0 {
			f.applyGauge(s)
		}
		delete(previous, m.Name)
		view.addresses[m.Address] = true
		switch m.State {
		case registrar.MemberStateServing:
			view.servers[m.Service] = append(view.servers[m.Service], s)
		case registrar.MemberStateLeaving:
			view.leaving[m.Address] = true
			if !old.leaving[m.Address] {
				f.deps.OnServerRests(m.Address)
			}
		}
		s.pool.SetClosed(m.State != registrar.MemberStateServing && m.State != registrar.MemberStateSilent)
	}
	for _, s := range previous {
		s.pool.SetClosed(true)
	}
	f.dropGauges()
	for _, list := range view.servers {
		slices.SortFunc(list, func(a, b *server) int { return int(a.Incarnation - b.Incarnation) })
	}
	f.fleetView.Store(view)
	f.applyOthersRates()
	f.deps.Paths.Retain(view.addresses)
	if old.Policy != nil && view.Policy != old.Policy {
		f.dropStatsOfChangedRoutes(old.Policy, view.Policy)
	}
	if old.Policy == nil && view.Policy != nil {
		close(f.policyReady)
	}
}

// serverFor returns the server for a member; the state collected about the same incarnation is kept.
func (f *Forwarder) serverFor(old *server, m registrar.Member) *server {
	if old == nil || old.Incarnation != m.Incarnation || old.Address != m.Address {
		if old != nil {
			old.pool.SetClosed(true)
		}
		s := newServer(m, f.serviceOf(m), f.exchange)
		s.knownSince = f.deps.Telemetry.Clock.Now()
		s.warmUntil = s.knownSince + m.WarmUp
		s.announcedSequence = -1
		return s
	}
	if old.State == m.State && old.Version == m.Version && old.Slots == m.Slots && old.Service == m.Service {
		return old
	}
	return old.withMember(m)
}

// serviceOf returns what is known of the servers of a member's service.
func (f *Forwarder) serviceOf(m registrar.Member) *rationer.Service {
	if f.services[m.Service] == nil {
		f.services[m.Service] = &rationer.Service{}
	}
	return f.services[m.Service]
}

// serverAt returns the server at an address that accepts new work, nil if there is none.
func (fv *fleetView) serverAt(address string) *server {
	for _, list := range fv.servers {
		for _, s := range list {
			if s.Address == address {
				return s
			}
		}
	}
	return nil
}

// versionSplit divides the servers of a service that may receive work into those of the roll-out's target version and
// the others.
type versionSplit struct {
	stable []*server
	target []*server
	// rollOut is the roll-out in progress, nil if there is none.
	rollOut *subscriber.RollOut
}

// splitVersions divides the servers of a service by version. Before the first roll-out only the version of the oldest
// server receives work, so a version without a roll-out receives none.
func (fv *fleetView) splitVersions(service string) versionSplit {
	list := fv.servers[service]
	if len(list) == 0 {
		return versionSplit{}
	}
	r, found := fv.rollOuts[service]
	if !found {
		return versionSplit{stable: withVersion(list, list[0].Version)}
	}
	var v versionSplit
	for _, s := range list {
		if s.Version == r.TargetVersion {
			v.target = append(v.target, s)
		} else if !slices.Contains(r.RolledBackVersions, s.Version) {
			v.stable = append(v.stable, s)
		}
	}
	switch r.State {
	case applier.RollOutCompleted:
		if len(v.target) > 0 {
			return versionSplit{stable: v.target}
		}
		return versionSplit{stable: v.stable}
	case applier.RollOutRolledBack:
		return versionSplit{stable: v.stable}
	}
	v.rollOut = &r
	return v
}

func withVersion(list []*server, version string) []*server {
	return slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return s.Version != version })
}
