package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// A response counts as slow if its first byte takes longer than slowResponseMargin, and longer than
	// slowResponseFactor times the larger of the route's average and the prompt's prefill time.
	slowResponseFactor = 4
	slowResponseMargin = 400 * timer.Millisecond
	// minFirstByteSamples is the number of samples on a route above which responses are compared with the average.
	minFirstByteSamples = 5
)

// movingAverage is an exponential moving average that is safe for concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	value float64
	count int
}

func (a *movingAverage) add(v float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if a.count == 1 {
		a.value = v
		return
	}
	a.value += averageWeight * (v - a.value)
}

func (a *movingAverage) get() (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value, a.count
}

// expectedFirstByte returns the average time to the first byte of requests like the given one, in milliseconds; 0 if
// it is unknown.
func (f *Forwarder) expectedFirstByte(t *task) timer.Millis {
	v, _ := f.firstByteTime(t, t.model).get()
	return timer.Millis(v)
}

// recordFirstByte records the time to the first byte; a slow response counts against its version during a roll-out.
func (f *Forwarder) recordFirstByte(t *task, x *exchange, took timer.Millis) {
	s := x.server
	f.firstByteLatency.Update(int64(f.deps.Telemetry.Clock.Now() - t.ArrivedAt))
	a := f.firstByteTime(t, x.model)
	usual, count := a.get()
	if count > minFirstByteSamples && float64(took) > slowResponseFactor*max(usual, x.prefill) &&
		took > slowResponseMargin {
		f.recordOutcome(t, s, gradeSlow)
	} else if t.route.Kind != streamKind {
		f.recordOutcome(t, s, gradeGood)
	}
	t.recordSlowness(x, took, f.deps.Telemetry.Clock.Now())
	if count > minFirstByteSamples && usual > 0 {
		s.relativeFirstByte.add(float64(took) / usual)
	}
	a.add(min(float64(took), slowResponseFactor*max(usual, float64(slowResponseMargin))))
}
