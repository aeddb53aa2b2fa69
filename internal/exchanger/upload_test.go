package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Load: a server that answers a long upload before it has read it and resets the connection, as the first or the second answer on a
// connection. Guards against a part that is taken for the whole answer, and against whole answers and refusals that are lost.
func TestAnswerDuringAnUpload(t *testing.T) {
	const ok, rounds = "HTTP/1.1 200 OK\r\nId: own\r\n", 20
	tests := map[string]struct {
		answer string
		stream bool
		want   verdict
	}{
		"no length":             {ok + "\r\na part", false, broken},
		"no length, events":     {ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", true, broken},
		"a part of a length":    {ok + "Content-Length: 20\r\n\r\na part", false, broken},
		"a status that is none": {"HTTP/1.1 000 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nhi", false, broken},
		"a whole answer":        {ok + "Content-Length: 2\r\n\r\nhi", false, complete},
		"a refusal":             {"HTTP/1.1 503 Full\r\nId: own\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", false, notRun},
	}
	for name, tt := range tests {
		for before, kept := range map[string]bool{"new connection": false, "kept connection": true} {
			t.Run(name+", "+before, func(t *testing.T) {
				for range rounds {
					got, err := answerDuringUpload(t, tt.answer, tt.stream, kept)
					if got != tt.want {
						t.Fatalf("got %q, %v, want %q", got, err, tt.want)
					}
				}
			})
		}
	}
}

func answerDuringUpload(t *testing.T, answer string, stream, kept bool) (verdict, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		if kept {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n")
		}
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, answer)
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	dial := NewDial()
	p := NewPool(Deps{Now: timer.NewSystemClock().Now, Limits: testLimits(), Memory: NewMemory(1 << 20),
		Dial: func(ctx context.Context, _ Endpoint, _ Relays) (net.Conn, error) { return dial(ctx, l.Addr().String()) }}, Endpoint{})
	c, err := p.Open(t.Context(), timer.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	req := Request{ID: "own", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}
	if kept {
		if got, _ := exchange(p, c, req, timer.Second); got != complete || p.Get(nil, nil) != c {
			t.Fatalf("the first answer is %q", got)
		}
	}
	defer func() { _ = c.Close() }()
	req.Body = make([]byte, 8<<20)
	if err := c.Write(req); err != nil {
		return broken, err
	}
	res, err := c.ReadResponse(req, testInspect, c.source.within(5*timer.Second))
	if err != nil {
		return broken, err
	}
	if res.Info.NotRun {
		return notRun, nil
	}
	if stream {
		if _, err := readEvents(res); err != io.EOF {
			return broken, err
		}
		return complete, nil
	}
	if _, err := res.ReadBody(giveUp); err != nil {
		return broken, err
	}
	if res.CanReuse() {
		t.Error("a connection that broke would be used again")
	}
	return complete, nil
}
