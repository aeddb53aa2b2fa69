package forwarder

import (
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
)

// Guards against servers that seem busier than they are: the place of an answer that was dropped for that of a larger model, which
// stays taken for a while, counted as a request in progress.
func TestDroppedAnswerIsNoLoad(t *testing.T) {
	server := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
		confidence := "Confidence: 99\r\n"
		if r.Header.Get("Model") == "small" {
			confidence = "Confidence: 10\r\n"
		}
		return write(w, streamHead(r.Header.Get("Id"), confidence)) && write(w, chunk(event(1))) && write(w, streamEnd)
	}}
	route := streamRoute(true)
	route.Models = []string{"small", "large"}
	env := newTestEnv(t, route, map[string]*fakeServer{"s1": server})
	if rec, broken := env.serve(Request{ChooseModel: true, PromptTokens: 300}); broken || rec.Body.String() != event(1) {
		t.Fatalf("got %q", rec.Body.String())
	}
	if n := len(server.requests()); n != 2 {
		t.Fatalf("the server got %d requests, want the small and the large model", n)
	}
	if load := env.f.serversByName["s1"].load(env.f.deps.Telemetry.Clock.Now()); load != 0 {
		t.Fatalf("the load is %d after the last answer", load)
	}
}

// Guards against doubtful answers that are kept because the request for a larger model counted itself in the load of the server that
// it asked: on servers with few slots, one request is a large part of the load.
func TestEscalationDoesNotCountItself(t *testing.T) {
	server := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
		confidence := "Confidence: 99\r\n"
		if r.Header.Get("Model") == "small" {
			confidence = "Confidence: 50\r\n"
		}
		return write(w, streamHead(r.Header.Get("Id"), confidence)) && write(w, chunk(event(1))) && write(w, streamEnd)
	}}
	route := streamRoute(true)
	route.Models = []string{"small", "large"}
	env := newTestEnv(t, route, map[string]*fakeServer{"s1": server})
	// With the answer of the small model, three of eight slots are in use: a little above lowLoad.
	env.f.serversByName["s1"].updateLoad(exchanger.Info{Running: 2, Slots: testSlots}, env.f.deps.Telemetry.Clock.Now())
	env.serve(Request{ChooseModel: true, PromptTokens: 300})
	if n := len(server.requests()); n != 2 || server.requests()[1].Header.Get("Model") != "large" {
		t.Fatalf("the server got %d requests, want the small and the large model", n)
	}
}
