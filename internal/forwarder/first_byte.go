package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// slowFactor and slowMargin say how much later than usual, and than its prompt takes to read, a first byte must come to
	// count as slow.
	slowFactor = 4
	slowMargin = 400 * timer.Millisecond
	// usualSamples is how many answers of a route must be known before one counts as slow.
	usualSamples = 5
)

// average is a moving average.
type average struct {
	mu    sync.Mutex
	value float64
	count int
}

func (a *average) add(v float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if a.count == 1 {
		a.value = v
		return
	}
	a.value += averageShare * (v - a.value)
}

func (a *average) get() (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value, a.count
}

func (f *Forwarder) firstOf(t *task) *average {
	a, _ := f.firsts.LoadOrStore(t.route.Name, &average{})
	return a.(*average)
}

// expected returns the usual time to the first byte on the request's route, in milliseconds; 0 when it is not known.
func (f *Forwarder) expected(t *task) timer.Millis {
	v, _ := f.firstOf(t).get()
	return timer.Millis(v)
}

// noteFirst learns from the time to the first byte; slow answers count against a version on roll-out.
func (f *Forwarder) noteFirst(t *task, x *exchange, took timer.Millis) {
	s := x.server
	f.latency.Update(int64(f.deps.Common.Clock.Now() - t.ArrivedAt))
	a := f.firstOf(t)
	usual, count := a.get()
	if count > usualSamples && float64(took) > slowFactor*max(usual, x.reading) && took > slowMargin {
		f.note(t, s, resultSlow)
	} else if t.route.Kind != streamKind {
		f.note(t, s, resultGood)
	}
	if count > usualSamples && usual > 0 {
		s.first.add(float64(took) / usual)
	}
	a.add(min(float64(took), slowFactor*max(usual, float64(slowMargin))))
}
