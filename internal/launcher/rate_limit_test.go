package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// Guards against instances that each allow themselves the whole request limit of a server.
func TestInstancesShareTheRequestLimitOfAServer(t *testing.T) {
	const (
		limit = 3.0
		// The instances may take settleTime to hear of each other's demand.
		settleTime   = 2 * time.Second
		windowLength = 4 * time.Second
		maxInWindow  = 1.5*limit*4 + 5
		// sendInterval is the time between two requests to the same instance.
		sendInterval = 50 * time.Millisecond
	)
	var counting atomic.Bool
	var limitedCount, otherCount atomic.Int64
	newServer := func(header string, count *atomic.Int64) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if counting.Load() {
				count.Add(1)
			}
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if header != "" {
				w.Header().Set("Server-Limit", header)
			}
			_, _ = io.WriteString(w, "ok")
		}))
	}
	d := newDeployment(t)
	defer d.stop()
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(policyFormat, 3))
	servers := []*httptest.Server{newServer(fmt.Sprint(limit), &limitedCount), newServer("", &otherCount)}
	for i, server := range servers {
		defer server.Close()
		// The limited server is in the data centre of the entry instances, so that they prefer it.
		zone := []string{"a", "b"}[i]
		defer d.announce(fmt.Sprint("i-", i), server.Listener.Addr().String(), zone)()
	}
	addrs := []string{d.callersAddr}
	for n := 2; n <= 4; n++ {
		ports, err := reserver.ReservePorts(2)
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", ports[0]))
		later := d.startEntry(fmt.Sprint("e", n), addrs[n-1], fmt.Sprintf("127.0.0.1:%d", ports[1]))
		defer func() {
			if err := later.Stop(); err != nil {
				t.Error(err)
			}
		}()
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, addr := range addrs {
		d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+addr+"/a/x", "")
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(sendInterval):
				}
				if status, text := call(http.MethodGet, "http://"+addr+"/a/x", ""); status != http.StatusOK {
					t.Errorf("%s returned %d %q, want 200", addr, status, text)
				}
			}
		})
	}
	time.Sleep(settleTime)
	counting.Store(true)
	time.Sleep(windowLength)
	counting.Store(false)
	close(stop)
	wg.Wait()
	if n := limitedCount.Load(); n > maxInWindow || n == 0 {
		t.Errorf("the server got %d requests in 4 s, its limit allows 1 to %.0f; the other one got %d", n, maxInWindow, otherCount.Load())
	}
}
