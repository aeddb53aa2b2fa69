package forwarder

import (
	"io"
	"net/http"
	"testing"
)

// A stream without a length and without chunks ends with its connection. Guards against one that ends within an event
// being taken for a complete one.
func TestUnframedStreams(t *testing.T) {
	const head = "Content-Type: text/event-stream\r\n\r\n"
	tests := map[string]struct {
		// first and second are what the servers send before they close the connection; the second one resumes.
		first, second string
		body          string
		sent          int
	}{
		"ends after an event":  {event(1) + event(2), "", event(1) + event(2), 1},
		"ends within an event": {event(1) + event(2)[:7], event(2) + event(3), event(1) + event(2) + event(3), 2},
		"ends before an event": {"", event(1) + event(2), event(1) + event(2), 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			send := func(text string) func(int, *http.Request, io.Writer) bool {
				return func(_ int, r *http.Request, w io.Writer) bool {
					write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+head+text)
					return false
				}
			}
			first, second := &fakeServer{respond: send(tt.first)}, &fakeServer{respond: send(tt.second)}
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"first": first, "second": second})
			env.connect = env.connectTCP
			// The first server is the nearest one.
			env.f.serversByName["second"].DataCentre = "b"
			rec, broken := env.serve(Request{PromptTokens: 300})
			if broken || rec.Body.String() != tt.body || env.sentRequests() != tt.sent {
				t.Fatalf("broken off %t, got %q after %d requests; want %q after %d", broken, rec.Body, env.sentRequests(), tt.body, tt.sent)
			}
		})
	}
}
