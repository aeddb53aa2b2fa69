package forwarder

import (
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minPaceGaps and maxPaceGaps are the numbers of gaps between events from which the pace of a stream is known, and after
	// which it is judged before the stream ends.
	minPaceGaps = 3
	maxPaceGaps = 12
	// paceSamples is the number of answers that the usual pace is taken from, minPaceSamples how many it takes.
	paceSamples    = 64
	minPaceSamples = 8
	// paceMaxAge is how long ago the last sample may be: a pace is only compared with that of the same time.
	paceMaxAge = 3 * timer.Second
	// An answer is slow if it takes longer than slowPaceQuantile of the usual answers, and longer than slowPaceFactor times
	// their median.
	slowPaceQuantile = 0.9
	slowPaceFactor   = 1.25
	// maxPacedLoad is the share of a server's slots in use up to which an answer that is not a stream is judged: beyond it,
	// the time is that of the queue.
	maxPacedLoad = 0.5
)

// paceKey identifies answers of a service whose pace is comparable: streams by their model, other answers by their route and the
// data centre of their server, since their time includes the way there.
type paceKey struct {
	service, model, route, dataCentre string
}

// paceWindow holds the pace of the last answers, in milliseconds.
type paceWindow struct {
	mu      sync.Mutex
	samples [paceSamples]float64
	count   int
	addedAt timer.Millis
}

func (w *paceWindow) add(pace float64, now timer.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[w.count%paceSamples] = pace
	w.count++
	w.addedAt = now
}

// slowLimit returns the pace above which an answer is slow, and false if the usual pace is not known.
func (w *paceWindow) slowLimit(now timer.Millis) (float64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count < minPaceSamples || now-w.addedAt > paceMaxAge {
		return 0, false
	}
	sorted := slices.Clone(w.samples[:min(w.count, paceSamples)])
	slices.Sort(sorted)
	last := float64(len(sorted) - 1)
	return max(sorted[int(slowPaceQuantile*last)], slowPaceFactor*sorted[int(last/2)]), true
}

// recordGaps adds the gaps before new events of a stream and records its pace once it is known.
func (t *task) recordGaps(x *exchange, newEvents int, now timer.Millis) {
	if x.firstEventAt < now && len(x.gaps) < maxPaceGaps {
		gap := float64(now-x.lastEventAt) / float64(max(1, newEvents))
		for range min(max(1, newEvents), maxPaceGaps-len(x.gaps)) {
			x.gaps = append(x.gaps, gap)
		}
		if len(x.gaps) == maxPaceGaps {
			t.recordStreamPace(x)
		}
	}
	x.lastEventAt = now
}

// recordStreamPace records the lower quartile of the gaps between the events of a stream: other prompts that the server
// reads meanwhile delay single events, but not most of them.
func (t *task) recordStreamPace(x *exchange) {
	if x.paceRecorded || len(x.gaps) < minPaceGaps {
		return
	}
	x.paceRecorded = true
	slices.Sort(x.gaps)
	t.pace = x.gaps[len(x.gaps)/4]
	key := paceKey{service: t.service, model: t.model}
	if t.model == "" {
		key.route = t.route.Name
	}
	t.f.recordPace(t, x.server, key, t.pace)
}

// recordPlainPace records the time that an answer took which is not a stream.
func (t *task) recordPlainPace(x *exchange, took timer.Millis) {
	if float64(x.loadAtSend) > maxPacedLoad*float64(max(1, x.server.Slots)) {
		return
	}
	t.f.recordPace(t, x.server, paceKey{service: t.service, route: t.route.Name, dataCentre: x.server.DataCentre}, float64(took))
}

// recordPace compares the pace of an answer with the usual one of the versions before a roll-out, and counts it if its
// service has one. Servers that have just started are slow for a while, whatever their version.
func (f *Forwarder) recordPace(t *task, s *server, key paceKey, pace float64) {
	now := f.deps.Telemetry.Clock.Now()
	if now < s.warmUntil {
		return
	}
	loaded, _ := f.paces.LoadOrStore(key, &paceWindow{})
	w := loaded.(*paceWindow)
	rollOut, found := f.fleetView.Load().rollOuts[s.Service]
	if limit, known := w.slowLimit(now); found && known {
		f.updateOutcomes(t, s, func(o *messenger.Outcomes) { countPace(o, s, pace > limit) })
	}
	if !found || rollOut.State != applier.RollOutRunning || s.Version != rollOut.TargetVersion {
		w.add(pace, now)
	}
}

// countPace counts an answer of a server.
func countPace(o *messenger.Outcomes, s *server, isSlow bool) {
	if isSlow {
		o.OffPace++
		s.offPace.Add(1)
		return
	}
	o.OnPace++
	s.onPace.Add(1)
}
