package forwarder

import (
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// routeKey identifies requests whose times are comparable: those of one route at one model of a service.
type routeKey struct {
	route, service, model string
}

// averageFor returns the average of requests like the given one.
func averageFor(averages *sync.Map, key routeKey) *movingAverage {
	a, _ := averages.LoadOrStore(key, &movingAverage{})
	return a.(*movingAverage)
}

// firstByteTime returns the average time from the sending of requests like the given one to the first byte of a model's response, in
// milliseconds.
func (f *Forwarder) firstByteTime(t *task, model string) *movingAverage {
	return averageFor(&f.firstByteTimes, routeKey{route: t.route.Name, service: t.service, model: model})
}

// answerTime returns the average time from the arrival of requests like the given one to the end of the answer, in milliseconds. It
// may take several models.
func (f *Forwarder) answerTime(t *task) *movingAverage {
	return averageFor(&f.answerTimes, routeKey{route: t.route.Name, service: t.service})
}

// dropStatsOfChangedRoutes drops the statistics of routes that a new policy does not have, or that take other requests there. All
// others stay: limits that are derived from them would fall back to those of an instance that knows nothing.
func (f *Forwarder) dropStatsOfChangedRoutes(before, after *matcher.Policy) {
	isKept := func(name string) bool {
		old, r := routeNamed(before, name), routeNamed(after, name)
		return old != nil && r != nil && takesSameRequests(old, r)
	}
	dropped := map[string]bool{}
	for _, averages := range []*sync.Map{&f.firstByteTimes, &f.answerTimes} {
		averages.Range(func(key, _ any) bool {
			if route := key.(routeKey).route; !isKept(route) {
				dropped[route] = true
				averages.Delete(key)
			}
			return true
		})
	}
	f.paces.Range(func(key, _ any) bool {
		if route := key.(paceKey).route; route != "" && !isKept(route) {
			f.paces.Delete(key)
		}
		return true
	})
	if len(dropped) > 0 {
		f.deps.Telemetry.Counter("routes.statistics-dropped").Inc(int64(len(dropped)))
		f.deps.Telemetry.Log.Info("statistics of routes dropped", "routes", len(dropped), "policy", after.Version)
	}
}

func routeNamed(p *matcher.Policy, name string) *matcher.Route {
	i := slices.IndexFunc(p.Routes, func(r matcher.Route) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return &p.Routes[i]
}

// takesSameRequests reports whether two versions of a route take the same requests. Their limits and services may differ: the
// limits change nothing about the servers, and each service has statistics of its own.
func takesSameRequests(a, b *matcher.Route) bool {
	return a.Host == b.Host && a.PathPrefix == b.PathPrefix && a.Kind == b.Kind && slices.Equal(a.Models, b.Models)
}
