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

func newRequestMetrics(c observer.Telemetry) requestMetrics {
	return requestMetrics{
		requestMillis:       c.Histogram("request.ms"),
		firstTokenMillis:    c.Histogram("first-token.ms"),
		betweenTokensMicros: c.Histogram("between-tokens.us"),
		placementMicros:     c.Histogram("placement.us"),
		requestsServed:      c.Counter("requests.served"),
		chunksRelayed:       c.Counter("chunks.relayed"),
		chunksDropped:       c.Counter("chunks.dropped"),
		attempts:            c.Counter("attempts"),
		retries:             c.Counter("attempts.retries"),
		attemptsResumed:     c.Counter("attempts.resumed"),
		answerFaults:        c.Counter("answers.faults"),
	}
}
