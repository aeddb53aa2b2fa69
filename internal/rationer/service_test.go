package rationer

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against taking a server that starts anew for a sound one while the others of its service are brittle, and against
// taking it for brittle for good.
func TestServerThatHasNotAnsweredIsAsBrittleAsItsService(t *testing.T) {
	const start = 1000 * timer.Second
	type statement struct {
		server  int
		brittle bool
		at      timer.Millis
	}
	tests := map[string]struct {
		statements []statement
		now        timer.Millis
		// brittle is what the third server, which has not answered before, counts as.
		brittle bool
	}{
		"no server has answered":           {nil, start, false},
		"another one is brittle":           {[]statement{{0, true, start}}, start + timer.Minute, true},
		"all others are sound":             {[]statement{{0, false, start}, {1, false, start}}, start, false},
		"one of the others is brittle":     {[]statement{{0, true, start}, {1, false, start + 100}}, start + timer.Second, true},
		"none is brittle any more":         {[]statement{{0, true, start}, {0, false, start + 100}}, start + timer.Minute, false},
		"it has answered that it is not":   {[]statement{{0, true, start}, {2, false, start}}, start, false},
		"brittle for the second time":      {[]statement{{0, true, start}, {0, false, start + 9000}, {0, true, start + 10000}}, start + timer.Minute, true},
		"an old word that arrives late":    {[]statement{{0, false, start + 9000}, {1, true, start}}, start + 9000, false},
		"it is brittle and others are not": {[]statement{{0, false, start}, {2, true, start - 100}}, start + timer.Minute, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var service Service
			rations := []*Ration{service.NewRation(), service.NewRation(), service.NewRation()}
			for _, s := range tt.statements {
				rations[s.server].ObserveBrittle(3, s.brittle, s.at)
				rations[s.server].Observe(0, false, s.at)
			}
			if got := rations[2].IsBrittle(tt.now); got != tt.brittle {
				t.Fatalf("got %t, want %t", got, tt.brittle)
			}
		})
	}
}
