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

// Story lists the decisions about one request in the order in which they were made; a nil Story records nothing.
type Story struct {
	mu    sync.Mutex
	now   func() timer.Millis
	steps []Step
}

// Note records a decision.
func (s *Story) Note(filter, format string, args ...any) {
	s.NoteOptions(filter, nil, format, args...)
}

// NoteOptions records a decision with the options that were rejected.
func (s *Story) NoteOptions(filter string, options []string, format string, args ...any) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, Step{At: s.now(), Filter: filter, Decision: fmt.Sprintf(format, args...), Options: options})
}

// Steps returns a copy of the decisions recorded so far.
func (s *Story) Steps() []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Step(nil), s.steps...)
}

// Explainer keeps the decisions about the most recent requests.
type Explainer struct {
	now       func() timer.Millis
	byRequest *lru.Cache[string, *Story]
}

// NewExplainer returns an explainer that keeps the decisions about at most limit requests; 0 disables recording.
func NewExplainer(now func() timer.Millis, limit int) (*Explainer, error) {
	if limit == 0 {
		return &Explainer{now: now}, nil
	}
	byRequest, err := lru.New[string, *Story](limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Explainer{now: now, byRequest: byRequest}, nil
}

// Begin returns the Story that records the decisions about a request; it is nil when recording is disabled.
func (e *Explainer) Begin(requestID string) *Story {
	if e.byRequest == nil {
		return nil
	}
	s := &Story{now: e.now}
	e.byRequest.Add(requestID, s)
	return s
}

// Explain returns the decisions about a request; it returns false when the request is not or no longer kept.
func (e *Explainer) Explain(requestID string) ([]Step, bool) {
	if e.byRequest == nil {
		return nil, false
	}
	s, ok := e.byRequest.Get(requestID)
	if !ok {
		return nil, false
	}
	return s.Steps(), true
}
