package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// budget bounds the repeats that this instance sends in any window to a share of the first attempts in the same window and a slack on
// top. As each instance keeps its bound, so does the fleet. What was not used is not saved: in a window with many repeats the fleet
// would exceed its bound by what all instances have saved.
type budget struct {
	share, slack float64
	window       timer.Millis
	now          func() timer.Millis

	mu sync.Mutex
	// firsts and repeats are the times of the last window, oldest first.
	firsts, repeats []timer.Millis
}

func newBudget(share, slack float64, window timer.Millis, now func() timer.Millis) *budget {
	return &budget{share: share, slack: slack, window: window, now: now}
}

// deposit counts a first attempt.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts = append(b.dropOld(b.firsts), b.now())
}

// take takes one repeat, and reports whether there was one, with the given share of the first attempts to spare.
func (b *budget) take(spare float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts, b.repeats = b.dropOld(b.firsts), b.dropOld(b.repeats)
	if float64(len(b.repeats)+1) > b.slack+(b.share-spare)*float64(len(b.firsts)) {
		return false
	}
	b.repeats = append(b.repeats, b.now())
	return true
}

// giveBack returns a repeat that was not sent.
func (b *budget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.repeats); n > 0 {
		b.repeats = b.repeats[:n-1]
	}
}

// dropOld returns the times that lie in the window.
func (b *budget) dropOld(times []timer.Millis) []timer.Millis {
	start := b.now() - b.window
	old := 0
	for old < len(times) && times[old] <= start {
		old++
	}
	return times[old:]
}

const (
	// takeoverShare is the share of requests that may be taken over from servers that may just be slow, and takeoverSlack the number
	// on top in each window. A fleet that is slow because it is overloaded would otherwise get each prompt twice.
	takeoverShare = 0.1
	takeoverSlack = 5
	// escalationSpare is the share of requests for which the cascade leaves a repeat: an answer that fails is worse than one of a
	// small model.
	escalationSpare = 0.1
)

// budgets are the budgets of one service.
type budgets struct {
	retries   *budget
	takeovers *budget
}

// budgets returns the budgets of the request's service.
func (t *task) budgets() *budgets {
	if b, ok := t.f.budgets.Load(t.service); ok {
		return b.(*budgets)
	}
	cfg, now := t.f.deps.Config, t.f.deps.Telemetry.Clock.Now
	b, _ := t.f.budgets.LoadOrStore(t.service, &budgets{retries: newBudget(cfg.RetryRatio, cfg.RetryBurst, cfg.RetryWindow, now),
		takeovers: newBudget(takeoverShare, takeoverSlack, cfg.RetryWindow, now)})
	return b.(*budgets)
}

// recordFirstAttempt counts the request in the budgets of its service.
func (t *task) recordFirstAttempt() {
	b := t.budgets()
	b.retries.deposit()
	b.takeovers.deposit()
}

// takeRetry takes a repeat for the next attempt, unless the request has one, and reports whether it has one. Requests that only
// looked at the budget would all count on its last repeat.
func (t *task) takeRetry(spare float64) bool {
	if t.attempts > 0 && !t.hasRetryToken {
		t.hasRetryToken = t.budgets().retries.take(spare)
	}
	return t.attempts == 0 || t.hasRetryToken
}

// giveBackRetry returns the repeat of an attempt that was not made.
func (t *task) giveBackRetry() {
	if t.hasRetryToken {
		t.hasRetryToken = false
		t.budgets().retries.giveBack()
	}
}
