package limiter

import (
	"errors"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// stallTime is the time without a byte after which a caller has to give way to others.
	stallTime = timer.Second
	// smallRequest is the size up to which a request may use the reserve, in bytes: most requests are smaller.
	smallRequest = 64 << 10
	// reserveShare is the part of a budget that only small requests may use, as a divisor.
	reserveShare = 4
)

var (
	// ErrExhausted is returned when the requests in progress hold all that the process grants, and none of them stalls.
	ErrExhausted = errors.New("the requests in progress take too much memory")
	// ErrEvicted is returned to a request that had to give way to others.
	ErrEvicted = errors.New("the request made no progress and gave way to others")
)

// Budget bounds the bytes that all requests of a process hold together; it is safe for concurrent use.
type Budget struct {
	now      func() timer.Millis
	pace     Pace
	pressure *Pressure
	mu       sync.Mutex
	max      int64
	held     int64
	leases   map[*Lease]bool
}

// NewBudget returns a budget of max bytes; requests that arrive more slowly than pace give way, and pressure is told of what is refused.
func NewBudget(clock timer.Clock, max int64, pace Pace, pressure *Pressure) *Budget {
	return &Budget{now: clock.Now, max: max, pace: pace, pressure: pressure, leases: map[*Lease]bool{}}
}

// Lease is what one request holds, or the requests of one connection, one after the other.
type Lease struct {
	budget *Budget
	// evict ends the request from outside.
	evict func()
	held  int64
	arrival
	// complete is true once the whole request has come.
	complete bool
	evicted  bool
	// isKept is true for the lease of a connection, which outlasts its requests.
	isKept bool
}

// Open returns a lease that holds nothing; evict is called if the request has to give way, from another goroutine.
func (b *Budget) Open(evict func()) *Lease {
	now := b.now()
	l := &Lease{budget: b, evict: evict, arrival: arrival{startedAt: now, progressAt: now}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leases[l] = true
	return l
}

// Take takes n bytes before they are allocated. It fails with ErrExhausted if they cannot be had, and with ErrEvicted if the request
// had to give way.
func (l *Lease) Take(n int64) error {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.take(n)
}

func (l *Lease) take(n int64) error {
	b := l.budget
	if l.evicted {
		return ErrEvicted
	}
	l.progressAt = b.now()
	limit := b.max
	if l.held+n > smallRequest {
		limit -= b.max / reserveShare
	}
	for b.held+n > limit {
		victim := b.latest(l)
		if victim == nil {
			b.pressure.recordRefusal()
			return ErrExhausted
		}
		b.evict(victim)
	}
	b.held += n
	l.held += n
	return nil
}

// Resize takes or gives back bytes until the lease holds n.
func (l *Lease) Resize(n int64) error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.evicted {
		return ErrEvicted
	}
	if n > l.held {
		return l.take(n - l.held)
	}
	b.held -= l.held - n
	l.held = n
	return nil
}

// Give gives n bytes back.
func (l *Lease) Give(n int64) {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.evicted {
		b.held -= n
		l.held -= n
	}
}

// begin records that the first byte of a request has come.
func (l *Lease) begin() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l.arrival = arrival{startedAt: now, progressAt: now}
}

// Progress records that n bytes have come. A connection counts them itself.
func (l *Lease) Progress(n int) {
	if !l.isKept {
		l.arrive(n)
	}
}

func (l *Lease) arrive(n int) {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.progressAt = b.now()
	l.bytes += int64(n)
}

// Complete records that all bytes have come: from now on the request is served, and gives way to nobody. It fails if it had to
// before.
func (l *Lease) Complete() error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.evicted {
		return ErrEvicted
	}
	l.complete = true
	return nil
}

// Close gives everything back at the end of a request.
func (l *Lease) Close() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.close()
}

func (l *Lease) close() {
	b := l.budget
	if !l.evicted {
		b.held -= l.held
	}
	now := b.now()
	l.held, l.complete, l.arrival = 0, false, arrival{startedAt: now, progressAt: now}
	if !l.isKept {
		delete(b.leases, l)
	}
}

// end closes the lease of a connection.
func (l *Lease) end() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.close()
	delete(l.budget.leases, l)
}

// Held returns the bytes that all requests hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// latest returns the largest of the requests that are late, and among equals the one that has held its bytes for the longest time; nil
// if none is late.
func (b *Budget) latest(except *Lease) *Lease {
	var victim *Lease
	now := b.now()
	for l := range b.leases {
		if l == except || l.complete || l.held == 0 || !b.pace.isLate(l.arrival, now) {
			continue
		}
		if victim == nil || l.held > victim.held || l.held == victim.held && l.startedAt < victim.startedAt {
			victim = l
		}
	}
	return victim
}

// evict makes a request give way; its goroutine notices when it reads on.
func (b *Budget) evict(l *Lease) {
	b.held -= l.held
	l.held, l.evicted = 0, true
	delete(b.leases, l)
	b.pressure.recordEviction()
	go l.runEviction()
}

// runEviction ends the request from outside.
func (l *Lease) runEviction() {
	l.evict()
}
