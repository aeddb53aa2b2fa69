package forwarder

import (
	"net/http"
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
	// firstSamples is how many times to the first byte must be known before they count.
	firstSamples = 4
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
	// brokeAt is when the last incident of broken connections began, in milliseconds.
	brokeAt atomic.Int64

	mu sync.Mutex
	// reported is the load that the server told, and ownThen how many own requests ran there at that time.
	reported   int
	ownThen    int
	reportedAt timer.Millis
	failures   int
	suspended  timer.Millis
	failRate   float64
	samples    int
	// first is the time to the first byte relative to what is usual, 1 being as usual.
	first average
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

// state returns whether the server is set aside now, and how slow it is.
func (s *server) state(now timer.Millis) (suspended bool, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowness = 1
	if first, count := s.first.get(); count > firstSamples {
		slowness = first
	}
	return now < s.suspended, slowness
}

// refused notes that the server had no room or was not the one meant.
func (s *server) refused(now timer.Millis, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusMisdirectedRequest {
		// Another server has the address now.
		s.suspended = now + maxSuspension
		return
	}
	s.suspended = max(s.suspended, now+fullSpan)
}

// fullSpan is how long a server that had no room is passed over, in milliseconds: about the time of one short request.
const fullSpan = 60 * timer.Millisecond
