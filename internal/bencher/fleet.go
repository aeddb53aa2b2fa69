package bencher

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/assembler"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// FleetConfig sets the parameters of the fleet benchmark.
type FleetConfig struct {
	Document string
	// FleetSizes lists the sizes of the fleets.
	FleetSizes []int
	// ChangeCount is the number of document changes at each size.
	ChangeCount int
	// IdleDuration is how long the cost of control is measured without changes.
	IdleDuration time.Duration
	// DelayWithinDataCentre and DelayBetweenDataCentres are the one-way delays added within a data centre and between data
	// centres.
	DelayWithinDataCentre   timer.Millis
	DelayBetweenDataCentres timer.Millis
}

// FleetBench measures changes and the cost of control at several sizes of the fleet.
type FleetBench struct {
	cfg FleetConfig
	doc *parser.Document
	out io.Writer
}

// NewFleetBench returns a bench that prints its results to out; it fails when the document does not parse.
func NewFleetBench(cfg FleetConfig, out io.Writer) (*FleetBench, error) {
	doc, err := parser.Parse("bench", cfg.Document)
	if err != nil {
		return nil, err
	}
	return &FleetBench{cfg: cfg, doc: doc, out: out}, nil
}

// Run measures each size in turn.
func (b *FleetBench) Run(ctx context.Context) error {
	b.printLine("%9s  %22s  %22s  %12s  %12s  %14s  %16s", "instances", "accepted p50/p99 ms", "in force p50/p99 ms", "idle KB/s", "idle core %", "memory MB", "leader KB/change")
	for _, n := range b.cfg.FleetSizes {
		if err := b.measureSize(ctx, n); err != nil {
			return trace.Wrap(err, "%d instances", n)
		}
	}
	return nil
}

func (b *FleetBench) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(b.out, format+"\n", args...)
}

func (b *FleetBench) measureSize(ctx context.Context, n int) error {
	folder, err := os.MkdirTemp("", "eelgrasshook-bench-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	baseline := memoryInUse()
	cfg := assembler.Config{Folder: folder, Document: b.doc.String(), AdjustSettings: func(s *configurer.Settings) { s.Log.Level = "error" }}
	for i := range n {
		cfg.DataCentres = append(cfg.DataCentres, b.doc.DataCentres[i%len(b.doc.DataCentres)].Name)
	}
	if b.cfg.DelayWithinDataCentre+b.cfg.DelayBetweenDataCentres > 0 {
		cfg.LinkDelay = b.linkDelay
	}
	fleet, err := assembler.NewFleet(cfg)
	if err != nil {
		return err
	}
	err = b.measureFleet(ctx, fleet, n, baseline)
	return trace.NewAggregate(err, fleet.Stop())
}

func (b *FleetBench) measureFleet(ctx context.Context, fleet *assembler.Fleet, n int, baseline float64) error {
	leader := max(fleet.LeaderIndex(ctx), 0)
	leaderBytesBefore := fleet.Instances[leader].LinkBytesSent()
	accepted, inForce, err := b.applyChanges(ctx, fleet)
	if err != nil {
		return err
	}
	leaderKBPerChange := float64(fleet.Instances[leader].LinkBytesSent()-leaderBytesBefore) / float64(b.cfg.ChangeCount) / bytesPerKilobyte
	bytesBefore, cpuBefore := fleet.LinkBytesSent(), cpuTime()
	time.Sleep(b.cfg.IdleDuration)
	seconds := b.cfg.IdleDuration.Seconds()
	kbPerSecond := float64(fleet.LinkBytesSent()-bytesBefore) / seconds / float64(n) / bytesPerKilobyte
	corePercent := 100 * (cpuTime() - cpuBefore).Seconds() / seconds / float64(n)
	memoryMB := (memoryInUse() - baseline) / float64(n) / (1 << 20)
	b.printLine("%9d  %10.1f / %9.1f  %10.1f / %9.1f  %12.2f  %12.2f  %14.2f  %16.2f", n,
		quantileMillis(accepted, 0.5), quantileMillis(accepted, 0.99), quantileMillis(inForce, 0.5), quantileMillis(inForce, 0.99), kbPerSecond, corePercent, memoryMB, leaderKBPerChange)
	return b.measureLeaderLoss(ctx, fleet)
}

// linkDelay returns the delay between two instances. Their names have the form DATA-CENTRE-NUMBER.
func (b *FleetBench) linkDelay(from, to string) timer.Millis {
	if from[:strings.LastIndexByte(from, '-')] == to[:strings.LastIndexByte(to, '-')] {
		return b.cfg.DelayWithinDataCentre
	}
	return b.cfg.DelayBetweenDataCentres
}

// measureLeaderLoss kills the leader and prints the time until the next change is accepted.
func (b *FleetBench) measureLeaderLoss(ctx context.Context, fleet *assembler.Fleet) error {
	leader := fleet.LeaderIndex(ctx)
	if leader < 0 || len(fleet.Instances) < 3 {
		return trace.NotFound("no instance leads the record")
	}
	client := fleet.NewOperatorClient((leader + 1) % len(fleet.Instances))
	current, err := client.Document(ctx, b.doc.Environment.Name)
	if err != nil {
		return err
	}
	if err := fleet.Instances[leader].Kill(); err != nil {
		return err
	}
	start := time.Now()
	c := operator.Change{ID: "after-loss", Environment: b.doc.Environment.Name, BaseRevision: current.Revision, Author: "bench", Text: b.doc.String()}
	if _, err := client.Apply(ctx, c); err != nil {
		return err
	}
	b.printLine("%9s  leader lost: next change accepted after %d ms", "", time.Since(start).Milliseconds())
	return nil
}

// applyChanges submits one change after another and waits until each is in force on every instance.
// It returns the times from submission to acceptance and to being in force.
func (b *FleetBench) applyChanges(ctx context.Context, fleet *assembler.Fleet) (accepted, inForce []time.Duration, err error) {
	client := fleet.NewOperatorClient(0)
	current, err := client.Document(ctx, b.doc.Environment.Name)
	if err != nil {
		return nil, nil, err
	}
	for k := range b.cfg.ChangeCount {
		c := operator.Change{
			ID: fmt.Sprint("bench-", k), Environment: b.doc.Environment.Name, BaseRevision: current.Revision + int64(k), Author: "bench",
			Text: strings.Replace(b.doc.String(), "[environment]", fmt.Sprintf("[environment]\nquality-target = %d.%03d%%", 50+k%40, k), 1),
		}
		start := time.Now()
		a, err := client.Apply(ctx, c)
		if err != nil {
			return nil, nil, err
		}
		accepted = append(accepted, time.Since(start))
		for {
			waiting, err := client.WaitingInstances(ctx, c.Environment, a.Revision)
			if err != nil {
				return nil, nil, err
			}
			if len(waiting) == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		inForce = append(inForce, time.Since(start))
	}
	return accepted, inForce, nil
}

func quantileMillis(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))].Seconds() * 1000
}

// cpuTime returns the CPU time that this process has used, or 0 when the system call fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
