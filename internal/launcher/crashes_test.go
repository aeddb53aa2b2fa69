package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// newCrashingServer returns a backend server that goes down when it receives a request whose path ends with "poison".
func newCrashingServer(poisoned *atomic.Int64) *httptest.Server {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "poison") {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(w, "ok")
			return
		}
		poisoned.Add(1)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	return server
}

// Guards against an instance that starts later and sends requests again that are known to crash servers.
func TestInstanceThatStartsLaterKnowsCrashingRequests(t *testing.T) {
	var poisoned atomic.Int64
	d := newDeployment(t)
	defer d.stop()
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(policyFormat, 3))
	for i := range 3 {
		server := newCrashingServer(&poisoned)
		defer server.Close()
		defer d.announce(fmt.Sprint("i-", i), server.Listener.Addr().String(), "a")()
	}
	d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.callersAddr+"/a/sound", "")
	if status, _ := call(http.MethodGet, "http://"+d.callersAddr+"/a/poison", ""); status != http.StatusBadGateway || poisoned.Load() != 2 {
		t.Fatalf("got %d after %d crashes, want 502 after two attempts", status, poisoned.Load())
	}
	// The reports of both crashes are on their way to the three control instances, which share their metrics.
	received := d.control[0].telemetry.Counter("crash-reports.received")
	for deadline := time.Now().Add(10 * time.Second); received.Count() < 2*3; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the control instances have received %d crash reports, want two each", received.Count())
		}
	}
	ports, err := reserver.ReservePorts(2)
	if err != nil {
		t.Fatal(err)
	}
	callersAddr := fmt.Sprintf("127.0.0.1:%d", ports[0])
	later := d.startEntry("e2", callersAddr, fmt.Sprintf("127.0.0.1:%d", ports[1]))
	defer func() {
		if err := later.Stop(); err != nil {
			t.Error(err)
		}
	}()
	d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+callersAddr+"/a/sound", "")
	if status, _ := call(http.MethodGet, "http://"+callersAddr+"/a/poison", ""); status != http.StatusServiceUnavailable || poisoned.Load() != 2 {
		t.Fatalf("the later instance returned %d, %d servers have crashed; want 503 and two", status, poisoned.Load())
	}
}
