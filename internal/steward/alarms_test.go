package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestAlarmsThatConcernTheFleet(t *testing.T) {
	type report struct {
		at       timer.Millis
		reporter string
		alarm    messenger.ServerAlarm
	}
	refused := messenger.ServerAlarm{Server: "s", Incarnation: 2, Refused: true}
	stalled := messenger.ServerAlarm{Server: "s", Incarnation: 2}
	tests := map[string]struct {
		reports   []report
		forwarded int
	}{
		"a refused connection":                   {[]report{{0, "a", refused}}, 1},
		"one instance's own failures":            {[]report{{0, "a", stalled}, {400, "a", stalled}, {800, "a", stalled}}, 0},
		"failures of two instances":              {[]report{{0, "a", stalled}, {100, "b", stalled}}, 1},
		"failures too far apart":                 {[]report{{0, "a", stalled}, {alarmWindow + 1, "b", stalled}}, 0},
		"many instances at the same time":        {[]report{{0, "a", refused}, {1, "b", refused}, {2, "c", refused}}, 1},
		"it still fails":                         {[]report{{0, "a", refused}, {alarmRepeatInterval, "b", refused}}, 2},
		"a late alarm about an earlier start":    {[]report{{0, "a", refused}, {600, "b", messenger.ServerAlarm{Server: "s", Incarnation: 1, Refused: true}}}, 1},
		"the server has started again meanwhile": {[]report{{0, "a", stalled}, {10, "b", messenger.ServerAlarm{Server: "s", Incarnation: 3}}}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newAlarmBoard()
			forwarded := 0
			for _, r := range tt.reports {
				b.add(r.reporter, []messenger.ServerAlarm{r.alarm}, r.at)
				forwarded += len(b.take())
			}
			if forwarded != tt.forwarded {
				t.Fatalf("%d alarms were forwarded, want %d", forwarded, tt.forwarded)
			}
			b.expire(10 * alarmWindow)
			if len(b.byServer) > 0 {
				t.Fatal("old alarms were kept")
			}
		})
	}
}

// The sum must not depend on the order in which the reports are added: instances must see the same queue.
func TestOthersPrefillIsReproducible(t *testing.T) {
	s := &Steward{pendingPrefillByEntry: map[*messenger.Link][]messenger.PendingPrefill{}}
	for n := range 40 {
		s.pendingPrefillByEntry[&messenger.Link{}] = []messenger.PendingPrefill{
			messenger.NewPendingPrefill("s", []float64{0.1 * float64(n), 33.3, float64(n) / 7 * 1000}),
		}
	}
	first := s.othersPrefill(nil)
	for range 50 {
		if again := s.othersPrefill(nil); len(again) != 1 || !slices.Equal(first[0].QueuedUnits, again[0].QueuedUnits) {
			t.Fatalf("got %v, then %v", first, again)
		}
	}
}
