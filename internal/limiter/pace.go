package limiter

import "github.com/eelgrasshook/eelgrasshook/pkg/timer"

// Pace is how slowly a request may arrive before it has to give way to others.
type Pace struct {
	// Grace is the time that every request has, and Rate the bytes per second that have to come after it.
	Grace timer.Millis
	Rate  int64
}

// arrival is what has come of a request so far.
type arrival struct {
	startedAt, progressAt timer.Millis
	bytes                 int64
}

// isLate reports whether nothing has come for stallTime, or less than a caller with a slow connection would have sent.
func (p Pace) isLate(a arrival, now timer.Millis) bool {
	if now-a.progressAt >= stallTime {
		return true
	}
	return p.Rate > 0 && now-a.startedAt > p.Grace+timer.Millis(a.bytes*int64(timer.Second)/p.Rate)
}
