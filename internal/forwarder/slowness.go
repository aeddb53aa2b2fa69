package forwarder

import (
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// slownessSamples is the number of responses from which the slowness of a service is known, minSlownessWindow how many it takes.
	slownessSamples   = 16
	minSlownessWindow = 4
	// slownessMaxAge is how long a sample counts.
	slownessMaxAge = 5 * timer.Second
	// minExpected is the shortest expected time to a first byte, in milliseconds: below it, the way to the server counts most.
	minExpected = 100.0
	// quickQuantile is the part of the responses that are quick. As long as some servers answer as usual, they can be asked in place
	// of slow or dead ones; once the quick responses are late too, no server is better than another.
	quickQuantile = 0.25
	// lateFactor is the multiple of the time of a quick response before which no response is late.
	lateFactor = 3
	// maxSharedSilence is how long servers that are all silent are taken to be slow, and not to be dead.
	maxSharedSilence = 3 * timer.Second
)

// slownessKey identifies responses that are slow or quick together: those of one model of a service. An engine serves the prompts
// of a small model before those of a large one, which take longer.
type slownessKey struct {
	service, model string
}

// slownessWindow holds how much longer than expected the last responses took to their first byte. An attempt that was given
// up counts with the time that it was awaited: otherwise only the quick responses of slow servers would be known.
type slownessWindow struct {
	mu      sync.Mutex
	ratios  [slownessSamples]float64
	addedAt [slownessSamples]timer.Millis
	count   int
}

func (w *slownessWindow) add(ratio float64, now timer.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratios[w.count%slownessSamples], w.addedAt[w.count%slownessSamples] = ratio, now
	w.count++
}

// quick returns the quickQuantile of the recent samples, 0 if there are too few.
func (w *slownessWindow) quick(now timer.Millis) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var recent []float64
	for i := range min(w.count, slownessSamples) {
		if now-w.addedAt[i] <= slownessMaxAge {
			recent = append(recent, w.ratios[i])
		}
	}
	if len(recent) < minSlownessWindow {
		return 0
	}
	slices.Sort(recent)
	return recent[int(quickQuantile*float64(len(recent)-1))]
}

// slowness returns the slowness of a model's responses.
func (t *task) slowness(model string) *slownessWindow {
	w, _ := t.f.slowness.LoadOrStore(slownessKey{service: t.service, model: model}, &slownessWindow{})
	return w.(*slownessWindow)
}

// expectedTime estimates the time to the first byte of an attempt, in milliseconds; 0 if nothing is known.
func (t *task) expectedTime(x *exchange) float64 {
	expected := x.queueWait + x.prefill
	if t.PromptTokens == 0 {
		expected, _ = t.f.firstByteTime(t, x.model).get()
	}
	if expected == 0 {
		return 0
	}
	return max(expected, minExpected)
}

// recordSlowness records the time to the first byte of an attempt, or for which it was awaited in vain.
func (t *task) recordSlowness(x *exchange, took, now timer.Millis) {
	if x.expected > 0 {
		t.slowness(x.model).add(float64(took)/x.expected, now)
	}
}

// lateLimit returns the time before which the first byte of an attempt is not late, as quick responses take now; 0 if that is not
// known.
func (t *task) lateLimit(x *exchange, now timer.Millis) timer.Millis {
	return timer.Millis(lateFactor * x.expected * t.slowness(x.model).quick(now))
}

// isSilenceShared reports whether the server of an attempt, and all others that this instance waits for, have sent nothing for most of
// the time that the attempt has waited. Its silence is no evidence against it then: all are slow, or this instance has been.
func (t *task) isSilenceShared(x *exchange, waited, now timer.Millis) bool {
	silence := waited / 2
	if x.server.silence(now) < silence || waited > maxSharedSilence || t.f.isSuspect(x, now) {
		return false
	}
	waiting, silent := t.f.silentServers(t, x.server, silence, now)
	return waiting >= 2 && silent == waiting
}
