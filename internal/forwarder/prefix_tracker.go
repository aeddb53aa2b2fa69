package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// prefixTTL is how long a prefix is assumed to be in the cache of a server that has received it.
	prefixTTL = 15 * timer.Second
	// maxPrefixLocations bounds the stored pairs of prefix and server.
	maxPrefixLocations = 8192
)

// prefixTracker records to which servers this instance has sent the shared parts of prompts.
type prefixTracker struct {
	mu     sync.Mutex
	sentAt map[prefixLocation]timer.Millis
}

// prefixLocation is a prefix at one server.
type prefixLocation struct {
	key    uint64
	server string
}

func newPrefixTracker() *prefixTracker {
	return &prefixTracker{sentAt: map[prefixLocation]timer.Millis{}}
}

func (p *prefixTracker) recordSent(key uint64, server string, now timer.Millis) {
	if key == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sentAt) >= maxPrefixLocations {
		for location, at := range p.sentAt {
			if now-at > prefixTTL {
				delete(p.sentAt, location)
			}
		}
		if len(p.sentAt) >= maxPrefixLocations {
			clear(p.sentAt)
		}
	}
	p.sentAt[prefixLocation{key, server}] = now
}

// isCached reports whether the server received the prefix within prefixTTL.
func (p *prefixTracker) isCached(key uint64, server string, now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.sentAt[prefixLocation{key, server}]
	return ok && now-at < prefixTTL
}
