package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// closedAfter returns for how long the other end of a connection stays open.
func closedAfter(conn net.Conn) time.Duration {
	startedAt := time.Now()
	_, _ = conn.Read(make([]byte, 1))
	return time.Since(startedAt)
}

// Guards against two servers that work on one stream at the same time, and against streams that wait for a dead server as long as for
// a slow one.
func TestDeadServerIsLeftOnceAnotherHasTakenTheStream(t *testing.T) {
	tests := map[string]struct {
		// firstByte is how long the second server takes to its first byte.
		firstByte time.Duration
	}{
		"the second server answers at once":   {0},
		"the second server reads the prompt":  {600 * time.Millisecond},
		"the second server answers very late": {900 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var takenAt atomic.Int64
			overlap := make(chan time.Duration, 1)
			dead := func(_ int, _ *http.Request, w io.Writer) bool {
				closedAfter(w.(net.Conn))
				overlap <- time.Duration(time.Now().UnixNano() - takenAt.Load())
				return false
			}
			second := func(_ int, r *http.Request, w io.Writer) bool {
				takenAt.Store(time.Now().UnixNano())
				time.Sleep(tt.firstByte)
				return pausingStream(0)(0, r, w)
			}
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": {respond: dead}, "s2": {respond: second}})
			env.connect = env.connectTCP
			env.f.serversByName["s2"].DataCentre = "b"
			startedAt := time.Now()
			if cut := env.serveAtOnce(1); cut != 0 || env.sentRequests() != 2 {
				t.Fatalf("broken off %d, sent %d requests, want 2", cut, env.sentRequests())
			}
			// The first server is given up after deadTimeout at the latest poll.
			limit := deadTimeout.Duration() + 2*responsePollInterval.Duration() + tt.firstByte + 200*time.Millisecond
			if took := time.Since(startedAt); took > limit {
				t.Errorf("the stream took %s, want at most %s", took, limit)
			}
			const maxOverlap = 400 * time.Millisecond
			if d := <-overlap; d < 0 || d > maxOverlap {
				t.Errorf("both servers had the stream for %s, want 0 to %s", d, maxOverlap)
			}
		})
	}
}

// Guards against events of two servers in one stream when the first one goes on just after another one has got the request.
func TestServerThatGoesOnDuringTheTakeoverKeepsTheStream(t *testing.T) {
	taken := make(chan time.Duration, 1)
	second := func(_ int, _ *http.Request, w io.Writer) bool {
		taken <- closedAfter(w.(net.Conn))
		return false
	}
	// The first server goes on shortly after the limit of 600 ms.
	env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": {respond: pausingStream(660 * time.Millisecond)}, "s2": {respond: second}})
	env.connect = env.connectTCP
	env.f.serversByName["s2"].DataCentre = "b"
	if cut := env.serveAtOnce(1); cut != 0 {
		t.Fatal("the stream was broken off")
	}
	// The second server is told at once that its answer is not wanted.
	if d := <-taken; d > 400*time.Millisecond {
		t.Errorf("the second server had the request for %s", d)
	}
}

// Guards against work that goes on at two servers after the caller has left.
func TestCallerThatLeavesDuringTheTakeoverEndsBothAttempts(t *testing.T) {
	closed := make(chan time.Duration, 2)
	asked := make(chan struct{}, 2)
	silent := func(_ int, _ *http.Request, w io.Writer) bool {
		asked <- struct{}{}
		closedAfter(w.(net.Conn))
		closed <- 0
		return false
	}
	env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"s1": {respond: silent}, "s2": {respond: silent}})
	env.connect = env.connectTCP
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.serveContext(ctx, Request{PromptTokens: 300})
	}()
	<-asked
	<-asked
	leave()
	for range 2 {
		select {
		case <-closed:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("a server still works on the request")
		}
	}
	<-done
}
