package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// respondRaw sends a request to a server that answers with the given text and closes the connection.
func respondRaw(t *testing.T, text string) *Response {
	t.Helper()
	client, server := connPair(t)
	p := NewPool(Deps{Now: timer.NewSystemClock().Now, Limits: testLimits(), Memory: NewMemory(64 << 10),
		Dial: func(context.Context, Endpoint, Relays) (net.Conn, error) { return client, nil }}, Endpoint{})
	c, err := p.Open(context.Background(), timer.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.WriteString(server, text)
			_ = server.Close()
		}
	}()
	req := Request{ID: "own", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}
	if err := c.Write(req); err != nil {
		t.Fatal(err)
	}
	res, err := c.ReadResponse(req, testInspect, nil)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func readEvents(res *Response) (text string, err error) {
	events := res.Events(func(lastEventAt, _ timer.Millis, _ bool) (timer.Millis, bool) {
		return lastEventAt + timer.Second, true
	})
	defer events.Free()
	for {
		b, err := events.Next()
		if err != nil {
			return text, err
		}
		text += string(b)
	}
}

// joins are what a server may send behind an answer that it has broken off.
func joins() map[string]string {
	return map[string]string{
		"another stream":       "HTTP/1.1 200 OK\r\nId: other\r\nContent-Type: text/event-stream\r\n\r\nid: 5\ndata: other\n\nid: 6\ndata: other\n\n",
		"a chunked stream":     "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 5\ndata: other 5\n\n\r\n0\r\n\r\n",
		"an error":             "HTTP/1.1 500 Internal Server Error\r\nId: own\r\nContent-Type: text/plain\r\n\r\nthe engine failed\n",
		"an error of HTTP 1.0": "HTTP/1.0 502 Bad Gateway\nId: other\n\n<html>\n\n",
	}
}

// framings return the extra headers and the bytes of a body of pieces, by how its end is told.
func framings() map[string]func(pieces []string) (header, body string) {
	return map[string]func([]string) (string, string){
		"the end of the connection": func(pieces []string) (string, string) { return "", strings.Join(pieces, "") },
		"a length": func(pieces []string) (string, string) {
			body := strings.Join(pieces, "")
			return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
		},
		"chunks": func(pieces []string) (string, string) {
			body := ""
			for _, p := range pieces {
				body += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
			}
			return "Transfer-Encoding: chunked\r\n", body + "0\r\n\r\n"
		},
	}
}

// Guards against an answer of another request, or an error, that reaches a caller as a part of a complete stream: the stream
// breaks off inside an event.
func TestStreamsCutAndJoinedAtEveryByte(t *testing.T) {
	for framing, frame := range framings() {
		t.Run(framing, func(t *testing.T) {
			for _, separator := range []string{"\n", "\r\n"} {
				var pieces []string
				for n := range 4 {
					pieces = append(pieces, strings.Join([]string{fmt.Sprintf("id: %d", n+1), fmt.Sprintf("data: own piece %d", n+1), "", ""}, separator))
				}
				answer := strings.Join(pieces, "")
				header, body := frame(pieces)
				for name, joined := range joins() {
					for cut := range len(body) {
						res := respondRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Type: text/event-stream\r\n"+header+"\r\n"+body[:cut]+joined)
						text, err := readEvents(res)
						if errors.Is(err, io.EOF) && text != answer || !strings.HasPrefix(answer, text) {
							t.Fatalf("%s behind byte %d of %q: the caller got %q, %v", name, cut, body, text, err)
						}
					}
				}
			}
		})
	}
}

// Guards against the same in answers that are no streams.
func TestPlainAnswersCutAndJoinedAreIncomplete(t *testing.T) {
	const answer = "the whole body of the answer, with a line\nand another one\n"
	for name, joined := range joins() {
		for cut := range len(answer) + 1 {
			res := respondRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\n\r\n"+answer[:cut]+joined)
			if body, err := res.ReadBody(giveUp); err == nil {
				t.Fatalf("%s behind byte %d: complete with %q", name, cut, body.Bytes)
			}
		}
	}
}

// Guards against an answer with a length that broke off and is filled up with another one, which goes on behind it.
func TestPlainAnswersOfALengthCutAndJoinedAreIncomplete(t *testing.T) {
	const tail = "the end of the answer, which the server has left out"
	for name, joined := range joins() {
		for missing := 1; missing <= len(tail); missing++ {
			answer := strings.Repeat("a line of the answer\n", 200) + tail
			res := respondRaw(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: %d\r\n\r\n%s%s", len(answer), answer[:len(answer)-missing], joined))
			if body, err := res.ReadBody(giveUp); err == nil {
				t.Fatalf("%s, %d bytes are missing: complete with %q", name, missing, body.Bytes[len(body.Bytes)-missing:])
			}
		}
	}
}

// Guards against answers that speak of HTTP and are taken for broken ones.
func TestAnswersMayQuoteHeads(t *testing.T) {
	const events = "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: text/plain\n\nid: 2\ndata: then HTTP/1.1 404 Not Found\n\nx-weights: 3\nid: 3\ndata: x\n\n"
	text, err := readEvents(respondRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Type: text/event-stream\r\n\r\n"+events))
	if !errors.Is(err, io.EOF) || text != events {
		t.Errorf("a stream gave %q, %v", text, err)
	}
	for name, body := range map[string]string{"a status line": "it answers HTTP/1.1 200 OK\nand no more", "a word": "HTTP/1.1 is old", "a version": "HTTP/1. 200\nA: b"} {
		got, err := respondRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\n\r\n"+body).ReadBody(giveUp)
		if err != nil || string(got.Bytes) != body {
			t.Errorf("%s: got %q, %v", name, got.Bytes, err)
		}
	}
	for name, body := range map[string]string{"a head": "it answers HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello", "an unfinished head": "HTTP/1.1 200 OK\r\nA: b",
		"the end of a word": "an answer that ends with HTTP", "a letter": "H"} {
		got, err := respondRaw(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: %d\r\n\r\n%s", len(body), body)).ReadBody(giveUp)
		if err != nil || string(got.Bytes) != body {
			t.Errorf("%s in a body with a length: got %q, %v", name, got.Bytes, err)
		}
	}
}

func TestHasIncreasingIDs(t *testing.T) {
	tests := map[string]struct {
		last, events string
		want         bool
	}{
		"in order":             {"", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", true},
		"with gaps":            {"3", "id: 7\ndata: x\n\nid: 19\ndata: x\n\n", true},
		"back":                 {"3", "id: 2\ndata: x\n\n", false},
		"twice":                {"", "id: 4\ndata: x\n\nid: 4\ndata: x\n\n", false},
		"twice in one event":   {"", "id: 4\ndata: x\nid: 4\n\n", false},
		"no ids":               {"", "data: x\n\ndata: y\n\n", true},
		"ids that are names":   {"a", "id: b\ndata: x\n\nid: b\ndata: y\n\n", true},
		"id within the data":   {"9", "data: id: 3\n\n", true},
		"a name among numbers": {"1", "id: x\ndata: x\n\nid: 2\ndata: y\n\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := HasIncreasingIDs(tt.last, []byte(tt.events)); got != tt.want {
				t.Fatalf("got %t, want %t", got, tt.want)
			}
		})
	}
}
