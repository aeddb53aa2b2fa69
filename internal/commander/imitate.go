package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const leaveTimeout = time.Minute

type imitateArgs struct {
	host          imitator.HostConfig
	firstDelay    time.Duration
	tokenInterval time.Duration
}

func (c *Commander) addImitate() {
	cmd := c.app.Command("imitate", "Run a stand-in backend server as a process of its own, for trials by hand.")
	engine := cmd.Command("engine", "Run a stand-in model engine.\n\nExample: eelgrasshook imitate engine --name fit-01 --data-centre almaty-a --engine-name fit-s-3 --to 127.0.0.1:8090")
	var engineArgs imitateArgs
	c.addHostFlags(engine, &engineArgs, registrar.KindEngine)
	engine.Flag("engine-name", "Engine name of a version that is loaded; may be repeated.").Required().StringsVar(&engineArgs.host.Announcement.EngineNames)
	engine.Flag("first-token", "Time to the first token.").Default("100ms").DurationVar(&engineArgs.firstDelay)
	engine.Flag("between-tokens", "Time between tokens.").Default("20ms").DurationVar(&engineArgs.tokenInterval)
	c.commands["imitate engine"] = func() error { return c.imitateEngine(engineArgs) }

	service := cmd.Command("service", "Run a stand-in plain service.\n\nExample: eelgrasshook imitate service --name desk-01 --data-centre almaty-a --service coat-desk --to 127.0.0.1:8090")
	var serviceArgs imitateArgs
	c.addHostFlags(service, &serviceArgs, registrar.KindService)
	service.Flag("service", "Name of the plain service.").Required().StringVar(&serviceArgs.host.Announcement.Service)
	service.Flag("delay", "Time that a call takes.").Default("10ms").DurationVar(&serviceArgs.firstDelay)
	c.commands["imitate service"] = func() error { return c.imitateService(serviceArgs) }
}

func (c *Commander) addHostFlags(cmd *kingpin.CmdClause, a *imitateArgs, kind registrar.Kind) {
	a.host.Announcement.Kind = kind
	a.host.Announcement.Incarnation = time.Now().UnixMilli()
	cmd.Flag("name", "Name to announce.").Required().StringVar(&a.host.Announcement.Name)
	cmd.Flag("data-centre", "Data centre to announce.").Required().StringVar(&a.host.Announcement.DataCentre)
	cmd.Flag("capacity", "Requests that run at once.").Default("8").IntVar(&a.host.Announcement.Capacity)
	cmd.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&a.host.Listen)
	cmd.Flag("to", "Control address of an instance to announce to; may be repeated.").Required().StringsVar(&a.host.AnnounceTo)
}

// standIn holds the functions that run a stand-in engine or a stand-in service.
type standIn struct {
	start   func() error
	address func() string
	leave   func(context.Context) error
}

func (c *Commander) imitateEngine(a imitateArgs) error {
	telemetry := observer.NewTelemetry("imitate", c.errOut, "info", false)
	e := imitator.NewEngine(telemetry, imitator.EngineConfig{
		Host: a.host, FirstToken: timer.FromDuration(a.firstDelay), BetweenTokens: timer.FromDuration(a.tokenInterval),
	})
	return c.runStandIn(standIn{start: e.Start, address: e.Address, leave: e.Leave})
}

func (c *Commander) imitateService(a imitateArgs) error {
	telemetry := observer.NewTelemetry("imitate", c.errOut, "info", false)
	s := imitator.NewService(telemetry, imitator.ServiceConfig{Host: a.host, Delay: timer.FromDuration(a.firstDelay)})
	return c.runStandIn(standIn{start: s.Start, address: s.Address, leave: s.Leave})
}

func (c *Commander) runStandIn(s standIn) error {
	if err := s.start(); err != nil {
		return err
	}
	if err := c.printf("listening on %s\n", s.address()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return s.leave(ctx)
}
