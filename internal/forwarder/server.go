package forwarder

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// averageShare is the weight of one sample in a moving average: about the last twenty samples count.
	averageShare = 0.1
	// suspendAfter is the failures in a row after which a server is set aside.
	suspendAfter = 2
	// firstSuspension doubles with each failure in a row up to maxSuspension.
	firstSuspension = 400 * timer.Millisecond
	maxSuspension   = 6 * timer.Second
	// greyRate is the share of failures at which a server that still answers is set aside, for greySuspension, once
	// greySamples outcomes are known.
	greyRate       = 0.25
	greySamples    = 6
	greySuspension = 4 * timer.Second
	// loadAge is how long a load report counts in full; after twice that only the own requests are known.
	loadAge = 1500 * timer.Millisecond
)

// server is what a backend server announced, with what this instance has learned of it.
type server struct {
	registrar.Member
	*health
}

// health is what this instance has learned of one incarnation of a backend server.
type health struct {
	hash uint64
	pool *pool

	running atomic.Int64
	work    work
	// lastByte is when anything was last read from it, in milliseconds.
	lastByte atomic.Int64

	mu sync.Mutex
	// reported is the load that the server told, and ownThen how many own requests ran there at that time.
	reported   int
	ownThen    int
	reportedAt timer.Millis
	failures   int
	suspended  timer.Millis
	failRate   float64
	samples    int
	// first is the moving average of the time to the first byte relative to what was expected, 1 being as expected.
	first      float64
	firstCount int
}

func newServer(m registrar.Member, now func() timer.Millis, dial Dial) *server {
	return &server{Member: m, health: &health{hash: xxhash.Sum64String(m.Name), pool: &pool{address: m.Address, now: now, open: dial}}}
}

// withMember returns the server with what it announced since.
func (s *server) withMember(m registrar.Member) *server {
	return &server{Member: m, health: s.health}
}

// load estimates how many requests the server runs or queues.
func (s *server) load(now timer.Millis) int {
	own := int(s.running.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.reported - s.ownThen
	if age := now - s.reportedAt; age > loadAge {
		others = others * int(max(0, 2*loadAge-age)) / int(loadAge)
	}
	return own + max(0, others)
}

// report takes in the load that an answer told.
func (s *server) report(v Verdict, now timer.Millis) {
	if v.Slots == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = v.Running + v.Waiting
	s.ownThen = int(s.running.Load())
	s.reportedAt = now
}

// succeeded notes a good answer.
func (s *server) succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	s.suspended = 0
	s.failRate *= 1 - averageShare
	s.samples++
}

// failed notes a failure and sets the server aside for a while where it fails again and again.
func (s *server) failed(now timer.Millis, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.samples++
	s.failRate += averageShare * (1 - s.failRate)
	if !reachable || s.failures >= suspendAfter {
		s.suspended = now + min(firstSuspension<<min(s.failures-1, 5), maxSuspension)
	}
	if s.samples >= greySamples && s.failRate > greyRate {
		s.suspended = max(s.suspended, now+greySuspension)
		s.failRate = greyRate
	}
}

// took notes the time to the first byte against what was expected.
func (s *server) took(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstCount++
	if s.firstCount == 1 {
		s.first = ratio
		return
	}
	s.first += averageShare * (ratio - s.first)
}

// state returns whether the server is set aside now, and how slow it is.
func (s *server) state(now timer.Millis) (suspended bool, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowness = 1
	if s.firstCount > 4 {
		slowness = s.first
	}
	return now < s.suspended, slowness
}
