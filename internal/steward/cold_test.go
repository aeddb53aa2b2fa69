package steward

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a server that turns cold again, in the same incarnation, without the other instances hearing of it, and against a
// message with each announcement of a cold server.
func TestInstancesHearOfColdServers(t *testing.T) {
	type step struct {
		after  timer.Millis
		warmUp timer.Millis
		want   bool
	}
	tests := map[string][]step{
		"it says how long each time":   {{0, 3000, true}, {1200, 1800, false}, {1200, 590, false}, {1200, 0, false}},
		"it turns cold again":          {{0, 0, false}, {1200, 3000, true}, {5000, 0, false}, {1200, 2900, true}},
		"it is warm earlier":           {{0, 3000, true}, {1200, 0, true}, {1200, 0, false}},
		"it is cold for longer":        {{0, 1000, true}, {500, 4000, true}, {1200, 2800, false}},
		"its announcement took a time": {{0, 3000, true}, {1500, 1700, false}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManualClock(1_000_000)
			s := &Steward{deps: Deps{Telemetry: observer.NewDiscard(clock.Clock())}, coldUntil: map[string]timer.Millis{}}
			for i, step := range steps {
				clock.Advance(step.after)
				if got := s.recordCold(registrar.Member{Name: "s", WarmUp: step.warmUp}); got != step.want {
					t.Fatalf("step %d: %t, want %t", i, got, step.want)
				}
			}
		})
	}
}

// Guards against an instance that starts and takes servers for cold that have been warm for long: the row holds the time that was
// left when the server announced it.
func TestRowsTellTheTimeThatIsLeft(t *testing.T) {
	clock := timer.NewManualClock(1_000_000)
	s := &Steward{deps: Deps{Telemetry: observer.NewDiscard(clock.Clock())}, coldUntil: map[string]timer.Millis{}, roster: registrar.NewRoster()}
	m := registrar.Member{Name: "s", Incarnation: 1, Sequence: 1, WarmUp: 3000}
	s.roster.Merge(m)
	s.recordCold(m)
	for _, want := range []timer.Millis{2000, 1000, 0, 0} {
		clock.Advance(timer.Second)
		if got := s.rows()[0].WarmUp; got != want {
			t.Fatalf("%v left, want %v", got, want)
		}
	}
}
