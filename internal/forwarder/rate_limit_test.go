package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// limitedReply answers a request and names a limit of requests per second.
func limitedReply(limit string) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		id := r.Header.Get("Id")
		return write(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %s\r\nContent-Length: 2\r\n\r\nok", id, limit))
	}
}

// Guards against a server that gets more requests than the limit that it names, while another one has room.
func TestServerGetsNoMoreThanItsRequestLimit(t *testing.T) {
	const (
		requests = 200
		// maxSent is what a limit of 2 requests a second allows in 4 s: one and a half times as much, and 5 more.
		maxSent = 1.5*4*2 + 5
	)
	limited, other := &fakeServer{respond: limitedReply("2")}, &fakeServer{respond: replyDone}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"limited": limited, "other": other})
	// The limited server is the nearest one.
	env.f.serversByName["other"].DataCentre = "b"
	for i := range requests {
		if rec, broken := env.serve(Request{ID: fmt.Sprint("first-", i)}); broken || rec.Code != http.StatusOK {
			t.Fatalf("request %d: broken off %t, got %d", i, broken, rec.Code)
		}
	}
	if n := len(limited.requests()); n > maxSent {
		t.Fatalf("the server got %d of %d requests, its limit allows %d in 4 s", n, requests, int(maxSent))
	}
}
