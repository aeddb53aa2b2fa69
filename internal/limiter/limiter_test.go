package limiter

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func newTestBudget(max int64) (*Budget, *timer.ManualClock) {
	clock := timer.NewManualClock(1_000_000)
	telemetry := observer.NewDiscard(clock.Clock())
	return NewBudget(clock.Clock(), max, Pace{}, NewPressure(telemetry, "test")), clock
}

// Load: large requests that stop short hold the whole budget. Guards against a budget that they keep for ever, that is taken from those
// which go on, or that leaves no room for small requests.
func TestBudgetIsTakenFromThoseThatStall(t *testing.T) {
	const size = 100 << 10
	type request struct {
		bytes int64
		// silent is how long it has made no progress when the next one comes.
		silent   timer.Millis
		complete bool
	}
	tests := map[string]struct {
		held    []request
		next    int64
		want    error
		evicted []int
	}{
		"there is room":                       {[]request{{size, 0, false}}, size, nil, nil},
		"all make progress":                   {[]request{{size, 0, false}, {size, 0, false}, {size, 0, false}}, size, ErrExhausted, nil},
		"a small one uses the reserve":        {[]request{{size, 0, false}, {size, 0, false}, {size, 0, false}}, smallRequest, nil, nil},
		"one stalls":                          {[]request{{size, 0, false}, {size, 2000, false}, {size, 0, false}}, size, nil, []int{1}},
		"the largest that stalls gives way":   {[]request{{size / 2, 5000, false}, {size, 2000, false}, {size, 2000, true}}, size, nil, []int{1}},
		"one that is served stays":            {[]request{{size, 9000, true}, {size, 9000, true}, {size, 9000, true}}, size, ErrExhausted, nil},
		"several give way to a large one":     {[]request{{size, 3000, false}, {size, 2000, false}, {size, 0, false}}, 2 * size, nil, []int{0, 1}},
		"more than there is":                  {nil, 5 * size, ErrExhausted, nil},
		"a pause that every caller has":       {[]request{{size, 900, false}, {size, 900, false}, {size, 900, false}}, size, ErrExhausted, nil},
		"small ones fill the reserve as well": {[]request{{size, 0, false}, {size, 0, false}, {size, 0, false}, {50 << 10, 0, false}, {50 << 10, 0, false}}, 1 << 10, ErrExhausted, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, clock := newTestBudget(4 * size)
			var wg sync.WaitGroup
			var mu sync.Mutex
			evicted := map[int]bool{}
			wg.Add(len(tt.evicted))
			var leases []*Lease
			for i, r := range tt.held {
				l := b.Open(func() {
					mu.Lock()
					evicted[i] = true
					mu.Unlock()
					wg.Done()
				})
				if err := l.Take(r.bytes); err != nil {
					t.Fatal(err)
				}
				leases = append(leases, l)
			}
			for i, r := range tt.held {
				leases[i].progressAt = clock.Now() - r.silent
				if r.complete {
					_ = leases[i].Complete()
				}
			}
			l := b.Open(func() {})
			if err := l.Take(tt.next); !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			wg.Wait()
			for _, i := range tt.evicted {
				if !evicted[i] {
					t.Errorf("request %d did not give way", i)
				}
				if err := leases[i].Take(1); !errors.Is(err, ErrEvicted) {
					t.Errorf("request %d reads on: %v", i, err)
				}
			}
			l.Close()
			for _, l := range leases {
				l.Close()
			}
			if b.Held() != 0 || len(b.leases) != 0 {
				t.Errorf("%d bytes are held at the end by %d requests", b.Held(), len(b.leases))
			}
		})
	}
}

// Load: more callers than connections, of which most stop half-way. Guards against new callers that are not served, and against answers
// that are cut off for them.
func TestConnectionsThatStallGiveWay(t *testing.T) {
	const most = 8
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := timer.NewManualClock(1_000_000)
	telemetry := observer.NewDiscard(clock.Clock())
	l := NewListener(raw, clock.Clock(), Bounds{MaxConns: most}, NewPressure(telemetry, "test"))
	release := make(chan struct{})
	server := &httptest.Server{Listener: l, Config: &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Serving(r.Context())()
		if r.URL.Path == "/long" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}}
	server.Start()
	defer server.Close()
	get := func(path string) string {
		res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(server.URL + path)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = res.Body.Close() }()
		text, _ := io.ReadAll(res.Body)
		return string(text)
	}
	long := make(chan string)
	go func() { long <- get("/long") }()
	for l.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	var crowd []net.Conn
	for range 3 * most {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
		crowd = append(crowd, conn)
		defer func() { _ = conn.Close() }()
	}
	for l.count() < most {
		time.Sleep(time.Millisecond)
	}
	if got := get("/"); got == "ok" {
		t.Error("a caller was let in while nobody stalls and all connections are taken")
	}
	clock.Advance(stallTime)
	if got := get("/"); got != "ok" {
		t.Errorf("an ordinary caller got %q while a crowd of %d stalls", got, len(crowd))
	}
	if n := l.count(); n > most {
		t.Errorf("%d connections are open", n)
	}
	close(release)
	if got := <-long; got != "ok" {
		t.Errorf("the answer that took long is %q", got)
	}
}

// Load: all connections are taken by callers that send one request after the other. Guards against new callers that are kept out for as
// long as these like.
func TestBusyConnectionEndsWithItsAnswer(t *testing.T) {
	const most = 4
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	telemetry := observer.NewDiscard(timer.NewManualClock(1_000_000).Clock())
	l := NewListener(raw, telemetry.Clock, Bounds{MaxConns: most}, NewPressure(telemetry, "test"))
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		defer Serving(r.Context())()
	})}}
	Attach(server.Config)
	server.Start()
	defer server.Close()
	var busy []*http.Client
	for i := range most {
		c := &http.Client{Transport: &http.Transport{}}
		for range i + 1 {
			res, err := c.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
		}
		busy = append(busy, c)
	}
	newcomer := &http.Client{Transport: &http.Transport{}}
	if _, err := newcomer.Get(server.URL); err == nil {
		t.Fatal("a caller was let in while all connections are taken")
	}
	res, err := busy[most-1].Get(server.URL)
	if err != nil || !res.Close {
		t.Fatalf("the connection that has carried the most requests stays: %v", err)
	}
	_ = res.Body.Close()
	for l.count() == most {
		time.Sleep(time.Millisecond)
	}
	if res, err = newcomer.Get(server.URL); err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}

// Load: all connections are taken by callers that send a byte now and then. Guards against new callers that are kept out by them, against
// idle connections that give way in their place, and against slow callers that give way though they send what a slow line carries.
func TestSlowRequestsGiveWayFirst(t *testing.T) {
	const grace = 3 * timer.Second
	now := timer.Hour
	tests := map[string]struct {
		callers []arrival
		want    int
	}{
		"all have just begun":            {[]arrival{{now - grace, now, 1}, {now - grace, now, 1}}, -1},
		"one sends a byte now and then":  {[]arrival{{now - grace, now, 1}, {now - 2*grace, now, 10}}, 1},
		"the one that has taken longest": {[]arrival{{now - 3*grace, now, 10}, {now - 4*grace, now, 10}, {now - 2*grace, now - stallTime, 1}}, 1},
		"slow lines":                     {[]arrival{{now - 10*grace, now, 60 << 10}, {now - 2*grace, now, 6 << 10}}, -1},
		"an idle connection":             {[]arrival{{0, now - 20*grace, 0}, {now - grace, now, 1}}, 0},
		"an idle one stays longer":       {[]arrival{{0, now - 20*grace, 0}, {now - 2*grace, now, 10}}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManualClock(now)
			l := &Listener{clock: clock.Clock(), bounds: Bounds{Pace: Pace{Grace: grace, Rate: 1 << 10}}, conns: map[*Conn]bool{}}
			var list []*Conn
			for _, c := range tt.callers {
				conn := newConn(nil, l)
				conn.progressAt.Store(int64(c.progressAt))
				if c.startedAt != 0 {
					conn.request = c
				}
				l.conns[conn] = true
				list = append(list, conn)
			}
			if got := slices.Index(list, l.latest()); got != tt.want {
				t.Errorf("caller %d gives way, want %d", got, tt.want)
			}
		})
	}
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Guards against bodies that are read wrongly, without a bound, or for ever.
func TestReadBody(t *testing.T) {
	tests := map[string]struct {
		body    string
		chunked bool
		// short is the part of the body that is not sent.
		short  int
		status int
	}{
		"no body":                     {"", false, 0, 200},
		"short":                       {"two coats", false, 0, 200},
		"first piece is full":         {strings.Repeat("x", firstPiece), false, 0, 200},
		"one byte more":               {strings.Repeat("x", firstPiece+1), false, 0, 200},
		"largest":                     {strings.Repeat("x", 200_000), false, 0, 200},
		"too long":                    {strings.Repeat("x", 200_001), false, 0, 413},
		"in chunks":                   {strings.Repeat("x", 200_000), true, 0, 200},
		"in chunks, too long":         {strings.Repeat("x", 300_000), true, 0, 413},
		"stops short":                 {strings.Repeat("x", 1000), false, 1, 408},
		"in chunks, stops short":      {strings.Repeat("x", 1000), true, len("x\r\n0\r\n\r\n"), 408},
		"in chunks, without an end":   {strings.Repeat("x", 1000), true, 1, 500},
		"stops short after one piece": {strings.Repeat("x", 100_000), false, 1, 408},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			telemetry := observer.NewDiscard(timer.NewSystemClock())
			rd := Reader{Budget: NewBudget(telemetry.Clock, 1<<20, Pace{}, NewPressure(telemetry, "test")), Wait: 100}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				l, err := rd.Open(r)
				if err != nil {
					t.Error(err)
					return
				}
				defer l.Close()
				body, err := rd.ReadBody(w, r, l, 200_000)
				var tooLarge *http.MaxBytesError
				switch {
				case errors.As(err, &tooLarge):
					w.WriteHeader(413)
				case errors.Is(err, ErrTooSlow):
					w.WriteHeader(408)
				case err != nil || string(body) != tt.body:
					w.WriteHeader(500)
				}
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(tt.body), tt.body)
			if tt.chunked {
				request = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(tt.body), tt.body)
			}
			go func() { _, _ = io.WriteString(conn, request[:len(request)-tt.short]) }()
			answer := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != fmt.Sprintf("HTTP/1.1 %d", tt.status) {
				t.Fatalf("got %q, %v, want %d", answer, err, tt.status)
			}
			for deadline := time.Now().Add(10 * time.Second); rd.Budget.Held() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes are held at the end", rd.Budget.Held())
				}
			}
		})
	}
}

// Guards against a request that is served for long and counts as stalled, because its handler reads bodies itself or its connection is
// encrypted.
func TestServedRequestIsNoStall(t *testing.T) {
	for name, start := range map[string]func(*httptest.Server){"plain": (*httptest.Server).Start, "encrypted": (*httptest.Server).StartTLS} {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			telemetry := observer.NewDiscard(timer.NewManualClock(1_000_000).Clock())
			l := NewListener(raw, telemetry.Clock, Bounds{MaxConns: 4}, NewPressure(telemetry, "test"))
			mayGiveWay := make(chan bool, 1)
			server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				for c := range l.conns {
					mayGiveWay <- c.eviction(l.clock.Now() + timer.Hour).mayGiveWay
				}
			})}}
			Attach(server.Config)
			start(server)
			defer server.Close()
			res, err := server.Client().Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if <-mayGiveWay {
				t.Fatal("the connection may give way while its request is served")
			}
		})
	}
}
