package rater

import (
	"fmt"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func newTestEstimator(t *testing.T) (*Estimator, *timer.ManualClock) {
	t.Helper()
	manual := timer.NewManualClock(0)
	e, err := NewEstimator(Deps{Now: manual.Now, ExploreShare: 0.02, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return e, manual
}

func addRatings(e *Estimator, class Class, version string, good, bad int) {
	for i := range good + bad {
		id := fmt.Sprintf("%v-%s-%d", class, version, i)
		e.AddServed(id, ServedRequest{Class: class, Version: version})
		e.Rate(id, i < good)
	}
}

func TestQualityUsesOnlyRatingsOfItsClass(t *testing.T) {
	v := parser.Version{Name: "small", Quality: 0.86}
	long := &receiver.Request{Kind: receiver.KindChat, PromptBytes: longPromptBytes}
	short := &receiver.Request{Kind: receiver.KindChat, PromptBytes: 10}
	tests := map[string]struct {
		good, bad        int
		req              *receiver.Request
		wantMin, wantMax float64
	}{
		"no ratings":                   {0, 0, long, 0.80, 0.86},
		"many bad ratings":             {20, 80, long, 0.30, 0.48},
		"many good ratings":            {400, 5, long, 0.96, 0.98},
		"bad ratings of another class": {20, 80, short, 0.80, 0.86},
		"a few bad ratings":            {0, 3, long, 0.75, 0.82},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newTestEstimator(t)
			addRatings(e, ClassOf(long), "small", tt.good, tt.bad)
			if q := e.Quality(v, tt.req).LowerBound; q < tt.wantMin || q > tt.wantMax {
				t.Errorf("quality %.3f, want %.2f to %.2f", q, tt.wantMin, tt.wantMax)
			}
		})
	}
}

func TestAnOutageOfTheRatingsWidensTheBounds(t *testing.T) {
	e, manual := newTestEstimator(t)
	v := parser.Version{Name: "small", Quality: 0.86}
	class := Class{Workspace: "w"}
	addRatings(e, class, "small", 900, 100)
	mean, sdBefore := e.Estimate(v, class)
	manual.Advance(3 * ratingHalfLife)
	meanAfter, sdAfter := e.Estimate(v, class)
	if sdAfter <= sdBefore || meanAfter < mean-0.04 || meanAfter > mean+0.04 {
		t.Errorf("mean %.3f, then %.3f; deviation %.4f, then %.4f", mean, meanAfter, sdBefore, sdAfter)
	}
	if e.SinceLastRating() != 3*ratingHalfLife {
		t.Errorf("time since the last rating %s", e.SinceLastRating())
	}
}

func TestARatingCountsOnce(t *testing.T) {
	e, _ := newTestEstimator(t)
	e.AddServed("1", ServedRequest{Version: "v"})
	if _, ok := e.Rate("1", true); !ok {
		t.Error("the first rating is not counted")
	}
	if _, ok := e.Rate("1", true); ok {
		t.Error("the second rating is counted")
	}
	if _, ok := e.Rate("unknown", true); ok {
		t.Error("the rating of an unknown request is counted")
	}
}
