package limiter

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// logInterval is the time between two log lines on pressure: a crowd must not fill the log.
const logInterval = timer.Second

// Pressure counts the callers that gave way or were refused, and logs them.
type Pressure struct {
	telemetry observer.Telemetry
	name      string
	mu        sync.Mutex
	loggedAt  timer.Millis
	evictions int
	refusals  int
}

// NewPressure returns a Pressure; name tells in metrics and logs where the callers came.
func NewPressure(telemetry observer.Telemetry, name string) *Pressure {
	return &Pressure{telemetry: telemetry, name: name}
}

func (p *Pressure) recordEviction() {
	p.telemetry.Counter(p.name + ".evicted").Inc(1)
	p.record(1, 0)
}

func (p *Pressure) recordRefusal() {
	p.telemetry.Counter(p.name + ".refused").Inc(1)
	p.record(0, 1)
}

func (p *Pressure) record(evictions, refusals int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evictions += evictions
	p.refusals += refusals
	now := p.telemetry.Clock.Now()
	if now-p.loggedAt < logInterval {
		return
	}
	p.loggedAt = now
	p.telemetry.Log.Warn("callers hold too much", "at", p.name, "gave-way", p.evictions, "refused", p.refusals)
	p.evictions, p.refusals = 0, 0
}
