package forwarder

import (
	"fmt"
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

// Load: a server breaks a stream off behind its last event, and another one, which has nothing left to send, goes on with it. Guards
// against a stream that no server can complete, and against an end without a sign that passes for one.
func TestStreamMayGoOnWithoutAnEvent(t *testing.T) {
	const stream, end = "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1))
	tests := map[string]struct {
		lastEventID   string
		first, second string
		body          string
		broken        bool
	}{
		"chunks":                        {"", stream + chunks, stream + end, event(1), false},
		"a length":                      {"", stream + chunks, stream + "Content-Length: 0\r\n\r\n", event(1), false},
		"comments":                      {"", stream + chunks, stream + "Content-Length: 7\r\n\r\n: end\n\n", event(1), false},
		"a part of an event":            {"", stream + chunks, stream + "Content-Length: 6\r\n\r\nid: 2\n", event(1), true},
		"no sign of the end":            {"", stream + chunks, stream + "\r\n", event(1), true},
		"resumed by its caller":         {"1", stream + end, stream + end, "", false},
		"no event at all":               {"", stream + end, stream + end, "", true},
		"resumed, with no sign of it":   {"1", stream + "\r\n", stream + "\r\n", "", true},
		"resumed, the first breaks off": {"1", stream + "Transfer-Encoding: chunked\r\n\r\n", stream + end, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			send := func(text string) func(int, *http.Request, io.Writer) bool {
				return func(_ int, r *http.Request, w io.Writer) bool {
					write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+text)
					return false
				}
			}
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"first": {respond: send(tt.first)}, "second": {respond: send(tt.second)}})
			env.connect = env.connectTCP
			env.f.serversByName["second"].DataCentre = "b"
			rec, broken := env.serve(Request{PromptTokens: 300, LastEventID: tt.lastEventID})
			if broken = broken || rec.Code != http.StatusOK; broken != tt.broken || !broken && rec.Body.String() != tt.body {
				t.Fatalf("broken off %t, got %d %q; want %t, %q", broken, rec.Code, rec.Body, tt.broken, tt.body)
			}
			if !broken && rec.Header().Get("Content-Type") != "text/event-stream" {
				t.Fatalf("the head is %v", rec.Header())
			}
		})
	}
}
