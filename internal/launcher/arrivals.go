package launcher

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// quietSpan is the time without a new connection or request after which a stopping instance no longer accepts any:
	// the balancer and the callers have noticed the stop.
	quietSpan = 700 * timer.Millisecond
	// maxSilentSpan is how long a new connection may be silent before it no longer delays the stop: some callers open
	// connections in advance.
	maxSilentSpan = 1500 * timer.Millisecond
	// quietPollInterval is the time between checks for new connections during a stop.
	quietPollInterval = 50 * timer.Millisecond
)

// arrivals tracks new connections and requests of a listener. http.Server.Shutdown closes the listener at once and cuts
// off connections that were accepted but whose first request was not read completely.
type arrivals struct {
	clock timer.Clock
	mu    sync.Mutex
	// acceptedAt is when each connection that has not carried a request was accepted.
	acceptedAt map[net.Conn]timer.Millis
	// lastAt is the time of the last new connection or request.
	lastAt timer.Millis
}

func newArrivals(clock timer.Clock) *arrivals {
	return &arrivals{clock: clock, acceptedAt: map[net.Conn]timer.Millis{}}
}

// recordState is the ConnState hook of an http.Server.
func (a *arrivals) recordState(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		a.lastAt = a.clock.Now()
		a.acceptedAt[conn] = a.lastAt
		return
	case http.StateActive:
		a.lastAt = a.clock.Now()
	}
	delete(a.acceptedAt, conn)
}

// areQuiet reports whether nothing has arrived for quietSpan and no new connection waits for its first request.
func (a *arrivals) areQuiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, at := range a.acceptedAt {
		if now-at < maxSilentSpan {
			return false
		}
	}
	return now-a.lastAt >= quietSpan
}

// awaitQuiet waits until nothing arrives any more or the context ends.
func (a *arrivals) awaitQuiet(ctx context.Context) {
	for !a.areQuiet() {
		if a.clock.Sleep(ctx, quietPollInterval) != nil {
			return
		}
	}
}
