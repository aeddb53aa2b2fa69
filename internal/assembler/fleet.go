package assembler

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/coordinator"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/launcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const loopback = "127.0.0.1:0"

// Config says which fleet to build.
type Config struct {
	// Folder holds the document, the settings and the data of the instances.
	Folder      string
	Document    string
	DataCentres []string
	// Log takes the log lines; nil drops them.
	Log io.Writer
	// Tune changes the settings of an instance before it is built.
	Tune func(*configurer.Settings)
	// LinkFiles names certificate, key and authority of links on which both ends prove themselves; empty for plain links.
	LinkFiles []string
	// Cut tells which messages between two instances are lost; nil loses none.
	Cut func(from, to string) bool
	// Delay gives the one-way delay between two instances; nil delays nothing.
	Delay func(from, to string) timer.Millis
}

// Fleet is a set of instances with their stand-ins.
type Fleet struct {
	cfg       Config
	common    observer.Common
	addresses []string
	Instances []*launcher.Instance
	Engines   []*imitator.Engine
	Services  []*imitator.Service
	mu        sync.Mutex
	callers   []*caller.Caller
}

// NewFleet starts one instance for each named data centre; several of them share the record, a single one is a fleet of its own.
func NewFleet(cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	f := &Fleet{cfg: cfg, common: observer.NewCommon("stand-in", cfg.Log, "error", false)}
	if err := f.write("document.ini", cfg.Document); err != nil {
		return nil, err
	}
	if err := f.write("session.secret", "a secret of a fleet that lives in one process only"); err != nil {
		return nil, err
	}
	if err := f.reserve(); err != nil {
		return nil, err
	}
	for n := range cfg.DataCentres {
		if err := f.addInstance(n); err != nil {
			return nil, trace.NewAggregate(err, f.Stop())
		}
	}
	if len(f.Instances) > 1 {
		if err := f.begin(); err != nil {
			return nil, trace.NewAggregate(err, f.Stop())
		}
	}
	return f, nil
}

// reserve finds a free control address for each instance, so that all of them can be named as seeds.
func (f *Fleet) reserve() error {
	var err error
	f.addresses, err = FreeAddresses(len(f.cfg.DataCentres))
	return err
}

// FreeAddresses returns loopback addresses that nobody listens on and that no other fleet on this machine gets.
func FreeAddresses(n int) ([]string, error) {
	ports, err := reserver.Ports(n)
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

func (f *Fleet) write(name, text string) error {
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(f.cfg.Folder, name), []byte(text), filePerm))
}

func (f *Fleet) addInstance(n int) error {
	settings, err := f.Settings(n)
	if err != nil {
		return err
	}
	i, err := f.Launch(settings)
	if err != nil {
		return err
	}
	f.Instances = append(f.Instances, i)
	return nil
}

// begin makes the record and hands in the first document, once the instances have met.
func (f *Fleet) begin() error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	err := f.WaitFor("the meeting of the instances", func() bool {
		status, err := f.Operator(0).Status(ctx)
		return err == nil && len(status.Peers) == len(f.Instances)-1
	})
	if err != nil {
		return err
	}
	if err := f.Operator(0).Bootstrap(ctx); err != nil {
		return err
	}
	if err := f.Apply(ctx, "first-document", f.cfg.Document); err != nil {
		return err
	}
	return f.WaitFor("the voters of the record", func() bool {
		status, err := f.Operator(0).Status(ctx)
		return err == nil && status.Record != nil && len(status.Record.Voters) >= min(wantedVoters, len(f.Instances))
	})
}

const wantedVoters = 3

// Name returns the name of an instance.
func (f *Fleet) Name(n int) string {
	return fmt.Sprintf("%s-%d", f.cfg.DataCentres[n], n+1)
}

// Settings returns the settings of an instance whose data lies in a folder of its own.
func (f *Fleet) Settings(n int) (configurer.Settings, error) {
	name := f.Name(n)
	if err := os.MkdirAll(filepath.Join(f.cfg.Folder, name), 0o700); err != nil {
		return configurer.Settings{}, trace.ConvertSystemError(err)
	}
	listen := "control = " + f.addresses[n]
	if len(f.cfg.LinkFiles) > 0 {
		listen = "control = " + loopback + "\nlinks = " + f.addresses[n] + "\n[links]\n" + strings.Join(f.cfg.LinkFiles, "\n")
	}
	text := fmt.Sprintf("[instance]\nname = %s\ndata-centre = %s\n[listen]\ncallers = %s\n%s\n"+
		"[session]\nsecret-file = session.secret\n[data]\nfolder = %s\n[stop]\nreadiness-wait = 0s\n",
		name, f.cfg.DataCentres[n], loopback, listen, name)
	if len(f.addresses) > 1 {
		text += "[peers]\nseeds = " + strings.Join(f.addresses, ", ") + "\n"
	} else {
		text += "[document]\nfile = document.ini\n"
	}
	settings, err := configurer.Parse(filepath.Join(f.cfg.Folder, name+".ini"), text)
	if err != nil {
		return settings, err
	}
	if f.cfg.Tune != nil {
		f.cfg.Tune(&settings)
	}
	return settings, nil
}

// Launch starts an instance with the given settings.
func (f *Fleet) Launch(settings configurer.Settings) (*launcher.Instance, error) {
	common := observer.NewCommon(settings.Instance.Name, f.cfg.Log, settings.Log.Level, false)
	i, err := launcher.NewInstanceOn(common, settings, f.networkOf(settings.Instance.Name))
	if err != nil {
		return nil, err
	}
	return i, i.Start()
}

// networkOf returns what stands between an instance and the others.
func (f *Fleet) networkOf(name string) coordinator.Network {
	var n coordinator.Network
	if f.cfg.Cut != nil {
		n.Cut = func(other string, incoming bool) bool {
			if incoming {
				return f.cfg.Cut(other, name)
			}
			return f.cfg.Cut(name, other)
		}
	}
	if f.cfg.Delay != nil {
		n.Delay = func(other string) timer.Millis { return f.cfg.Delay(name, other) }
	}
	return n
}

// Restart starts an instance again on the data that its last run left.
func (f *Fleet) Restart(n int) error {
	settings, err := f.Settings(n)
	if err != nil {
		return err
	}
	i, err := f.Launch(settings)
	if err != nil {
		return err
	}
	f.Instances[n] = i
	return nil
}

// ControlAddresses returns where backend servers announce themselves.
func (f *Fleet) ControlAddresses() []string {
	var list []string
	for _, i := range f.Instances {
		list = append(list, i.ControlAddress())
	}
	return list
}

func (f *Fleet) host(a registrar.Announcement) imitator.HostConfig {
	a.Incarnation = time.Now().UnixMilli()
	if a.Capacity == 0 {
		a.Capacity = 32
	}
	return imitator.HostConfig{Listen: loopback, AnnounceTo: f.ControlAddresses(), Announcement: a}
}

// AddEngine starts a stand-in engine that announces itself to every instance.
func (f *Fleet) AddEngine(a registrar.Announcement, cfg imitator.EngineConfig) (*imitator.Engine, error) {
	a.Kind = registrar.KindEngine
	cfg.Host = f.host(a)
	e := imitator.NewEngine(f.common, cfg)
	if err := e.Start(); err != nil {
		return nil, err
	}
	f.Engines = append(f.Engines, e)
	return e, nil
}

// AddService starts a stand-in service that announces itself to every instance.
func (f *Fleet) AddService(a registrar.Announcement, cfg imitator.ServiceConfig) (*imitator.Service, error) {
	a.Kind = registrar.KindService
	cfg.Host = f.host(a)
	s := imitator.NewService(f.common, cfg)
	if err := s.Start(); err != nil {
		return nil, err
	}
	f.Services = append(f.Services, s)
	return s, nil
}

const (
	pollEvery = 5 * time.Millisecond
	// waitLimit ends a wait for something that should come within moments.
	waitLimit = 20 * time.Second
)

// WaitFor waits until the condition holds; the error names what did not come.
func (f *Fleet) WaitFor(what string, holds func() bool) error {
	limit := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(limit) {
			return trace.LimitExceeded("%s did not come within %s", what, waitLimit)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// WaitServers waits until every instance knows all stand-ins as serving.
func (f *Fleet) WaitServers() error {
	want := len(f.Engines) + len(f.Services)
	return f.WaitFor("the announcements of all stand-ins", func() bool {
		for _, i := range f.Instances {
			if serving(i) < want {
				return false
			}
		}
		return true
	})
}

func serving(i *launcher.Instance) int {
	n := 0
	for _, view := range i.Set().Views {
		n = 0
		for _, s := range view.Servers {
			if s.State == registrar.StateServing {
				n++
			}
		}
	}
	return n
}

// Caller returns a caller of one instance with the example key of a workspace.
func (f *Fleet) Caller(instance int, workspace string) *caller.Caller {
	c := caller.NewCaller(f.Instances[instance].CallersAddress(), "key-"+workspace)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers = append(f.callers, c)
	return c
}

// Operator returns an operator's client of one instance.
func (f *Fleet) Operator(instance int) *operator.Client {
	return operator.NewClient(f.Instances[instance].ControlAddress())
}

// Apply hands a document in and waits until it is in force on every instance.
func (f *Fleet) Apply(ctx context.Context, id, text string) error {
	client := f.Operator(0)
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
		waiting, err := client.Waiting(ctx, environment, accepted.Revision)
		return err == nil && len(waiting) == 0
	})
}

// Leader returns the number of the instance that leads the record, or -1.
func (f *Fleet) Leader(ctx context.Context) int {
	for n := range f.Instances {
		s, err := f.Operator(n).Status(ctx)
		if err == nil && s.Record != nil && s.Record.Leads {
			return n
		}
	}
	return -1
}

// LinkBytes returns how many bytes all instances have sent to each other so far.
func (f *Fleet) LinkBytes() int64 {
	total := int64(0)
	for _, i := range f.Instances {
		total += i.LinkBytes()
	}
	return total
}

// Stop ends stand-ins and instances.
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
