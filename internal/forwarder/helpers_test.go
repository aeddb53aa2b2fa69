package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pathfinder"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// fakeServer is a fake backend server: respond writes the raw response and reports whether the connection stays open.
type fakeServer struct {
	respond  func(n int, r *http.Request, w io.Writer) bool
	mu       sync.Mutex
	received []*http.Request
	down     bool
}

func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func (s *fakeServer) setDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

func (s *fakeServer) run(conn net.Conn) {
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
		s.mu.Lock()
		s.received = append(s.received, r)
		n := len(s.received)
		s.mu.Unlock()
		if !s.respond(n, r, conn) {
			return
		}
	}
}

// testEnv is a forwarder with fake backend servers, without a network.
type testEnv struct {
	t            *testing.T
	f            *Forwarder
	servers      map[string]*fakeServer
	members      []registrar.Member
	policy       *matcher.Policy
	crashReports []quarantiner.CrashReport
	acquittals   []quarantiner.Acquittal
	// onDial, if set, is called once, when the first connection is opened.
	onDial func()
	// chooseModel lets serveAtOnce leave the choice of the model to the forwarder.
	chooseModel bool
	// stoodStill makes the next check find that the process stood still.
	stoodStill atomic.Bool
	// connect returns the two ends of a connection.
	connect func() (client, server net.Conn)
	alarms  []messenger.ServerAlarm
	// withdrawals are the servers that have said that they leave.
	withdrawals []registrar.Withdrawal
	mu          sync.Mutex
}

const testSlots = 8

func testCodec() Codec {
	return Codec{
		RequestHeader: func(r *Request, a AttemptInfo) http.Header {
			h := http.Header{"Id": {r.ID}, "Server": {a.Server}, "Left": {strconv.Itoa(int(a.TimeLeft))}}
			if a.Model != "" {
				h.Set("Model", a.Model)
			}
			if a.LastEventID != "" {
				h.Set("Last", a.LastEventID)
			}
			return h
		},
		ParseResponse: func(res *http.Response) exchanger.Info {
			info := exchanger.Info{RequestID: res.Header.Get("Id"), NotRun: res.Header.Get("Refused") != "", Confidence: -1}
			if c, err := strconv.Atoi(res.Header.Get("Confidence")); err == nil {
				info.Confidence = c
			}
			if rest, err := strconv.Atoi(res.Header.Get("Rest-Ms")); err == nil {
				info.Rest = timer.Millis(rest)
			}
			info.IsLeaving, info.IsSealed = res.Header.Get("Leaving") != "", res.Header.Get("Stamp") != ""
			if limit, err := strconv.ParseFloat(res.Header.Get("Limit"), 64); err == nil {
				info.HasRateLimit, info.RateLimit = true, limit
			}
			return info
		},
	}
}

func newTestEnv(t *testing.T, route matcher.Route, servers map[string]*fakeServer) *testEnv {
	t.Helper()
	e := &testEnv{t: t, servers: servers, connect: net.Pipe}
	paths := pathfinder.NewPathfinder(pathfinder.Deps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), Dial: e.dial, OnChange: func() {},
		Distance: func(_, to string) float64 { return DistanceCost(e.f.deps.RegionOf, e.f.deps.DataCentre, to) }})
	e.f = NewForwarder(Deps{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), DataCentre: "a", Codec: testCodec(), Paths: paths,
		Config: Config{RetryRatio: 1, RetryBurst: 20, RetryWindow: 10 * timer.Second, SessionTTL: 5 * timer.Second,
			MinConfidence: 60, ConfidenceGain: 14, MaxBufferedBytes: 16 << 20, Answers: exchanger.Limits{
				MaxHeadBytes: 64 << 10, HeadTimeout: 3 * timer.Second, MaxSkippedBytes: 1 << 20, MaxBodyBytes: 8 << 20,
				MaxEventBytes: 256 << 10, MinBodyRate: 16 << 10, BodyGrace: 2 * timer.Second}},
		OnCrash: func(list []quarantiner.CrashReport) {
			e.mu.Lock()
			e.crashReports = append(e.crashReports, list...)
			e.mu.Unlock()
		},
		OnAcquittal: func(list []quarantiner.Acquittal) {
			e.mu.Lock()
			e.acquittals = append(e.acquittals, list...)
			e.mu.Unlock()
		},
		AwaitCurrent:  func(context.Context) bool { return e.stoodStill.CompareAndSwap(true, false) },
		OnServerAlarm: func(a messenger.ServerAlarm) { e.mu.Lock(); e.alarms = append(e.alarms, a); e.mu.Unlock() },
		OnLongPrefill: func() {}, OnPlacesChanged: func() {}, OnServerRests: func(string) {},
		OnServerLeaving: func(w registrar.Withdrawal) { e.mu.Lock(); e.withdrawals = append(e.withdrawals, w); e.mu.Unlock() },
		StopsAt:         func() timer.Millis { return 0 },
	})
	route.Name, route.Host, route.PathPrefix, route.AuthExempt = "r", "h", "/", true
	if route.Timeout == 0 {
		route.Timeout = 5 * timer.Second
	}
	if route.TargetLatency == 0 {
		route.TargetLatency = timer.Second
	}
	route.MaxAttempts = 3
	route.Shares = []matcher.Share{{Service: "s", Weight: 1}}
	policy := matcher.Policy{Version: 1, Routes: []matcher.Route{route},
		Services: map[string]matcher.Service{"s": {Name: "s", BatchSlots: testSlots}}}
	var err error
	if e.policy, err = policy.WithIndexes(); err != nil {
		t.Fatal(err)
	}
	for name := range servers {
		e.members = append(e.members, registrar.Member{
			Name: name, Incarnation: 1, Address: name, DataCentre: "a", Service: "s", Version: "v1", Slots: testSlots,
		})
	}
	e.publishView()
	return e
}

// connectTCP returns the ends of a TCP connection on the loopback address. On net.Pipe, no read deadline can be set once the
// other end is closed, so the end of a response is seen as an error at times.
func (e *testEnv) connectTCP() (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		e.t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		e.t.Fatal(err)
	}
	return client, server
}

func (e *testEnv) publishView() {
	e.f.SetView(subscriber.View{Policy: e.policy, Members: e.members})
}

func (e *testEnv) dial(_ context.Context, address string) (net.Conn, error) {
	s := e.servers[address]
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return nil, errRefused
	}
	if onDial := e.onDial; onDial != nil {
		e.onDial = nil
		onDial()
	}
	client, server := e.connect()
	go s.run(server)
	return client, nil
}

// serve sends one request and returns the response; brokenOff is true if the connection was closed before its end.
func (e *testEnv) serve(req Request) (rec *httptest.ResponseRecorder, brokenOff bool) {
	e.t.Helper()
	return e.serveContext(context.Background(), req)
}

// serveContext does the same with the context of the caller's connection.
func (e *testEnv) serveContext(ctx context.Context, req Request) (rec *httptest.ResponseRecorder, brokenOff bool) {
	e.t.Helper()
	req.Method, req.Host, req.Target, req.Path = http.MethodPost, "h", "/x?q=1", "/x"
	if req.ID == "" {
		req.ID = "id-1"
	}
	req.ArrivedAt = e.f.deps.Telemetry.Clock.Now()
	rec = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			brokenOff = true
		}
	}()
	e.f.Serve(ctx, &req, rec)
	return rec, false
}

// sentRequests is the number of requests that reached any fake server.
func (e *testEnv) sentRequests() int {
	n := 0
	for _, s := range e.servers {
		n += len(s.requests())
	}
	return n
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func write(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

// streamHead returns the header of a chunked event stream with the given extra headers.
func streamHead(id, headers string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + headers +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

const streamEnd = "0\r\n\r\n"
