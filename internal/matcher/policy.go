package matcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// RouteKind is the kind of a route's requests, which decides whether they may be retried.
type RouteKind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota + 1
	// KindAtMostOnce requests may run at most once.
	KindAtMostOnce
	// KindStreaming requests are answered with an event stream; Route.Resumable decides whether they may be retried.
	KindStreaming
)

// Route describes the requests to one host and path prefix, and the services that answer them.
type Route struct {
	Name string
	// Host is matched without regard to case.
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller waits, TargetLatency the target latency of an answer, and TargetGap the
	// target for the longest pause between two events of a stream, in milliseconds.
	Timeout       timer.Millis
	TargetLatency timer.Millis
	TargetGap     timer.Millis
	// Priority orders requests in queues; 0 is served first.
	Priority    int
	MaxAttempts int
	// AuthExempt routes need no API key.
	AuthExempt bool
	// CacheAffinity requests have prompts with shared parts; they are placed by cache affinity.
	CacheAffinity bool
	// Resumable streams may continue on another backend server.
	Resumable bool
	// Models are the model sizes that the router may choose from, smallest first; empty where the caller names the model.
	Models []string
	// Regions are those in which requests may be served; all if empty.
	Regions []string
	// Shares are the services that share the requests.
	Shares []Share
}

// IsRetryable reports whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Share is a service and its share of a route's requests, in proportion to the other weights.
type Share struct {
	Service string
	Weight  float64
}

// Model is a model that an engine serves.
type Model struct {
	Name string
	// CostPer1000Tokens is the price of 1,000 generated tokens.
	CostPer1000Tokens float64
}

// Service is a kind of backend server.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that one backend server accepts from all instances together.
	MaxConns int
	// BatchSlots is the number of requests that a model engine runs as one batch; 0 for plain services.
	BatchSlots int
	// KVCacheTokens is the size of a model engine's KV cache, in tokens.
	KVCacheTokens int
	Models        []Model
	// ColdStart is how long a backend server is cold after its start, and ColdRate how many requests per second it bears from all
	// instances together while it is cold; 0 if it bears any number.
	ColdStart timer.Millis
	ColdRate  float64
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority is added to the route's priority; nil adds nothing.
	Priority *int
	// Regions are those in which requests may be served; all if empty. Where the route names regions too, both bind.
	Regions []string
}

// Limits bound the size of a caller's requests, in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Policy is the immutable routing configuration: routes, services, workspaces and limits.
type Policy struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	// byHost lists the routes of each lower-case host, longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// WithIndexes validates a policy and returns a copy with the indexes that lookups need; the error names the invalid
// route or the workspaces that share a key.
func (p Policy) WithIndexes() (*Policy, error) {
	p.byHost = map[string][]*Route{}
	p.byKey = map[string]*Workspace{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := p.checkRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		for _, other := range p.byHost[host] {
			if other.PathPrefix == r.PathPrefix {
				return nil, trace.BadParameter("routes %q and %q share host %q and prefix %q",
					other.Name, r.Name, r.Host, r.PathPrefix)
			}
		}
		p.byHost[host] = append(p.byHost[host], r)
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		for _, key := range w.APIKeys {
			if other := p.byKey[key]; other != nil && other.Name != w.Name {
				return nil, trace.BadParameter("workspaces %q and %q share a key", other.Name, w.Name)
			}
			p.byKey[key] = w
		}
	}
	return &p, nil
}

// checkRoute validates the timeout and the services of a route.
func (p Policy) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q has no timeout", r.Name)
	}
	if len(r.Shares) == 0 {
		return trace.BadParameter("route %q names no service", r.Name)
	}
	total := 0.0
	for _, share := range r.Shares {
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

// MatchRoute returns the route of the host, with or without a port, that has the longest matching path prefix; nil when
// there is none.
func (p *Policy) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := p.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = p.byHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace with an API key, nil when there is none.
func (p *Policy) WorkspaceByKey(key string) *Workspace {
	return p.byKey[key]
}

// PickService returns the service for a random number in [0, 1); services are picked in proportion to their weights.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := draw * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.Shares[0].Service
}
