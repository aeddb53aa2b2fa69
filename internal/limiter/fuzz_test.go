package limiter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// FuzzRequests sends arbitrary bytes to a server that reads bodies within a budget. Whatever comes, the server answers the next
// caller and holds nothing at the end.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\nx"} {
		f.Add([]byte(seed))
	}
	telemetry := observer.NewDiscard(timer.NewSystemClock())
	pace := Pace{Grace: 20, Rate: 1 << 10}
	rd := Reader{Budget: NewBudget(telemetry.Clock, 256<<10, pace, NewPressure(telemetry, "fuzz")), Wait: 20}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	l := NewListener(raw, telemetry.Clock, Bounds{MaxConns: 16, Stall: 100, Pace: pace, Budget: rd.Budget}, NewPressure(telemetry, "fuzz"))
	server := &http.Server{ReadHeaderTimeout: 20 * time.Millisecond, IdleTimeout: 20 * time.Millisecond, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			lease, err := rd.Open(r)
			if err != nil {
				return
			}
			defer lease.Close()
			if _, err := rd.ReadBody(w, r, lease, 64<<10); err == nil {
				defer Serving(r.Context())()
				_, _ = io.WriteString(w, "ok")
			}
		})}
	Attach(server)
	go func() { _ = server.Serve(l) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, request []byte) {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write(request)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		next, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = next.Close() }()
		_ = next.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(next, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
		if res, err := http.ReadResponse(bufio.NewReader(next), nil); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("the next caller got %v, %v", res, err)
		}
		for deadline := time.Now().Add(5 * time.Second); rd.Budget.Held() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are held at the end", rd.Budget.Held())
			}
		}
	})
}
