package assembler

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/coordinator"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/launcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const anyLoopbackPort = "127.0.0.1:0"

// Config describes the fleet to start.
type Config struct {
	// Folder holds the document, and the settings and data of the instances.
	Folder      string
	Document    string
	DataCentres []string
	// Log receives the log lines; nil discards them.
	Log io.Writer
	// AdjustSettings adjusts the settings of an instance before it starts.
	AdjustSettings func(*configurer.Settings)
	// LinkSettings holds the lines of the [links] section, which name the certificate, key and authority for mutual TLS
	// between instances; empty for links without TLS.
	LinkSettings []string
	// IsLinkCut reports whether messages from one instance to another are dropped; nil drops none.
	IsLinkCut func(from, to string) bool
	// LinkDelay returns the one-way delay from one instance to another; nil means no delay.
	LinkDelay func(from, to string) timer.Millis
}

// Fleet is a set of running instances and simulated backend servers.
type Fleet struct {
	cfg           Config
	telemetry     observer.Telemetry
	seedAddresses []string
	Instances     []*launcher.Instance
	Engines       []*imitator.Engine
	Services      []*imitator.Service
	mu            sync.Mutex
	callers       []*caller.Caller
}

// NewFleet starts one instance for each entry of DataCentres. Several instances share a record; a single one reads its
// document from a file.
func NewFleet(cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	f := &Fleet{cfg: cfg, telemetry: observer.NewTelemetry("stand-in", cfg.Log, "error", false)}
	if err := f.writeFile("document.ini", cfg.Document); err != nil {
		return nil, err
	}
	if err := f.writeFile("session.secret", "the session secret of an in-process fleet"); err != nil {
		return nil, err
	}
	if err := f.reserveAddresses(); err != nil {
		return nil, err
	}
	for n := range cfg.DataCentres {
		if err := f.addInstance(n); err != nil {
			return nil, trace.NewAggregate(err, f.Stop())
		}
	}
	if len(f.Instances) > 1 {
		if err := f.bootstrap(); err != nil {
			return nil, trace.NewAggregate(err, f.Stop())
		}
	}
	if err := f.WaitForModes(indexer.ModeConnected); err != nil {
		return nil, trace.NewAggregate(err, f.Stop())
	}
	return f, nil
}

// WaitForModes waits until every instance is in the given mode. A loaded machine delays the leader's first heartbeat
// beyond the silence; until it arrives, an instance is cut off and refuses orders.
func (f *Fleet) WaitForModes(mode indexer.Mode) error {
	return f.WaitFor(fmt.Sprintf("mode %s at every instance", mode), func() bool {
		return !slices.ContainsFunc(f.Instances, func(i *launcher.Instance) bool { return i.ViewSet().Mode != mode })
	})
}

// reserveAddresses reserves an address for each instance before any starts, so that all can be listed as seeds.
func (f *Fleet) reserveAddresses() error {
	var err error
	f.seedAddresses, err = ReserveAddresses(len(f.cfg.DataCentres))
	return err
}

// ReserveAddresses returns n free loopback addresses, reserved across all processes on this machine.
func ReserveAddresses(n int) ([]string, error) {
	ports, err := reserver.ReservePorts(n)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, n)
	for i, port := range ports {
		addresses[i] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	return addresses, nil
}

const filePerm = 0o600

func (f *Fleet) writeFile(name, text string) error {
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(f.cfg.Folder, name), []byte(text), filePerm))
}

func (f *Fleet) addInstance(n int) error {
	settings, err := f.InstanceSettings(n)
	if err != nil {
		return err
	}
	i, err := f.StartInstance(settings)
	if err != nil {
		return err
	}
	f.Instances = append(f.Instances, i)
	return nil
}

// bootstrap waits until the instances have found each other, then creates the record and applies the first document.
func (f *Fleet) bootstrap() error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err := f.WaitFor("the meeting of the instances", func() bool {
		status, err := f.NewOperatorClient(0).Status(ctx)
		return err == nil && len(status.Peers) == len(f.Instances)-1
	})
	if err != nil {
		return err
	}
	if err := f.NewOperatorClient(0).Bootstrap(ctx); err != nil {
		return err
	}
	if err := f.Apply(ctx, "first-document", f.cfg.Document); err != nil {
		return err
	}
	return f.WaitFor("enough voters in the record", func() bool {
		status, err := f.NewOperatorClient(0).Status(ctx)
		return err == nil && status.Record != nil && len(status.Record.Voters) >= min(targetVoters, len(f.Instances))
	})
}

const targetVoters = 3

// InstanceName returns the name of the nth instance.
func (f *Fleet) InstanceName(n int) string {
	return fmt.Sprintf("%s-%d", f.cfg.DataCentres[n], n+1)
}

// InstanceSettings returns the settings of the nth instance and creates its data folder.
func (f *Fleet) InstanceSettings(n int) (configurer.Settings, error) {
	name := f.InstanceName(n)
	if err := os.MkdirAll(filepath.Join(f.cfg.Folder, name), 0o700); err != nil {
		return configurer.Settings{}, trace.ConvertSystemError(err)
	}
	listen := "control = " + f.seedAddresses[n]
	if len(f.cfg.LinkSettings) > 0 {
		listen = "control = " + anyLoopbackPort + "\nlinks = " + f.seedAddresses[n] + "\n[links]\n" + strings.Join(f.cfg.LinkSettings, "\n")
	}
	text := fmt.Sprintf("[instance]\nname = %s\ndata-centre = %s\n[listen]\ncallers = %s\n%s\n"+
		"[session]\nsecret-file = session.secret\n[data]\nfolder = %s\n[stop]\nreadiness-wait = 0s\n",
		name, f.cfg.DataCentres[n], anyLoopbackPort, listen, name)
	if len(f.seedAddresses) > 1 {
		text += "[peers]\nseeds = " + strings.Join(f.seedAddresses, ", ") + "\n"
	} else {
		text += "[document]\nfile = document.ini\n"
	}
	settings, err := configurer.Parse(filepath.Join(f.cfg.Folder, name+".ini"), text)
	if err != nil {
		return settings, err
	}
	if f.cfg.AdjustSettings != nil {
		f.cfg.AdjustSettings(&settings)
	}
	return settings, nil
}

// StartInstance starts an instance with the given settings.
func (f *Fleet) StartInstance(settings configurer.Settings) (*launcher.Instance, error) {
	telemetry := observer.NewTelemetry(settings.Instance.Name, f.cfg.Log, settings.Log.Level, false)
	i, err := launcher.NewInstanceWithNetworkFaults(telemetry, settings, f.networkOf(settings.Instance.Name))
	if err != nil {
		return nil, err
	}
	return i, i.Start()
}

// networkOf returns the simulated faults and delays on the links of an instance.
func (f *Fleet) networkOf(name string) coordinator.NetworkFaults {
	var n coordinator.NetworkFaults
	if f.cfg.IsLinkCut != nil {
		n.Cut = func(peer string, incoming bool) bool {
			if incoming {
				return f.cfg.IsLinkCut(peer, name)
			}
			return f.cfg.IsLinkCut(name, peer)
		}
	}
	if f.cfg.LinkDelay != nil {
		n.Delay = func(peer string) timer.Millis { return f.cfg.LinkDelay(name, peer) }
	}
	return n
}

// RestartInstance starts the nth instance again on its existing data.
func (f *Fleet) RestartInstance(n int) error {
	settings, err := f.InstanceSettings(n)
	if err != nil {
		return err
	}
	i, err := f.StartInstance(settings)
	if err != nil {
		return err
	}
	f.Instances[n] = i
	return nil
}

// ControlAddresses returns the addresses on which instances accept announcements of backend servers.
func (f *Fleet) ControlAddresses() []string {
	var addresses []string
	for _, i := range f.Instances {
		addresses = append(addresses, i.ControlAddress())
	}
	return addresses
}

func (f *Fleet) hostConfig(a registrar.Announcement) imitator.HostConfig {
	a.Incarnation = time.Now().UnixMilli()
	if a.Capacity == 0 {
		a.Capacity = 32
	}
	return imitator.HostConfig{Listen: anyLoopbackPort, AnnounceTo: f.ControlAddresses(), Announcement: a}
}

// AddEngine starts a simulated engine that announces itself to every instance.
func (f *Fleet) AddEngine(a registrar.Announcement, cfg imitator.EngineConfig) (*imitator.Engine, error) {
	a.Kind = registrar.KindEngine
	cfg.Host = f.hostConfig(a)
	e := imitator.NewEngine(f.telemetry, cfg)
	if err := e.Start(); err != nil {
		return nil, err
	}
	f.Engines = append(f.Engines, e)
	return e, nil
}

// AddService starts a simulated service that announces itself to every instance.
func (f *Fleet) AddService(a registrar.Announcement, cfg imitator.ServiceConfig) (*imitator.Service, error) {
	a.Kind = registrar.KindService
	cfg.Host = f.hostConfig(a)
	s := imitator.NewService(f.telemetry, cfg)
	if err := s.Start(); err != nil {
		return nil, err
	}
	f.Services = append(f.Services, s)
	return s, nil
}

const (
	pollInterval = 5 * time.Millisecond
	// waitTimeout is far above the time that any awaited condition normally takes.
	waitTimeout = 20 * time.Second
)

// WaitFor polls until the condition holds, for 20 seconds at most; the error on timeout contains what.
func (f *Fleet) WaitFor(what string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("timed out waiting for %s after %s", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitForServers waits until every instance lists all simulated backend servers as serving.
func (f *Fleet) WaitForServers() error {
	want := len(f.Engines) + len(f.Services)
	return f.WaitFor("the announcements of all backend servers", func() bool {
		for _, i := range f.Instances {
			if countServing(i) < want {
				return false
			}
		}
		return true
	})
}

func countServing(i *launcher.Instance) int {
	n := 0
	for _, view := range i.ViewSet().Views {
		n = 0
		for _, s := range view.Servers {
			if s.State == registrar.StateServing {
				n++
			}
		}
	}
	return n
}

// NewCaller returns a client that sends requests to one instance with the example API key of a workspace.
func (f *Fleet) NewCaller(instance int, workspace string) *caller.Caller {
	c := caller.NewCaller(f.Instances[instance].CallersAddress(), "key-"+workspace)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers = append(f.callers, c)
	return c
}

// NewOperatorClient returns a client of the admin interface of one instance.
func (f *Fleet) NewOperatorClient(instance int) *operator.Client {
	return operator.NewClient(f.Instances[instance].ControlAddress())
}

// Apply submits a document and waits until it is in force on every instance.
func (f *Fleet) Apply(ctx context.Context, id, text string) error {
	client := f.NewOperatorClient(0)
	doc, err := parser.Parse(id, text)
	if err != nil {
		return err
	}
	environment := doc.Environment.Name
	current, err := client.Document(ctx, environment)
	if err != nil {
		return err
	}
	change := operator.Change{ID: id, Environment: environment, BaseRevision: current.Revision, Author: "fleet", Text: text}
	accepted, err := client.Apply(ctx, change)
	if err != nil {
		return err
	}
	return f.WaitFor("revision in force", func() bool {
		waiting, err := client.WaitingInstances(ctx, environment, accepted.Revision)
		return err == nil && len(waiting) == 0
	})
}

// LeaderIndex returns the index of the instance that leads the record, or -1 if none does.
func (f *Fleet) LeaderIndex(ctx context.Context) int {
	for n := range f.Instances {
		s, err := f.NewOperatorClient(n).Status(ctx)
		if err == nil && s.Record != nil && s.Record.IsLeader {
			return n
		}
	}
	return -1
}

// LinkBytesSent returns the total number of bytes that all instances have sent to each other.
func (f *Fleet) LinkBytesSent() int64 {
	total := int64(0)
	for _, i := range f.Instances {
		total += i.LinkBytesSent()
	}
	return total
}

// Stop closes the callers and stops all instances and simulated backend servers.
func (f *Fleet) Stop() error {
	var errs []error
	for _, c := range f.callers {
		c.Close()
	}
	for _, i := range f.Instances {
		errs = append(errs, i.Stop())
	}
	for _, e := range f.Engines {
		errs = append(errs, e.Crash())
	}
	for _, s := range f.Services {
		errs = append(errs, s.Crash())
	}
	return trace.NewAggregate(errs...)
}
