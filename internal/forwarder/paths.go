package forwarder

import (
	"context"
	"errors"

	"github.com/eelgrasshook/eelgrasshook/internal/pathfinder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// HandlePathChange closes the idle direct connections to the servers that are reached through other instances now: they may
// have gone silent. Requests in flight keep theirs.
func (f *Forwarder) HandlePathChange() {
	for _, list := range f.fleetView.Load().servers {
		for _, s := range list {
			if f.deps.Paths.IsDetour(s.Address) {
				s.pool.CloseDirect()
			}
		}
	}
}

// IsServer reports whether an address is that of a backend server that is not gone.
func (f *Forwarder) IsServer(address string) bool {
	return f.fleetView.Load().addresses[address]
}

// recordBrokenAttempt records an attempt whose connection broke or went silent. It counts against the server only if the way
// there is sound: otherwise an instance that is cut off would have healthy servers avoided, sound versions rolled back and
// sound requests blocked in the whole fleet.
func (t *task) recordBrokenAttempt(ctx context.Context, x *exchange, now timer.Millis) {
	if x.isDetour {
		// The fault may lie with the server, the other instance or the way between them.
		x.server.recordFailure(now, true)
		return
	}
	probeErr := x.server.probe(ctx, now, t.f.deps.Telemetry.Clock.Now)
	if t.f.deps.Paths.IsDetour(x.server.Address) || errors.Is(probeErr, pathfinder.ErrUnconfirmed) {
		t.f.deps.Telemetry.Counter("requests.broken-by-path").Inc(1)
		return
	}
	t.recordServerFailure(x.server, now)
	t.recordBrokenConn(x.server, now)
	t.recordCrash(x, probeErr)
}
