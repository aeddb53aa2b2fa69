package steward

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Stop announces the stop to the connected instances, transfers leadership if that is possible in time, and ends the goroutines.
// Links that other instances opened stay until CloseLinks, for the replies to calls in flight.
func (s *Steward) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.enqueue(func() {
		greeting := s.newGreeting()
		for conn := range s.connections {
			conn.Send(messenger.Packet{Greeting: &greeting})
		}
	})
	err := s.deps.Record.TransferLeadership(ctx)
	if err == nil {
		err = s.deps.Telemetry.Clock.Sleep(ctx, leaderTransferWait)
	}
	if err != nil {
		// The others elect a leader once they miss this one.
		s.deps.Telemetry.Log.Warn("leadership not handed over before the stop", "error", err)
	}
	s.tomb.Kill(nil)
	return trace.NewAggregate(s.dialer.Stop(), s.tomb.Wait())
}

// CloseLinks closes the links that are left after Stop.
func (s *Steward) CloseLinks() {
	for conn := range s.connections {
		conn.Close()
	}
}

// leaderTransferWait lets a new leader be elected before the links close; an election among healthy voters takes
// two round trips.
const leaderTransferWait = 300 * timer.Millisecond
