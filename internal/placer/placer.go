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

// Weights turn what is known of a backend server into one score, where 1 is a server at its capacity.
const (
	// delayWeight is the score of one millisecond of one-way delay.
	delayWeight = 0.02
	// priceWeight is the score of one unit of price for a gigabyte.
	priceWeight = 0.05
	// affinitySlack is how much busier the server with the cached prefix may be.
	affinitySlack = 0.25
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 10 * timer.Second
)

// Deps is what a placer needs.
type Deps struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// Now returns the time in milliseconds.
	Now func() timer.Millis
	// Seed starts the random choices, so that one seed gives one run.
	Seed uint64
	// Owns reports whether this instance, and no other, runs requests alone at a backend server; nil means at each.
	Owns func(server string) bool
}

// Placer chooses among backend servers.
type Placer struct {
	deps  Deps
	alone sync.Mutex
	mu    sync.Mutex
	rand  *rand.Rand
}

// NewPlacer returns a placer.
func NewPlacer(deps Deps) *Placer {
	return &Placer{deps: deps, rand: rand.New(rand.NewPCG(deps.Seed, deps.Seed^math.MaxUint32))}
}

// Query is what a placement depends on.
type Query struct {
	Servers []registrar.BackendServer
	// Affinity names the prompt prefix or session whose cache is worth finding again; empty for none.
	Affinity string
	// Tried are the names of backend servers that must not be chosen again.
	Tried []string
	// Alone asks for a backend server without other work, for a request that may crash it.
	Alone bool
}

// Placement is the chosen backend server and how it came about.
type Placement struct {
	Server     *registrar.BackendServer
	Score      float64
	Affinity   bool
	Candidates int
	// alone says that the request may crash the server.
	alone bool
}

// Release ends the count of the request on its backend server.
func (p Placement) Release() {
	if p.alone {
		p.Server.Traffic.Suspects.Add(-1)
	}
	p.Server.Traffic.InFlight.Add(-1)
}

// Place chooses a backend server and counts the request on it; false means that none is left.
func (p *Placer) Place(view *indexer.View, q Query) (Placement, bool) {
	if q.Alone {
		// Two suspects that are placed at once would not see each other.
		p.alone.Lock()
		defer p.alone.Unlock()
	}
	tier, n := p.nearest(view, q)
	if len(tier) == 0 {
		return Placement{}, false
	}
	best := p.twoChoices(tier)
	byAffinity := false
	if favourite, ok := favourite(tier, q); ok && favourite.score <= best.score+affinitySlack && favourite.load < 1 {
		best, byAffinity = favourite, true
	}
	server := &q.Servers[best.index]
	server.Traffic.InFlight.Add(1)
	server.Traffic.Started.Add(1)
	if q.Alone {
		server.Traffic.Suspects.Add(1)
	}
	return Placement{Server: server, Score: best.score, Affinity: byAffinity, Candidates: n, alone: q.Alone}, true
}

type candidate struct {
	index int
	load  float64
	score float64
	path  float64
	risk  risk
}

// risk says why others are to be preferred; the lower one is chosen wherever there is one.
type risk uint8

const (
	riskNone risk = iota
	// riskBusy: it has other work, which a request that must run alone may take down.
	riskBusy
	// riskFailing: it failed lately or is slow.
	riskFailing
	// riskShared: another instance may run a request there that crashes it.
	riskShared
	// riskSuspect: it runs a request that may crash it.
	riskSuspect
	risks
)

// free reports whether the candidate can take the request without a wait, as far as is known.
func (c *candidate) free() bool {
	return c.load < 1 && c.risk == riskNone
}

// nearest returns the free candidates with the cheapest path, or all of the lowest risk.
func (p *Placer) nearest(view *indexer.View, q Query) (tier []candidate, n int) {
	now := p.deps.Now()
	paths := pathScores{placer: p, view: view}
	all := make([]candidate, 0, len(q.Servers))
	cheapest, least := math.Inf(1), risks
	for i := range q.Servers {
		s := &q.Servers[i]
		if slices.Contains(q.Tried, s.Name) {
			continue
		}
		path := paths.of(s.DataCentre)
		load := Load(s, now)
		c := candidate{index: i, load: load, score: load + path, path: path, risk: p.riskOf(s, q, now)}
		all = append(all, c)
		least = min(least, c.risk)
		if c.free() {
			cheapest = min(cheapest, path)
		}
	}
	tier = keep(all, func(c *candidate) bool { return c.free() && c.path <= cheapest })
	if len(tier) == 0 {
		tier = keep(all, func(c *candidate) bool { return c.risk == least })
	}
	return tier, len(all)
}

// riskOf tells the risks of a request that must run alone apart; for all others they weigh the same.
func (p *Placer) riskOf(s *registrar.BackendServer, q Query, now timer.Millis) risk {
	failing := s.Slow || s.Traffic.Suspect(now)
	suspects := s.Traffic.Suspects.Load() > 0
	switch {
	case !q.Alone && (failing || suspects):
		return riskFailing
	case !q.Alone:
		return riskNone
	case suspects:
		return riskSuspect
	case p.deps.Owns != nil && !p.deps.Owns(s.Name):
		return riskShared
	case failing:
		return riskFailing
	case s.Traffic.InFlight.Load() > 0:
		return riskBusy
	}
	return riskNone
}

// keep moves the wanted candidates to the front and returns them; the others stay behind them.
func keep(all []candidate, wanted func(*candidate) bool) []candidate {
	n := 0
	for i := range all {
		if wanted(&all[i]) {
			all[n], all[i] = all[i], all[n]
			n++
		}
	}
	return all[:n]
}

// pathScores remembers the scores of the few data centres that the servers of one request stand in.
type pathScores struct {
	placer *Placer
	view   *indexer.View
	names  []string
	scores []float64
}

func (c *pathScores) of(dataCentre string) float64 {
	for i, name := range c.names {
		if name == dataCentre {
			return c.scores[i]
		}
	}
	score := c.placer.pathScore(c.view, dataCentre)
	c.names = append(c.names, dataCentre)
	c.scores = append(c.scores, score)
	return score
}

func (p *Placer) pathScore(view *indexer.View, dataCentre string) float64 {
	if dataCentre == p.deps.DataCentre {
		return 0
	}
	path := view.Path(p.deps.DataCentre, dataCentre)
	return delayWeight*(1+float64(path.Delay)) + priceWeight*path.PricePerGiga
}

// Room returns how many more requests the servers can take before they queue, and how many they run in all.
// Servers that failed lately count only when there are no others.
func Room(servers []registrar.BackendServer, now timer.Millis) (free, capacity int) {
	sound, suspect := 0, 0
	known := false
	for i := range servers {
		s := &servers[i]
		capacity += s.Capacity
		room := max(0, int(float64(s.Capacity)*(1-Load(s, now))+roundUp))
		if s.Traffic.Suspect(now) {
			suspect += room
			continue
		}
		known = true
		sound += room
	}
	if known {
		return sound, capacity
	}
	return suspect, capacity
}

// roundUp keeps a report that has faded a little from hiding a free place.
const roundUp = 0.5

// Load estimates how full a backend server is: our own requests now, plus what others had there at its last report.
func Load(s *registrar.BackendServer, now timer.Millis) float64 {
	own := float64(s.Traffic.InFlight.Load())
	others := max(0, float64(s.Load.Running+s.Load.Waiting)-float64(s.OwnAtReport))
	if others == 0 {
		return own / float64(s.Capacity)
	}
	age := max(0, float64(now-s.LastSeen))
	return (own + others*math.Exp2(-age/float64(reportHalfLife))) / float64(s.Capacity)
}

// twoChoices takes the less loaded of two random candidates, which keeps instances with the same lagged reports apart.
func (p *Placer) twoChoices(tier []candidate) candidate {
	if len(tier) == 1 {
		return tier[0]
	}
	i, j := p.pair(len(tier))
	if tier[j].score < tier[i].score {
		return tier[j]
	}
	return tier[i]
}

func (p *Placer) pair(n int) (int, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.rand.IntN(n)
	j := p.rand.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}

// favourite returns the candidate that rendezvous hashing gives for the affinity.
func favourite(tier []candidate, q Query) (candidate, bool) {
	if q.Affinity == "" {
		return candidate{}, false
	}
	var best candidate
	var top uint64
	key := xxhash.Sum64String(q.Affinity)
	for _, c := range tier {
		if h := weigh(key, q.Servers[c.index].NameHash); h >= top {
			top, best = h, c
		}
	}
	return best, true
}

// weigh returns the rendezvous weight of a server for a key.
func weigh(key, server uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], key)
	binary.LittleEndian.PutUint64(both[8:], server)
	return xxhash.Sum64(both[:])
}
