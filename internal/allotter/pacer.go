package allotter

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// startBurst is how many starts may be given at once after a pause.
	startBurst = 2
	// maxColdRate bounds the rate of one server, in requests per second.
	maxColdRate = 100_000
)

// Pacer gives the instances the starts at cold servers, at the rate that each server bears; H identifies an instance. It is used by
// one goroutine.
type Pacer[H comparable] struct {
	accounts map[serverID]*startAccount[H]
}

// startAccount holds the starts of one server. Lost grants are not given again.
type startAccount[H comparable] struct {
	rate float64
	// tokens are the starts that may be given, as of refilledAt.
	tokens                  float64
	refilledAt, lastClaimAt timer.Millis
	// queue are the instances that want starts, in the order of their turns.
	queue []startWaiter[H]
}

type startWaiter[H comparable] struct {
	instance H
	wanted   int
	sequence uint64
	at       timer.Millis
}

// NewPacer returns a pacer without servers.
func NewPacer[H comparable]() *Pacer[H] {
	return &Pacer[H]{accounts: map[serverID]*startAccount[H]{}}
}

// Claim stores what an instance wants; Settle returns the grants. A new account is empty: another keeper may just have given starts
// away.
func (p *Pacer[H]) Claim(instance H, c StartClaim, now timer.Millis) {
	if c.Rate <= 0 {
		return
	}
	id := serverID{c.Server, c.Incarnation}
	a := p.accounts[id]
	if a == nil {
		a = &startAccount[H]{refilledAt: now}
		p.accounts[id] = a
	}
	a.refill(now)
	a.rate, a.lastClaimAt = min(c.Rate, maxColdRate), now
	w := startWaiter[H]{instance: instance, wanted: min(c.Wanted, maxWantedStarts), sequence: c.Sequence, at: now}
	if i := slices.IndexFunc(a.queue, func(o startWaiter[H]) bool { return o.instance == instance }); i >= 0 {
		if c.Sequence > a.queue[i].sequence {
			a.queue[i] = w
		}
		return
	}
	a.queue = append(a.queue, w)
}

// Lose forgets what an instance wants that is gone.
func (p *Pacer[H]) Lose(instance H) {
	for _, a := range p.accounts {
		a.queue = slices.DeleteFunc(a.queue, func(w startWaiter[H]) bool { return w.instance == instance })
	}
}

// Settle gives out the starts that are due, one at each turn, and returns the grants that each instance must get.
func (p *Pacer[H]) Settle(now timer.Millis) map[H][]StartGrant {
	grants := map[H][]StartGrant{}
	for id, a := range p.accounts {
		for w, n := range a.settle(now) {
			grants[w.instance] = append(grants[w.instance], StartGrant{Server: id.server, Incarnation: id.incarnation, Starts: n, Sequence: w.sequence})
		}
		if now-a.lastClaimAt > forgetTime {
			delete(p.accounts, id)
		}
	}
	return grants
}

// HasWork reports whether Settle must be called later though no claim arrives.
func (p *Pacer[H]) HasWork() bool {
	for a := range maps.Values(p.accounts) {
		if len(a.queue) > 0 {
			return true
		}
	}
	return false
}

func (a *startAccount[H]) refill(now timer.Millis) {
	a.tokens = min(startBurst, a.tokens+a.rate*float64(now-a.refilledAt)/float64(timer.Second))
	a.refilledAt = now
}

// grantee identifies the claim that a grant answers.
type grantee[H comparable] struct {
	instance H
	sequence uint64
}

func (a *startAccount[H]) settle(now timer.Millis) map[grantee[H]]int {
	a.refill(now)
	// A grant for an older claim would come too late.
	a.queue = slices.DeleteFunc(a.queue, func(w startWaiter[H]) bool { return w.wanted <= 0 || now-w.at >= startTimeout })
	given := map[grantee[H]]int{}
	for a.tokens >= 1 && len(a.queue) > 0 {
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.tokens--
		given[grantee[H]{w.instance, w.sequence}]++
		if w.wanted--; w.wanted > 0 {
			a.queue = append(a.queue, w)
		}
	}
	return given
}
