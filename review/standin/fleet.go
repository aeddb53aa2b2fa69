package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// Bounds of the small sites, which the deploy file's templates ask for.
const (
	graceSeconds  = 8
	drainBound    = 2500 * time.Millisecond
	contactBound  = 3 * time.Second
	recoveryBound = 12 * time.Second
	heartbeat     = 1200 * time.Millisecond
)

// instance is one process of the program under test on a loopback address of its own.
type instance struct {
	name, role, zone, host string
	settings, data         string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// fleet is a small deployment: control and entry instances as processes of the real program.
type fleet struct {
	rec      *record
	folder   string
	ports    []int
	controls []*instance
	entries  []*instance
}

// zoneNames returns the zones of the deployment; control and entry instances are spread over them in turn.
func zoneNames() []string {
	return []string{"zone-a", "zone-b", "zone-c"}
}

// fleetSize is the number of control instances, and of entry instances.
const fleetSize = 3

// newFleet starts the control and entry instances on free ports.
func newFleet(rec *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder}
	if f.ports, err = reserver.ReservePorts(5); err != nil {
		return nil, err
	}
	for n := range fleetSize {
		f.controls = append(f.controls, f.newInstance("control", "core", n, fmt.Sprintf("127.0.1.%d", n+1)))
	}
	for n := range fleetSize {
		f.entries = append(f.entries, f.newInstance("entry", "front", n, fmt.Sprintf("127.0.2.%d", n+1)))
	}
	for _, i := range f.all() {
		if err := f.start(i, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) newInstance(role, class string, n int, host string) *instance {
	zones := zoneNames()
	name := fmt.Sprintf("%s-%d", class, n+1)
	return &instance{name: name, role: role, zone: zones[n%len(zones)], host: host,
		settings: filepath.Join(f.folder, name+".ini"), data: filepath.Join(f.folder, name+"-data")}
}

func (f *fleet) all() []*instance {
	return append(append([]*instance{}, f.controls...), f.entries...)
}

// The ports are the same on all machines.
func (f *fleet) controlAddress(i *instance) string { return fmt.Sprintf("%s:%d", i.host, f.ports[2]) }
func (f *fleet) callersAddress(i *instance) string { return fmt.Sprintf("%s:%d", i.host, f.ports[3]) }
func (f *fleet) readyAddress(i *instance) string   { return fmt.Sprintf("%s:%d", i.host, f.ports[4]) }

// controlAddresses returns the addresses of all control instances.
func (f *fleet) controlAddresses() []string {
	var list []string
	for _, c := range f.controls {
		list = append(list, f.controlAddress(c))
	}
	return list
}

// render fills in the deploy file's template of a role as the platform does.
func (f *fleet) render(i *instance, bootstrap bool) error {
	text, err := os.ReadFile("deploy/" + i.role + ".ini")
	if err != nil {
		return err
	}
	var regions []string
	for _, z := range zoneNames() {
		regions = append(regions, z+":region-"+z)
	}
	found := map[bool]string{true: "yes", false: "no"}[bootstrap]
	out := strings.NewReplacer(
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
		"{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}", found,
		"{{node}}", i.name, "{{zone}}", i.zone, "{{ip}}", i.host, "{{data_dir}}", i.data,
		"{{internal_ports.0}}", fmt.Sprint(f.ports[0]), "{{internal_ports.1}}", fmt.Sprint(f.ports[1]),
		"{{listen.control}}", f.controlAddress(i), "{{listen.front}}", f.callersAddress(i), "{{listen.ready}}", f.readyAddress(i),
		"{{seeds}}", strings.Join(f.controlAddresses(), ","), "{{fault_tolerance.machines}}", "1",
		"{{bounds.session_s}}", "5", "{{bounds.budget_window_s}}", "10", "{{bounds.grace_s}}", fmt.Sprint(graceSeconds),
	).Replace(string(text))
	if left := regexp.MustCompile(`{{.*?}}`).FindString(out); left != "" {
		return fmt.Errorf("the template of %s has the unknown placeholder %s", i.role, left)
	}
	return os.WriteFile(i.settings, []byte(out), 0o600)
}

// started are the processes that this program has started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// killStarted ends all processes that this program has started.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		// An error means that the process has ended already.
		_ = p.Kill()
	}
}

// start runs the command of the deploy file with the settings of the instance.
func (f *fleet) start(i *instance, bootstrap bool) error {
	if err := errors.Join(f.render(i, bootstrap), os.MkdirAll(i.data, 0o700)); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/eelgrasshook", "serve", "--settings", i.settings)
	cmd.Env = append(os.Environ(), "GOGC=30")
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, cmd.Process)
	started.Unlock()
	i.cmd, i.exited = cmd, make(chan struct{})
	f.rec.printf("process %s starts on %s, pid %d", i.name, i.host, cmd.Process.Pid)
	go f.runWait(i, cmd, i.exited)
	return nil
}

// runWait records the end of a process.
func (f *fleet) runWait(i *instance, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	f.rec.printf("process %s ends: %v", i.name, err)
	close(exited)
}

// signal sends a signal to a process of this fleet.
func (f *fleet) signal(i *instance, s syscall.Signal) error {
	f.rec.say("%s to %s", s, i.name)
	return i.cmd.Process.Signal(s)
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) stop() {
	for _, i := range f.all() {
		if i.cmd == nil {
			continue
		}
		// An error means that the process has ended already.
		_ = i.cmd.Process.Kill()
		<-i.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// startBound is how long the deployment may take to start.
const startBound = 15 * time.Second

// publish sends a manifest to one control instance after the other until it is acknowledged.
func (f *fleet) publish(manifest string) error {
	var last string
	for deadline := time.Now().Add(startBound); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, a := range f.controlAddresses() {
			status, text, err := f.call(http.MethodPut, "http://"+a+"/config", manifest)
			f.rec.printf("operator PUT /config at %s: %d %v", a, status, err)
			if status == http.StatusOK {
				return nil
			}
			last = fmt.Sprint(status, " ", text, " ", err)
		}
	}
	return fmt.Errorf("the manifest was not acknowledged: %s", last)
}

// call makes one control call with a second for the answer.
func (f *fleet) call(method, url, body string) (int, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// waitReady waits until all entry instances are ready.
func (f *fleet) waitReady() error {
	for deadline := time.Now().Add(startBound); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if f.isReady(e) {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entry instances did not become ready")
}

// isReady asks an entry instance whether it takes callers, as the platform's balancer does.
func (f *fleet) isReady(e *instance) bool {
	status, _, err := f.call(http.MethodGet, "http://"+f.readyAddress(e)+"/readiness", "")
	return err == nil && status == http.StatusOK
}
