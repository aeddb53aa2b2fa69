package rationer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	reportInterval = 150 * timer.Millisecond
	reportDelay    = 100 * timer.Millisecond
	windowLength   = 4 * timer.Second
)

// maxInWindow is what a server that names a limit may get within windowLength: one and a half times as much, and 5 more.
func maxInWindow(limit float64) float64 {
	return 1.5*limit*float64(windowLength)/float64(timer.Second) + 5
}

// fleet is a number of instances that send requests to one server, in virtual time.
type fleet struct {
	rng     *rand.Rand
	rations []*Ration
	board   *Board[int]
	// rate is the number of requests per second at each instance for which the server is the first choice.
	rate  func(instance int, now timer.Millis) float64
	sent  []timer.Millis
	wants int
}

func newFleet(seed uint64, instances int, rate func(int, timer.Millis) float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), board: NewBoard[int](), rate: rate}
	for range instances {
		f.rations = append(f.rations, &Ration{credit: f.rng.Float64()})
	}
	return f
}

// run plays the time from start to end; every answer names the limit.
func (f *fleet) run(start, end timer.Millis, limit float64) {
	var totals []Report
	sendTotalsAt := timer.Millis(-1)
	for now := start; now < end; now++ {
		for i, r := range f.rations {
			if f.rng.Float64() >= f.rate(i, now)/float64(timer.Second) {
				continue
			}
			f.wants++
			if r.Admit(now) {
				f.sent = append(f.sent, now)
				r.Observe(limit, true, now)
			}
		}
		if now%reportInterval == 0 {
			for i, r := range f.rations {
				if report, ok := r.Report("s", 1, now); ok {
					f.board.Set(i, []Report{report}, now)
				}
			}
			totals, sendTotalsAt = f.board.Totals(now), now+reportDelay
		}
		if now == sendTotalsAt {
			for i, r := range f.rations {
				for _, others := range f.board.WithoutOwn(i, totals) {
					r.SetOthersDemand(others.DemandUnits, others.Instances)
					r.Observe(others.Limit, others.Limited, now-others.Age-reportDelay)
				}
			}
		}
	}
}

// busiestWindow returns the largest number of requests within windowLength after the given time.
func (f *fleet) busiestWindow(after timer.Millis) int {
	most := 0
	for i, at := range f.sent {
		if at < after {
			continue
		}
		n := 0
		for _, other := range f.sent[i:] {
			if other < at+windowLength {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a server in need that gets far more than the limit that it names, summed over all instances, and against a
// limit that is mostly left unused.
func TestLimitHoldsForTheWholeFleet(t *testing.T) {
	const (
		settleTime = 3 * timer.Second
		end        = 30 * timer.Second
		// minUsed is the part of a limit that must be used while the demand is at least twice as high.
		minUsed = 0.5
	)
	evenly := func(total float64, instances int) func(int, timer.Millis) float64 {
		return func(int, timer.Millis) float64 { return total / float64(instances) }
	}
	tests := map[string]struct {
		instances int
		limit     float64
		rate      func(instance int, now timer.Millis) float64
	}{
		"evenly spread demand": {8, 5, evenly(20, 8)},
		"one instance has most of the demand": {8, 5, func(i int, _ timer.Millis) float64 {
			if i == 0 {
				return 14
			}
			return 0.5
		}},
		"a hundred instances with little demand each": {94, 3, evenly(9, 94)},
		"traffic that triples for five seconds": {8, 6, func(_ int, now timer.Millis) float64 {
			if now >= 12*timer.Second && now < 17*timer.Second {
				return 5
			}
			return 1.6
		}},
		"demand moves from one instance to another": {8, 5, func(i int, now timer.Millis) float64 {
			if i == int(now/(2*timer.Second))%8 {
				return 15
			}
			return 0
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(seed, tt.instances, tt.rate)
				f.run(0, end, tt.limit)
				if n := f.busiestWindow(settleTime); float64(n) > maxInWindow(tt.limit) {
					t.Fatalf("seed %d: %d requests in 4 s, the limit allows %.0f", seed, n, maxInWindow(tt.limit))
				}
				after := slices.IndexFunc(f.sent, func(at timer.Millis) bool { return at >= settleTime })
				used := float64(len(f.sent)-after) / (float64(end-settleTime) / float64(timer.Second)) / tt.limit
				if used < minUsed {
					t.Fatalf("seed %d: %.0f%% of the limit was used", seed, 100*used)
				}
			}
		})
	}
}

// Guards against an instance that starts while a server is limited and allows itself the whole limit.
func TestInstanceThatStartsKeepsTheLimit(t *testing.T) {
	const limit = 4
	for seed := range uint64(10) {
		f := newFleet(seed, 8, func(int, timer.Millis) float64 { return 2 })
		f.run(0, 10*timer.Second, limit)
		for i := range 4 {
			f.rations[i] = &Ration{credit: f.rng.Float64()}
			f.board.Remove(i)
		}
		f.run(10*timer.Second, 20*timer.Second, limit)
		if n := f.busiestWindow(4 * timer.Second); float64(n) > maxInWindow(limit) {
			t.Fatalf("seed %d: %d requests in 4 s, the limit allows %.0f", seed, n, maxInWindow(limit))
		}
	}
}

func TestRation(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *Ration)
		// wants requests come at once; want of them are admitted.
		wants, want int
	}{
		"no limit": {func(*Ration) {}, 50, 50},
		"a limit above the demand": {
			func(r *Ration) { r.Observe(1000, true, 1) }, 50, 50,
		},
		"a limit that has ended": {
			func(r *Ration) { r.Observe(1, true, 1); r.Observe(0, false, 2) }, 50, 50,
		},
		"an older statement changes nothing": {
			func(r *Ration) { r.Observe(1000, true, 3); r.Observe(1, true, 2) }, 50, 50,
		},
		"a limit of zero":            {func(r *Ration) { r.Observe(0, true, 1) }, 50, 0},
		"others have all the demand": {func(r *Ration) { r.Observe(10, true, 1); r.SetOthersDemand(1_000_000, 0) }, 50, 0},
		"a negative demand of others counts as none": {
			func(r *Ration) { r.Observe(1000, true, 1); r.SetOthersDemand(-500, 0) }, 50, 50,
		},
		"a place that is returned is used again": {
			func(r *Ration) {
				r.Observe(0, true, 1)
				r.Refund()
			}, 50, 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Ration{}
			tt.prepare(r)
			admitted := 0
			for range tt.wants {
				if r.Admit(10) {
					admitted++
				}
			}
			if admitted != tt.want {
				t.Fatalf("%d of %d requests admitted, want %d", admitted, tt.wants, tt.want)
			}
		})
	}
}

// The end of a limit must reach the instances that get no answers of their own.
func TestEndOfLimitIsReported(t *testing.T) {
	r := &Ration{}
	if _, ok := r.Report("s", 1, 10); ok {
		t.Fatal("a server without a limit is reported")
	}
	r.Observe(3, true, 100)
	r.Observe(0, false, 200)
	report, ok := r.Report("s", 1, 300)
	if !ok || report.Limited || report.Age != 100 {
		t.Fatalf("got %+v, %t; want the end of the limit, 100 ms ago", report, ok)
	}
	if _, ok := r.Report("s", 1, 300+reportAfterEnd); ok {
		t.Fatal("the end of the limit is reported for ever")
	}
}

func TestBoardTellsEachInstanceAboutTheOthers(t *testing.T) {
	b := NewBoard[string]()
	b.Set("a", []Report{{Server: "s", Incarnation: 1, Limit: 5, Limited: true, Age: 400, DemandUnits: 100}}, 1000)
	b.Set("b", []Report{{Server: "s", Incarnation: 1, Age: 100, DemandUnits: 30}, {Server: "t", Incarnation: 2, Limited: true, DemandUnits: 7}}, 1000)
	totals := b.Totals(1000)
	got := fmt.Sprintf("%+v", b.WithoutOwn("a", totals))
	want := fmt.Sprintf("%+v", []Report{{Server: "s", Incarnation: 1, Age: 100, DemandUnits: 30, Instances: 1},
		{Server: "t", Incarnation: 2, Limited: true, DemandUnits: 7, Instances: 1}})
	if got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	b.Remove("b")
	if list := b.WithoutOwn("a", b.Totals(1000)); len(list) != 1 || list[0].DemandUnits != 0 || list[0].Instances != 0 || list[0].Limit != 5 {
		t.Fatalf("got %+v, want the statement of the instance itself", list)
	}
}

// Guards against parts of a server's places that add up to more than all of them where many instances have little demand each.
func TestPartsOfPlacesAddUpToTheWhole(t *testing.T) {
	const (
		now   = 1000 * timer.Second
		slots = 32.0
	)
	for name, instances := range map[string]int{"one": 1, "three": 3, "sixty": 60} {
		t.Run(name, func(t *testing.T) {
			b := NewBoard[int]()
			var rations []*Ration
			for i := range instances {
				r := NewRation()
				r.ObserveBrittle(3, true, now)
				r.Observe(0, false, now)
				// One instance in three has sent a request.
				if i%3 == 0 {
					r.Admit(now)
				}
				report, _ := r.Report("s", 1, now)
				b.Set(i, []Report{report}, now)
				rations = append(rations, r)
			}
			sum := 0.0
			for i, r := range rations {
				others := b.WithoutOwn(i, b.Totals(now))[0]
				r.SetOthersDemand(others.DemandUnits, others.Instances)
				sum += slots * r.demandShare(now)
			}
			if math.Abs(sum-slots) > 0.01*slots {
				t.Fatalf("the parts of %d instances add up to %.1f places, the server has %.0f", instances, sum, slots)
			}
		})
	}
}
