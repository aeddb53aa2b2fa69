package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// hostileServer plays a script of well-formed and broken responses; the script also says in which slices they arrive.
type hostileServer struct {
	mu     sync.Mutex
	script []byte
	// ran holds the ids of the requests that the server has run.
	ran map[string]bool
}

// hostileConn is one connection of a hostileServer; late copies come on the connection of the original.
type hostileConn struct {
	*hostileServer
	requests int
	last     string
	// closes is true if the connection is closed after the response.
	closes bool
}

// next returns the next byte of the script, 0 at its end.
func (s *hostileServer) next() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return 0
	}
	b := s.script[0]
	s.script = s.script[1:]
	return b
}

func (s *hostileServer) isDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.script) == 0
}

func (s *hostileServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// answer returns the response of a run of the request.
func (s *hostileServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id] = true
	body := bodyOf(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func bodyOf(id string) string { return "the whole body of " + id }

func refusalOf(id string) string {
	return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
}

const refusalWithoutID = "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"

// scriptedResponses returns the responses that a script may name.
func scriptedResponses() []func(c *hostileConn, id string) string {
	return []func(*hostileConn, string) string{
		func(c *hostileConn, id string) string { return c.answer(id) },
		func(_ *hostileConn, id string) string { return refusalOf(id) },
		func(*hostileConn, string) string { return refusalWithoutID },
		func(c *hostileConn, id string) string { return c.last + c.answer(id) },
		func(c *hostileConn, id string) string { return c.answer(id) + c.last },
		func(c *hostileConn, id string) string { return c.cut(c.answer(id)) },
		func(c *hostileConn, id string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + c.answer(id) },
		func(c *hostileConn, id string) string { return c.chunkedAnswer(id) },
		func(c *hostileConn, id string) string {
			c.answer(id)
			c.closes = true
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n" + bodyOf(id)
		},
		func(c *hostileConn, id string) string {
			c.answer(id)
			return c.garbage()
		},
		func(c *hostileConn, id string) string { return c.lateRefusal() + c.answer(id) },
		func(_ *hostileConn, id string) string { return refusalOf(id) + refusalOf(id) },
		func(c *hostileConn, id string) string { return c.answer(id) + c.answer(id) },
		func(c *hostileConn, id string) string {
			c.answer(id)
			return ""
		},
		func(c *hostileConn, id string) string { return c.cut(c.last) + c.answer(id) },
		func(c *hostileConn, id string) string {
			return "HTTP/1.1 204 No Content\r\nId: other\r\nContent-Length: 3\r\n\r\nabc" + c.answer(id)
		},
	}
}

// cut returns the part of text that the script says.
func (s *hostileConn) cut(text string) string {
	return text[:int(s.next())*len(text)/256]
}

func (s *hostileConn) chunkedAnswer(id string) string {
	s.answer(id)
	body := bodyOf(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

func (s *hostileConn) garbage() string {
	text := ""
	for range s.next() {
		text += string(rune(s.next()))
	}
	return text
}

// lateRefusal returns a late copy of a refusal, which needs an earlier request: a server that refuses a request and runs it
// all the same is a liar.
func (s *hostileConn) lateRefusal() string {
	if s.requests == 0 {
		return ""
	}
	return refusalWithoutID
}

// respond writes what the script says for one request and reports whether the connection stays open.
func (s *hostileConn) respond(w io.Writer, id string) bool {
	op := s.next()
	s.closes = op&0x80 != 0
	text := scriptedResponses()[op&0x0f](s, id)
	s.last = text
	s.requests++
	return writeSliced(w, text, int(op>>4&7)) && !s.closes
}

// writeSliced writes text in slices of the given size; 0 writes it at once.
func writeSliced(w io.Writer, text string, size int) bool {
	for len(text) > 0 {
		n := len(text)
		if size > 0 {
			n = min(n, size*7)
		}
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

func (s *hostileServer) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	c := &hostileConn{hostileServer: s}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !c.respond(conn, r.Header.Get("Id")) {
			return
		}
	}
}

// FuzzExchanges sends requests to a hostile server over reused connections. A response must go to its own request, whole
// or marked as broken, and a request counts as not run only if it has not run.
func FuzzExchanges(f *testing.F) {
	f.Add([]byte{0, 0, 0})
	f.Add([]byte{1, 0, 3, 0, 4, 0})
	f.Add([]byte{2, 10, 0, 11, 0, 12, 0})
	f.Add([]byte{0x15, 200, 0x26, 0x37, 8, 13, 0})
	f.Add([]byte{0, 14, 128, 0, 9, 3, 'a', 'b', 'c', 15, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		s := &hostileServer{script: script, ran: map[string]bool{}}
		limits := testLimits()
		limits.HeadTimeout, limits.BodyGrace = 15, 15
		p := NewPool(Deps{Now: timer.NewSystemClock().Now, Limits: limits, Memory: NewMemory(64 << 10),
			Dial: func(context.Context, Endpoint, Relays) (net.Conn, error) {
				client, server := net.Pipe()
				go s.run(server)
				return client, nil
			}}, Endpoint{})
		const maxRequests = 24
		for n := 0; n < maxRequests && !s.isDone(); n++ {
			id := fmt.Sprintf("r%d", n)
			c := p.Get(nil, nil)
			if c == nil {
				var err error
				if c, err = p.Open(context.Background(), timer.Second, nil); err != nil {
					t.Fatal(err)
				}
			}
			got, body := exchangeWithin(p, c, id, 20)
			switch {
			case got == complete && body != bodyOf(id):
				t.Fatalf("%s got %q, which is not its own answer", id, body)
			case got == notRun && s.hasRun(id):
				t.Fatalf("%s has run but counts as not run", id)
			}
		}
		p.SetClosed(true)
		if used := p.deps.Memory.used.Load(); used != 0 {
			t.Fatalf("%d bytes are still counted", used)
		}
	})
}
