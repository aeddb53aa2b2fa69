package commander

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/bencher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func (c *Commander) addBench() {
	bench := c.app.Command("bench", "Measure this program on this machine.")
	c.addBenchFleet(bench)
	c.addBenchCapacity(bench)
	cmd := bench.Command("requests", "Measure the request path side by side with direct calls to the same stand-in.\n\nExample: eelgrasshook bench requests examples/tazy-fit.ini --span 3s")
	var cfg bencher.Config
	path := cmd.Arg("document", "Environment document; its first workspace and the cheapest version of its first model are used.").Required().String()
	cmd.Flag("span", "Time of each round on each side.").Default("2s").DurationVar(&cfg.RoundDuration)
	cmd.Flag("callers", "Callers at once.").Default("64").IntVar(&cfg.Callers)
	cmd.Flag("tokens", "Tokens of an answer.").Default("64").IntVar(&cfg.AnswerTokens)
	cmd.Flag("open-streams", "Streams held open for the memory figure.").Default("4000").IntVar(&cfg.OpenStreams)
	c.commands["bench requests"] = func() error { return c.benchRequests(*path, cfg) }
}

func (c *Commander) addBenchFleet(bench *kingpin.CmdClause) {
	cmd := bench.Command("fleet", "Measure changes and the cost of control at several sizes of the fleet, in one process.\n\nExample: eelgrasshook bench fleet examples/tazy-fit.ini --instances 3 --instances 9")
	path := cmd.Arg("document", "Environment document.").Required().String()
	var cfg bencher.FleetConfig
	cmd.Flag("instances", "Size of a fleet; may be repeated.").Default("3", "9", "27", "81").IntsVar(&cfg.FleetSizes)
	cmd.Flag("changes", "Changes to hand in at each size.").Default("100").IntVar(&cfg.ChangeCount)
	cmd.Flag("idle", "Time to measure the cost of control without changes.").Default("10s").DurationVar(&cfg.IdleDuration)
	near := cmd.Flag("near", "One-way delay within a data centre that is added.").Default("0s").Duration()
	far := cmd.Flag("far", "One-way delay between data centres that is added.").Default("0s").Duration()
	c.commands["bench fleet"] = func() error {
		cfg.DelayWithinDataCentre, cfg.DelayBetweenDataCentres = timer.FromDuration(*near), timer.FromDuration(*far)
		return c.benchFleet(*path, cfg)
	}
}

func (c *Commander) addBenchCapacity(bench *kingpin.CmdClause) {
	cmd := bench.Command("capacity", "Measure the slopes of the capacity page and work its table out at the users' target.\n\nExample: eelgrasshook bench capacity examples/tazy-fit.ini")
	path := cmd.Arg("document", "Environment document.").Required().String()
	var fleetSlopes bencher.FleetSlopes
	cmd.Flag("link-kb", "Memory of one more instance in kilobytes, from bench fleet.").Default("68").Float64Var(&fleetSlopes.LinkKB)
	cmd.Flag("request-us", "Processor time of a request in microseconds, from bench requests.").Default("279").Float64Var(&fleetSlopes.RequestMicros)
	cmd.Flag("chunk-us", "Processor time of a chunk in microseconds, from bench requests.").Default("6").Float64Var(&fleetSlopes.ChunkMicros)
	c.commands["bench capacity"] = func() error { return c.benchCapacity(*path, fleetSlopes) }
}

func (c *Commander) benchCapacity(path string, fleetSlopes bencher.FleetSlopes) error {
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	tempDir, err := os.MkdirTemp("", "eelgrasshook-bench-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	slopes, err := bencher.MeasureSlopes(context.Background(), doc.String(), tempDir)
	if err != nil {
		return err
	}
	return c.printf("%s", bencher.FormatTable(bencher.CapacityRows(bencher.UsersTarget(), slopes, fleetSlopes)))
}

func (c *Commander) benchFleet(path string, cfg bencher.FleetConfig) error {
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	doc.Environment.QualityTarget = defaultQualityTarget
	cfg.Document = doc.String()
	b, err := bencher.NewFleetBench(cfg, c.out)
	if err != nil {
		return err
	}
	return b.Run(context.Background())
}

// defaultQualityTarget is the default, which a printed document omits, so that the bench can write another target.
const defaultQualityTarget = 0.8

// benchWorkspaceLimit is the limit of in-flight and of waiting requests of the bench's workspace, too high to be
// reached.
const benchWorkspaceLimit = 100_000

func (c *Commander) benchRequests(path string, cfg bencher.Config) error {
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	if len(doc.Models) == 0 || len(doc.Workspaces) == 0 || len(doc.DataCentres) == 0 {
		return trace.BadParameter("%s needs a model, a workspace and a data centre", path)
	}
	w := doc.Workspaces[0]
	w.QualityTarget = 0.01
	w.MaxInFlight = benchWorkspaceLimit
	w.MaxWaiting = benchWorkspaceLimit
	v, _ := doc.Version(doc.Models[0].Cascade[0])
	cfg.Document = doc.WithWorkspace(w).String()
	cfg.DataCentre, cfg.Workspace, cfg.Model, cfg.EngineName = doc.DataCentres[0].Name, w.Name, v.Model, v.EngineName
	return bencher.NewBench(cfg, c.out).Run(context.Background())
}
