package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// retryBudget is a token bucket that bounds retries to a share of this instance's recent first attempts. As each
// instance keeps its bound, so does the fleet.
type retryBudget struct {
	config     Config
	now        func() timer.Millis
	mu         sync.Mutex
	tokens     float64
	refilledAt timer.Millis
}

func newRetryBudget(cfg Config, now func() timer.Millis) *retryBudget {
	return &retryBudget{config: cfg, now: now, tokens: cfg.RetryBurst, refilledAt: now()}
}

// deposit adds the share of a retry that one first attempt earns; the balance is capped at RetryBurst plus maxDeposits
// such shares.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.RetryRatio, b.config.RetryBurst+maxDeposits*b.config.RetryRatio)
}

// maxDeposits caps the first attempts that the balance can hold: about one retry window of traffic at one instance.
const maxDeposits = 60

// take takes the token of one retry, and reports whether there was one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns the token of a retry that was not sent.
func (b *retryBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// refill adds tokens at a rate of RetryBurst per RetryWindow, up to RetryBurst.
func (b *retryBudget) refill() {
	now := b.now()
	if b.tokens < b.config.RetryBurst {
		refilled := b.config.RetryBurst * float64(now-b.refilledAt) / float64(max(1, b.config.RetryWindow))
		b.tokens = min(b.config.RetryBurst, b.tokens+refilled)
	}
	b.refilledAt = now
}

// takeRetry takes a token of the retry budget for the next attempt, unless the request has one, and reports whether it has one.
// Requests that only looked at the budget would all count on its last token.
func (t *task) takeRetry() bool {
	if t.attempts > 0 && !t.hasRetryToken {
		t.hasRetryToken = t.f.retryBudget.take()
	}
	return t.attempts == 0 || t.hasRetryToken
}

// giveBackRetry returns the token of an attempt that was not made.
func (t *task) giveBackRetry() {
	if t.hasRetryToken {
		t.hasRetryToken = false
		t.f.retryBudget.giveBack()
	}
}
