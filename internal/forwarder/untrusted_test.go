package forwarder

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// maxHeapGrowth is how much memory one hostile server may take from an instance, in bytes.
const maxHeapGrowth = 24 << 20

// writeForever writes text until the connection is closed.
func writeForever(w io.Writer, text string) bool {
	// A write of a string would allocate a copy, which counts as growth of the heap.
	b := []byte(text)
	for {
		if _, err := w.Write(b); err != nil {
			return false
		}
	}
}

// writeThenForever writes head and then text until the connection is closed.
func writeThenForever(w io.Writer, head, text string) bool {
	return write(w, head) && writeForever(w, text)
}

// heapGrowth returns by how much the heap grows at most while f runs, in bytes.
func heapGrowth(f func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	f()
	close(done)
	<-stopped
	return peak - before
}

// endlessAnswers returns what a server may send until the caller closes the connection.
func endlessAnswers() map[string]func(id string, w io.Writer) bool {
	kilobyte := strings.Repeat("x", 1024)
	chunkedHead := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	return map[string]func(id string, w io.Writer) bool{
		"status line": func(_ string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 200 ", kilobyte)
		},
		"header lines": func(id string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n", "X-A: "+kilobyte+"\r\n")
		},
		"one header line": func(_ string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 200 OK\r\nX-A: ", kilobyte)
		},
		"informational heads": func(_ string, w io.Writer) bool {
			return writeForever(w, "HTTP/1.1 102 Processing\r\nX-A: "+kilobyte+"\r\n\r\n")
		},
		"bytes that are no answer": func(_ string, w io.Writer) bool { return writeForever(w, kilobyte) },
		"answers to other requests": func(_ string, w io.Writer) bool {
			return writeForever(w, reply("other", kilobyte))
		},
		"one answer to another request": func(_ string, w io.Writer) bool {
			return writeThenForever(w, chunkedHead("other"), chunk(kilobyte))
		},
		"refusal": func(id string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 503 Full\r\nId: "+id+"\r\nRefused: yes\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(kilobyte))
		},
		"body without a length": func(id string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\n", kilobyte)
		},
		"chunked body": func(id string, w io.Writer) bool {
			return writeThenForever(w, chunkedHead(id), chunk(kilobyte))
		},
		"chunk size line": func(id string, w io.Writer) bool { return writeThenForever(w, chunkedHead(id)+"1;", kilobyte) },
		"chunk size digits": func(id string, w io.Writer) bool {
			return writeThenForever(w, chunkedHead(id), "0000000000000000")
		},
		"trailers": func(id string, w io.Writer) bool {
			return writeThenForever(w, chunkedHead(id)+"0\r\n", "X-A: "+kilobyte+"\r\n")
		},
		"body with a huge length": func(id string, w io.Writer) bool {
			return writeThenForever(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9000000000000\r\n\r\n", kilobyte)
		},
	}
}

// A server sends bytes that are no answer until the caller closes the connection.
func TestEndlessBytesTakeBoundedMemory(t *testing.T) {
	kinds := map[string]matcher.Route{"plain": {Kind: matcher.KindIdempotent}, "at most once": {Kind: matcher.KindAtMostOnce}, "stream": streamRoute(true)}
	for name, respond := range endlessAnswers() {
		for kind, route := range kinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				hostile := func(_ int, r *http.Request, w io.Writer) bool { return respond(r.Header.Get("Id"), w) }
				env := newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: hostile}})
				growth := heapGrowth(func() {
					if rec, brokenOff := env.serve(Request{TimeLimit: 400}); rec.Code < 400 && !brokenOff {
						t.Errorf("status %d with %d bytes, want a failure", rec.Code, rec.Body.Len())
					}
				})
				if growth > maxHeapGrowth {
					t.Errorf("the heap grew by %d MB, want at most %d MB", growth>>20, maxHeapGrowth>>20)
				}
			})
		}
	}
}

// drip writes one byte at a time until the connection is closed.
func drip(w io.Writer, text string, interval time.Duration) bool {
	for i := 0; ; i = (i + 1) % len(text) {
		if !write(w, text[i:i+1]) {
			return false
		}
		time.Sleep(interval)
	}
}

const dripInterval = 50 * time.Millisecond

// drippingAnswer is how a server stalls on a route.
type drippingAnswer struct {
	route matcher.Route
	drip  func(id string, w io.Writer) bool
}

// sendComments sends a comment now and then until the connection is closed.
func sendComments(w io.Writer) bool {
	for write(w, chunk(": alive\n\n")) {
		time.Sleep(dripInterval)
	}
	return false
}

func drippingAnswers() map[string]drippingAnswer {
	first := func(id string) string { return streamHead(id, "") + chunk(event(1)) }
	return map[string]drippingAnswer{
		"within an event": {streamRoute(true), func(id string, w io.Writer) bool {
			return write(w, first(id)+"400\r\n") && drip(w, "x", dripInterval)
		}},
		"comments": {streamRoute(true), func(id string, w io.Writer) bool {
			return write(w, first(id)) && sendComments(w)
		}},
		"before the first event": {streamRoute(true), func(id string, w io.Writer) bool {
			return write(w, streamHead(id, "")+"400\r\n") && drip(w, "x", dripInterval)
		}},
		"within the head": {streamRoute(true), func(_ string, w io.Writer) bool {
			return write(w, "HTTP/1.1 200 OK\r\nX-A: ") && drip(w, "x", dripInterval)
		}},
		"within a plain body": {matcher.Route{Kind: matcher.KindIdempotent}, func(id string, w io.Writer) bool {
			return write(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1000\r\n\r\n") && drip(w, "x", dripInterval)
		}},
	}
}

// A server stalls but sends a byte now and then: a healthy server must complete the answer long before the time limit.
func TestDrippingServerIsAbandoned(t *testing.T) {
	for name, tt := range drippingAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hasDripped atomic.Bool
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				id := r.Header.Get("Id")
				if hasDripped.CompareAndSwap(false, true) {
					return tt.drip(id, w)
				}
				if tt.route.Kind != matcher.KindStreaming {
					return write(w, reply(id, event(1)+event(2)))
				}
				write(w, streamHead(id, ""))
				if r.Header.Get("Last") == "" {
					write(w, chunk(event(1)))
				}
				return write(w, chunk(event(2))) && write(w, streamEnd)
			}
			route := tt.route
			route.Timeout = 20 * timer.Second
			env := newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
			startedAt := time.Now()
			rec, brokenOff := env.serve(Request{PromptTokens: 300})
			body := strings.ReplaceAll(rec.Body.String(), ": alive\n\n", "")
			if took := time.Since(startedAt); brokenOff || body != event(1)+event(2) || took > 6*time.Second {
				t.Errorf("broken off %t, got %q after %s", brokenOff, body, took)
			}
		})
	}
}

// Slow but sound streams must run to their end at one server.
func TestSlowStreamsAreNotCut(t *testing.T) {
	tests := map[string]struct {
		resumable        bool
		maxAttempts      int
		noBudget         bool
		beforeFirst, gap time.Duration
	}{
		"gaps above the target":                 {true, 3, false, 0, 450 * time.Millisecond},
		"first event after the target":          {true, 3, false, 1200 * time.Millisecond, 100 * time.Millisecond},
		"long gaps, not resumable":              {false, 3, false, 0, 900 * time.Millisecond},
		"long gaps at the last attempt":         {true, 1, false, 0, 900 * time.Millisecond},
		"long gaps, the retry budget is spent":  {true, 3, true, 0, 900 * time.Millisecond},
		"late first event, not resumable":       {false, 3, false, 3500 * time.Millisecond, 0},
		"late first event, no budget for moves": {true, 3, true, 3500 * time.Millisecond, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(_ int, r *http.Request, w io.Writer) bool {
				write(w, streamHead(r.Header.Get("Id"), ""))
				time.Sleep(tt.beforeFirst)
				for n := range 4 {
					if !write(w, chunk(event(n+1))) {
						return false
					}
					time.Sleep(tt.gap)
				}
				return write(w, streamEnd)
			}
			route := streamRoute(tt.resumable)
			route.Timeout = 20 * timer.Second
			env := newTestEnv(t, route, map[string]*fakeServer{"s1": {respond: respond}, "s2": {respond: respond}})
			env.policy.Routes[0].MaxAttempts = tt.maxAttempts
			if tt.noBudget {
				env.f.deps.Config.RetryBurst, env.f.deps.Config.RetryRatio = 0, 0
			}
			rec, brokenOff := env.serve(Request{PromptTokens: 300})
			want := event(1) + event(2) + event(3) + event(4)
			if brokenOff || rec.Body.String() != want || env.sentRequests() != 1 {
				t.Errorf("broken off %t, got %q, sent %d requests, want one", brokenOff, rec.Body, env.sentRequests())
			}
		})
	}
}

const refusalWithoutID = "HTTP/1.1 503 Full\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n"

// A server sends a second copy of a refusal late, on a connection that is in use again. The next request runs, so its
// caller must not be told that it did not, and it must not run again elsewhere.
func TestLateCopyOfRefusalIsNotTaken(t *testing.T) {
	var firstConn io.Writer
	var ran atomic.Int64
	respond := func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			firstConn = w
			return write(w, refusalWithoutID)
		}
		if w == firstConn && !write(w, refusalWithoutID) {
			return false
		}
		ran.Add(1)
		return write(w, reply(r.Header.Get("Id"), "done"))
	}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"s1": {respond: respond}})
	if rec, _ := env.serve(Request{ID: "first"}); rec.Code != http.StatusServiceUnavailable {
		t.Fatalf("the refused request got %d", rec.Code)
	}
	time.Sleep((fullSuspension + 20).Duration())
	rec, _ := env.serve(Request{ID: "second"})
	if ran.Load() != 1 || rec.Code != http.StatusOK || rec.Body.String() != "done" {
		t.Fatalf("status %d %q, ran %d times", rec.Code, rec.Body, ran.Load())
	}
}

// A reused connection delivers a refusal without an id: it may be a late copy, so it proves nothing.
func TestRefusalWithoutIDOnReusedConnectionIsNoProof(t *testing.T) {
	respond := func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			return write(w, reply(r.Header.Get("Id"), "done"))
		}
		return write(w, refusalWithoutID)
	}
	b := &fakeServer{respond: respond}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce, TargetLatency: 300, Timeout: 800}, map[string]*fakeServer{"s1": b})
	env.serve(Request{ID: "first"})
	rec, _ := env.serve(Request{ID: "second"})
	if rec.Code == http.StatusServiceUnavailable || len(b.requests()) != 2 {
		t.Fatalf("status %d after %d requests, want no promise that it did not run", rec.Code, len(b.requests()))
	}
}

// The copy bears the id of an earlier attempt of the same request at the same server.
func TestCopyOfEarlierAttemptIsNotTaken(t *testing.T) {
	var ran atomic.Int64
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n"
	}
	var firstConn [2]io.Writer
	respondAs := func(server int) func(int, *http.Request, io.Writer) bool {
		return func(n int, r *http.Request, w io.Writer) bool {
			if n == 1 {
				firstConn[server] = w
				return write(w, refusal(r.Header.Get("Id")))
			}
			if w == firstConn[server] && !write(w, refusal(r.Header.Get("Id"))) {
				return false
			}
			ran.Add(1)
			return write(w, reply(r.Header.Get("Id"), "done"))
		}
	}
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindAtMostOnce}, map[string]*fakeServer{"s1": {respond: respondAs(0)}, "s2": {respond: respondAs(1)}})
	rec, _ := env.serve(Request{})
	if ran.Load() != 1 || rec.Code != http.StatusOK {
		t.Fatalf("status %d, ran %d times", rec.Code, ran.Load())
	}
}
