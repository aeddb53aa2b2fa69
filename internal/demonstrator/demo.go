package demonstrator

import (
	"context"
	_ "embed" // For the environment document of the demo.
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/assembler"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	modelName            = "fitting-model"
	oldVersion           = "fitting-small-3"
	newVersion           = "fitting-small-4"
	costlyVersion        = "fitting-large-2"
	consultationTokens   = 48
	questionTokens       = 24
	labelTokens          = 4
	defaultPhaseDuration = 3 * time.Second
	drainTimeout         = 10 * time.Second
)

//go:embed document.ini
var documentText string

// Demo is a single run of the demo.
type Demo struct {
	out           io.Writer
	phaseDuration time.Duration
	fleet         *assembler.Fleet
	doc           *parser.Document
	outcomes      *outcomeLog
	withdrawnAt   time.Time
	tomb          *tomb.Tomb
}

// NewDemo returns a demo that prints its progress and its report to out.
func NewDemo(out io.Writer) *Demo {
	return &Demo{out: out, phaseDuration: defaultPhaseDuration, outcomes: &outcomeLog{}, tomb: &tomb.Tomb{}}
}

// WithPhaseDuration sets how long traffic runs after each step.
func (d *Demo) WithPhaseDuration(duration time.Duration) *Demo {
	d.phaseDuration = duration
	return d
}

// Run runs the demo and returns an error when a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "eelgrasshook-demo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := d.startFleet(folder); err != nil {
		return err
	}
	err = d.runSteps(ctx)
	if err == nil {
		err = d.checkAndReport()
	}
	return trace.NewAggregate(err, d.fleet.Stop())
}

func (d *Demo) printLine(format string, args ...any) {
	// The demo continues when its output is closed.
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *Demo) startFleet(folder string) error {
	doc, err := parser.Parse("demo document", documentText)
	if err != nil {
		return err
	}
	d.doc = doc
	cfg := assembler.Config{Folder: folder, Document: documentText}
	for _, dc := range doc.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, dc.Name)
	}
	if d.fleet, err = assembler.NewFleet(cfg); err != nil {
		return err
	}
	for _, dc := range cfg.DataCentres {
		if err := d.addStandIns(dc); err != nil {
			return trace.NewAggregate(err, d.fleet.Stop())
		}
	}
	d.printLine("started 3 instances, 9 engines and 3 coat-desks in %s", strings.Join(cfg.DataCentres, ", "))
	return d.fleet.WaitForServers()
}

func (d *Demo) addStandIns(dc string) error {
	configs := map[string]imitator.EngineConfig{
		"fit-s-3": {FirstToken: 20 * timer.Millisecond, BetweenTokens: 4 * timer.Millisecond},
		"fit-s-4": {FirstToken: 20 * timer.Millisecond, BetweenTokens: 3 * timer.Millisecond},
		"fit-l-2": {FirstToken: 60 * timer.Millisecond, BetweenTokens: 8 * timer.Millisecond},
	}
	for name, cfg := range configs {
		a := registrar.Announcement{Name: dc + "-" + name, DataCentre: dc, EngineNames: []string{name}}
		if _, err := d.fleet.AddEngine(a, cfg); err != nil {
			return err
		}
	}
	a := registrar.Announcement{Name: dc + "-desk", DataCentre: dc, Service: "coat-desk"}
	_, err := d.fleet.AddService(a, imitator.ServiceConfig{Delay: 5 * timer.Millisecond})
	return err
}

// runSteps runs the steps of the demo one after another while traffic runs.
func (d *Demo) runSteps(ctx context.Context) error {
	d.startTraffic(ctx)
	steps := []struct {
		message string
		run     func(context.Context) error
	}{
		{"callers send consultations, questions, label requests, duplicate orders and look-ups", doNothing},
		{"roll-out: 30% of new sessions and requests start on " + newVersion, d.startRollOut},
		{"an engine of the old version crashes in the middle of its answers", d.crashEngine},
		{"an engine announces that it leaves and stops when its requests in flight are done", d.drainEngine},
		{"withdrawal: " + oldVersion + " receives no new work, its sessions move", d.withdrawOldVersion},
		{"an instance stops gracefully", d.stopInstance},
	}
	for _, s := range steps {
		d.printLine("%s", s.message)
		if err := s.run(ctx); err != nil {
			return trace.NewAggregate(err, d.stopTraffic())
		}
		select {
		case <-time.After(d.phaseDuration):
		case <-ctx.Done():
			return trace.NewAggregate(ctx.Err(), d.stopTraffic())
		}
	}
	return d.stopTraffic()
}

func doNothing(context.Context) error { return nil }

// startTraffic starts the workers. They send to the first two instances only, because stopInstance stops the third.
func (d *Demo) startTraffic(ctx context.Context) {
	templates := []worker{
		{kind: "consultation", workspace: "consultations", send: sendConsultation, pause: 20 * time.Millisecond},
		{kind: "consultation", workspace: "almaty-shelter", send: sendConsultation, pause: 20 * time.Millisecond},
		{kind: "question", workspace: "fit-questions", send: sendQuestion, pause: 10 * time.Millisecond},
		{kind: "label", workspace: "size-labels", send: sendLabel, pause: 10 * time.Millisecond},
		{kind: "order", workspace: "adoption-app", send: sendOrder, pause: 40 * time.Millisecond},
		{kind: "look-up", workspace: "volunteers", send: sendLookUp, pause: 20 * time.Millisecond},
	}
	const workersPerKind = 4
	for _, template := range templates {
		callers := []*caller.Caller{d.fleet.NewCaller(0, template.workspace), d.fleet.NewCaller(1, template.workspace)}
		for n := range workersPerKind {
			w := template
			w.number = n
			w.outcomes = d.outcomes
			w.callers = callers
			d.tomb.Go(func() error { return w.run(d.tomb.Context(ctx)) })
		}
	}
}

func (d *Demo) stopTraffic() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}

func (d *Demo) startRollOut(ctx context.Context) error {
	d.doc = d.doc.WithRollOut(parser.RollOut{Version: newVersion, Replaces: oldVersion, Share: 0.3, MaxExposed: 10_000})
	return d.fleet.Apply(ctx, "demo-roll-out", d.doc.String())
}

func (d *Demo) withdrawOldVersion(ctx context.Context) error {
	d.doc = d.doc.WithRollOut(parser.RollOut{Version: newVersion, Replaces: oldVersion, Share: 1, MaxExposed: 100_000})
	v, _ := d.doc.Version(oldVersion)
	v.Withdrawn = true
	d.doc = d.doc.WithVersion(v)
	err := d.fleet.Apply(ctx, "demo-withdrawal", d.doc.String())
	d.withdrawnAt = time.Now()
	return err
}

func (d *Demo) engineByName(name string) *imitator.Engine {
	for _, e := range d.fleet.Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

func (d *Demo) crashEngine(context.Context) error {
	return d.engineByName(d.doc.DataCentres[0].Name + "-fit-s-3").Crash()
}

func (d *Demo) drainEngine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return d.engineByName(d.doc.DataCentres[1].Name + "-fit-s-3").Leave(ctx)
}

func (d *Demo) stopInstance(context.Context) error {
	return d.fleet.Instances[2].Stop()
}
