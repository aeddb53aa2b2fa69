package bencher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	leavingCallers  = 32
	leavingTokens   = 100
	leavingInterval = 5 * timer.Millisecond
	leaveTimeout    = 30 * time.Second
	// settleTime is long enough for each caller to have a request in flight before the server leaves.
	settleTime = time.Second
)

// leaveStats counts the requests and failures that callers see while a backend server leaves.
type leaveStats struct {
	mu        sync.Mutex
	requests  int
	failed    int
	durations []time.Duration
}

func (s *leaveStats) record(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if err != nil {
		s.failed++
		return
	}
	s.durations = append(s.durations, took)
}

// measureLeave lets one of two servers leave under load and prints how long it takes and how many requests fail.
func (b *Bench) measureLeave(ctx context.Context) error {
	var servers []*imitator.Engine
	for _, name := range []string{"leaver", "stayer"} {
		e, err := b.addEngine(name, imitator.EngineConfig{BetweenTokens: leavingInterval}, b.cfg.EngineName)
		if err != nil {
			return err
		}
		servers = append(servers, e)
	}
	err := b.fleet.WaitFor("both servers", func() bool { return b.hasServer("leaver") && b.hasServer("stayer") })
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	stats := &leaveStats{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	c := b.fleet.NewCaller(0, b.cfg.Workspace)
	for n := range leavingCallers {
		wg.Go(func() { b.sendUntil(ctx, c, n, stop, stats) })
	}
	time.Sleep(settleTime)
	start := time.Now()
	leaveErr := servers[0].Leave(ctx)
	took := time.Since(start)
	late := b.runsAfter(servers[0], start)
	time.Sleep(settleTime)
	close(stop)
	wg.Wait()
	b.printLine("one of two servers leaves under %d streams of %s: gone after %d ms, %d requests began there later than 100 ms after the announcement, %d of %d requests failed",
		leavingCallers, leavingInterval*leavingTokens, took.Milliseconds(), late, stats.failed, stats.requests)
	return trace.NewAggregate(leaveErr, servers[1].Crash())
}

// runsAfter counts the requests that started on a server after every instance must have received the announcement that
// it leaves.
func (b *Bench) runsAfter(e *imitator.Engine, announcedAt time.Time) int {
	const noticeTime = 100 * time.Millisecond
	late := slices.DeleteFunc(e.Runs(), func(r imitator.Run) bool { return r.StartedAtMillis <= announcedAt.Add(noticeTime).UnixMilli() })
	return len(late)
}

func (b *Bench) sendUntil(ctx context.Context, c *caller.Caller, n int, stop chan struct{}, stats *leaveStats) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		default:
		}
		start := time.Now()
		_, err := c.Chat(ctx, caller.Prompt{Model: b.cfg.Model, Text: fmt.Sprintf("leave %d %d", n, turn), MaxTokens: leavingTokens, Stream: true})
		stats.record(time.Since(start), err)
	}
}
