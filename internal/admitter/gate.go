package admitter

import (
	"context"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// pollInterval is the time between checks of a pool's free capacity while a request waits for it. Polling is needed
// because this instance is not notified when requests of other instances end.
const pollInterval = 50 * timer.Millisecond

// gate is a fair queue with a lock. The limit of a pool's gate follows the free capacity of its servers.
type gate struct {
	telemetry observer.Telemetry
	maxWait   timer.Millis
	// limits returns the maximum number of running and of waiting requests. It is nil for a pool, because each request
	// to a pool passes a CapacityFunc.
	limits func() (running, waiting int)
	mu     sync.Mutex
	queue  *Queue
}

func newGate(telemetry observer.Telemetry, maxWait timer.Millis, limits func() (int, int)) *gate {
	g := &gate{telemetry: telemetry, maxWait: maxWait, limits: limits, queue: NewQueue(0, 0)}
	if limits != nil {
		running, waiting := limits()
		g.queue.SetLimit(running, waiting, telemetry.Clock.Now())
	}
	return g
}

// Ticket permits one request to run until the ticket is released.
type Ticket struct {
	gate         *gate
	workspace    string
	poolCapacity CapacityFunc
	once         sync.Once
}

// Release ends the request, so that the next one may run; further calls do nothing.
func (t *Ticket) Release() {
	t.once.Do(func() { t.gate.release(t.workspace, t.poolCapacity) })
}

func (g *gate) counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.InFlight(), g.queue.Waiting()
}

func (g *gate) admit(ctx context.Context, req *receiver.Request) (*Ticket, error) {
	return g.admitWithCapacity(ctx, req, nil)
}

func (g *gate) admitWithCapacity(ctx context.Context, req *receiver.Request, capacity CapacityFunc) (*Ticket, error) {
	verdicts := make(chan Verdict, 1)
	expires := min(req.Deadline, g.telemetry.Clock.Now()+g.maxWait)
	e := NewEntry(req.Workspace.Name, req.Priority(), expires, func(v Verdict) { verdicts <- v })
	g.push(req, e, capacity)
	verdict, err := g.wait(ctx, e, verdicts, capacity)
	if err != nil {
		return nil, err
	}
	if verdict == VerdictAdmitted {
		return &Ticket{gate: g, workspace: e.workspace, poolCapacity: capacity}, nil
	}
	return nil, newRefusal(verdict)
}

func (g *gate) push(req *receiver.Request, e *Entry, poolCapacity CapacityFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimitLocked(poolCapacity)
	g.queue.Push(req.Workspace, e, g.telemetry.Clock.Now())
}

// updateLimitLocked sets a pool's limits from the capacity of its servers. The caller holds mu.
func (g *gate) updateLimitLocked(poolCapacity CapacityFunc) {
	if poolCapacity == nil {
		return
	}
	free, capacity := poolCapacity()
	g.queue.SetLimit(g.queue.InFlight()+free, waitingPerRunning*max(capacity, 1), g.telemetry.Clock.Now())
}

func (g *gate) wait(ctx context.Context, e *Entry, verdicts chan Verdict, poolCapacity CapacityFunc) (Verdict, error) {
	for {
		select {
		case v := <-verdicts:
			return v, nil
		default:
		}
		remaining := e.expires - g.telemetry.Clock.Now()
		if remaining <= 0 {
			return g.abandon(e, verdicts, VerdictExpired), nil
		}
		if poolCapacity != nil {
			remaining = min(remaining, pollInterval)
		}
		select {
		case v := <-verdicts:
			return v, nil
		case <-g.telemetry.Clock.After(remaining):
			g.updateLimit(poolCapacity)
		case <-ctx.Done():
			if g.abandon(e, verdicts, VerdictExpired) == VerdictAdmitted {
				g.release(e.workspace, poolCapacity)
			}
			return 0, receiver.NewRefusal(StatusCallerLeft, "caller-left", "the caller left while the request waited")
		}
	}
}

func (g *gate) updateLimit(poolCapacity CapacityFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimitLocked(poolCapacity)
}

// abandon removes the request from the queue and returns v. If the request already has a verdict, it returns that one.
func (g *gate) abandon(e *Entry, verdicts chan Verdict, v Verdict) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(e) {
		return v
	}
	return <-verdicts
}

// release ends a request and starts the next one. For a pool it updates the limit first: other instances may have
// overloaded the servers, and passing each slot on without a check would keep them overloaded for ever.
func (g *gate) release(workspace string, poolCapacity CapacityFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if poolCapacity == nil {
		g.queue.Release(workspace, g.telemetry.Clock.Now())
		return
	}
	g.queue.Finish(workspace, g.telemetry.Clock.Now())
	g.updateLimitLocked(poolCapacity)
}
