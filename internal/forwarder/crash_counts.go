package forwarder

import (
	"context"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// crashCounts counts for each request digest the servers that could not be reached after they received the request.
type crashCounts struct {
	mu               sync.Mutex
	serversByRequest map[uint64]int
}

func newCrashCounts() *crashCounts {
	return &crashCounts{serversByRequest: map[uint64]int{}}
}

const (
	// maxCrashes is the number of crashed servers after which a request is no longer sent to any server.
	maxCrashes = 2
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
	counts := t.f.crashCounts
	counts.mu.Lock()
	if len(counts.serversByRequest) > maxTrackedRequests {
		counts.serversByRequest = map[uint64]int{}
	}
	counts.serversByRequest[digest]++
	n := counts.serversByRequest[digest]
	counts.mu.Unlock()
	t.f.deps.Telemetry.Log.Warn("backend server went down under a request", "request", t.ID, "server", s.Name, "times", n,
		"error", err)
	if n >= maxCrashes {
		t.f.deps.OnCrashingRequest(digest)
	}
}

// hasCrashedServers reports whether the request has crashed maxCrashes servers.
func (t *task) hasCrashedServers() bool {
	counts := t.f.crashCounts
	counts.mu.Lock()
	defer counts.mu.Unlock()
	return len(counts.serversByRequest) > 0 && counts.serversByRequest[t.Digest()] >= maxCrashes
}
