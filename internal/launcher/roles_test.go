package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const policyText = `{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":5000,
"target_latency_ms":500,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true}],
"services":[{"name":"desk","health_path":"/health","max_conns":10}],"limits":{"max_body_bytes":1000},"tenants":[]}`

// deployment is three control instances and an entry instance on loopback addresses.
type deployment struct {
	t       *testing.T
	control [3]*Control
	address [3]string
	entry   *Entry
	callers string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t}
	ports, err := reserver.Ports(4)
	if err != nil {
		t.Fatal(err)
	}
	controlPort, linkPort, callerPort, readyPort := ports[0], ports[1], ports[2], ports[3]
	at := func(n, port int) decoder.Address {
		return decoder.Address(fmt.Sprintf("127.0.0.%d:%d", n+1, port))
	}
	var base configurer.Settings
	base.Peers.Seeds = []decoder.Address{at(0, controlPort), at(1, controlPort), at(2, controlPort)}
	base.Record.Found, base.Record.Losses, base.Record.Voters, base.Record.ReplaceAfter = true, 1, 3, 6*timer.Second
	base.Servers.Silence, base.Servers.Forget = 5*timer.Second, timer.Minute
	base.Limits.HeaderWait, base.Limits.MaxHeader = timer.Second, 64<<10
	base.Session.Span, base.Stop.Limit = 5*timer.Second, 2*timer.Second
	base.Retries.Share, base.Retries.Slack, base.Retries.Window = 0.5, 3, 10*timer.Second
	common := observer.NewQuiet(timer.NewClock())
	for n := range d.control {
		s := base
		s.Instance.Name, s.Instance.DataCentre = fmt.Sprintf("c%d", n), "a"
		s.Listen.Control, s.Listen.Links, s.Data.Folder = at(n, controlPort), at(n, linkPort), t.TempDir()
		d.address[n] = string(s.Listen.Control)
		c, err := NewControl(common, s)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		d.control[n] = c
	}
	s := base
	s.Instance.Name, s.Instance.DataCentre = "e1", "a"
	s.Listen.Callers, s.Listen.Ready, s.Listen.Links = at(0, callerPort), at(0, readyPort), at(3, linkPort)
	if d.entry, err = NewEntry(common, s); err != nil {
		t.Fatal(err)
	}
	if err := d.entry.Start(); err != nil {
		t.Fatal(err)
	}
	d.callers = string(s.Listen.Callers)
	return d
}

func (d *deployment) stop() {
	if err := d.entry.Stop(); err != nil {
		d.t.Error(err)
	}
	for _, c := range d.control {
		if c != nil {
			if err := c.Stop(); err != nil {
				d.t.Error(err)
			}
		}
	}
}

// call makes one call and returns its status and body; a failure gives status 0.
func call(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", "id-1")
	res, err := (&http.Client{Timeout: 4 * time.Second}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// until repeats a call until it gives the status.
func (d *deployment) until(want int, method, url, body string) string {
	d.t.Helper()
	status, text := 0, ""
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if status, text = call(method, url, body); status == want {
			return text
		}
	}
	d.t.Fatalf("%s %s gives %d %q, want %d", method, url, status, text, want)
	return ""
}

func TestRolesServeTheWholePath(t *testing.T) {
	desk := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" for "+r.Header.Get("X-Expect-Instance"))
	}))
	defer desk.Close()
	d := newDeployment(t)
	defer d.stop()
	if status, _ := call(http.MethodGet, "http://"+d.callers+"/a/x", ""); status != http.StatusServiceUnavailable {
		t.Fatalf("an entry instance that knows no policy answers %d", status)
	}
	first := fmt.Sprintf(policyText, 3)
	d.until(http.StatusOK, http.MethodPut, "http://"+d.address[1]+"/config", first)
	announcement := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","seq":1,"born":1}`,
		desk.Listener.Addr().String())
	d.until(http.StatusOK, http.MethodPut, "http://"+d.address[2]+"/instances/i-1", announcement)
	if got := d.until(http.StatusOK, http.MethodGet, "http://"+d.callers+"/a//x/../y?q=%2f", ""); got != "GET /a//x/../y?q=%2f for i-1" {
		t.Fatalf("the backend server saw %q", got)
	}
	for n, c := range d.control {
		if c.record.Status().Role == replicator.RoleLeader {
			if err := c.Stop(); err != nil {
				t.Fatal(err)
			}
			d.control[n] = nil
			break
		}
	}
	second := fmt.Sprintf(policyText, 8)
	for n, c := range d.control {
		if c == nil {
			continue
		}
		d.until(http.StatusOK, http.MethodPut, "http://"+d.address[n]+"/config", second)
		if got := d.until(http.StatusOK, http.MethodGet, "http://"+d.address[n]+"/config", ""); got != second {
			t.Fatalf("read back %q", got)
		}
		if status, _ := call(http.MethodPut, "http://"+d.address[n]+"/config", second[:40]); status != http.StatusBadRequest {
			t.Fatalf("half a document gives %d", status)
		}
	}
	d.until(http.StatusOK, http.MethodGet, "http://"+d.callers+"/a/x", "")
}
