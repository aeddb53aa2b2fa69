package replayer

import (
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

// Policy chooses the version and the server of a request; a nil function means the router's own decision.
type Policy struct {
	Name string
	// chooseVersion chooses among the versions of the cascade that can serve.
	chooseVersion func(s *site, c *call, options []parser.Version) parser.Version
	// chooseServer returns the index of one of the servers that were not tried.
	chooseServer func(s *site, list []registrar.BackendServer) int
	// skipsQueue sends requests to the engines at once, so that they queue there instead of at the instance.
	skipsQueue bool
}

// Policies returns the router's own policy first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "eelgrasshook"},
		{Name: "ungated", skipsQueue: true},
		{Name: "random", skipsQueue: true, chooseServer: func(s *site, list []registrar.BackendServer) int { return s.rand.IntN(len(list)) }},
		{Name: "round-robin", skipsQueue: true, chooseServer: roundRobin},
		{Name: "least-load", skipsQueue: true, chooseServer: leastLoad},
		{Name: "always-costly", skipsQueue: true, chooseVersion: func(_ *site, _ *call, o []parser.Version) parser.Version { return o[len(o)-1] }},
		{Name: "always-cheap", skipsQueue: true, chooseVersion: func(_ *site, _ *call, o []parser.Version) parser.Version { return o[0] }},
		{Name: "class-oracle", chooseVersion: classOracle},
		{Name: "oracle", skipsQueue: true, chooseVersion: oracle, chooseServer: oracleServer},
	}
}

// FindPolicy returns the policy with the given name; the error says that there is none.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, trace.BadParameter("unknown policy %q", name)
}

func roundRobin(s *site, servers []registrar.BackendServer) int {
	s.roundRobinIndex++
	return s.roundRobinIndex % len(servers)
}

// leastLoad chooses by the last announced load, which lags behind the real one.
func leastLoad(_ *site, servers []registrar.BackendServer) int {
	best := 0
	for i, b := range servers {
		if reportedLoad(b) < reportedLoad(servers[best]) {
			best = i
		}
	}
	return best
}

func reportedLoad(b registrar.BackendServer) float64 {
	return float64(b.Load.Running+b.Load.Waiting) / float64(b.Capacity)
}

// classOracle uses the true quality of each version for each class, but not the outcome of a single request.
func classOracle(s *site, c *call, options []parser.Version) parser.Version {
	target := float64(s.replay.doc.QualityTarget(workspaceOf(s.replay.doc, c.spec.Workspace)))
	for _, v := range options {
		if s.replay.trueQuality[[2]string{v.Name, c.spec.Class}] >= target {
			return v
		}
	}
	return options[len(options)-1]
}

// oracle uses the outcome: it returns the cheapest version that answers this request well, or else the cheapest.
func oracle(s *site, c *call, options []parser.Version) parser.Version {
	for _, v := range options {
		if s.replay.isGood(c, v.Name) {
			return v
		}
	}
	return options[0]
}

// oracleServer chooses by the real number of running and waiting requests at each engine.
func oracleServer(s *site, servers []registrar.BackendServer) int {
	best, lowest := 0, 0.0
	for i, b := range servers {
		e := s.replay.engines[b.Name]
		load := float64(e.running+len(e.waiting)) / float64(e.spec.Capacity)
		if b.DataCentre != s.dataCentre {
			load += 0.2
		}
		if i == 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// place returns the server for one attempt, or false when none is left.
func (p Policy) place(s *site, c *call) (placer.Placement, bool) {
	view := s.view()
	servers := view.EngineServers(*c.version)
	if p.chooseServer == nil {
		return s.placer.Place(view, placer.Query{Servers: servers, Affinity: c.affinity(), Tried: c.triedServers})
	}
	var untried []registrar.BackendServer
	for _, b := range servers {
		if !contains(c.triedServers, b.Name) {
			untried = append(untried, b)
		}
	}
	if len(untried) == 0 {
		return placer.Placement{}, false
	}
	b := untried[p.chooseServer(s, untried)]
	b.Traffic.InFlight.Add(1)
	return placer.Placement{Server: &b}, true
}

// selectVersion returns the version for a call, or false when none can serve it.
func (p Policy) selectVersion(s *site, c *call) (parser.Version, bool) {
	view := s.view()
	if c.version != nil {
		// A retry keeps the version of the first attempt.
		v, _ := view.Version(c.version.Name)
		return v, !v.Withdrawn
	}
	if p.chooseVersion == nil {
		sel, err := s.selector.Select(view, c.receiverRequest(s))
		return sel.Version, err == nil
	}
	var options []parser.Version
	m, _ := view.Document.Model(s.replay.model)
	for _, name := range m.Cascade {
		v, _ := view.Version(name)
		if !v.Withdrawn && len(view.EngineServers(v)) > 0 {
			options = append(options, v)
		}
	}
	if len(options) == 0 {
		return parser.Version{}, false
	}
	return p.chooseVersion(s, c, options), true
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// receiverRequest returns the call as the receiver would pass it to the selector.
func (c *call) receiverRequest(s *site) *receiver.Request {
	w, _ := s.view().Document.Workspace(c.spec.Workspace)
	return &receiver.Request{
		ID: c.spec.ID, Workspace: w, Kind: receiver.Kind(c.spec.Class), Model: s.replay.model, Session: c.spec.Session,
		PromptBytes: 4 * c.spec.PromptTokens, ReceivedAt: s.replay.now, Deadline: s.replay.now + requestTimeout,
	}
}
