package admitter

import (
	"context"
	"net/http"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// waitingPerRunning is the maximum number of waiting requests for each request that may run at once, on the instance or
// in a pool.
const waitingPerRunning = 2

// Limits holds the limits of an instance: the requests that run at once, and how long a request may wait, in
// milliseconds.
type Limits struct {
	MaxInFlight int
	MaxWait     timer.Millis
}

// Admitter queues requests and issues tickets. It has one queue for the instance and one for each pool of backend
// servers.
type Admitter struct {
	telemetry    observer.Telemetry
	limits       Limits
	instanceGate *gate
	mu           sync.Mutex
	poolGates    map[string]*gate
}

// NewAdmitter returns an admitter with empty queues.
func NewAdmitter(telemetry observer.Telemetry, limits Limits) *Admitter {
	a := &Admitter{telemetry: telemetry, limits: limits, poolGates: map[string]*gate{}}
	a.instanceGate = newGate(telemetry, limits.MaxWait,
		func() (int, int) { return limits.MaxInFlight, waitingPerRunning * limits.MaxInFlight })
	return a
}

// Admit waits until the request may run on the instance; the error is a refusal of a request that did not run.
func (a *Admitter) Admit(ctx context.Context, req *receiver.Request) (*Ticket, error) {
	start := a.telemetry.Clock.Now()
	t, err := a.instanceGate.admit(ctx, req)
	a.telemetry.Histogram("queue.ms").Update(int64(a.telemetry.Clock.Now() - start))
	return t, err
}

// CapacityFunc returns how many more requests a pool of backend servers can run now, and how many it can run in total.
type CapacityFunc func() (free, capacity int)

// AdmitToPool waits until the request may run in a pool; the error is a refusal of a request that did not run. Requests
// wait here, fairly and by priority, and not at the servers.
func (a *Admitter) AdmitToPool(ctx context.Context, pool string, capacity CapacityFunc,
	req *receiver.Request) (*Ticket, error) {
	start := a.telemetry.Clock.Now()
	t, err := a.poolGate(pool).admitWithCapacity(ctx, req, capacity)
	a.telemetry.Histogram("pool-queue.ms").Update(int64(a.telemetry.Clock.Now() - start))
	return t, err
}

func (a *Admitter) poolGate(name string) *gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.poolGates[name]
	if g == nil {
		g = newGate(a.telemetry, a.limits.MaxWait, nil)
		a.poolGates[name] = g
	}
	return g
}

// InFlight returns the number of requests that run on the instance and the number that wait for it or for a pool.
func (a *Admitter) InFlight() (running, waiting int) {
	running, waiting = a.instanceGate.counts()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.poolGates {
		_, w := g.counts()
		waiting += w
	}
	return running, waiting
}

// StatusCallerLeft is the HTTP status recorded when the caller disconnects before the answer.
const StatusCallerLeft = 499

func newRefusal(v Verdict) *receiver.Refusal {
	r := receiver.NewRefusal(http.StatusServiceUnavailable, "overloaded", "more urgent requests fill the queue")
	switch v {
	case VerdictWorkspaceFull:
		r = receiver.NewRefusal(http.StatusTooManyRequests, "workspace-limit", "the workspace has as many requests running and waiting as it may")
	case VerdictWaitTooLong:
		r = receiver.NewRefusal(http.StatusServiceUnavailable, "overloaded", "the wait would take too much of the request's time")
	case VerdictExpired:
		r = receiver.NewRefusal(http.StatusGatewayTimeout, "waited-too-long", "the request's time passed before a place was free")
	}
	r.RetryAfterSeconds = 1
	return r
}
