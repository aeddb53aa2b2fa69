package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// Bounds of the small deployment on the users' sheet for Tazy Fit.
const (
	contact  = 3 * time.Second
	maxFiles = 4100
	sessionS = "5"
	budgetS  = "10"
	graceS   = "8"
	// zones is the number of zones, each with one control and one entry instance.
	zones = 3
)

// machine is one machine of the fleet and the process that runs there.
type machine struct {
	name, ip, zone, role, folder, settings string

	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	binary string

	controls, entries []*machine

	callersPort, readyPort, controlPort, internalPort, metricsPort int
}

// newFleet starts as many control instances and entry instances as there are zones, each on a loopback address of its own.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/eelgrasshook")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, binary: binary}
	ports, err := reserver.ReservePorts(5)
	if err != nil {
		return nil, err
	}
	f.callersPort, f.readyPort, f.controlPort, f.internalPort, f.metricsPort = ports[0], ports[1], ports[2], ports[3], ports[4]
	for n := range zones {
		zone := string(rune('a' + n))
		f.controls = append(f.controls, &machine{name: "core-" + zone, ip: fmt.Sprintf("127.0.%d.1", n+1), zone: zone, role: "control"})
		f.entries = append(f.entries, &machine{name: "front-" + zone, ip: fmt.Sprintf("127.0.%d.2", n+1), zone: zone, role: "entry"})
	}
	for _, m := range append(append([]*machine(nil), f.controls...), f.entries...) {
		if err := f.start(m, true); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// start writes the settings of a machine from the template of the deploy file and starts its process.
func (f *fleet) start(m *machine, isFirst bool) error {
	if m.folder == "" {
		m.folder = filepath.Join(f.folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return err
		}
		m.settings = filepath.Join(m.folder, "boot.ini")
	}
	template, err := os.ReadFile("deploy/" + m.role + ".ini")
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, []byte(f.fill(string(template), m, isFirst)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	m.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --settings "$1"`, maxFiles), f.binary, m.settings)
	m.cmd.Env = append(os.Environ(), "GOGC=30")
	m.cmd.Stdout, m.cmd.Stderr = logFile, logFile
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		f.record.note("process %s ended: %v", m.name, err)
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

var sections = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}|\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}|\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)

// fill fills a template of the deploy file in, as the platform does.
func (f *fleet) fill(text string, m *machine, isFirst bool) string {
	var regions, seeds []string
	for _, c := range f.controls {
		regions = append(regions, c.zone+":region-"+c.zone)
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, f.controlPort))
	}
	text = sections.ReplaceAllStringFunc(text, func(s string) string {
		parts := sections.FindStringSubmatch(s)
		switch {
		case strings.HasPrefix(s, "{{#zones"):
			return strings.Join(regions, ",")
		case strings.HasPrefix(s, "{{#bootstrap") && isFirst:
			return parts[1]
		case strings.HasPrefix(s, "{{^bootstrap") && !isFirst:
			return parts[2]
		}
		return ""
	})
	return strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip, "{{data_dir}}", filepath.Join(m.folder, "data"),
		"{{listen.control}}", fmt.Sprintf("%s:%d", m.ip, f.controlPort), "{{listen.front}}", f.callersAt(m), "{{listen.ready}}", f.readyAt(m),
		"{{internal_ports.0}}", fmt.Sprint(f.internalPort), "{{internal_ports.1}}", fmt.Sprint(f.metricsPort),
		"{{seeds}}", strings.Join(seeds, ","), "{{fault_tolerance.machines}}", "1", "{{bounds.session_s}}", sessionS,
		"{{bounds.budget_window_s}}", budgetS, "{{bounds.grace_s}}", graceS,
	).Replace(text)
}

func (f *fleet) callersAt(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.callersPort)
}

func (f *fleet) readyAt(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.readyPort)
}

func (f *fleet) controlAt(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.controlPort)
}

// longestPlay bounds a play, so that it ends by itself.
const longestPlay = 110 * time.Second

// watch ends the play when it is interrupted or takes too long.
func (f *fleet) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestPlay):
	}
	f.record.note("not run: the play was interrupted or took too long")
	f.stop()
	os.Exit(exitNotRun)
}

// stop ends all processes that the rig started and removes their folder.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine(nil), f.controls...), f.entries...) {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
	_ = os.RemoveAll(f.folder)
}
