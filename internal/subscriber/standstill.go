package subscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// standstillThreshold is the time without a round of the control goroutine after which the process counts as having
	// stood still: it was stopped, or its machine was suspended. The goroutine has a round every prefillReportInterval.
	standstillThreshold = 1200 * timer.Millisecond
	// syncTimeout bounds the wait for a control instance after a standstill. A data centre that is cut off from all of them
	// goes on with what it knows.
	syncTimeout = timer.Second
	// syncPollInterval is the time between looks at whether the control goroutine has noticed the standstill.
	syncPollInterval = 2 * timer.Millisecond
)

// standstill detects that the process has stood still. What it knew before may no longer hold then: keys may have been
// revoked, servers may have left and their addresses may belong to others.
type standstill struct {
	clock timer.Clock
	// wallClock returns the time of day in milliseconds. The steady clock does not advance while a machine is suspended.
	wallClock func() int64
	// roundAt and wallRoundAt are the times of the last round of the control goroutine.
	roundAt, wallRoundAt atomic.Int64
	// syncing is true from the moment at which the control goroutine notices a standstill until the view is current again.
	syncing atomic.Bool
	mu      sync.Mutex
	synced  chan struct{}
}

func newStandstill(clock timer.Clock) *standstill {
	s := &standstill{clock: clock, wallClock: func() int64 { return time.Now().UnixMilli() }}
	s.recordRound(s.now())
	return s
}

// instant is one moment by both clocks, in milliseconds.
type instant struct {
	steady, wall int64
}

func (s *standstill) now() instant {
	return instant{int64(s.clock.Now()), s.wallClock()}
}

// recordRound records a round of the control goroutine.
func (s *standstill) recordRound(at instant) {
	s.roundAt.Store(at.steady)
	s.wallRoundAt.Store(at.wall)
}

// stoodStillAt reports whether the last round is so long ago that the process must have stood still. A step of the time of
// day looks the same and costs no more than one exchange with a control instance.
func (s *standstill) stoodStillAt(at instant) bool {
	return at.steady-s.roundAt.Load() > int64(standstillThreshold) || at.wall-s.wallRoundAt.Load() > int64(standstillThreshold)
}

func (s *standstill) stoodStill() bool {
	return s.stoodStillAt(s.now())
}

// begin makes requests wait until end is called, for syncTimeout at most.
func (s *standstill) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncing.Load() {
		s.synced = make(chan struct{})
		s.syncing.Store(true)
	}
}

func (s *standstill) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.syncing.Load() {
		s.syncing.Store(false)
		close(s.synced)
	}
}

// await waits until the view is current if the process has stood still, and reports whether it had to.
func (s *standstill) await(ctx context.Context) bool {
	if !s.syncing.Load() && !s.stoodStill() {
		return false
	}
	deadline := s.clock.Now() + syncTimeout
	for s.stoodStill() && s.clock.Now() < deadline {
		if s.clock.Sleep(ctx, syncPollInterval) != nil {
			return true
		}
	}
	s.mu.Lock()
	synced := s.synced
	s.mu.Unlock()
	if !s.syncing.Load() {
		return true
	}
	select {
	case <-synced:
	case <-s.clock.After(max(0, deadline-s.clock.Now())):
	case <-ctx.Done():
	}
	return true
}

// AwaitCurrent waits after a standstill of the process until a control instance has told this one what it has missed, and
// reports whether the process had stood still. It gives up after a second, or when the context ends.
func (s *Subscriber) AwaitCurrent(ctx context.Context) bool {
	return s.standstill.await(ctx)
}

// checkStandstill asks all control instances for what was missed if the process has stood still.
func (s *Subscriber) checkStandstill() {
	// The process may stop anywhere in here: a round that is recorded with a later time would hide that.
	at := s.standstill.now()
	if s.standstill.stoodStillAt(at) {
		s.syncNumber++
		s.syncUntil = s.deps.Telemetry.Clock.Now() + syncTimeout
		s.deps.Telemetry.Log.Warn("the process stood still; requests wait for the control instances", "links", len(s.links))
		s.standstill.begin()
		s.broadcast(messenger.Packet{SyncRequest: s.syncNumber})
	}
	if s.syncUntil > 0 && s.deps.Telemetry.Clock.Now() >= s.syncUntil {
		s.deps.Telemetry.Log.Warn("no control instance answered after the standstill; serving with what is known")
		s.endSync()
	}
	s.standstill.recordRound(at)
}

// finishSync lets requests go on once the view that came with the reply is published.
func (s *Subscriber) finishSync() {
	if s.syncReplied {
		s.syncReplied = false
		s.endSync()
	}
}

func (s *Subscriber) endSync() {
	s.syncUntil = 0
	s.standstill.end()
}
