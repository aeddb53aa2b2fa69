package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// ranks is how many urgencies are told apart in the work that waits at a server.
	ranks = lastUrgency + 1
	// laterShare is the part of less urgent prompts that delays a more urgent one: those that are being read already.
	laterShare = 0.7
	// longPrompt is the work, in milliseconds, that others should know of at once: it delays short prompts noticeably.
	longPrompt = 30.0
	// paceGrowth lets the learned pace of a model rise again when every prompt takes longer than it says.
	paceGrowth = 1.01
	// minPaceTokens is the least prompt that a pace is learned from: shorter ones measure the way there.
	minPaceTokens = 200
	// othersAge is how long what other instances told of their work counts.
	othersAge = 900 * timer.Millisecond
)

// work is the prompt reading that waits at a server, in milliseconds for each urgency; a prompt counts until its first
// event.
type work struct {
	mu     sync.Mutex
	own    [ranks]float64
	others [ranks]float64
	// heardAt is when the others' work was heard of, in milliseconds.
	heardAt timer.Millis
}

func (w *work) add(urgency int, ms float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own[urgency] = max(0, w.own[urgency]+ms)
}

// before returns the work that a request of the urgency waits for, in milliseconds.
func (w *work) before(urgency int, now timer.Millis) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0.0
	fresh := now-w.heardAt < othersAge
	for u := range ranks {
		waiting := w.own[u]
		if fresh {
			waiting += w.others[u]
		}
		if u > urgency {
			waiting *= laterShare
		}
		sum += waiting
	}
	return sum
}

// hear takes in what other instances have sent to the server.
func (w *work) hear(others []float64, now timer.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others = [ranks]float64{}
	copy(w.others[:], others)
	w.heardAt = now
}

func (w *work) snapshot() [ranks]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own
}

// paces learns how long each model takes to read a token of a prompt, in milliseconds.
type paces struct {
	mu   sync.Mutex
	rows map[string]float64
}

func newPaces() *paces {
	return &paces{rows: map[string]float64{}}
}

func (p *paces) get(model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[model]
}

// learn takes the fastest times to the first event as those of a server that did nothing else.
func (p *paces) learn(model string, tokens int, took timer.Millis) {
	if tokens < minPaceTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := float64(took) / float64(tokens)
	known, ok := p.rows[model]
	if !ok {
		p.rows[model] = pace
		return
	}
	p.rows[model] = min(pace, known*paceGrowth)
}

// Work returns the work that this instance has sent to each server and that waits there.
func (f *Forwarder) Work() []messenger.Work {
	var list []messenger.Work
	for _, servers := range f.picture.Load().servers {
		for _, s := range servers {
			own := s.work.snapshot()
			if w := messenger.NewWork(s.Name, own[:]); len(w.Waiting) > 0 {
				list = append(list, w)
			}
		}
	}
	return list
}

// HearWork takes in the work that other instances have sent.
func (f *Forwarder) HearWork(list []messenger.Work) {
	now := f.deps.Common.Clock.Now()
	byName := map[string][]float64{}
	for _, w := range list {
		byName[w.Server] = w.Millis()
	}
	for _, servers := range f.picture.Load().servers {
		for _, s := range servers {
			s.work.hear(byName[s.Name], now)
		}
	}
}
