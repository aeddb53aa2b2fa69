package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func send(t *testing.T, stall timer.Millis, handler http.HandlerFunc) (*Response, error) {
	t.Helper()
	return sendWith(t, stall, func() bool { return true }, handler)
}

func sendWith(t *testing.T, stall timer.Millis, mayLeave func() bool, handler http.HandlerFunc) (*Response, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	d := NewDispatcher(stall)
	t.Cleanup(d.Close)
	return d.Send(context.Background(), Call{Address: strings.TrimPrefix(server.URL, "http://"), RequestID: "own", Method: http.MethodPost, Path: "/", MayLeave: mayLeave})
}

// The transport takes a late copy of another answer for the one that it waits for.
func TestAnswerToAnotherRequestIsNotTaken(t *testing.T) {
	tests := map[string]struct {
		id   string
		want bool
	}{
		"its own id":   {"own", true},
		"no id":        {"", true},
		"another's id": {"other", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, err := send(t, timer.Second, func(w http.ResponseWriter, _ *http.Request) {
				if tt.id != "" {
					w.Header().Set(receiver.HeaderRequestID, tt.id)
				}
			})
			if err == nil {
				defer func() { _ = res.Body.Close() }()
			}
			var sendErr *SendError
			if (err == nil) != tt.want || err != nil && (!errors.As(err, &sendErr) || sendErr.Ran != receiver.RanUnknown) {
				t.Fatalf("got %v, want an answer: %t", err, tt.want)
			}
		})
	}
}

func TestStalledAnswers(t *testing.T) {
	const stall = 300 * timer.Millisecond
	tests := map[string]struct {
		piece    string
		interval time.Duration
		pieces   int
		// records is true if each piece is a complete event.
		records bool
		stalled bool
	}{
		"a byte now and then":          {"x", 40 * time.Millisecond, 40, false, true},
		"silence":                      {"x", time.Second, 2, false, true},
		"slow but complete events":     {"data: x\n\n", 150 * time.Millisecond, 8, true, false},
		"a large body, piece by piece": {strings.Repeat("x", 2*progressBytes), 150 * time.Millisecond, 8, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res, err := send(t, stall, func(w http.ResponseWriter, r *http.Request) {
				for range tt.pieces {
					if _, err := io.WriteString(w, tt.piece); err != nil || http.NewResponseController(w).Flush() != nil {
						return
					}
					select {
					case <-time.After(tt.interval):
					case <-r.Context().Done():
						return
					}
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			received := 0
			for buf := make([]byte, 1<<10); err == nil; {
				var n int
				n, err = res.Body.Read(buf)
				received += n
				if tt.records && n > 0 {
					res.RecordProgress()
				}
			}
			if stalled := !errors.Is(err, io.EOF); stalled != tt.stalled {
				t.Fatalf("%d bytes, then %v; want a stall: %t", received, err, tt.stalled)
			}
		})
	}
}

// Guards against a working answer that is lost for its silence although nothing replaces it.
func TestStalledAnswerIsKeptUntilItMayBeLeft(t *testing.T) {
	const stall, pause = 100 * timer.Millisecond, 2 * time.Second
	tests := map[string]struct {
		// pausesFirst makes the server pause before the head of its answer, else in the middle of it.
		pausesFirst bool
		// leavesAt is the question at which the answer may be left, 0 for none.
		leavesAt int
		stalled  bool
	}{
		"silent before the head, never left":      {true, 0, false},
		"silent in the middle, never left":        {false, 0, false},
		"silent before the head, left on request": {true, 2, true},
		"silent in the middle, left on request":   {false, 2, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			questions := 0
			mayLeave := func() bool {
				questions++
				return questions == tt.leavesAt
			}
			res, err := sendWith(t, stall, mayLeave, func(w http.ResponseWriter, r *http.Request) {
				if !tt.pausesFirst {
					if _, err := io.WriteString(w, "a"); err != nil || http.NewResponseController(w).Flush() != nil {
						return
					}
				}
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
					return
				}
				_, _ = io.WriteString(w, "b")
			})
			var text []byte
			if err == nil {
				defer func() { _ = res.Body.Close() }()
				text, err = io.ReadAll(res.Body)
			}
			if (err != nil) != tt.stalled || err == nil && !strings.HasSuffix(string(text), "b") {
				t.Fatalf("got %q, %v after %d questions; want a stall: %t", text, err, questions, tt.stalled)
			}
		})
	}
}

// Guards against an earlier refusal that a server sends once more on a kept connection and that is taken for the answer to the
// next call, which the server runs.
func TestLateCopyOfRefusalProvesNothing(t *testing.T) {
	tests := map[string]struct {
		// id is the id that the refusals bear.
		id string
	}{
		"without an id":       {""},
		"with the earlier id": {"first"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			header := ""
			if tt.id != "" {
				header = receiver.HeaderRequestID + ": " + tt.id + "\r\n"
			}
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + header + receiver.HeaderRan + ": no\r\nContent-Length: 0\r\n\r\n"
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go answerEach(l, refusal)
			d := NewDispatcher(timer.Second)
			defer d.Close()
			for _, call := range []struct {
				id  string
				ran receiver.Ran
			}{{"first", receiver.RanNo}, {"second", receiver.RanUnknown}} {
				_, err := d.Send(context.Background(), Call{Address: l.Addr().String(), RequestID: call.id, Method: http.MethodPost, Path: "/"})
				var sendErr *SendError
				if !errors.As(err, &sendErr) || sendErr.Ran != call.ran {
					t.Fatalf("the %s call got %v, want that it has run: %s", call.id, err, call.ran)
				}
			}
		})
	}
}

// answerEach answers each request on one connection of the listener with the same text.
func answerEach(l net.Listener, text string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
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
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
