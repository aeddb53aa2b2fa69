package explainer

import (
	"fmt"
	"sync"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Step is one decision about a request, made by a filter at a time in milliseconds.
type Step struct {
	At       timer.Millis `json:"at"`
	Filter   string       `json:"filter"`
	Decision string       `json:"decision"`
	Options  []string     `json:"options,omitempty"`
}

// DecisionLog lists the decisions about one request in the order in which they were made; a nil DecisionLog records
// nothing.
type DecisionLog struct {
	mu    sync.Mutex
	now   func() timer.Millis
	steps []Step
}

// Record records a decision.
func (l *DecisionLog) Record(filter, format string, args ...any) {
	l.RecordWithOptions(filter, nil, format, args...)
}

// RecordWithOptions records a decision with the options that were rejected.
func (l *DecisionLog) RecordWithOptions(filter string, options []string, format string, args ...any) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = append(l.steps, Step{At: l.now(), Filter: filter, Decision: fmt.Sprintf(format, args...), Options: options})
}

// Steps returns a copy of the decisions recorded so far.
func (l *DecisionLog) Steps() []Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Step(nil), l.steps...)
}

// Explainer keeps the decisions about the most recent requests.
type Explainer struct {
	now       func() timer.Millis
	byRequest *lru.Cache[string, *DecisionLog]
}

// NewExplainer returns an explainer that keeps the decisions about at most limit requests; 0 disables recording.
func NewExplainer(now func() timer.Millis, limit int) (*Explainer, error) {
	if limit == 0 {
		return &Explainer{now: now}, nil
	}
	byRequest, err := lru.New[string, *DecisionLog](limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Explainer{now: now, byRequest: byRequest}, nil
}

// StartLog returns the DecisionLog that records the decisions about a request; it is nil when recording is disabled.
func (e *Explainer) StartLog(requestID string) *DecisionLog {
	if e.byRequest == nil {
		return nil
	}
	l := &DecisionLog{now: e.now}
	e.byRequest.Add(requestID, l)
	return l
}

// Explain returns the decisions about a request; it returns false when the request is not or no longer kept.
func (e *Explainer) Explain(requestID string) ([]Step, bool) {
	if e.byRequest == nil {
		return nil, false
	}
	l, ok := e.byRequest.Get(requestID)
	if !ok {
		return nil, false
	}
	return l.Steps(), true
}
