package forwarder

import (
	"net/http"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// allowedServers are the servers that may get a request, by version. They are worked out once for each view that the request sees;
// every attempt takes its server from them.
type allowedServers struct {
	view *fleetView
	versionSplit
	// excluded is true if the service has servers that other requests may use, but none that this one may.
	excluded bool
}

// regionSet is a set of regions; nil holds all regions.
type regionSet []string

// contains reports whether the set holds a region.
func (r regionSet) contains(region string) bool {
	return r == nil || slices.Contains(r, region)
}

// newRegionSet returns the regions in which requests of a workspace may be served on a route; both bind.
func newRegionSet(route *matcher.Route, w *matcher.Workspace) regionSet {
	if w == nil || len(w.Regions) == 0 {
		if len(route.Regions) == 0 {
			return nil
		}
		return route.Regions
	}
	if len(route.Regions) == 0 {
		return w.Regions
	}
	both := regionSet{}
	for _, region := range route.Regions {
		if slices.Contains(w.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

// allowed returns the servers that may get the request now.
func (t *task) allowed() allowedServers {
	if t.allowedServers.view == t.view {
		return t.allowedServers
	}
	v := t.view.splitVersions(t.service)
	if t.regions == nil && len(t.view.evacuated) == 0 {
		t.allowedServers = allowedServers{view: t.view, versionSplit: v}
		return t.allowedServers
	}
	a := allowedServers{view: t.view, versionSplit: versionSplit{stable: t.allowedOf(v.stable), target: t.allowedOf(v.target), rollOut: v.rollOut}}
	a.excluded = len(v.stable)+len(v.target) > 0 && len(a.stable)+len(a.target) == 0
	t.allowedServers = a
	return a
}

// allowedOf returns the servers of a list that are in a region of the request and in no evacuated data centre.
func (t *task) allowedOf(list []*server) []*server {
	return slices.DeleteFunc(slices.Clone(list), func(s *server) bool {
		return t.view.evacuated[s.DataCentre] || !t.regions.contains(regionOf(t.f.deps.RegionOf, s.DataCentre))
	})
}

// relays returns through which instances the body of the request may pass. Those of the own region are no exception: the caller may
// have come here from another one.
func (t *task) relays() exchanger.Relays {
	if t.regions == nil {
		return nil
	}
	return func(dataCentre string) bool { return t.regions.contains(regionOf(t.f.deps.RegionOf, dataCentre)) }
}

// excludedRefusal refuses a request that no server may get, without a wait: a wait would not change that.
func (t *task) excludedRefusal() *Refusal {
	t.f.deps.Telemetry.Counter("requests.excluded").Inc(1)
	reason := "no backend server in an allowed region takes requests"
	if t.regions == nil {
		reason = "all data centres with backend servers are evacuated"
	}
	refusal := t.noServerRefusal(reason)
	if refusal.Status != http.StatusServiceUnavailable {
		return refusal
	}
	refusal.RetryAfter = jitter(longRetryAfter)
	if t.regions != nil && len(t.regions) == 0 {
		// The regions of the route and of the workspace exclude each other: only another policy changes that.
		refusal.RetryAfter, refusal.Reason = 0, "the route and the workspace allow no common region"
	}
	return refusal
}

// evacuatedDataCentres returns the data centres whose servers get no new requests.
func evacuatedDataCentres(list []subscriber.Evacuation) map[string]bool {
	evacuated := map[string]bool{}
	for _, e := range list {
		if e.Active {
			evacuated[e.DataCentre] = true
		}
	}
	return evacuated
}

// updateEvacuatedGauge tells operators how many requests still run in evacuated data centres.
func (f *Forwarder) updateEvacuatedGauge() {
	view, running := f.fleetView.Load(), int64(0)
	for _, list := range view.servers {
		for _, s := range list {
			if view.evacuated[s.DataCentre] {
				running += s.inFlight.Load()
			}
		}
	}
	f.deps.Telemetry.Gauge("evacuations.running-requests").Update(running)
}

// takenBackAt returns when the evacuation of each data centre was withdrawn, on this instance's clock.
func takenBackAt(list []subscriber.Evacuation) map[string]timer.Millis {
	at := map[string]timer.Millis{}
	for _, e := range list {
		if !e.Active {
			at[e.DataCentre] = e.LocalChangedAt
		}
	}
	return at
}
