package launcher

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// soakProcess is one process of the program, on an address of its own.
type soakProcess struct {
	name, ip, role, folder string
	cmd                    *exec.Cmd
}

// soakFleet runs control and entry instances as processes with the deploy file's templates.
type soakFleet struct {
	t             *testing.T
	rnd           *rand.Rand
	binary        string
	ports         []int
	control       []*soakProcess
	entries       []*soakProcess
	seeds         string
	subnet, added int
	// acked is the newest version of the policy that was acknowledged, at ackedAt.
	acked, sent int
	mu          sync.Mutex
	events      []string
	start       time.Time
}

// note records an event, which is shown if the run fails.
func (f *soakFleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%8.3f ", time.Since(f.start).Seconds())+fmt.Sprintf(format, args...))
}

func (f *soakFleet) fail(format string, args ...any) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Errorf(format, args...)
	for _, e := range f.events {
		f.t.Log(e)
	}
	f.events = nil
}

func newSoakFleet(t *testing.T, binary string, seed uint64, entries int) *soakFleet {
	t.Helper()
	f := &soakFleet{t: t, rnd: rand.New(rand.NewPCG(seed, 40)), binary: binary, subnet: int(seed%120) + 100, start: time.Now()}
	var err error
	if f.ports, err = reserver.ReservePorts(5); err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for n := range 3 {
		f.control = append(f.control, f.newProcess("control", fmt.Sprint("z", n)))
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.control[n].ip, f.ports[0]))
	}
	f.seeds = strings.Join(seeds, ",")
	for n := range entries {
		f.entries = append(f.entries, f.newProcess("entry", fmt.Sprint("z", n%3)))
	}
	for _, p := range f.all() {
		f.run(p, true)
	}
	t.Cleanup(func() {
		for _, p := range f.all() {
			f.kill(p)
		}
	})
	return f
}

func (f *soakFleet) all() []*soakProcess {
	return append(append([]*soakProcess{}, f.control...), f.entries...)
}

func (f *soakFleet) newProcess(role, zone string) *soakProcess {
	f.added++
	return &soakProcess{name: fmt.Sprintf("%s-%s-%d", role, zone, f.added), role: role, folder: f.t.TempDir(),
		ip: fmt.Sprintf("127.%d.%d.%d", f.subnet, f.added/200, f.added%200+1)}
}

// settings renders the template of the process's role.
func (f *soakFleet) settings(p *soakProcess, bootstrap bool) string {
	text, err := os.ReadFile("../../deploy/" + p.role + ".ini")
	if err != nil {
		f.t.Fatal(err)
	}
	zone := strings.Split(p.name, "-")[1]
	s := string(text)
	if bootstrap {
		s = regexp.MustCompile(`{{\^bootstrap}}.*?{{/bootstrap}}`).ReplaceAllString(s, "")
		s = regexp.MustCompile(`{{#bootstrap}}(.*?){{/bootstrap}}`).ReplaceAllString(s, "$1")
	} else {
		s = regexp.MustCompile(`{{#bootstrap}}.*?{{/bootstrap}}`).ReplaceAllString(s, "")
		s = regexp.MustCompile(`{{\^bootstrap}}(.*?){{/bootstrap}}`).ReplaceAllString(s, "$1")
	}
	address := func(n int) string { return fmt.Sprintf("%s:%d", p.ip, f.ports[n]) }
	return strings.NewReplacer("{{node}}", p.name, "{{zone}}", zone, "{{listen.control}}", address(0), "{{listen.front}}", address(1),
		"{{listen.ready}}", address(2), "{{ip}}", p.ip, "{{internal_ports.0}}", strconv.Itoa(f.ports[3]), "{{internal_ports.1}}",
		strconv.Itoa(f.ports[4]), "{{seeds}}", f.seeds, "{{fault_tolerance.machines}}", "1", "{{data_dir}}", p.folder,
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "z0:r0,z1:r1,z2:r2", "{{bounds.session_s}}", "5", "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8").Replace(s)
}

func (f *soakFleet) run(p *soakProcess, bootstrap bool) {
	path := filepath.Join(f.t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(f.settings(p, bootstrap)), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(f.binary, "serve", "--settings", path)
	log, err := os.Create(filepath.Join(f.t.ArtifactDir(), fmt.Sprintf("%s-%d.log", p.name, time.Now().UnixMilli())))
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	_ = log.Close()
}

func (f *soakFleet) kill(p *soakProcess) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// restart ends a process with a signal and starts it again; wipe empties its folder.
func (f *soakFleet) restart(p *soakProcess, signal syscall.Signal, wipe bool) {
	f.note("%v to %s, wipe %t", signal, p.name, wipe)
	_ = p.cmd.Process.Signal(signal)
	_ = p.cmd.Wait()
	if wipe {
		p.folder = f.t.TempDir()
	}
	f.run(p, false)
}

// pause freezes a process for a while.
func (f *soakFleet) pause(p *soakProcess, d time.Duration) {
	f.note("%s stands still for %v", p.name, d)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// replaceControl ends a control instance for good; an empty one starts at another address.
func (f *soakFleet) replaceControl(n int) {
	old := f.control[n]
	f.note("%s is replaced", old.name)
	f.kill(old)
	p := f.newProcess("control", strings.Split(old.name, "-")[1])
	f.run(p, false)
	f.mu.Lock()
	f.control[n] = p
	f.mu.Unlock()
}

func (f *soakFleet) controlAddr(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%s:%d", f.control[n%len(f.control)].ip, f.ports[0])
}

// soakBackend is a backend server of the service desk.
type soakBackend struct {
	f      *soakFleet
	name   string
	zone   string
	server *httptest.Server
	mu     sync.Mutex
	// quietFrom is the time from which no request may be sent to it, zero if there is none; late are the requests that were.
	quietFrom time.Time
	late      []string
	stop      chan struct{}
}

// soakDrainBound is the users' bound on the time in which a withdrawal is in force.
const soakDrainBound = 2500 * time.Millisecond

func (f *soakFleet) startBackend(name, zone string, from int) *soakBackend {
	b := &soakBackend{f: f, name: name, zone: zone, stop: make(chan struct{})}
	b.server = httptest.NewServer(b)
	go b.runHeartbeats(from)
	return b
}

// ServeHTTP answers requests, whose ids hold the time of sending.
func (b *soakBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	sent, _ := strconv.ParseInt(strings.Split(id, "-")[0], 10, 64)
	b.mu.Lock()
	if !b.quietFrom.IsZero() && time.UnixMilli(sent).After(b.quietFrom) {
		b.late = append(b.late, id)
	}
	b.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	_, _ = io.WriteString(w, "ok")
}

func (b *soakBackend) runHeartbeats(at int) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":400,"state":"ready","seq":%d,"born":%d}`,
			b.server.Listener.Addr(), b.zone, seq, born)
		if status, _ := soakCall(http.MethodPut, "http://"+b.f.controlAddr(at)+"/instances/"+b.name, body); status != http.StatusOK {
			at++
		}
		select {
		case <-b.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// withdraw sends DELETE until it is acknowledged, and serves on.
func (b *soakBackend) withdraw(at int) {
	close(b.stop)
	for ; ; at++ {
		if status, _ := soakCall(http.MethodDelete, "http://"+b.f.controlAddr(at)+"/instances/"+b.name, ""); status == http.StatusOK {
			b.f.note("%s has withdrawn at %s", b.name, b.f.controlAddr(at))
			b.setQuiet(time.Now().Add(soakDrainBound))
			return
		}
	}
}

// setQuiet sets the time from which no request may be sent to the server; the zero time allows all.
func (b *soakBackend) setQuiet(from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quietFrom = from
}

// checkQuiet fails the run if requests were sent that should not have been.
func (b *soakBackend) checkQuiet(reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.late) > 0 {
		b.f.fail("%s got %d requests %s, the first %s", b.name, len(b.late), reason, b.late[0])
	}
}

// soakCall does one call with the users' patience of a second.
func soakCall(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", fmt.Sprintf("%d-%d", time.Now().UnixMilli(), rand.Int64()))
	res, err := (&http.Client{Timeout: time.Second}).Do(r)
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
