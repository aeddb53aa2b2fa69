package router

import (
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
)

// requestMetrics caches the metrics of the request path, so that no request looks them up by name.
type requestMetrics struct {
	requestMillis       metrics.Histogram
	firstTokenMillis    metrics.Histogram
	betweenTokensMicros metrics.Histogram
	placementMicros     metrics.Histogram
	requestsServed      metrics.Counter
	chunksRelayed       metrics.Counter
	chunksDropped       metrics.Counter
	attempts            metrics.Counter
	retries             metrics.Counter
	attemptsResumed     metrics.Counter
	answerFaults        metrics.Counter
}

func newRequestMetrics(telemetry observer.Telemetry) requestMetrics {
	return requestMetrics{
		requestMillis:       telemetry.Histogram("request.ms"),
		firstTokenMillis:    telemetry.Histogram("first-token.ms"),
		betweenTokensMicros: telemetry.Histogram("between-tokens.us"),
		placementMicros:     telemetry.Histogram("placement.us"),
		requestsServed:      telemetry.Counter("requests.served"),
		chunksRelayed:       telemetry.Counter("chunks.relayed"),
		chunksDropped:       telemetry.Counter("chunks.dropped"),
		attempts:            telemetry.Counter("attempts"),
		retries:             telemetry.Counter("attempts.retries"),
		attemptsResumed:     telemetry.Counter("attempts.resumed"),
		answerFaults:        telemetry.Counter("answers.faults"),
	}
}
