package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

var errDown = errors.New("connection refused")

// backend is a stand-in for a backend server: answer writes raw bytes and reports whether the connection stays.
type backend struct {
	answer func(n int, r *http.Request, w io.Writer) bool
	mu     sync.Mutex
	seen   []*http.Request
	down   bool
}

func (b *backend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

func (b *backend) setDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = true
}

func (b *backend) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		n := len(b.seen)
		b.mu.Unlock()
		if !b.answer(n, r, conn) {
			return
		}
	}
}

// world is a forwarder before stand-ins, without a network.
type world struct {
	t        *testing.T
	f        *Forwarder
	backends map[string]*backend
	members  []registrar.Member
	policy   *matcher.Policy
	crashed  []uint64
	mu       sync.Mutex
}

const testSlots = 8

func testCodec() Codec {
	return Codec{
		Prepare: func(r *Request, a Attempt) http.Header {
			h := http.Header{"Id": {r.ID}, "Server": {a.Server}, "Left": {strconv.Itoa(int(a.TimeLeft))}}
			if a.Model != "" {
				h.Set("Model", a.Model)
			}
			if a.LastEvent != "" {
				h.Set("Last", a.LastEvent)
			}
			return h
		},
		Inspect: func(res *http.Response) Verdict {
			v := Verdict{ID: res.Header.Get("Id"), Refused: res.Header.Get("Refused") != "", Confidence: -1}
			if c, err := strconv.Atoi(res.Header.Get("Confidence")); err == nil {
				v.Confidence = c
			}
			return v
		},
	}
}

func newWorld(t *testing.T, route matcher.Route, backends map[string]*backend) *world {
	t.Helper()
	w := &world{t: t, backends: backends}
	w.f = NewForwarder(Deps{
		Common: observer.NewQuiet(timer.NewClock()), DataCentre: "a", Codec: testCodec(), Dial: w.dial,
		Rules:     Rules{RetryShare: 1, RetrySlack: 20, RetryWindow: 10 * timer.Second, SessionSpan: 5 * timer.Second, Confidence: 60, Lift: 14},
		Crashed:   func(d uint64) { w.mu.Lock(); w.crashed = append(w.crashed, d); w.mu.Unlock() },
		WorkGrown: func() {},
	})
	route.Name, route.Host, route.Prefix, route.Open = "r", "h", "/", true
	if route.Timeout == 0 {
		route.Timeout = 5 * timer.Second
	}
	if route.Target == 0 {
		route.Target = timer.Second
	}
	route.MaxAttempts = 3
	route.Split = []matcher.Share{{Service: "s", Weight: 1}}
	policy := matcher.Policy{Version: 1, Routes: []matcher.Route{route}, Services: map[string]matcher.Service{"s": {Name: "s", EngineSlots: testSlots}}}
	var err error
	if w.policy, err = policy.Indexed(); err != nil {
		t.Fatal(err)
	}
	for name := range backends {
		w.members = append(w.members, registrar.Member{
			Name: name, Incarnation: 1, Address: name, DataCentre: "a", Service: "s", Version: "v1", Slots: testSlots,
		})
	}
	w.publish()
	return w
}

func (w *world) publish() {
	w.f.Publish(subscriber.View{Policy: w.policy, Members: w.members})
}

func (w *world) dial(_ context.Context, address string) (net.Conn, error) {
	b := w.backends[address]
	b.mu.Lock()
	down := b.down
	b.mu.Unlock()
	if down {
		return nil, errDown
	}
	near, far := net.Pipe()
	go b.run(far)
	return near, nil
}

// serve sends one request and returns what the caller got; broken says that the answer was broken off.
func (w *world) serve(req Request) (rec *httptest.ResponseRecorder, broken bool) {
	w.t.Helper()
	req.Method, req.Host, req.Target, req.Path = http.MethodPost, "h", "/x?q=1", "/x"
	if req.ID == "" {
		req.ID = "id-1"
	}
	req.ArrivedAt = w.f.deps.Common.Clock.Now()
	rec = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			broken = true
		}
	}()
	w.f.Serve(context.Background(), &req, rec)
	return rec, false
}

// total is how many requests reached any stand-in.
func (w *world) total() int {
	n := 0
	for _, b := range w.backends {
		n += len(b.requests())
	}
	return n
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func say(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

// streamHead begins a stream in chunks.
func streamHead(id, more string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

const streamEnd = "0\r\n\r\n"
