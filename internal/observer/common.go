package observer

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Common bundles the logger, the metrics registry and the clock that an instance shares with its components.
type Common struct {
	Log     hclog.Logger
	Metrics metrics.Registry
	Clock   timer.Clock
}

// NewCommon returns a Common that reads the system clock and logs to w from the given level up, as JSON if jsonFormat
// is set.
func NewCommon(name string, w io.Writer, level string, jsonFormat bool) Common {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Output:     w,
		Level:      hclog.LevelFromString(level),
		JSONFormat: jsonFormat,
	})
	return Common{Log: logger, Metrics: metrics.NewRegistry(), Clock: timer.NewClock()}
}

// NewQuiet returns a Common that discards log lines and reads the given clock.
func NewQuiet(clock timer.Clock) Common {
	return Common{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Clock: clock}
}

// WithClock returns a copy that reads the given clock.
func (c Common) WithClock(clock timer.Clock) Common {
	c.Clock = clock
	return c
}

const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// Histogram returns the named histogram and registers it on first use.
func (c Common) Histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, c.Metrics, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}

// Counter returns the named counter and registers it on first use.
func (c Common) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.Metrics)
}

// Gauge returns the named gauge and registers it on first use.
func (c Common) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, c.Metrics)
}
