package placer

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Weights of the terms of a backend server's score. A score of 1 is a server at its capacity; a lower score is better.
const (
	// delayWeight is the score for each millisecond of one-way delay.
	delayWeight = 0.02
	// priceWeight is the score for each unit of price per gigabyte of traffic.
	priceWeight = 0.05
	// affinitySlack is how much higher the score of the server with the cached prefix may be.
	affinitySlack = 0.25
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 10 * timer.Second
)

// Deps holds the dependencies of a Placer.
type Deps struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Now returns the current time in milliseconds.
	Now func() timer.Millis
	// Seed seeds the random choices, so that the same seed repeats a run.
	Seed uint64
	// OwnsServer reports whether this instance is the only one that may send suspect requests to a backend server.
	// If OwnsServer is nil, the instance may send them to every server.
	OwnsServer func(server string) bool
}

// Placer chooses a backend server for each request.
type Placer struct {
	deps Deps
	// isolationMu serializes the placement of suspect requests.
	isolationMu sync.Mutex
	mu          sync.Mutex
	rand        *rand.Rand
}

// NewPlacer returns a placer.
func NewPlacer(deps Deps) *Placer {
	return &Placer{deps: deps, rand: rand.New(rand.NewPCG(deps.Seed, deps.Seed^math.MaxUint32))}
}

// Query describes the request to place.
type Query struct {
	Servers []registrar.BackendServer
	// Affinity identifies the prompt prefix or the session that a server may have cached; empty for none.
	Affinity string
	// Tried holds the names of backend servers that were already tried; they are not chosen again.
	Tried []string
	// Isolated marks a suspect request: one that may crash its server, and so needs a server without other work.
	Isolated bool
}

// Placement is the backend server chosen for a request, with the inputs of the choice.
type Placement struct {
	Server     *registrar.BackendServer
	Score      float64
	ByAffinity bool
	Candidates int
	// isolated marks a suspect request, which may crash the server.
	isolated bool
}

// Release removes the request from the in-flight counts of its backend server.
func (p Placement) Release() {
	if p.isolated {
		p.Server.Traffic.CrashingRequests.Add(-1)
	}
	p.Server.Traffic.InFlight.Add(-1)
}

// Place chooses a backend server and adds the request to its in-flight count; it returns false if no server is left.
func (p *Placer) Place(view *indexer.View, q Query) (Placement, bool) {
	if q.Isolated {
		// Two suspect requests that are placed at the same time would not see each other.
		p.isolationMu.Lock()
		defer p.isolationMu.Unlock()
	}
	eligible, n := p.eligibleCandidates(view, q)
	if len(eligible) == 0 {
		return Placement{}, false
	}
	best := p.powerOfTwoChoices(eligible)
	byAffinity := false
	if cached, ok := rendezvousCandidate(eligible, q); ok && cached.score <= best.score+affinitySlack && cached.load < 1 {
		best, byAffinity = cached, true
	}
	server := &q.Servers[best.index]
	server.Traffic.InFlight.Add(1)
	server.Traffic.Started.Add(1)
	if q.Isolated {
		server.Traffic.CrashingRequests.Add(1)
	}
	return Placement{Server: server, Score: best.score, ByAffinity: byAffinity, Candidates: n, isolated: q.Isolated}, true
}

// candidate is a server that a request may be sent to; index is its position in Query.Servers.
type candidate struct {
	index     int
	load      float64
	score     float64
	pathScore float64
	risk      risk
}

// risk is a reason to prefer other servers; candidates with a lower risk are chosen first.
type risk uint8

const (
	riskNone risk = iota
	// riskBusy: the server has other work, which a suspect request may disrupt by crashing the server.
	riskBusy
	// riskFailing: the server failed recently or is slow. For a request that is not suspect, this includes a server that
	// runs a suspect request.
	riskFailing
	// riskShared: another instance may send a suspect request to the server.
	riskShared
	// riskSuspect: the server runs another suspect request.
	riskSuspect
	riskCount
)

// isFree reports whether the candidate is expected to run the request without queueing.
func (c *candidate) isFree() bool {
	return c.load < 1 && c.risk == riskNone
}

// eligibleCandidates returns the free candidates with the cheapest path, or all candidates of the lowest risk if none
// is free. n is the number of servers that were not tried yet.
func (p *Placer) eligibleCandidates(view *indexer.View, q Query) (eligible []candidate, n int) {
	now := p.deps.Now()
	paths := pathScoreCache{placer: p, view: view}
	candidates := make([]candidate, 0, len(q.Servers))
	cheapestPath, lowestRisk := math.Inf(1), riskCount
	for i := range q.Servers {
		s := &q.Servers[i]
		if slices.Contains(q.Tried, s.Name) {
			continue
		}
		pathScore := paths.score(s.DataCentre)
		load := Load(s, now)
		c := candidate{index: i, load: load, score: load + pathScore, pathScore: pathScore, risk: p.riskOf(s, q, now)}
		candidates = append(candidates, c)
		lowestRisk = min(lowestRisk, c.risk)
		if c.isFree() {
			cheapestPath = min(cheapestPath, pathScore)
		}
	}
	eligible = filterInPlace(candidates, func(c *candidate) bool { return c.isFree() && c.pathScore <= cheapestPath })
	if len(eligible) == 0 {
		eligible = filterInPlace(candidates, func(c *candidate) bool { return c.risk == lowestRisk })
	}
	return eligible, len(candidates)
}

// riskOf returns the risk of sending the request to a server. It distinguishes the kinds of risk only for a suspect
// request; for any other request they count the same.
func (p *Placer) riskOf(s *registrar.BackendServer, q Query, now timer.Millis) risk {
	failing := s.Slow || s.Traffic.IsSuspect(now)
	suspects := s.Traffic.CrashingRequests.Load() > 0
	switch {
	case !q.Isolated && (failing || suspects):
		return riskFailing
	case !q.Isolated:
		return riskNone
	case suspects:
		return riskSuspect
	case p.deps.OwnsServer != nil && !p.deps.OwnsServer(s.Name):
		return riskShared
	case failing:
		return riskFailing
	case s.Traffic.InFlight.Load() > 0:
		return riskBusy
	}
	return riskNone
}

// filterInPlace moves the matching candidates to the front and returns them; the others remain after them.
func filterInPlace(candidates []candidate, match func(*candidate) bool) []candidate {
	n := 0
	for i := range candidates {
		if match(&candidates[i]) {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	return candidates[:n]
}

// pathScoreCache caches the path scores of the data centres of one request's servers, which are few.
type pathScoreCache struct {
	placer      *Placer
	view        *indexer.View
	dataCentres []string
	scores      []float64
}

func (c *pathScoreCache) score(dataCentre string) float64 {
	for i, name := range c.dataCentres {
		if name == dataCentre {
			return c.scores[i]
		}
	}
	score := c.placer.pathScore(c.view, dataCentre)
	c.dataCentres = append(c.dataCentres, dataCentre)
	c.scores = append(c.scores, score)
	return score
}

func (p *Placer) pathScore(view *indexer.View, dataCentre string) float64 {
	if dataCentre == p.deps.DataCentre {
		return 0
	}
	path := view.Path(p.deps.DataCentre, dataCentre)
	return delayWeight*(1+float64(path.Delay)) + priceWeight*path.PricePerGigabyte
}

// FreeSlots returns how many more requests the servers can run before they queue, and how many they can run in total.
// The free slots of servers that failed recently count only if there are no other servers.
func FreeSlots(servers []registrar.BackendServer, now timer.Millis) (free, capacity int) {
	healthyFree, failingFree := 0, 0
	hasHealthy := false
	for i := range servers {
		s := &servers[i]
		capacity += s.Capacity
		slots := max(0, int(float64(s.Capacity)*(1-Load(s, now))+halfSlot))
		if s.Traffic.IsSuspect(now) {
			failingFree += slots
			continue
		}
		hasHealthy = true
		healthyFree += slots
	}
	if hasHealthy {
		return healthyFree, capacity
	}
	return failingFree, capacity
}

// halfSlot rounds to the nearest slot; rounding down would hide a free slot after a load report has decayed a little.
const halfSlot = 0.5

// Load estimates the load of a backend server as a share of its capacity. It counts the requests of this instance now,
// and the requests of other instances at the server's last report, discounted by the report's age.
func Load(s *registrar.BackendServer, now timer.Millis) float64 {
	own := float64(s.Traffic.InFlight.Load())
	others := max(0, float64(s.Load.Running+s.Load.Waiting)-float64(s.OwnInFlightAtReport))
	if others == 0 {
		return own / float64(s.Capacity)
	}
	age := max(0, float64(now-s.LastSeen))
	return (own + others*math.Exp2(-age/float64(reportHalfLife))) / float64(s.Capacity)
}

// powerOfTwoChoices returns the candidate with the lower score of two random ones. The random choice keeps instances
// with the same stale load reports from choosing the same server.
func (p *Placer) powerOfTwoChoices(candidates []candidate) candidate {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i, j := p.randomPair(len(candidates))
	if candidates[j].score < candidates[i].score {
		return candidates[j]
	}
	return candidates[i]
}

func (p *Placer) randomPair(n int) (int, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.rand.IntN(n)
	j := p.rand.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}

// rendezvousCandidate returns the candidate that rendezvous hashing selects for the affinity, or false if there is no
// affinity.
func rendezvousCandidate(candidates []candidate, q Query) (candidate, bool) {
	if q.Affinity == "" {
		return candidate{}, false
	}
	var best candidate
	var bestWeight uint64
	key := xxhash.Sum64String(q.Affinity)
	for _, c := range candidates {
		if weight := rendezvousWeight(key, q.Servers[c.index].NameHash); weight >= bestWeight {
			bestWeight, best = weight, c
		}
	}
	return best, true
}

// rendezvousWeight returns the rendezvous weight of a server for a key.
func rendezvousWeight(key, server uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	binary.LittleEndian.PutUint64(buf[8:], server)
	return xxhash.Sum64(buf[:])
}
