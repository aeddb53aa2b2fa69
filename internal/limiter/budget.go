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
	pressure *Pressure
	mu       sync.Mutex
	max      int64
	held     int64
	leases   map[*Lease]bool
}

// NewBudget returns a budget of max bytes; pressure is told of what it refuses.
func NewBudget(clock timer.Clock, max int64, pressure *Pressure) *Budget {
	return &Budget{now: clock.Now, max: max, pressure: pressure, leases: map[*Lease]bool{}}
}

// Lease is what one request holds.
type Lease struct {
	budget *Budget
	// evict ends the request from outside.
	evict func()
	held  int64
	// progressAt is when the last bytes came, and complete is true once all have.
	progressAt timer.Millis
	complete   bool
	evicted    bool
}

// Open returns a lease that holds nothing; evict is called if the request has to give way, from another goroutine.
func (b *Budget) Open(evict func()) *Lease {
	l := &Lease{budget: b, evict: evict, progressAt: b.now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leases[l] = true
	return l
}

// Take takes n bytes before they are allocated. It fails with ErrExhausted if they cannot be had, and with ErrEvicted if the request
// had to give way.
func (l *Lease) Take(n int64) error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.evicted {
		return ErrEvicted
	}
	l.progressAt = b.now()
	limit := b.max
	if l.held+n > smallRequest {
		limit -= b.max / reserveShare
	}
	for b.held+n > limit {
		victim := b.mostStalled(l)
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

// Progress records that bytes have come.
func (l *Lease) Progress() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.progressAt = b.now()
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

// Close gives everything back.
func (l *Lease) Close() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.evicted {
		b.held -= l.held
	}
	l.held = 0
	delete(b.leases, l)
}

// Held returns the bytes that all requests hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// mostStalled returns the largest of the requests that make no progress, nil if there is none.
func (b *Budget) mostStalled(except *Lease) *Lease {
	var victim *Lease
	now := b.now()
	for l := range b.leases {
		if l == except || l.complete || l.held == 0 || now-l.progressAt < stallTime {
			continue
		}
		if victim == nil || l.held > victim.held || l.held == victim.held && l.progressAt < victim.progressAt {
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
