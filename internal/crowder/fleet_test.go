package crowder

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

const (
	// entryMemory and controlMemory are the memory of the smallest machines on the users' sheets, in bytes.
	entryMemory   = 144 << 20
	controlMemory = 280 << 20
	// crowd is the number of connections of a crowd.
	crowd = 150
	// maxBody is the largest body that the policy allows, in bytes.
	maxBody = 4 << 20
	// maxFiles is the limit on descriptors that the processes get here, lower than on any machine.
	maxFiles = 256
	// patience bounds the wait for an answer to an ordinary request. It is no bound on its time.
	patience = 90 * time.Second
	// announceInterval is the time between two announcements of the backend server.
	announceInterval = time.Second
)

// policy has a route whose answers are small, and one whose answers are as large as an answer may be.
const policy = `{"version":1,"routes":[
{"name":"order","host":"h","path_prefix":"/order/","kind":"unsafe","timeout_ms":60000,"target_latency_ms":5000,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true},
{"name":"large","host":"h","path_prefix":"/large/","kind":"safe","timeout_ms":60000,"target_latency_ms":5000,"priority":0,"service":"desk","max_attempts":2,"auth_exempt":true}],
"services":[{"name":"desk","health_path":"/health","max_conns":1000}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// fleet is one control and one entry instance as processes, with a backend server in this one.
type fleet struct {
	t              *testing.T
	control, entry *process
	controlAddr    string
	callersAddr    string
	readyAddr      string
	backend        *httptest.Server
	binary         string
	// files is the limit on the descriptors of the processes.
	files int
	// The rest is empty unless the options ask for all addresses.
	linksAddr, tunnelsAddr       string
	controlMetrics, entryMetrics string
}

// options are what a fleet differs in.
type options struct {
	// files is the limit on the descriptors of the processes, and settings stand at the end of their settings.
	files    int
	settings string
	// addresses is true if the instances have all addresses that an instance may have.
	addresses bool
}

// process is a process of the program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    bytes.Buffer
}

var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "crowder")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(folder, "eelgrasshook")
	out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// newFleet starts the processes; few descriptors are enough to run out of them with a small crowd.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWith(t, options{files: maxFiles})
}

func newFleetWith(t *testing.T, o options) *fleet {
	t.Helper()
	if os.Getenv("CROWDS") == "" {
		t.Skip("CROWDS=1 runs the crowds, one at a time and apart from other load")
	}
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, binary: binary, files: o.files, backend: httptest.NewServer(http.HandlerFunc(serveBackend))}
	t.Cleanup(f.backend.Close)
	ports, err := reserver.ReservePorts(6)
	if err != nil {
		t.Fatal(err)
	}
	address := func(host, n int) string { return fmt.Sprintf("127.0.0.%d:%d", host, ports[n]) }
	f.controlAddr, f.callersAddr, f.readyAddr = address(1, 0), address(1, 2), address(1, 3)
	f.linksAddr = address(1, 1)
	controlListen, entryListen := "", ""
	if o.addresses {
		f.tunnelsAddr, f.controlMetrics, f.entryMetrics = address(2, 4), address(1, 5), address(2, 5)
		controlListen = "metrics = " + f.controlMetrics + "\n"
		entryListen = "metrics = " + f.entryMetrics + "\ntunnels = " + f.tunnelsAddr + "\n"
	}
	common := "[instance]\nname = %s\ndata-centre = a\nrole = %s\n[peers]\nseeds = " + f.controlAddr + "\n[log]\nlevel = warn\n"
	folder := t.TempDir()
	f.control = f.start("control", fmt.Sprintf(common, "c1", "control")+"[listen]\ncontrol = "+f.controlAddr+"\nlinks = "+f.linksAddr+
		"\n"+controlListen+"[record]\nlosses = 0\nfound = yes\n[data]\nfolder = "+folder+"\n[servers]\nsilence = 1m\n"+o.settings)
	f.entry = f.start("entry", fmt.Sprintf(common, "e1", "entry")+"[listen]\ncallers = "+f.callersAddr+"\nready = "+f.readyAddr+
		"\nlinks = "+address(2, 1)+"\n"+entryListen+o.settings)
	f.publish()
	f.expectOrdinary()
	return f
}

// start starts a process with the garbage collector's setting of the deploy file and few descriptors.
func (f *fleet) start(name, settings string) *process {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := &process{exited: make(chan struct{})}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" serve --settings "$3"`, "sh", strconv.Itoa(f.files), f.binary, path)
	p.cmd.Env = append(os.Environ(), "GOGC=30")
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if f.t.Failed() {
			f.t.Logf("%s: %s", name, p.log.String())
		}
	})
	return p
}

// serveBackend answers at once, on the route of large answers with as much as an answer may hold.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if strings.HasPrefix(r.URL.Path, "/large/") {
		_, _ = w.Write(make([]byte, maxBody))
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// publish sends the policy and announces the backend server.
func (f *fleet) publish() {
	f.t.Helper()
	f.waitFor("the policy is accepted", func() bool {
		status, _ := request(http.MethodPut, "http://"+f.controlAddr+"/config", strings.NewReader(policy))
		return status == http.StatusOK
	})
	seq := 0
	announce := func() bool {
		seq++
		text := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":400,"state":"ready","seq":%d,"born":1}`, f.backend.Listener.Addr(), seq)
		status, _ := request(http.MethodPut, "http://"+f.controlAddr+"/instances/i-1", strings.NewReader(text))
		return status == http.StatusOK
	}
	f.waitFor("the announcement is accepted", announce)
	stop := make(chan struct{})
	f.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(announceInterval):
				announce()
			}
		}
	}()
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// expectOrdinary fails the test unless an ordinary caller gets its answer, the instance says that it is ready, and an operator reads
// the policy. A caller tries again when it is refused or not served.
func (f *fleet) expectOrdinary() {
	f.t.Helper()
	f.waitFor("an ordinary request is answered", func() bool {
		status, text := request(http.MethodPost, "http://"+f.callersAddr+"/order/x", strings.NewReader("two coats"))
		return status == http.StatusOK && text == "ok"
	})
	f.waitFor("the instance is ready", func() bool {
		status, _ := request(http.MethodGet, "http://"+f.readyAddr+"/readiness", nil)
		return status == http.StatusOK
	})
	f.waitFor("an operator reads the policy", func() bool {
		status, _ := request(http.MethodGet, "http://"+f.controlAddr+"/config", nil)
		return status == http.StatusOK
	})
}

// expectLargest fails the test unless a single request as large as a request may be is served.
func (f *fleet) expectLargest() {
	f.t.Helper()
	f.waitFor("the largest request is answered", func() bool {
		status, text := request(http.MethodPost, "http://"+f.callersAddr+"/order/x", bytes.NewReader(make([]byte, maxBody)))
		return status == http.StatusOK && text == "ok"
	})
}

// check fails the test unless both processes live and have stayed within the memory and descriptors of their machines.
func (f *fleet) check() {
	f.t.Helper()
	f.checkProcess("the entry instance", f.entry, entryMemory, f.files)
	f.checkProcess("the control instance", f.control, controlMemory, f.files)
}

// checkProcess fails the test unless a process lives and has stayed within the given bytes and descriptors.
func (f *fleet) checkProcess(name string, p *process, memory, maxFiles int) {
	f.t.Helper()
	select {
	case <-p.exited:
		f.t.Errorf("%s has ended", name)
		return
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if peak == nil {
		f.t.Fatalf("no peak of the memory in %s", status)
	}
	kib, _ := strconv.Atoi(string(peak[1]))
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%s: peak of %d MB, %d descriptors", name, kib>>10, len(files))
	if kib<<10 > memory {
		f.t.Errorf("%s took %d MB at its peak, its machine has %d", name, kib>>10, memory>>20)
	}
	if len(files) >= maxFiles {
		f.t.Errorf("%s has %d descriptors open, all that it may have", name, len(files))
	}
}

// request sends one request on a connection of its own.
func request(method, url string, body io.Reader) (int, string) {
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", fmt.Sprint(time.Now().UnixNano()))
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
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

// send lets every connection of a crowd run, and returns once each has sent what it sends or was closed. The connections stay open
// until the test ends.
func (f *fleet) send(address string, connections int, run func(n int, conn net.Conn)) {
	f.t.Helper()
	f.t.Cleanup(f.launch(address, connections, run))
}

// launch does the same, but returns a function that closes the connections.
func (f *fleet) launch(address string, connections int, run func(n int, conn net.Conn)) (closeAll func()) {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for n := range connections {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 10*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			// A connection that the instance leaves unread ends the sending, not the test.
			_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
			run(n, conn)
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}
