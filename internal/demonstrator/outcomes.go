package demonstrator

import (
	"errors"
	"sync"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
)

// outcome is a request and its result as the caller saw them.
type outcome struct {
	kind           string
	workspace      string
	session        string
	idempotencyKey string
	marker         string
	startedAt      time.Time
	answer         caller.Answer
	err            error
}

// requestID returns the request id from the answer or from the refusal.
func (o outcome) requestID() string {
	var refused *caller.Error
	if errors.As(o.err, &refused) {
		return refused.RequestID
	}
	return o.answer.RequestID
}

// outcomeLog collects the outcomes of all workers.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (l *outcomeLog) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *outcomeLog) all() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome(nil), l.outcomes...)
}
