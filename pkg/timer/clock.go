package timer

import (
	"context"
	"time"
)

// Millis is a duration, or a time since the Unix epoch, in milliseconds.
type Millis int64

// Durations in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats a duration with its unit.
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts a time.Duration to milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Tick is the time that the channel of Clock.After delivers.
type Tick = time.Time

// Clock reads the time and waits; both are function fields so that tests can replace them.
type Clock struct {
	// Now returns the time since the Unix epoch.
	Now func() Millis
	// After returns a channel that receives a value once the given duration has elapsed.
	After func(Millis) <-chan Tick
}

// NewSystemClock returns a clock that reads the system time once and then follows the monotonic clock, so that later
// changes of the system time do not affect it.
func NewSystemClock() Clock {
	start := time.Now()
	return Clock{
		Now:   func() Millis { return Millis(start.UnixMilli()) + FromDuration(time.Since(start)) },
		After: func(m Millis) <-chan Tick { return time.After(m.Duration()) },
	}
}

// Sleep waits for the given duration; if the context ends first, it returns the context's error.
func (c Clock) Sleep(ctx context.Context, d Millis) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}
