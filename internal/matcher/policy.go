package matcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of requests.
const (
	// KindSafe may run more than once.
	KindSafe Kind = iota + 1
	// KindOnce may run at most once.
	KindOnce
	// KindStream answers with events; whether it may be repeated depends on the route.
	KindStream
)

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting, Target the time within which an answer is on time, and
	// GapTarget the longest pause between events that is on time, in milliseconds.
	Timeout   timer.Millis
	Target    timer.Millis
	GapTarget timer.Millis
	// Priority is the route's rank; 0 is served first.
	Priority    int
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Sticky requests carry prompts whose parts are worth finding in a cache.
	Sticky bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Models are the sizes that the system may choose from, smallest first; empty where the caller names its model.
	Models []string
	Split  []Share
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Model is a size that an engine can be asked for.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens.
	Cost float64
}

// Service is a kind of backend server.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections that one backend server takes from all instances together.
	MaxConns int
	// EngineSlots is how many requests a model engine batches; 0 for plain services.
	EngineSlots int
	// CacheTokens is the memory of a model engine in tokens.
	CacheTokens int
	Models      []Model
}

// Workspace is a customer with the keys that name it.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Policy is the immutable table of routes, services and workspaces.
type Policy struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	byHost     map[string][]*Route
	byKey      map[string]*Workspace
}

// Indexed checks a policy and returns a copy that can be searched; the error names the fault and its place.
func (p Policy) Indexed() (*Policy, error) {
	p.byHost = map[string][]*Route{}
	p.byKey = map[string]*Workspace{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := p.checkRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		for _, other := range p.byHost[host] {
			if other.Prefix == r.Prefix {
				return nil, trace.BadParameter("routes %q and %q share host %q and prefix %q", other.Name, r.Name, r.Host, r.Prefix)
			}
		}
		p.byHost[host] = append(p.byHost[host], r)
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		for _, key := range w.Keys {
			if other := p.byKey[key]; other != nil && other.Name != w.Name {
				return nil, trace.BadParameter("workspaces %q and %q share a key", other.Name, w.Name)
			}
			p.byKey[key] = w
		}
	}
	return &p, nil
}

func (p Policy) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q has no timeout", r.Name)
	}
	if len(r.Split) == 0 {
		return trace.BadParameter("route %q names no service", r.Name)
	}
	total := 0.0
	for _, share := range r.Split {
		if _, ok := p.Services[share.Service]; !ok {
			return trace.BadParameter("route %q names the unknown service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return trace.BadParameter("route %q gives service %q a weight below 0", r.Name, share.Service)
		}
		total += share.Weight
	}
	if total <= 0 {
		return trace.BadParameter("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

// Match returns the route of the host with the longest prefix that begins the path, nil when there is none.
func (p *Policy) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := p.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = p.byHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, nil when none does.
func (p *Policy) Workspace(key string) *Workspace {
	return p.byKey[key]
}

// Pick returns the service of a route for a number drawn from 0 up to 1.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[0].Service
}
