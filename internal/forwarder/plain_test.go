package forwarder

import (
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestPlainAnswers(t *testing.T) {
	refuse := func(id string) string {
		return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		kind   matcher.Kind
		answer func(n int, r *http.Request, w io.Writer) bool
		status int
		body   string
		// sent is how many requests may reach the stand-ins.
		sent int
	}{
		"a whole answer passes unchanged": {
			kind:   matcher.KindOnce,
			answer: func(_ int, r *http.Request, w io.Writer) bool { return say(w, whole(r.Header.Get("Id"), "hello")) },
			status: 200, body: "hello", sent: 1,
		},
		"an answer to another request is skipped": {
			kind: matcher.KindOnce,
			answer: func(_ int, r *http.Request, w io.Writer) bool {
				return say(w, whole("id-other", "theirs")) && say(w, whole(r.Header.Get("Id"), "ours"))
			},
			status: 200, body: "ours", sent: 1,
		},
		"a request that may run once is not sent again after its server broke off": {
			kind:   matcher.KindOnce,
			answer: func(int, *http.Request, io.Writer) bool { return false },
			status: http.StatusBadGateway, sent: 1,
		},
		"a request that may run once is not answered by half an answer": {
			kind: matcher.KindOnce,
			answer: func(_ int, r *http.Request, w io.Writer) bool {
				say(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 100\r\n\r\nhalf")
				return false
			},
			status: http.StatusBadGateway, sent: 1,
		},
		"an idempotent request is sent to another server": {
			kind:   matcher.KindSafe,
			answer: func(int, *http.Request, io.Writer) bool { return false },
			status: http.StatusBadGateway, sent: 3,
		},
		"a refusal by every server says that the request has not run": {
			kind:   matcher.KindOnce,
			answer: func(_ int, r *http.Request, w io.Writer) bool { return say(w, refuse(r.Header.Get("Id"))) },
			status: http.StatusServiceUnavailable, sent: 3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, matcher.Route{Kind: tt.kind}, map[string]*backend{"s1": {answer: tt.answer}, "s2": {answer: tt.answer}, "s3": {answer: tt.answer}})
			rec, broken := w.serve(Request{Patience: 2 * timer.Second})
			if broken || rec.Code != tt.status || tt.body != "" && rec.Body.String() != tt.body {
				t.Fatalf("got %d %q, broken off %t; want %d %q", rec.Code, rec.Body, broken, tt.status, tt.body)
			}
			if n := w.total(); n != tt.sent {
				t.Fatalf("%d requests were sent, want %d", n, tt.sent)
			}
			if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
				t.Fatal("the refusal does not say when to come back")
			}
		})
	}
}

func TestATimeLimitShrinksOnItsWay(t *testing.T) {
	b := &backend{answer: func(_ int, r *http.Request, w io.Writer) bool { return say(w, whole(r.Header.Get("Id"), "ok")) }}
	w := newWorld(t, matcher.Route{Kind: matcher.KindSafe, Timeout: 900}, map[string]*backend{"s1": b})
	if _, broken := w.serve(Request{Patience: 3 * timer.Second}); broken {
		t.Fatal("the answer was broken off")
	}
	if left := b.requests()[0].Header.Get("Left"); len(left) != 3 || left > "900" {
		t.Fatalf("the server was given %s ms, the route allows 900", left)
	}
}

// The pattern: a request that takes every server down that runs it comes again and again.
func TestARequestThatTakesServersDownStopsAtTwo(t *testing.T) {
	backends := map[string]*backend{}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		b := &backend{}
		b.answer = func(int, *http.Request, io.Writer) bool {
			b.setDown()
			return false
		}
		backends[name] = b
	}
	w := newWorld(t, matcher.Route{Kind: matcher.KindSafe}, backends)
	for range 4 {
		w.serve(Request{Body: []byte("poison")})
	}
	if n := w.total(); n != maxStrikes {
		t.Fatalf("%d servers went down, want %d", n, maxStrikes)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashed) == 0 {
		t.Fatal("the fleet was not told")
	}
}

// The pattern: a request fails at a server, and meanwhile another one says that it leaves and a third one has come.
func TestARepeatSeesServersThatHaveLeftSinceTheRequestArrived(t *testing.T) {
	ok := func(_ int, r *http.Request, w io.Writer) bool { return say(w, whole(r.Header.Get("Id"), "ok")) }
	failing, leaving, coming := &backend{}, &backend{answer: ok}, &backend{answer: ok}
	w := newWorld(t, matcher.Route{Kind: matcher.KindSafe}, map[string]*backend{"s1": failing, "s2": leaving})
	w.backends["s3"] = coming
	failing.answer = func(int, *http.Request, io.Writer) bool {
		for i := range w.members {
			if w.members[i].Name == "s2" {
				w.members[i].Standing = registrar.StandingLeaving
			}
		}
		w.members = append(w.members, registrar.Member{Name: "s3", Incarnation: 2, Address: "s3", DataCentre: "a", Service: "s", Version: "v1", Slots: testSlots})
		w.publish()
		return false
	}
	w.f.known["s2"].work.hear([]float64{500}, w.f.deps.Common.Clock.Now())
	if rec, broken := w.serve(Request{}); broken || rec.Code != http.StatusOK {
		t.Fatalf("broken off %t, got %d", broken, rec.Code)
	}
	if len(failing.requests()) != 1 || len(leaving.requests()) != 0 || len(coming.requests()) != 1 {
		t.Fatalf("sent %d, %d and %d requests; a server that leaves must receive none", len(failing.requests()), len(leaving.requests()), len(coming.requests()))
	}
}
