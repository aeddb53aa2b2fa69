package exchanger

import (
	"net"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a response that was cut off in its head and is taken for a whole one with an empty or short body.
func TestHeadCutAtAnyByteIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"no length":        "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nId: a\nSeal: s\n\n",
		"length":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n",
		"empty body":       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n",
		"no content":       "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"refusal":          "HTTP/1.1 503 Full\r\nId: a\r\nRefused: 1\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
		"after an interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for length := range head {
				client, server := connPair(t)
				go playCut(server, head[:length])
				deps := Deps{Now: timer.NewSystemClock().Now, Limits: testLimits(), Memory: NewMemory(1 << 20)}
				p := NewPool(deps, Endpoint{})
				c := newConn(client, deps.Now, deps.Limits, deps.Memory)
				if got, body := exchangeWithin(p, c, "a", 500); got != broken {
					t.Errorf("head cut after %q: %s with body %q", head[:length], got, body)
				}
			}
		})
	}
}

// playCut reads a request, sends text and closes the connection.
func playCut(conn net.Conn, text string) {
	buffer := make([]byte, 4096)
	_, _ = conn.Read(buffer)
	_, _ = conn.Write([]byte(text))
	_ = conn.Close()
}
