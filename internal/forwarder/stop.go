package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// onceMargin and repeatMargin are the multiples of a route's usual time that must be left before the instance stops. A request
	// that may not be repeated leaves its caller in doubt when it is cut off; any other one can go on elsewhere.
	onceMargin   = 4
	repeatMargin = 1.5
)

// stoppingReason is the reason for refusing a request that the instance cannot finish.
const stoppingReason = "the instance stops before it can answer"

// canFinish reports whether the request will probably be answered before the instance stops.
func (t *task) canFinish(now timer.Millis) bool {
	stopsAt := t.f.deps.StopsAt()
	if stopsAt == 0 || t.deadline <= stopsAt {
		return true
	}
	margin := onceMargin * 1.0
	if t.route.IsRetryable() {
		margin = repeatMargin
	}
	usual, count := t.f.answerTime(t).get()
	return count > 0 && float64(now)+margin*usual <= float64(stopsAt)
}

// isAboutToStop reports whether a request that still waits for a server must be answered now.
func (f *Forwarder) isAboutToStop(now timer.Millis) bool {
	stopsAt := f.deps.StopsAt()
	return stopsAt > 0 && now+2*slotPollInterval >= stopsAt
}
