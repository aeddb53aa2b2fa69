package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against the text of an error, or its whole head, in the middle of a stream that goes on at another server, and against
// such a stream that ends as if it were complete.
func TestStreamThatGoesOnTakesOnlyItsEvents(t *testing.T) {
	sse := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\n"
	}
	plain := func(status, contentType, body string) func(string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, contentType, len(body), body)
		}
	}
	const page = "Internal error\n\nplease try again\n\n"
	tests := map[string]func(id string) string{
		"error":                          plain("500 Error", "text/plain", page),
		"error that looks like a stream": plain("500 Error", "text/event-stream", event(3)),
		"redirect":                       plain("302 Found", "text/plain", page),
		"not found":                      plain("404 Not Found", "application/json", "{\"error\":\"x\"}\n\n"),
		"success that is no stream":      plain("200 OK", "text/html", page),
		"success that is JSON":           plain("200 OK", "application/json", "{\"error\":\"x\"}\n\n"),
		"no content":                     func(id string) string { return "HTTP/1.1 204 No Content\r\nId: " + id + "\r\n\r\n" },
		"empty stream":                   func(id string) string { return sse(id) + "Content-Length: 0\r\n\r\n" },
		"error text within the stream": func(id string) string {
			return sse(id) + "\r\n" + page
		},
		"head within the stream": func(id string) string {
			return sse(id) + "\r\nHTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n" + page
		},
		"head after an event": func(id string) string {
			return sse(id) + "\r\n" + "HTTP/1.1 500 Error\r\n\r\n"
		},
		"an event that came before": func(id string) string {
			return sse(id) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(2)) + chunk(event(3)) + streamEnd
		},
		"an event without an id": func(id string) string {
			return sse(id) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("data: error\n\n") + streamEnd
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			first := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
				write(w, streamHead(r.Header.Get("Id"), "Seal: s\r\n")+chunk(event(1)+event(2))+"5\r\nid:")
				return false
			}}
			second := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
				write(w, answer(r.Header.Get("Id")))
				return false
			}}
			env := newTestEnv(t, streamRoute(true), map[string]*fakeServer{"first": first, "second": second})
			env.connect = env.connectTCP
			// The first server is the nearest one.
			env.f.serversByName["second"].DataCentre = "b"
			rec, broken := env.serve(Request{PromptTokens: 300})
			if got := rec.Body.String(); !broken || !strings.HasPrefix(event(1)+event(2), got) {
				t.Fatalf("broken off %t, got %q; want a stream that is broken off after its second event", broken, got)
			}
			if len(second.requests()) == 0 {
				t.Fatal("the stream was not resumed")
			}
		})
	}
}

// Guards against the head of another answer that a server sends within its stream, which the caller would take for an event.
func TestHeadWithinStreamIsNotPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"head":       "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n",
		"error text": "Internal error\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
				write(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Type: text/event-stream\r\n\r\n"+event(1)+text)
				return false
			}}
			env := newTestEnv(t, streamRoute(false), map[string]*fakeServer{"s": server})
			env.connect = env.connectTCP
			rec, broken := env.serve(Request{PromptTokens: 300})
			if got := rec.Body.String(); !broken || got != "" && got != event(1) {
				t.Fatalf("broken off %t, got %q; want a stream that is broken off after its first event", broken, got)
			}
		})
	}
}
