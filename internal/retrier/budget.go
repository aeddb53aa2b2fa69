package retrier

import "sync"

// maxAvailable is the maximum number of unused retries that the budget accumulates.
const maxAvailable = 20.0

// Budget is a retry budget: each first attempt adds a fraction of a retry, and each retry takes one.
type Budget struct {
	mu         sync.Mutex
	perAttempt float64
	available  float64
}

// NewBudget returns a full budget that gains the given number of retries, usually a fraction, with each first attempt.
func NewBudget(retriesPerAttempt float64) *Budget {
	return &Budget{perAttempt: retriesPerAttempt, available: maxAvailable}
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxAvailable, b.available+b.perAttempt)
}

// TryRetry takes one retry from the budget and reports whether one was available.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
