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

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// countingBackend answers every request and counts them.
func countingBackend(t *testing.T) (address string, count *atomic.Int64) {
	t.Helper()
	count = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), count
}

// Guards against an evacuation that is lost or refused when its order is sent again: the leader is gone after the acknowledgement, or the
// acknowledgement was lost. An entry instance that starts later must know it before it says that it is ready.
func TestEvacuationSurvivesItsLeader(t *testing.T) {
	d := newDeploymentWith(t, func(s *configurer.Settings) { s.Instance.Regions = []string{"a:ra", "b:rb"} })
	defer d.stop()
	inA, countA := countingBackend(t)
	inB, countB := countingBackend(t)
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(policyFormat, 3))
	defer d.announce("i-a", inA, "a")()
	defer d.announce("i-b", inB, "b")()
	d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.callersAddr+"/a/x", "")
	d.waitForStatus(http.StatusOK, http.MethodPost, "http://"+d.controlAddrs[0]+"/evacuation/a", "")
	for n := range d.control {
		if d.control[n].record.Status().Role == replicator.RoleLeader {
			_ = d.control[n].Stop()
			d.control[n] = nil
			break
		}
	}
	for n := range d.control {
		if d.control[n] != nil {
			d.waitForStatus(http.StatusOK, http.MethodPost, "http://"+d.controlAddrs[n]+"/evacuation/a", "")
			if _, text := call(http.MethodGet, "http://"+d.controlAddrs[n]+"/evacuation", ""); !strings.Contains(text, `"zone":"a"`) {
				t.Errorf("control instance %d lists %q", n, text)
			}
		}
	}
	ports, err := reserver.ReservePorts(2)
	if err != nil {
		t.Fatal(err)
	}
	callersAddr, readyAddr := fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	later := d.startEntry("later", callersAddr, readyAddr)
	defer func() { _ = later.Stop() }()
	d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+readyAddr+"/readiness", "")
	before := countA.Load()
	for range 20 {
		for _, addr := range []string{callersAddr, d.callersAddr} {
			d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+addr+"/a/x", "")
		}
	}
	if n := countA.Load() - before; n > 0 || countB.Load() == 0 {
		t.Errorf("the evacuated data centre got %d requests, the other one %d", n, countB.Load())
	}
	for n := range d.control {
		if d.control[n] != nil {
			d.waitForStatus(http.StatusOK, http.MethodDelete, "http://"+d.controlAddrs[n]+"/evacuation/a", "")
		}
	}
	for deadline := time.Now().Add(10 * time.Second); countA.Load() == before; {
		if time.Now().After(deadline) {
			t.Fatal("the data centre that was taken back gets nothing")
		}
		call(http.MethodGet, "http://"+callersAddr+"/a/x", "")
	}
}

func TestOddOrdersOfEvacuationAreRefused(t *testing.T) {
	d := newDeploymentWith(t, func(s *configurer.Settings) { s.Instance.Regions = []string{"a:ra", "b:rb"} })
	defer d.stop()
	d.waitForStatus(http.StatusOK, http.MethodPost, "http://"+d.controlAddrs[0]+"/evacuation/b", "")
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"unknown data centre":             {http.MethodPost, "/evacuation/nowhere", "", http.StatusNotFound},
		"end for an unknown data centre":  {http.MethodDelete, "/evacuation/nowhere", "", http.StatusNotFound},
		"no data centre":                  {http.MethodPost, "/evacuation/", "", http.StatusNotFound},
		"a path below":                    {http.MethodPost, "/evacuation/a/x", "", http.StatusNotFound},
		"a body without end":              {http.MethodPost, "/evacuation/a", strings.Repeat("x", 1<<20), http.StatusRequestEntityTooLarge},
		"a body that needs not be":        {http.MethodPost, "/evacuation/a", "{}", http.StatusOK},
		"the end of what was not ordered": {http.MethodDelete, "/evacuation/a", "", http.StatusOK},
	}
	for name, tt := range tests {
		if status, text := call(tt.method, "http://"+d.controlAddrs[1]+tt.path, tt.body); status != tt.status {
			t.Errorf("%s: %d %q, want %d", name, status, text, tt.status)
		}
	}
}
