package launcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Guards against a request that comes late in a planned stop, is passed on and cut off at its end without an answer, though it may
// not be repeated.
func TestRequestThatCannotBeFinishedIsRefusedDuringStop(t *testing.T) {
	const (
		work = time.Second
		// lateBy is when the request comes: less than the work is left of the limit of 2 s by then.
		lateBy = time.Second
	)
	for name, path := range map[string]string{"may not be repeated": "/order/x", "may be repeated": "/read/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var arrived atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				time.Sleep(work)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, "ok")
			}))
			defer backend.Close()
			d := newDeployment(t)
			defer d.stop()
			d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
			defer d.announce("i-1", backend.Listener.Addr().String(), "a")()
			ports, err := reserver.ReservePorts(2)
			if err != nil {
				t.Fatal(err)
			}
			callersAddr := fmt.Sprintf("127.0.0.1:%d", ports[0])
			// The balancer has not noticed the stop yet when the request comes.
			d.entrySettings.Stop.ReadinessWait = 1200 * timer.Millisecond
			d.entrySettings.Limits.HeaderWait = 5 * timer.Second
			entry := d.startEntry("late", callersAddr, fmt.Sprintf("127.0.0.1:%d", ports[1]))
			d.waitForOrder(callersAddr)
			conn, err := net.Dial("tcp", callersAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			time.Sleep(100 * time.Millisecond)
			before := arrived.Load()
			start := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- entry.Stop() }()
			time.Sleep(lateBy)
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", path); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("the connection ended without an answer %v after the stop began (%v); %d requests were passed on", time.Since(start), err, arrived.Load()-before)
			}
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || arrived.Load() != before {
				t.Errorf("got %d, Retry-After %q, %d requests passed on; want 503, a time, and none", res.StatusCode, res.Header.Get("Retry-After"), arrived.Load()-before)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}
