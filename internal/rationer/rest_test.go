package rationer

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a rest that a later answer for an earlier request cuts short, and against all requests that return at once
// after it.
func TestRestHoldsAndEndsGradually(t *testing.T) {
	const start = 1000 * timer.Second
	r := NewRation()
	if !r.Rest(start+3*timer.Second) || r.Rest(start+timer.Second) {
		t.Fatal("a shorter rest replaced a longer one")
	}
	tests := map[string]struct {
		now     timer.Millis
		own     int
		hasRoom bool
	}{
		"at the start":               {start, 0, false},
		"just before the end":        {start + 2999, 0, false},
		"at the end, the first one":  {start + 3000, 0, true},
		"at the end, the second one": {start + 3000, 1, false},
		"half a second later":        {start + 3500, 4, true},
		"too many by then":           {start + 3500, 5, false},
		"a second later":             {start + 4000, 8, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := !r.IsResting(tt.now, Occupancy{Slots: 8, Load: tt.own, Own: tt.own}); got != tt.hasRoom {
				t.Fatalf("got %t, want %t", got, tt.hasRoom)
			}
		})
	}
}
