package tunneler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against connections through an instance to a server that has asked its machine for a rest.
func TestNoTunnelLeadsToARestingServer(t *testing.T) {
	const rest = 3 * timer.Second
	var left atomic.Int64
	server := listen(t, func(net.Conn) { time.Sleep(5 * time.Second) })
	h := NewHandler(HandlerDeps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), Dial: dialTCP,
		IsServer: func(address string) bool { return address == server }, IsCutOff: func() bool { return false },
		RestLeft: func(string) timer.Millis { return timer.Millis(left.Load()) },
		OnRest:   func(_ string, d timer.Millis) { left.Store(int64(d)) }})
	gateway := httptest.NewServer(h)
	t.Cleanup(gateway.Close)
	relay := gateway.Listener.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	open, err := Dial(ctx, dialTCP, relay, server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	if err := ReportRest(ctx, dialTCP, relay, server, rest); err != nil || left.Load() != int64(rest) {
		t.Fatalf("got %v, the instance heard of %d ms, want %d", err, left.Load(), rest)
	}
	var resting *RestingError
	if _, err := Dial(ctx, dialTCP, relay, server); !errors.As(err, &resting) || resting.Left != rest {
		t.Fatalf("got %v, want the time that is left", err)
	}
	h.DrainServer(server)
	if err := open.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	// A read takes the notice in, and then waits for the server.
	if _, err := open.Read(make([]byte, 1)); err == nil || !open.IsExpired() {
		t.Fatalf("the open tunnel could carry another request (%v)", err)
	}
}

func TestReportsOfRestsAreChecked(t *testing.T) {
	tests := map[string]struct {
		path, rest string
		status     int
		left       timer.Millis
	}{
		"a known server":          {"/rests/127.0.0.1:9", "1500", http.StatusNoContent, 1500},
		"a very long time":        {"/rests/127.0.0.1:9", "99999999999", http.StatusNoContent, maxRest},
		"an unknown server":       {"/rests/127.0.0.1:8", "1500", http.StatusBadRequest, 0},
		"no address":              {"/rests/", "1500", http.StatusBadRequest, 0},
		"no time":                 {"/rests/127.0.0.1:9", "", http.StatusBadRequest, 0},
		"a negative time":         {"/rests/127.0.0.1:9", "-5", http.StatusBadRequest, 0},
		"a number that overflows": {"/rests/127.0.0.1:9", "99999999999999999999", http.StatusBadRequest, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var left timer.Millis
			h := NewHandler(HandlerDeps{Telemetry: observer.NewDiscard(timer.NewSystemClock()),
				IsServer: func(address string) bool { return address == "127.0.0.1:9" }, OnRest: func(_ string, d timer.Millis) { left = d }})
			r := httptest.NewRequest(http.MethodPut, tt.path, nil)
			r.Header.Set(headerRest, tt.rest)
			rec := httptest.NewRecorder()
			h.ServeHTTP(rec, r)
			if rec.Code != tt.status || left != tt.left {
				t.Fatalf("got %d and %v, want %d and %v", rec.Code, left, tt.status, tt.left)
			}
		})
	}
}
