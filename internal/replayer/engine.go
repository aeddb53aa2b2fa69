package replayer

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// maxCachedPrefixes bounds the prompt prefixes in the prefix cache of one engine.
const maxCachedPrefixes = 64

// engine simulates one model engine in virtual time.
type engine struct {
	spec    Server
	down    bool
	leaving bool
	running int
	waiting []*attempt
	// active holds the running attempts, so that a crash can abort them.
	active []*attempt
	// cachedPrefixes is the prefix cache, least recently used first.
	cachedPrefixes []string
	// incarnation and sequence go into the announcements.
	incarnation int64
	sequence    int64
}

// attempt is one attempt to answer a call at one engine.
type attempt struct {
	call      *call
	engine    *engine
	version   string
	sentAt    timer.Millis
	startedAt timer.Millis
	aborted   bool
	release   func()
	traffic   *registrar.Traffic
}

// prefill returns the time to the first token and moves the prefix to the newest place in the cache.
func (e *engine) prefill(r *Request, prefix string) timer.Millis {
	delay := e.spec.FirstToken
	i := slices.Index(e.cachedPrefixes, prefix)
	if i < 0 {
		delay += e.spec.PrefillPerK * timer.Millis(r.PromptTokens) / 1000
	} else {
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return delay
}

// generationTime returns the time to generate all tokens; each token takes longer as more requests run.
func (e *engine) generationTime(tokens int) timer.Millis {
	slowdown := 1 + float64(e.running)/float64(e.spec.Capacity)
	return timer.Millis(float64(tokens) * float64(e.spec.TokenMicros) * slowdown / 1000)
}

func (e *engine) removeActive(a *attempt) {
	e.active = slices.DeleteFunc(e.active, func(x *attempt) bool { return x == a })
}
