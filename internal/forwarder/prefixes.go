package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// prefixSpan is how long shared parts count as held by the server that read them last, in milliseconds.
	prefixSpan = 15 * timer.Second
	// maxPrefixes bounds the remembered places.
	maxPrefixes = 8192
)

// prefixes remembers which servers this instance has sent shared parts of prompts to.
type prefixes struct {
	mu   sync.Mutex
	rows map[prefixPlace]timer.Millis
}

type prefixPlace struct {
	key    uint64
	server string
}

func newPrefixes() *prefixes {
	return &prefixes{rows: map[prefixPlace]timer.Millis{}}
}

func (p *prefixes) note(key uint64, server string, now timer.Millis) {
	if key == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rows) >= maxPrefixes {
		for place, at := range p.rows {
			if now-at > prefixSpan {
				delete(p.rows, place)
			}
		}
		if len(p.rows) >= maxPrefixes {
			clear(p.rows)
		}
	}
	p.rows[prefixPlace{key, server}] = now
}

func (p *prefixes) holds(key uint64, server string, now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.rows[prefixPlace{key, server}]
	return ok && now-at < prefixSpan
}
