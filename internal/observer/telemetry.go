package observer

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Telemetry bundles the logger, the metrics registry and the clock that an instance shares with its components.
type Telemetry struct {
	Log     hclog.Logger
	Metrics metrics.Registry
	Clock   timer.Clock
}

// NewTelemetry returns a Telemetry that reads the system clock and logs to w from the given level up, as JSON if
// jsonFormat is set.
func NewTelemetry(name string, w io.Writer, level string, jsonFormat bool) Telemetry {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Output:     w,
		Level:      hclog.LevelFromString(level),
		JSONFormat: jsonFormat,
	})
	return Telemetry{Log: logger, Metrics: metrics.NewRegistry(), Clock: timer.NewSystemClock()}
}

// NewDiscard returns a Telemetry that discards log lines and reads the given clock.
func NewDiscard(clock timer.Clock) Telemetry {
	return Telemetry{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Clock: clock}
}

// WithClock returns a copy that reads the given clock.
func (t Telemetry) WithClock(clock timer.Clock) Telemetry {
	t.Clock = clock
	return t
}

const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// Histogram returns the named histogram and registers it on first use.
func (t Telemetry) Histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, t.Metrics, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}

// Counter returns the named counter and registers it on first use.
func (t Telemetry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.Metrics)
}

// Gauge returns the named gauge and registers it on first use.
func (t Telemetry) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, t.Metrics)
}
