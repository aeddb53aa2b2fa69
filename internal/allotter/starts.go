package allotter

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// startTimeout is how long after its claim a grant may be used. It is counted on the clock of the instance that claims: grants
	// that a link has held up must not be used all at once.
	startTimeout = 400 * timer.Millisecond
	// claimInterval is the time between two claims for one server.
	claimInterval = 80 * timer.Millisecond
	// maxWantedStarts bounds what one instance claims at once: it could not use more before they run out.
	maxWantedStarts = 16
	// maxOpenClaims bounds the claims that are remembered.
	maxOpenClaims = 8
)

// StartClaim asks the keeper of a cold server for requests that an instance may start there.
type StartClaim struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// DataCentre is that which the server announces.
	DataCentre string `cbor:"3,keyasint"`
	// Rate is how many requests per second the server bears from all instances together while it is cold.
	Rate   float64 `cbor:"4,keyasint"`
	Wanted int     `cbor:"5,keyasint"`
	// Sequence numbers the claims of the instance for the server.
	Sequence uint64 `cbor:"6,keyasint"`
}

// StartGrant allows an instance some requests at a cold server, as an answer to the claim with the same sequence.
type StartGrant struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Starts      int    `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
}

// Starts are the requests that this instance may start at one incarnation of a server while it is cold; safe for concurrent use.
type Starts struct {
	// coldUntil is when the server bears any number of requests, in milliseconds. It is read for each server at each choice.
	coldUntil atomic.Int64
	mu        sync.Mutex
	rate      float64
	// waiting is the number of requests that wait for a start, and passed that of those that went elsewhere since the last claim.
	waiting, passed int
	// grants are the times at which the unused starts run out.
	grants   []timer.Millis
	sequence uint64
	// claims are the last claims, oldest first.
	claims []openClaim
}

type openClaim struct {
	sequence uint64
	at       timer.Millis
}

// SetCold stores until when the server is cold, and how many requests per second it bears until then; it reports whether it was
// warm before and is cold now.
func (s *Starts) SetCold(rate float64, until, now timer.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate <= 0 {
		until = 0
	}
	wasCold := s.IsCold(now)
	s.rate = rate
	s.coldUntil.Store(int64(until))
	return !wasCold && s.IsCold(now)
}

// SetWarm stores that the server's service names no rate for cold servers.
func (s *Starts) SetWarm() {
	if s.coldUntil.Load() != 0 {
		s.SetCold(0, 0, 0)
	}
}

// ExtendCold stores that the server is cold at least until the given time, and reports whether it was warm before.
func (s *Starts) ExtendCold(until, now timer.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return false
	}
	wasCold := s.IsCold(now)
	s.coldUntil.Store(max(s.coldUntil.Load(), int64(until)))
	return !wasCold && s.IsCold(now)
}

// IsCold reports whether the server bears few requests.
func (s *Starts) IsCold(now timer.Millis) bool {
	return now < timer.Millis(s.coldUntil.Load())
}

// CanStart reports whether the server takes a request of this instance now, as far as its coldness is concerned.
func (s *Starts) CanStart(now timer.Millis) bool {
	if !s.IsCold(now) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return len(s.grants) > 0
}

// Take uses a start if the server is cold, and reports whether the request may be sent.
func (s *Starts) Take(now timer.Millis) bool {
	if !s.IsCold(now) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if len(s.grants) == 0 {
		return false
	}
	s.grants = s.grants[1:]
	return true
}

// AddWaiting adds requests that wait for a start; a negative number removes them.
func (s *Starts) AddWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// RecordPassed counts a request that went elsewhere, though it would have come here.
func (s *Starts) RecordPassed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed = min(s.passed+1, maxWantedStarts)
}

// Claim completes a claim with the numbers of this instance, and reports whether the keeper must get it.
func (s *Starts) Claim(c StartClaim, now timer.Millis) (StartClaim, bool) {
	if !s.IsCold(now) {
		return c, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	wanted := min(s.waiting+s.passed, maxWantedStarts) - len(s.grants)
	if wanted <= 0 {
		return c, false
	}
	if n := len(s.claims); n > 0 && now-s.claims[n-1].at < claimInterval {
		return c, false
	}
	s.sequence++
	s.passed = 0
	s.claims = append(s.claims, openClaim{sequence: s.sequence, at: now})
	s.claims = s.claims[max(0, len(s.claims)-maxOpenClaims):]
	c.Rate, c.Wanted, c.Sequence = s.rate, wanted, s.sequence
	return c, true
}

// Apply stores a grant, and reports whether it can be used.
func (s *Starts) Apply(g StartGrant, now timer.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.claims, func(c openClaim) bool { return c.sequence == g.Sequence })
	if i < 0 || now >= s.claims[i].at+startTimeout {
		return false
	}
	for range min(g.Starts, maxWantedStarts) {
		s.grants = append(s.grants, s.claims[i].at+startTimeout)
	}
	slices.Sort(s.grants)
	return len(s.grants) > 0
}

func (s *Starts) expire(now timer.Millis) {
	s.grants = slices.DeleteFunc(s.grants, func(until timer.Millis) bool { return now >= until })
}
