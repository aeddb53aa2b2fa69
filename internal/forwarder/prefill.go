package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// urgencyLevels is the number of urgency levels in a prefill queue.
	urgencyLevels = lowestUrgency + 1
	// lessUrgentShare is the part of the less urgent prefill that delays a more urgent prompt, because it has already
	// started.
	lessUrgentShare = 0.7
	// longPrefill is the prefill time, in milliseconds, from which other instances are notified at once: it delays
	// short prompts noticeably.
	longPrefill = 30.0
	// estimateGrowth lets the estimate for a model rise again when every prompt takes longer than estimated.
	estimateGrowth = 1.01
	// minEstimateTokens is the length of the shortest prompt that is used for an estimate: for shorter ones the round
	// trip dominates.
	minEstimateTokens = 200
	// othersMaxAge is how long the prefill reported by other instances counts.
	othersMaxAge = 900 * timer.Millisecond
)

// prefillQueue is the pending prefill at a server, in milliseconds for each urgency; a prompt counts until its first
// event.
type prefillQueue struct {
	mu     sync.Mutex
	own    [urgencyLevels]float64
	others [urgencyLevels]float64
	// othersUpdatedAt is when others was last updated, in milliseconds.
	othersUpdatedAt timer.Millis
}

func (q *prefillQueue) add(urgency int, ms float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.own[urgency] = max(0, q.own[urgency]+ms)
}

// waitFor returns the pending prefill that a request of the given urgency waits for, in milliseconds.
func (q *prefillQueue) waitFor(urgency int, now timer.Millis) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := 0.0
	fresh := now-q.othersUpdatedAt < othersMaxAge
	for u := range urgencyLevels {
		waiting := q.own[u]
		if fresh {
			waiting += q.others[u]
		}
		if u > urgency {
			waiting *= lessUrgentShare
		}
		sum += waiting
	}
	return sum
}

// setOthers replaces the pending prefill that other instances have sent to the server.
func (q *prefillQueue) setOthers(others []float64, now timer.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.others = [urgencyLevels]float64{}
	copy(q.others[:], others)
	q.othersUpdatedAt = now
}

func (q *prefillQueue) snapshot() [urgencyLevels]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.own
}

// prefillEstimator estimates the prefill time per prompt token of each model, in milliseconds.
type prefillEstimator struct {
	mu         sync.Mutex
	msPerToken map[string]float64
}

func newPrefillEstimator() *prefillEstimator {
	return &prefillEstimator{msPerToken: map[string]float64{}}
}

func (e *prefillEstimator) perToken(model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.msPerToken[model]
}

// observe updates the estimate with the time to a first event, as it would be on a usual machine. The shortest times count most, as
// those of a server without other work.
func (e *prefillEstimator) observe(model string, tokens int, took float64) {
	if tokens < minEstimateTokens {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	observed := took / float64(tokens)
	previous, ok := e.msPerToken[model]
	if !ok {
		e.msPerToken[model] = observed
		return
	}
	e.msPerToken[model] = min(observed, previous*estimateGrowth)
}

// PendingPrefill returns the pending prefill that this instance has sent to each server.
func (f *Forwarder) PendingPrefill() []messenger.PendingPrefill {
	var list []messenger.PendingPrefill
	for _, servers := range f.fleetView.Load().servers {
		for _, s := range servers {
			own := s.prefillQueue.snapshot()
			if p := messenger.NewPendingPrefill(s.Name, own[:]); len(p.QueuedUnits) > 0 {
				list = append(list, p)
			}
		}
	}
	return list
}

// SetOthersPrefill updates the pending prefill that other instances have sent.
func (f *Forwarder) SetOthersPrefill(list []messenger.PendingPrefill) {
	now := f.deps.Telemetry.Clock.Now()
	byName := map[string][]float64{}
	for _, p := range list {
		byName[p.Server] = p.Millis()
	}
	for _, servers := range f.fleetView.Load().servers {
		for _, s := range servers {
			s.prefillQueue.setOthers(byName[s.Name], now)
		}
	}
}
