package forwarder

import (
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a request that still waits for a server when the instance stops, and is cut off without an answer.
func TestWaitingRequestIsAnsweredBeforeTheStop(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce, TargetLatency: 4 * timer.Second}, map[string]*fakeServer{"s": {respond: replyDone}})
	env.serve(Request{})
	env.rest("s", 3*timer.Second)
	start := env.f.deps.Telemetry.Clock.Now()
	stopsAt := start + 500*timer.Millisecond
	env.f.deps.StopsAt = func() timer.Millis { return stopsAt }
	rec, broken := env.serve(Request{})
	if took := env.f.deps.Telemetry.Clock.Now() - start; broken || rec.Code != http.StatusServiceUnavailable || took >= 500*timer.Millisecond {
		t.Fatalf("got %d after %d ms, broken off %t; want 503 before the stop", rec.Code, took, broken)
	}
}

// Guards against an instance that refuses what it could answer before it stops.
func TestRequestThatCanBeFinishedIsServedDuringStop(t *testing.T) {
	tests := map[string]struct {
		usual, left, timeLimit timer.Millis
		kind                   matcher.RouteKind
		canFinish              bool
	}{
		"its time limit ends first":                {0, 1000, 900, matcher.KindAtMostOnce, true},
		"usually four times as fast":               {200, 1000, 5000, matcher.KindAtMostOnce, true},
		"may not be repeated, may take longer":     {400, 1000, 5000, matcher.KindAtMostOnce, false},
		"may be repeated, usually fast enough":     {400, 1000, 5000, matcher.KindIdempotent, true},
		"may be repeated, usually takes longer":    {800, 1000, 5000, matcher.KindIdempotent, false},
		"nothing is known about how long it takes": {0, 1000, 5000, matcher.KindAtMostOnce, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const now = 1000 * timer.Second
			env := newTestEnv(t, matcher.Route{Kind: tt.kind}, map[string]*fakeServer{"s": {respond: replyDone}})
			env.f.deps.StopsAt = func() timer.Millis { return now + tt.left }
			task := &task{Request: &Request{}, f: env.f, route: &env.policy.Routes[0], deadline: now + tt.timeLimit}
			if tt.usual > 0 {
				env.f.answerTime(task).add(float64(tt.usual))
			}
			if got := task.canFinish(now); got != tt.canFinish {
				t.Fatalf("got %t, want %t", got, tt.canFinish)
			}
		})
	}
}
