package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const policyFormat = `{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":5000,
"target_latency_ms":500,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true}],
"services":[{"name":"desk","health_path":"/health","max_conns":10}],"limits":{"max_body_bytes":1000},"tenants":[]}`

// deployment runs three control instances and an entry instance on loopback addresses.
type deployment struct {
	t            *testing.T
	control      [3]*Control
	controlAddrs [3]string
	entry        *Entry
	callersAddr  string
	// entrySettings are the settings of entry instances without the name and the listen addresses.
	entrySettings configurer.Settings
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return newDeploymentWith(t, func(*configurer.Settings) {})
}

// newDeploymentWith starts a deployment with changed settings.
func newDeploymentWith(t *testing.T, change func(*configurer.Settings)) *deployment {
	t.Helper()
	d := &deployment{t: t}
	ports, err := reserver.ReservePorts(4)
	if err != nil {
		t.Fatal(err)
	}
	controlPort, linkPort, callerPort, readyPort := ports[0], ports[1], ports[2], ports[3]
	loopbackAddr := func(n, port int) decoder.Address {
		return decoder.Address(fmt.Sprintf("127.0.0.%d:%d", n+1, port))
	}
	var base configurer.Settings
	base.Peers.Seeds = []decoder.Address{loopbackAddr(0, controlPort), loopbackAddr(1, controlPort), loopbackAddr(2, controlPort)}
	base.Record.Found, base.Record.Losses, base.Record.Voters, base.Record.ReplaceAfter = true, 1, 3, 6*timer.Second
	base.Servers.Silence, base.Servers.Forget = 5*timer.Second, timer.Minute
	base.Limits.HeaderWait, base.Limits.MaxHeader = timer.Second, 64<<10
	base.Limits.MaxAnswer, base.Limits.MaxEvent = 1<<20, 64<<10
	base.Limits.MaxHeld, base.Limits.MaxConns, base.Limits.MaxLinks, base.Limits.BodyWait = 32<<20, 1000, 1000, 10*timer.Second
	base.Limits.SlowAfter, base.Limits.SlowRate = 3*timer.Second, 1<<10
	base.Answers = configurer.Answers{MaxHead: 64 << 10, HeadTimeout: timer.Second, MaxSkipped: 1 << 20, MaxBuffered: 4 << 20, MinRate: 1 << 10, Grace: timer.Second}
	base.Session.Span, base.Stop.Limit = 5*timer.Second, 2*timer.Second
	base.Retries.Share, base.Retries.Slack, base.Retries.Window = 0.5, 3, 10*timer.Second
	change(&base)
	telemetry := observer.NewDiscard(timer.NewSystemClock())
	for n := range d.control {
		s := base
		s.Instance.Name, s.Instance.DataCentre = fmt.Sprintf("c%d", n), "a"
		s.Listen.Control, s.Listen.Links, s.Data.Folder = loopbackAddr(n, controlPort), loopbackAddr(n, linkPort), t.TempDir()
		d.controlAddrs[n] = string(s.Listen.Control)
		c, err := NewControl(telemetry, s)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		d.control[n] = c
	}
	d.entrySettings = base
	d.entrySettings.Listen.Links = loopbackAddr(3, linkPort)
	d.callersAddr = string(loopbackAddr(0, callerPort))
	d.entry = d.startEntry("e1", d.callersAddr, string(loopbackAddr(0, readyPort)))
	return d
}

// startEntry starts an entry instance.
func (d *deployment) startEntry(name, callersAddr, readyAddr string) *Entry {
	d.t.Helper()
	return d.startEntryWithDial(name, callersAddr, readyAddr, exchanger.NewDial())
}

// startEntryWithDial starts an entry instance that opens its connections to backend servers with dial.
func (d *deployment) startEntryWithDial(name, callersAddr, readyAddr string, dial func(context.Context, string) (net.Conn, error)) *Entry {
	d.t.Helper()
	s := d.entrySettings
	s.Instance.Name, s.Instance.DataCentre = name, "a"
	s.Listen.Callers, s.Listen.Ready = decoder.Address(callersAddr), decoder.Address(readyAddr)
	ports, err := reserver.ReservePorts(1)
	if err != nil {
		d.t.Fatal(err)
	}
	s.Listen.Tunnels = decoder.Address(fmt.Sprintf("127.0.0.1:%d", ports[0]))
	e, err := newEntry(observer.NewDiscard(timer.NewSystemClock()), s, dial)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		d.t.Fatal(err)
	}
	return e
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

// announceInterval is the time between two announcements of a backend server.
const announceInterval = 500 * time.Millisecond

// announce announces a backend server of the service desk with many slots until stop is called.
func (d *deployment) announce(name, address, dataCentre string) (stop func()) {
	d.t.Helper()
	return d.announceSlots(name, address, dataCentre, 100)
}

// announceSlots announces a backend server of the service desk until stop is called.
func (d *deployment) announceSlots(name, address, dataCentre string, slots int) (stop func()) {
	d.t.Helper()
	return d.announceBorn(name, address, dataCentre, slots, 1)
}

// announceNewer announces a backend server that has started after all others until stop is called.
func (d *deployment) announceNewer(name, address string) (stop func()) {
	d.t.Helper()
	return d.announceBorn(name, address, "a", 100, 2)
}

func (d *deployment) announceBorn(name, address, dataCentre string, slots, born int) (stop func()) {
	d.t.Helper()
	put := func(seq int, wait func(url, body string)) {
		wait(fmt.Sprintf("http://%s/instances/%s", d.controlAddrs[seq%len(d.controlAddrs)], name),
			fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","seq":%d,"born":%d}`,
				address, dataCentre, slots, seq, born))
	}
	put(1, func(url, body string) { d.waitForStatus(http.StatusOK, http.MethodPut, url, body) })
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for seq := 2; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(announceInterval):
				put(seq, func(url, body string) { call(http.MethodPut, url, body) })
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// call sends a request and returns the status and body of the response; on failure, status 0 and the error text.
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

// waitForStatus repeats a call until it returns the wanted status, for at most 15 s, and returns the body.
func (d *deployment) waitForStatus(want int, method, url, body string) string {
	d.t.Helper()
	status, text := 0, ""
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, text = call(method, url, body); status == want {
			return text
		}
	}
	d.t.Fatalf("%s %s returned %d %q, want %d", method, url, status, text, want)
	return ""
}

func TestControlAndEntryInstancesServeRequests(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" for "+r.Header.Get("X-Expect-Instance"))
	}))
	defer backend.Close()
	d := newDeployment(t)
	defer d.stop()
	if status, _ := call(http.MethodGet, "http://"+d.callersAddr+"/a/x", ""); status != http.StatusServiceUnavailable {
		t.Fatalf("the entry instance without a policy returned status %d, want 503", status)
	}
	firstPolicy := fmt.Sprintf(policyFormat, 3)
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", firstPolicy)
	announcement := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","seq":1,"born":1}`,
		backend.Listener.Addr().String())
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[2]+"/instances/i-1", announcement)
	if got := d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.callersAddr+"/a//x/../y?q=%2f", ""); got != "GET /a//x/../y?q=%2f for i-1" {
		t.Fatalf("the backend server received %q, want the request path unchanged", got)
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
	secondPolicy := fmt.Sprintf(policyFormat, 8)
	for n, c := range d.control {
		if c == nil {
			continue
		}
		d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[n]+"/config", secondPolicy)
		if got := d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.controlAddrs[n]+"/config", ""); got != secondPolicy {
			t.Fatalf("the control instance returned policy %q, not the second policy", got)
		}
		if status, _ := call(http.MethodPut, "http://"+d.controlAddrs[n]+"/config", secondPolicy[:40]); status != http.StatusBadRequest {
			t.Fatalf("a truncated policy returned status %d, want 400", status)
		}
	}
	d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.callersAddr+"/a/x", "")
}
