package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// retryBudget is a token bucket that bounds retries to a share of this instance's recent first attempts. As each
// instance keeps its bound, so does the fleet.
type retryBudget struct {
	rules      Config
	now        func() timer.Millis
	mu         sync.Mutex
	tokens     float64
	refilledAt timer.Millis
}

func newRetryBudget(rules Config, now func() timer.Millis) *retryBudget {
	return &retryBudget{rules: rules, now: now, tokens: rules.RetryBurst, refilledAt: now()}
}

// deposit adds the share of a retry that one first attempt earns; the balance is capped at RetryBurst plus maxDeposits
// such shares.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rules.RetryRatio, b.rules.RetryBurst+maxDeposits*b.rules.RetryRatio)
}

// maxDeposits caps the first attempts that the balance can hold: about one retry window of traffic at one instance.
const maxDeposits = 60

// hasToken reports whether a retry may be sent.
func (b *retryBudget) hasToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens >= 1
}

// withdraw takes the token of one retry.
func (b *retryBudget) withdraw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens--
}

// refill restores the slack at a rate of RetryBurst tokens per RetryWindow.
func (b *retryBudget) refill() {
	now := b.now()
	if b.tokens < b.rules.RetryBurst {
		refilled := b.rules.RetryBurst * float64(now-b.refilledAt) / float64(max(1, b.rules.RetryWindow))
		b.tokens = min(b.rules.RetryBurst, b.tokens+refilled)
	}
	b.refilledAt = now
}
