package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// budget bounds repeats by what the own first attempts earned lately, so that the fleet as a whole keeps its bound.
type budget struct {
	rules Rules
	now   func() timer.Millis
	mu    sync.Mutex
	level float64
	at    timer.Millis
}

func newBudget(rules Rules, now func() timer.Millis) *budget {
	return &budget{rules: rules, now: now, level: rules.RetrySlack, at: now()}
}

// earn adds what one first attempt earns, up to what a window's worth of slack allows.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.rules.RetryShare, b.rules.RetrySlack+maxEarned*b.rules.RetryShare)
}

// maxEarned is how many first attempts a budget remembers: about a window's worth at one instance.
const maxEarned = 60

// left reports whether a repeat may be sent.
func (b *budget) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.level >= 1
}

func (b *budget) spend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.level--
}

// refill lets the slack grow back once a window.
func (b *budget) refill() {
	now := b.now()
	if b.level < b.rules.RetrySlack {
		grown := b.rules.RetrySlack * float64(now-b.at) / float64(max(1, b.rules.RetryWindow))
		b.level = min(b.rules.RetrySlack, b.level+grown)
	}
	b.at = now
}
