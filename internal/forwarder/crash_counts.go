package forwarder

import (
	"context"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// crashCounts counts for each request digest the servers that could not be reached after they received the request.
type crashCounts struct {
	mu               sync.Mutex
	serversByRequest map[uint64]crashCount
}

// crashCount is the number of servers that went down under a request, and the time of the last, in milliseconds.
type crashCount struct {
	servers int
	lastAt  timer.Millis
}

func newCrashCounts() *crashCounts {
	return &crashCounts{serversByRequest: map[uint64]crashCount{}}
}

// add counts a crash and returns the number of crashes within crashMemory of each other.
func (c *crashCounts) add(digest uint64, now timer.Millis) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.serversByRequest) > maxTrackedRequests {
		clear(c.serversByRequest)
	}
	count := c.serversByRequest[digest]
	if now-count.lastAt > crashMemory {
		count.servers = 0
	}
	count = crashCount{servers: count.servers + 1, lastAt: now}
	c.serversByRequest[digest] = count
	return count.servers
}

// blocks reports whether the request has crashed maxCrashes servers lately.
func (c *crashCounts) blocks(digest func() uint64, now timer.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.serversByRequest) == 0 {
		return false
	}
	count := c.serversByRequest[digest()]
	return count.servers >= maxCrashes && now-count.lastAt <= crashMemory
}

const (
	// maxCrashes is the number of crashed servers after which a request is no longer sent to any server.
	maxCrashes = 2
	// crashMemory is how long a crash counts: a server that went down under a request once an hour is a coincidence, a
	// caller that sends a request again does so within seconds.
	crashMemory = 10 * timer.Minute
	// maxTrackedRequests bounds the requests whose crashes are counted.
	maxTrackedRequests = 4096
	// probeTimeout is how long a server may take to accept a connection; the round trip to the farthest takes tens of
	// milliseconds.
	probeTimeout = 150 * timer.Millisecond
)

// recordCrash counts a crash if the server accepts no connection after it received the request, and reports the
// request to the fleet after maxCrashes crashes.
func (t *task) recordCrash(ctx context.Context, s *server) {
	probe, err := s.pool.Open(ctx, probeTimeout)
	if err == nil {
		s.pool.Put(probe)
		return
	}
	digest := t.Digest()
	n := t.f.crashCounts.add(digest, t.f.deps.Telemetry.Clock.Now())
	t.f.deps.Telemetry.Log.Warn("backend server went down under a request", "request", t.ID, "server", s.Name, "times", n,
		"error", err)
	if n >= maxCrashes {
		t.f.deps.OnCrashingRequest(digest)
	}
}

// hasCrashedServers reports whether the request has crashed maxCrashes servers.
func (t *task) hasCrashedServers() bool {
	return t.f.crashCounts.blocks(t.Digest, t.f.deps.Telemetry.Clock.Now())
}
