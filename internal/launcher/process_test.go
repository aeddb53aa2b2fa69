package launcher

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

const processPolicy = `{"version":%d,"routes":[
{"name":"read","host":"h","path_prefix":"/read/","kind":"safe","timeout_ms":5000,"target_latency_ms":500,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true},
{"name":"order","host":"h","path_prefix":"/order/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":500,"priority":0,"service":"desk","max_attempts":2},
{"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":9000,"target_latency_ms":1000,"gap_target_ms":800,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true}],
"services":[{"name":"desk","health_path":"/health","max_conns":1000}],"limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":[%s]}]}`

// processes are one control and one entry instance as processes of the real program, with a backend server in this one.
type processes struct {
	t                                             *testing.T
	control, entry                                *exec.Cmd
	controlAddr, callersAddr, readyAddr, settings string
	binary                                        string
	backend                                       *httptest.Server
	// ran counts the runs of each request at the backend server.
	mu  sync.Mutex
	ran map[string]int
}

func startProcesses(t *testing.T, entryExtra string) *processes {
	t.Helper()
	p := &processes{t: t, ran: map[string]int{}}
	p.backend = httptest.NewServer(http.HandlerFunc(p.serveBackend))
	t.Cleanup(p.backend.Close)
	folder := t.TempDir()
	p.binary = filepath.Join(folder, "eelgrasshook")
	if out, err := exec.Command("go", "build", "-o", p.binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ports, err := reserver.ReservePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	address := func(host, n int) string { return fmt.Sprintf("127.0.0.%d:%d", host, ports[n]) }
	p.controlAddr, p.callersAddr, p.readyAddr = address(1, 0), address(1, 2), address(1, 3)
	common := "[instance]\nname = %s\ndata-centre = a\nrole = %s\n[peers]\nseeds = " + p.controlAddr + "\n[log]\nlevel = warn\n"
	controlSettings := fmt.Sprintf(common, "c1", "control") + "[listen]\ncontrol = " + p.controlAddr + "\nlinks = " + address(1, 1) +
		"\n[record]\nlosses = 0\nfound = yes\n[data]\nfolder = " + folder + "\n[servers]\nsilence = 30s\n[stop]\nlimit = 2s\n"
	p.settings = p.write(folder, "entry.ini", fmt.Sprintf(common, "e1", "entry")+"[listen]\ncallers = "+p.callersAddr+"\nready = "+p.readyAddr+
		"\nlinks = "+address(2, 1)+"\n"+entryExtra)
	p.control = p.start(p.write(folder, "control.ini", controlSettings))
	p.entry = p.start(p.settings)
	p.putPolicy(1, `"k1","k2"`)
	p.announce()
	p.waitUntil("the entry instance serves", func() bool {
		status, _ := call(http.MethodGet, "http://"+p.callersAddr+"/read/x", "")
		return status == http.StatusOK
	})
	return p
}

func (p *processes) write(folder, name, text string) string {
	p.t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

func (p *processes) start(settings string) *exec.Cmd {
	p.t.Helper()
	cmd := exec.Command(p.binary, "serve", "--settings", settings)
	cmd.Stdout, cmd.Stderr = io.Discard, os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		if err := cmd.Process.Kill(); err == nil {
			_ = cmd.Wait()
		}
	})
	return cmd
}

func (p *processes) waitUntil(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (p *processes) putPolicy(version int, keys string) {
	p.t.Helper()
	p.waitUntil("the policy is accepted", func() bool {
		status, _ := call(http.MethodPut, "http://"+p.controlAddr+"/config", fmt.Sprintf(processPolicy, version, keys))
		return status == http.StatusOK
	})
}

func (p *processes) announce() {
	p.t.Helper()
	text := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":400,"state":"ready","seq":1,"born":1}`, p.backend.Listener.Addr())
	p.waitUntil("the announcement is accepted", func() bool {
		status, _ := call(http.MethodPut, "http://"+p.controlAddr+"/instances/i-1", text)
		return status == http.StatusOK
	})
}

const streamEvents = 12

// serveBackend answers plain requests after 30 ms and streams within a second.
func (p *processes) serveBackend(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	p.mu.Lock()
	p.ran[id]++
	p.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(80 * time.Millisecond)
	}
}

func (p *processes) runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// errNotAccepted means that no connection was established, so nothing was cut off.
var errNotAccepted = errors.New("the connection was not accepted")

// exchangeRaw sends a request on a connection, its head in two halves with a pause between them, and reads the whole
// answer.
func exchangeRaw(conn net.Conn, path, id, key string, pause time.Duration) (status int, body string, closes bool, err error) {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nX-Key: %s\r\n", path, key)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, "", true, err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(conn, "X-Request-Id: "+id+"\r\n\r\n"); err != nil {
		return 0, "", true, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", true, err
	}
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), res.Close, err
}

func (p *processes) dialCallers() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", p.callersAddr, time.Second)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errNotAccepted
	}
	return conn, err
}

// loadKind is a kind of request: its path, the pause within its head, and the answer to a request with an id.
type loadKind struct {
	path  string
	pause time.Duration
	want  func(id string) string
}

func loadKinds() []loadKind {
	plain := func(id string) string { return "answer to " + id }
	stream := func(id string) string {
		want := ""
		for n := range streamEvents {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, id)
		}
		return want
	}
	return []loadKind{{"/read/x", 0, plain}, {"/order/x", 0, plain}, {"/read/slow", 150 * time.Millisecond, plain}, {"/stream/x", 0, stream}}
}

// sendOne sends one request on a connection of its own and checks the whole answer.
func (p *processes) sendOne(kind loadKind, id string) error {
	conn, err := p.dialCallers()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	status, body, _, err := exchangeRaw(conn, kind.path, id, "k1", kind.pause)
	if err == nil && (status != http.StatusOK || body != kind.want(id)) {
		err = fmt.Errorf("status %d, %d bytes", status, len(body))
	}
	return err
}

// A planned stop under load: the balancer needs some checks to notice it and goes on opening connections until then.
// Every request on a connection that was accepted gets its whole answer, also one whose head is sent in two halves, and
// a second signal changes nothing.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	p := startProcesses(t, "[stop]\nreadiness-wait = 600ms\nlimit = 8s\n")
	// noticeAfter is twice readiness-wait: a balancer that is slow must not cost an answer.
	const noticeAfter = 1100 * time.Millisecond
	var stopped atomic.Bool
	var answered, failed atomic.Int64
	var wg sync.WaitGroup
	for n := range 32 {
		wg.Go(func() {
			for k := 0; !stopped.Load(); k++ {
				id := fmt.Sprintf("w%d-%d", n, k)
				err := p.sendOne(loadKinds()[n%len(loadKinds())], id)
				if errors.Is(err, errNotAccepted) && stopped.Load() {
					return
				}
				if err != nil {
					failed.Add(1)
					t.Errorf("%s: %v, ran %d times", id, err, p.runs(id))
					return
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	signal := func() {
		if err := p.entry.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	signal()
	time.Sleep(100 * time.Millisecond)
	signal()
	if res, err := http.Get("http://" + p.readyAddr + "/"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness after the signal: %v, %v", res, err)
	}
	time.Sleep(noticeAfter)
	stopped.Store(true)
	wg.Wait()
	if err := p.entry.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	t.Logf("%d requests answered, %d failed", answered.Load(), failed.Load())
}

// A stop during the start ends the process cleanly.
func TestStopDuringStart(t *testing.T) {
	p := startProcesses(t, "[stop]\nreadiness-wait = 100ms\nlimit = 2s\n")
	if err := p.entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.entry.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, delay := range []time.Duration{20, 40, 80} {
		cmd := p.start(p.settings)
		time.Sleep(delay * time.Millisecond)
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		var exit *exec.ExitError
		select {
		case err := <-ended:
			// Before the program has installed its handler, the signal itself ends the process.
			if err != nil && (!errors.As(err, &exit) || exit.ExitCode() > 0) {
				t.Errorf("after %d ms: %v", delay, err)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("after %d ms: the process still runs", delay)
		}
	}
}

// openConns opens n connections of callers and sends a request on every second one.
func (p *processes) openConns(n int) []net.Conn {
	p.t.Helper()
	var conns []net.Conn
	for i := range n {
		conn, err := p.dialCallers()
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		if i%2 == 0 {
			if status, _, _, err := exchangeRaw(conn, "/order/x", fmt.Sprint("before-", i), "k1", 0); status != http.StatusOK {
				p.t.Fatalf("before the pause: status %d, %v", status, err)
			}
		}
		conns = append(conns, conn)
	}
	return conns
}

// An entry instance is paused for some seconds. Meanwhile a key is revoked, and requests with it wait in the sockets: the
// first thing that the instance does after it wakes must not be to let them through.
func TestPausedInstanceHonoursRevokedKey(t *testing.T) {
	pauses := map[string]time.Duration{"links survive": 1800 * time.Millisecond, "links break": 4 * time.Second}
	for name, pause := range pauses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcesses(t, "[stop]\nlimit = 2s\n")
			conns := p.openConns(20)
			if err := p.entry.Process.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause / 2)
			p.putPolicy(2, `"k2"`)
			time.Sleep(50 * time.Millisecond)
			var wg sync.WaitGroup
			statuses := make([]int, len(conns))
			for n, conn := range conns {
				wg.Go(func() { statuses[n], _, _, _ = exchangeRaw(conn, "/order/x", fmt.Sprint("revoked-", n), "k1", 0) })
			}
			time.Sleep(pause / 2)
			if err := p.entry.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			wg.Wait()
			for n, status := range statuses {
				if ran := p.runs(fmt.Sprint("revoked-", n)); ran > 0 || status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
					t.Errorf("request %d with the revoked key: status %d, ran %d times", n, status, ran)
				}
			}
			p.waitUntil("a valid key is served after the pause", func() bool {
				conn, err := p.dialCallers()
				if err != nil {
					return false
				}
				defer func() { _ = conn.Close() }()
				status, _, _, _ := exchangeRaw(conn, "/order/x", "valid", "k2", 0)
				return status == http.StatusOK
			})
		})
	}
}
