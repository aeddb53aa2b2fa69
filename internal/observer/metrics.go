package observer

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// MetricsHandler serves all registered metrics as plain text.
func MetricsHandler(telemetry Telemetry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(telemetry.Metrics, w)
	})
}
