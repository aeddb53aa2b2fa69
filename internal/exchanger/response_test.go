package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func testLimits() Limits {
	return Limits{MaxHeadBytes: 4 << 10, HeadTimeout: 200, MaxSkippedBytes: 2 << 10, MaxBodyBytes: 8 << 10, MaxEventBytes: 2 << 10,
		MinBodyRate: 1 << 10, BodyGrace: 200}
}

func testInspect(res *http.Response) Info {
	return Info{RequestID: strings.Join(res.Header.Values("Id"), ","), NotRun: res.Header.Get("Refused") != ""}
}

// giveUp ends the wait for a body that stalls.
func giveUp(timer.Millis) (timer.Millis, bool) { return 0, false }

// verdict is what a response was taken for.
type verdict string

const (
	complete verdict = "complete"
	notRun   verdict = "not run"
	broken   verdict = "broken"
)

// exchangeWithin sends a request with the given id and waits for the first byte of the response for the given time.
func exchangeWithin(p *Pool, c *Conn, id string, timeout timer.Millis) (verdict, string) {
	return exchange(p, c, Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}, timeout)
}

// exchange sends one request and reads its response; the verdict broken has an empty body.
func exchange(p *Pool, c *Conn, req Request, timeout timer.Millis) (verdict, string) {
	if err := c.Write(req); err != nil {
		_ = c.Close()
		return broken, ""
	}
	res, err := c.ReadResponse(req, testInspect, c.source.within(timeout))
	if err != nil {
		_ = c.Close()
		return broken, ""
	}
	if res.Info.NotRun {
		if res.Discard() != nil {
			_ = c.Close()
			return notRun, ""
		}
		p.PutAfter(c, res)
		return notRun, ""
	}
	body, err := res.ReadBody(giveUp)
	if err != nil {
		_ = c.Close()
		return broken, ""
	}
	defer body.Free()
	p.PutAfter(c, res)
	return complete, string(body.Bytes)
}

// connPair returns a TCP connection over loopback and the server's end of it: pipes know no reset.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			close(accepted)
			return
		}
		accepted <- conn
	}()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server = <-accepted
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func keepOpen(net.Conn) {}

func closeConn(conn net.Conn) { _ = conn.Close() }

func TestResponseVerdicts(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: a\r\n"
	tests := map[string]struct {
		method   string
		response string
		end      func(net.Conn)
		want     verdict
		body     string
		reused   bool
	}{
		"length":                             {"POST", ok + "Content-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", true},
		"chunks":                             {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", keepOpen, complete, "hi", true},
		"server closes the connection":       {"POST", ok + "Connection: close\r\nContent-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", false},
		"no length, closed":                  {"POST", ok + "\r\nhi", closeConn, complete, "hi", false},
		"no length, reset":                   {"POST", ok + "\r\nhi", reset, broken, "", false},
		"HTTP/1.0":                           {"POST", "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", false},
		"HTTP/1.0, no length":                {"POST", "HTTP/1.0 200 OK\r\nId: a\r\n\r\nhi", closeConn, complete, "hi", false},
		"cut in the status line":             {"POST", "HTTP/1.1 20", closeConn, broken, "", false},
		"cut in the head":                    {"POST", ok + "Content-Le", closeConn, broken, "", false},
		"cut before the end of the head":     {"POST", ok, closeConn, broken, "", false},
		"cut below the length":               {"POST", ok + "Content-Length: 5\r\n\r\nhi", closeConn, broken, "", false},
		"reset below the length":             {"POST", ok + "Content-Length: 5\r\n\r\nhi", reset, broken, "", false},
		"cut in a chunk":                     {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi", closeConn, broken, "", false},
		"cut between chunks":                 {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", closeConn, broken, "", false},
		"cut before the last line":           {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", closeConn, broken, "", false},
		"cut in the trailer":                 {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: 1", closeConn, broken, "", false},
		"stalls in the head":                 {"POST", ok, keepOpen, broken, "", false},
		"stalls in the body":                 {"POST", ok + "Content-Length: 5\r\n\r\nhi", keepOpen, broken, "", false},
		"two different lengths":              {"POST", ok + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi", keepOpen, broken, "", false},
		"the same length twice":              {"POST", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", true},
		"negative length":                    {"POST", ok + "Content-Length: -2\r\n\r\nhi", keepOpen, broken, "", false},
		"chunks win over a length":           {"POST", ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", keepOpen, complete, "hi", true},
		"unknown transfer encoding":          {"POST", ok + "Transfer-Encoding: gzip\r\n\r\nhi", closeConn, broken, "", false},
		"compressed unasked":                 {"POST", ok + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"body over the limit":                {"POST", ok + "Content-Length: 9000\r\n\r\nhi", keepOpen, broken, "", false},
		"head over the limit":                {"POST", ok + "X: " + strings.Repeat("x", 5000) + "\r\nContent-Length: 0\r\n\r\n", keepOpen, broken, "", false},
		"informational head first":           {"POST", "HTTP/1.1 102 Processing\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", true},
		"switches protocols":                 {"POST", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"HEAD with a length":                 {"HEAD", ok + "Content-Length: 5\r\n\r\n", keepOpen, complete, "", true},
		"HEAD with a body":                   {"HEAD", ok + "Content-Length: 2\r\n\r\nhi", keepOpen, complete, "", false},
		"no content, with a body":            {"POST", "HTTP/1.1 204 No Content\r\nId: a\r\nContent-Length: 2\r\n\r\nhi", keepOpen, complete, "", false},
		"bytes after the response":           {"POST", ok + "Content-Length: 2\r\n\r\nhi!", keepOpen, complete, "hi", false},
		"no response at all":                 {"POST", "hello\r\n", keepOpen, broken, "", false},
		"response to another request first":  {"POST", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 2\r\n\r\nzz" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", true},
		"chunked copy of another stream":     {"POST", "HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nzz\r\n0\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, complete, "hi", true},
		"foreign response without a length":  {"POST", "HTTP/1.1 200 OK\r\nId: z\r\n\r\nzz", closeConn, broken, "", false},
		"foreign refusal":                    {"POST", "HTTP/1.1 503 Full\r\nId: z\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", closeConn, broken, "", false},
		"response without an id":             {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", closeConn, broken, "", false},
		"two ids":                            {"POST", "HTTP/1.1 200 OK\r\nId: z\r\n" + "Id: a\r\nContent-Length: 2\r\n\r\nhi", closeConn, broken, "", false},
		"copy cut off in a header":           {"POST", "HTTP/1.1 503 Full\r\nRefused: 1" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"copy cut off in the status line":    {"POST", "HTTP/1.1 503 Fu" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"copy cut off after a line":          {"POST", "HTTP/1.1 503 Full\r\nRefused: 1\r\n" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"copy cut off in its body":           {"POST", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 9\r\n\r\nzz" + ok + "Content-Length: 2\r\n\r\nhi", keepOpen, broken, "", false},
		"refusal":                            {"POST", "HTTP/1.1 503 Full\r\nId: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, notRun, "", true},
		"refusal without an id":              {"POST", "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, notRun, "", false},
		"refusal without an id after others": {"POST", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", closeConn, broken, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connPair(t)
			deps := Deps{Now: timer.NewSystemClock().Now, Limits: testLimits(), Memory: NewMemory(1 << 20),
				Dial: func(context.Context, Endpoint, Relays) (net.Conn, error) { return client, nil }}
			p := NewPool(deps, Endpoint{})
			c, err := p.Open(context.Background(), timer.Second, nil)
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					served <- err
					return
				}
				_, err := io.WriteString(server, tt.response)
				tt.end(server)
				served <- err
			}()
			got, body := exchange(p, c, Request{ID: "a", Method: tt.method, Target: "/", Host: "h", Header: http.Header{}}, 300)
			if err := <-served; err != nil {
				t.Fatal(err)
			}
			if got != tt.want || body != tt.body {
				t.Errorf("got %q with body %q, want %q with %q", got, body, tt.want, tt.body)
			}
			if reused := p.Get(nil, nil) == c; reused != tt.reused {
				t.Errorf("the connection is used again: %t, want %t", reused, tt.reused)
			}
		})
	}
}

// Guards against an answer whose status is none, which is passed on, or skipped as an informational one until the time limit.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			client, server := connPair(t)
			c := newConn(client, timer.NewSystemClock().Now, testLimits(), NewMemory(1<<20))
			go func() {
				_, _ = io.WriteString(server, "HTTP/1.1 "+status+" OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi")
			}()
			wait := c.source.within(5 * timer.Second)
			if _, err := c.ReadResponse(Request{ID: "a", Method: http.MethodGet}, testInspect, wait); !errors.Is(err, ErrNoStatus) {
				t.Fatalf("got %v, want %v", err, ErrNoStatus)
			}
		})
	}
}

// A stream of valid events without end is ended by the caller's departure, which closes the connection.
func TestEndlessEventsEndWithTheConnection(t *testing.T) {
	client, server := net.Pipe()
	deps := Deps{Now: timer.NewSystemClock().Now, Limits: testLimits(), Memory: NewMemory(64 << 10),
		Dial: func(context.Context, Endpoint, Relays) (net.Conn, error) { return client, nil }}
	p := NewPool(deps, Endpoint{})
	c, err := p.Open(context.Background(), timer.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
		for {
			if _, err := io.WriteString(server, text); err != nil {
				return
			}
			text = "id: 1\ndata: x\n\n"
		}
	}()
	req := Request{ID: "a", Method: "POST", Target: "/", Host: "h", Header: http.Header{}}
	if err := c.Write(req); err != nil {
		t.Fatal(err)
	}
	res, err := c.ReadResponse(req, testInspect, nil)
	if err != nil {
		t.Fatal(err)
	}
	events := res.Events(func(lastEventAt, _ timer.Millis, _ bool) (timer.Millis, bool) {
		return lastEventAt + timer.Second, true
	})
	defer events.Free()
	for n := range 1000 {
		if n == 500 {
			_ = c.Close()
		}
		b, err := events.Next()
		if err != nil {
			if n < 500 || errors.Is(err, io.EOF) {
				t.Fatalf("event %d: %v", n, err)
			}
			return
		}
		if len(b) > testLimits().MaxEventBytes {
			t.Fatalf("%d bytes were held back", len(b))
		}
	}
	t.Fatal("the stream went on after the connection was closed")
}

func TestMemoryIsBoundedAndReturned(t *testing.T) {
	m := NewMemory(32 << 10)
	a, b := &buffer{memory: m}, &buffer{memory: m}
	if err := a.grow(20<<10, 1<<20); err != nil {
		t.Fatal(err)
	}
	if err := b.grow(20<<10, 1<<20); !errors.Is(err, ErrNoMemory) {
		t.Fatalf("a second buffer got %v, want %v", err, ErrNoMemory)
	}
	a.free()
	if err := b.grow(20<<10, 1<<20); err != nil {
		t.Fatal(err)
	}
	b.free()
	if used := m.used.Load(); used != 0 {
		t.Fatalf("%d bytes are still counted", used)
	}
}
