package forwarder

import (
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// An at-most-once request breaks at each point of its way. It runs once at most, and the caller is told that it has not
// run only where that is certain.
func TestWhereADepositBreaks(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		// respond answers the request; runs says whether the server has run it.
		respond func(id string, w io.Writer) bool
		runs    bool
		status  int
	}{
		"the server refuses it":             {func(id string, w io.Writer) bool { return write(w, refusal(id)) }, false, http.StatusServiceUnavailable},
		"the connection closes unanswered":  {func(string, io.Writer) bool { return false }, true, http.StatusBadGateway},
		"the answer is cut in its head":     {func(_ string, w io.Writer) bool { write(w, "HTTP/1.1 200 OK\r\nId"); return false }, true, http.StatusBadGateway},
		"the answer is cut in its body":     {func(id string, w io.Writer) bool { write(w, reply(id, "whole")[:70]); return false }, true, http.StatusBadGateway},
		"another's answer comes, then none": {func(_ string, w io.Writer) bool { write(w, reply("other", "x")); return false }, true, http.StatusBadGateway},
		"the server fails": {func(id string, w io.Writer) bool {
			return write(w, "HTTP/1.1 500 Oops\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, true, http.StatusInternalServerError},
		"the answer does not come in time":   {func(string, io.Writer) bool { select {} }, true, http.StatusGatewayTimeout},
		"a refusal without an id, then none": {func(_ string, w io.Writer) bool { return write(w, refusalWithoutID) }, true, http.StatusGatewayTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				if id := r.Header.Get("Id"); id == "warm-up" {
					return write(w, reply(id, "ok"))
				}
				return tt.respond(r.Header.Get("Id"), w)
			}
			servers := map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}}
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce, TargetLatency: 300, Timeout: 700 * timer.Millisecond}, servers)
			for range 2 {
				// Each server gets a connection that has been used before.
				env.serve(Request{ID: "warm-up"})
			}
			before := env.sentRequests()
			rec, _ := env.serve(Request{ID: "deposit"})
			sent := env.sentRequests() - before
			if rec.Code != tt.status || tt.runs && sent != 1 {
				t.Fatalf("status %d after %d sends, want %d", rec.Code, sent, tt.status)
			}
		})
	}
}
