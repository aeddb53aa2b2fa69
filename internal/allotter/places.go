package allotter

import (
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// tenure is how long an instance goes on to use a place for its own waiting requests before it gives it back, so that the
	// requests of others get their turn.
	tenure = 100 * timer.Millisecond
	// answerTimeout is how long the keeper of the ledger may take to answer a claim. It is longer than a silent link is kept, after
	// which another keeper is asked: a keeper that is only slow is silent to all instances at once, which would take places
	// besides those that it has granted.
	answerTimeout = 3 * timer.Second
)

// Places are the places of one incarnation of a server that this instance uses, may use and wants; safe for concurrent use.
type Places struct {
	mu sync.Mutex
	// granted is how many places the keeper of the ledger lets this instance use, used how many it uses, and waiting the
	// number of requests that wait for one.
	granted, used, waiting int
	// tenureUntil is until when places are kept for further requests of this instance.
	tenureUntil timer.Millis
	refusals    int
	// sequence is the number of the last claim, reduced that of the last one that gave up places.
	sequence, reduced uint64
	// lastHeld and lastWanted are those of the last claim; isClaimed is true once there was one.
	lastHeld, lastWanted, lastRefusals int
	isClaimed                          bool
	// askedAt is the time of the first claim for more places that the keeper has not answered; 0 if it has.
	askedAt timer.Millis
	// lingering are the times at which the places of abandoned requests come back.
	lingering []timer.Millis
}

// Take takes a place that the keeper of the ledger has granted, and reports whether there was one.
func (p *Places) Take(now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLingering(now)
	if p.used >= p.granted {
		return false
	}
	p.used++
	return true
}

// TakeFreely takes a place whether it is granted or not: the server is not brittle, or the keeper of the ledger is silent.
func (p *Places) TakeFreely() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used++
}

// HasPlace reports whether a granted place is unused.
func (p *Places) HasPlace() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used < p.granted
}

// Running returns how many requests of this instance have a place, from the choice of the server on. Those that were abandoned keep
// their place for a while, but most servers drop them at once.
func (p *Places) Running(now timer.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLingering(now)
	return p.used - len(p.lingering)
}

// Return gives a place back.
func (p *Places) Return(now timer.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack(now)
}

// ReturnLater gives the place of an abandoned request back at the given time: the server may not notice at once.
func (p *Places) ReturnLater(at timer.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lingering = append(p.lingering, at)
}

func (p *Places) giveBack(now timer.Millis) {
	p.used--
	if now >= p.tenureUntil && p.granted > p.used {
		p.granted--
	}
	p.trim()
}

// endLingering gives the places of requests back that were abandoned long enough ago.
func (p *Places) endLingering(now timer.Millis) {
	p.lingering = slices.DeleteFunc(p.lingering, func(at timer.Millis) bool {
		isOver := at <= now
		if isOver {
			p.giveBack(now)
		}
		return isOver
	})
}

// AddWaiting adds requests that wait for a place; a negative number removes them.
func (p *Places) AddWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
	p.trim()
}

// RecordRefusal counts a request that the server had no room for. Its place is given back when it returns: another request of this
// instance would be refused as well.
func (p *Places) RecordRefusal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals++
	p.tenureUntil = 0
}

// trim gives up the granted places that no request needs.
func (p *Places) trim() {
	p.granted = min(p.granted, max(p.used+p.waiting, 0))
}

// held is how many places the server must have for this instance.
func (p *Places) held() int {
	return max(p.used, p.granted)
}

// Claim completes a claim with the numbers of this instance, and reports whether the keeper of the ledger must get it: they
// have changed, or all claims are repeated for a new keeper.
func (p *Places) Claim(c Claim, now timer.Millis, repeat bool) (Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLingering(now)
	c.Held, c.Wanted, c.Refusals = p.held(), p.used+p.waiting, p.refusals
	if !p.isClaimed && c.Wanted == 0 && c.Held == 0 {
		return c, false
	}
	isChanged := !p.isClaimed || c.Held != p.lastHeld || c.Wanted != p.lastWanted || c.Refusals != p.lastRefusals
	if !isChanged && !repeat {
		return c, false
	}
	p.sequence++
	if c.Held < p.lastHeld {
		p.reduced = p.sequence
	}
	p.recordAsked(c.Wanted > c.Held, repeat, now)
	p.isClaimed, p.lastHeld, p.lastWanted, p.lastRefusals = true, c.Held, c.Wanted, c.Refusals
	c.Sequence, c.Reduced = p.sequence, p.reduced
	return c, true
}

// recordAsked notes since when the keeper has not answered a claim for more places; repeat means that the keeper may be another one.
func (p *Places) recordAsked(wantsMore, repeat bool, now timer.Millis) {
	switch {
	case wantsMore && (p.askedAt == 0 || repeat && !p.isKeeperSilent(now)):
		p.askedAt = now
	case !wantsMore && repeat && !p.isKeeperSilent(now):
		// Nothing is asked for that a new keeper must answer. One that has been silent stays so until it answers.
		p.askedAt = 0
	}
}

// Apply applies a grant, and reports whether a waiting request may have a place now.
func (p *Places) Apply(g Grant, now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askedAt = 0
	if g.Sequence < p.reduced {
		// The keeper sent it before it saw that places were given up.
		return false
	}
	if g.Places > p.granted {
		p.tenureUntil = now + tenure
	}
	p.granted = g.Places
	p.lastHeld = max(p.lastHeld, p.held())
	p.trim()
	return p.used < p.granted
}

// IsKeeperSilent reports whether a claim for more places has not been answered in time.
func (p *Places) IsKeeperSilent(now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isKeeperSilent(now)
}

func (p *Places) isKeeperSilent(now timer.Millis) bool {
	return p.askedAt > 0 && now-p.askedAt >= answerTimeout
}
