package gauger

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Load: servers on machines of three speeds, each slowed down now and then by what else runs there. Guards against an estimate that
// follows single readings, and against a message with each of them.
func TestEstimatesOfUnevenMachines(t *testing.T) {
	tests := map[string]struct {
		speed int
		// share is the part of the readings that are raised by factor.
		share, factor float64
	}{
		"quick machine":                      {60, 0.15, 2.5},
		"usual machine":                      {100, 0.15, 2.5},
		"slow machine":                       {160, 0.15, 2.5},
		"machine that is disturbed a lot":    {100, 0.3, 4},
		"machine that is never disturbed":    {100, 0, 1},
		"disturbances that speed it up, too": {160, 0.2, 0.3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const readings = 3000
			rnd := rand.New(rand.NewPCG(47, 1))
			b := NewBoard()
			told, wrong := 0, 0
			for range readings {
				percent := tt.speed
				if rnd.Float64() < tt.share {
					percent = int(float64(percent) * tt.factor)
				}
				if _, due := b.Add(Report{Server: "s", Incarnation: 1, Percents: []int{percent}}, 1); due {
					told++
				}
				if list := b.Gauges(); len(list) == 1 && list[0].Percent != tt.speed {
					wrong++
				}
			}
			if wrong*10 > readings || told > readings/10 {
				t.Errorf("the estimate was wrong after %d of %d readings, and told %d times", wrong, readings, told)
			}
		})
	}
}

func TestEstimateFollowsTheMachine(t *testing.T) {
	b := NewBoard()
	add := func(incarnation int64, percents ...int) (Gauge, bool) {
		return b.Add(Report{Server: "s", Incarnation: incarnation, Percents: percents}, 1)
	}
	if _, due := add(1, 100, 100); due {
		t.Error("an estimate from two readings")
	}
	if g, due := add(1, 104); !due || g.Percent != 100 {
		t.Errorf("got %v, %t", g, due)
	}
	if _, due := add(1, 105, 105, 105, 105, 105, 105); due {
		t.Error("a small change was told")
	}
	if g, due := add(1, 300, 300, 300, 300, 300); !due || g.Percent != 300 {
		t.Errorf("a machine that has turned slow: got %v, %t", g, due)
	}
	if _, due := add(2, 60); due {
		t.Error("the readings of the incarnation before count")
	}
	if _, due := add(1, 60, 60, 60); due {
		t.Error("a late report of the incarnation before counts")
	}
	if g, due := add(2, 60, 61, 0, -5, 1<<30); !due || g.Percent != 60 {
		t.Errorf("odd readings: got %v, %t", g, due)
	}
	b.Retain(func(string) bool { return false })
	if len(b.Gauges()) > 0 {
		t.Error("a server that is gone is kept")
	}
}

// Guards against an instance that takes its one reading of a disturbed machine for more than the estimate of all.
func TestSharedEstimateComesFirst(t *testing.T) {
	var m Meter
	if m.Factor() != 1 {
		t.Fatal("a machine of which nothing is known does not count as usual")
	}
	m.Add(3, 250, 10)
	if m.Factor() != 2.5 {
		t.Fatal("the own reading does not count while there is no other")
	}
	m.SetShared(100)
	m.Add(4, 250, 20)
	if m.Factor() != 1 {
		t.Fatal("the own reading counts")
	}
	r, ok := m.TakeReport(Report{Server: "s"}, 25)
	if !ok || len(r.Percents) != 2 || r.Load != 4 || r.Age != 5 || r.Server != "s" {
		t.Fatalf("reported %+v, %t", r, ok)
	}
	if r, ok := m.TakeReport(Report{}, 30); ok {
		t.Fatalf("reported again: %+v", r)
	}
}

// Load: many instances report the load of one server at different times. Guards against an older load that replaces a newer one, and
// against loads that are told again though nothing came.
func TestNewestLoadIsTold(t *testing.T) {
	b := NewBoard()
	steps := []struct {
		now, age timer.Millis
		load     int
		want     []int
	}{{100, 0, 3, []int{3}}, {200, 150, 9, nil}, {300, 20, 5, []int{5}}, {400, 0, -1, []int{0}}}
	for i, step := range steps {
		b.Add(Report{Server: "s", Incarnation: 1, Load: step.load, Age: step.age}, step.now)
		var got []int
		for _, l := range b.TakeLoads() {
			got = append(got, l.Load)
		}
		if !slices.Equal(got, step.want) {
			t.Fatalf("step %d: told %v, want %v", i, got, step.want)
		}
		if again := b.TakeLoads(); len(again) > 0 {
			t.Fatalf("step %d: told again %v", i, again)
		}
	}
}
