package bencher

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/assembler"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Config sets the parameters of the request benchmark.
type Config struct {
	// Document is the text of an environment document that allows the workspace to use the model.
	Document   string
	DataCentre string
	Workspace  string
	Model      string
	EngineName string
	// RoundDuration is the duration of each round of load on each side.
	RoundDuration time.Duration
	// Callers is the number of concurrent callers.
	Callers int
	// AnswerTokens is the length of each answer.
	AnswerTokens int
	// OpenStreams is the number of open streams in the memory measurement.
	OpenStreams int
}

// Bench compares calls through an instance with direct calls to the same fake engine.
type Bench struct {
	cfg   Config
	out   io.Writer
	fleet *assembler.Fleet
}

// NewBench returns a bench that prints its results to out.
func NewBench(cfg Config, out io.Writer) *Bench {
	return &Bench{cfg: cfg, out: out}
}

// Run starts a fleet of one instance, runs the measurements and prints the results.
func (b *Bench) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "eelgrasshook-bench-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := assembler.Config{Folder: folder, Document: b.cfg.Document, DataCentres: []string{b.cfg.DataCentre}, AdjustSettings: b.adjustSettings}
	if b.fleet, err = assembler.NewFleet(cfg); err != nil {
		return err
	}
	err = b.measure(ctx)
	return trace.NewAggregate(err, b.fleet.Stop())
}

func (b *Bench) adjustSettings(s *configurer.Settings) {
	s.Limits.MaxInFlight = 100_000
	s.Log.Level = "error"
}

func (b *Bench) measure(ctx context.Context) error {
	fast, err := b.addEngine("fast", imitator.EngineConfig{}, b.cfg.EngineName)
	if err != nil {
		return err
	}
	if err := b.fleet.WaitForServers(); err != nil {
		return err
	}
	direct := caller.NewCaller(fast.Address(), "")
	routed := b.fleet.NewCaller(0, b.cfg.Workspace)
	if err := b.compareThroughput(ctx, direct, routed); err != nil {
		return err
	}
	if err := fast.Crash(); err != nil {
		return err
	}
	steps := []func(context.Context) error{b.measureChunkDelay, b.measureLeave, b.measureOpenStreams}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

const (
	pacedCallers  = 16
	pacedTokens   = 300
	pacedInterval = 5 * timer.Millisecond
)

// measureChunkDelay compares the delay of a chunk from the engine to its caller under a load that leaves the machine
// mostly idle.
func (b *Bench) measureChunkDelay(ctx context.Context) error {
	paced, err := b.addEngine("paced", imitator.EngineConfig{BetweenTokens: pacedInterval, Stamped: true}, b.cfg.EngineName)
	if err != nil {
		return err
	}
	if err := b.fleet.WaitFor("the paced engine", func() bool { return b.hasServer("paced") }); err != nil {
		return err
	}
	direct, err := b.chunkDelays(ctx, caller.NewCaller(paced.Address(), ""))
	if err != nil {
		return err
	}
	routed, err := b.chunkDelays(ctx, b.fleet.NewCaller(0, b.cfg.Workspace))
	if err != nil {
		return err
	}
	for _, q := range []float64{0.5, 0.95} {
		b.printLine("%d paced streams, piece from engine to caller, p%.0f us: direct %.1f, routed %.1f, added %.1f",
			pacedCallers, 100*q, quantileMicros(direct, q), quantileMicros(routed, q), quantileMicros(routed, q)-quantileMicros(direct, q))
	}
	return paced.Crash()
}

// chunkDelays streams paced answers and returns the delay of each chunk from the engine to the caller.
func (b *Bench) chunkDelays(ctx context.Context, c *caller.Caller) ([]time.Duration, error) {
	var delays []time.Duration
	var mu sync.Mutex
	var t tomb.Tomb
	recordDelay := func(text string) {
		sentNanos, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return
		}
		delay := time.Duration(time.Now().UnixNano() - sentNanos)
		mu.Lock()
		defer mu.Unlock()
		delays = append(delays, delay)
	}
	for n := range pacedCallers {
		t.Go(func() error {
			_, err := c.Chat(ctx, caller.Prompt{
				Model: b.modelFor(c), Text: fmt.Sprint("paced ", n), MaxTokens: pacedTokens, Stream: true, OnText: recordDelay,
			})
			return err
		})
	}
	err := t.Wait()
	return delays, err
}

// modelFor returns the name under which the caller requests the version.
// It is the engine name for direct calls and the model name for routed ones.
func (b *Bench) modelFor(c *caller.Caller) string {
	if c.IsDirect() {
		return b.cfg.EngineName
	}
	return b.cfg.Model
}

// hasServer reports whether the instance routes requests to the named backend server.
func (b *Bench) hasServer(name string) bool {
	for _, view := range b.fleet.Instances[0].ViewSet().Views {
		if slices.ContainsFunc(view.Servers, func(s registrar.BackendServer) bool { return s.Name == name }) {
			return true
		}
	}
	return false
}

func (b *Bench) addEngine(name string, cfg imitator.EngineConfig, engineName string) (*imitator.Engine, error) {
	a := registrar.Announcement{Name: name, DataCentre: b.cfg.DataCentre, EngineNames: []string{engineName}, Capacity: 100_000}
	return b.fleet.AddEngine(a, cfg)
}

// sample holds the counts and times of one side, direct or routed.
type sample struct {
	requests  int
	chunks    int
	elapsed   time.Duration
	firstByte []time.Duration
	perChunk  []time.Duration
}

func (s sample) perSecond(n int) float64 {
	return float64(n) / s.elapsed.Seconds()
}

// compareThroughput alternates between direct and routed load, so that other load on the machine affects both alike.
func (b *Bench) compareThroughput(ctx context.Context, direct, routed *caller.Caller) error {
	const rounds = 3
	var directSum, routedSum sample
	for range rounds {
		for _, side := range []struct {
			c   *caller.Caller
			sum *sample
		}{{direct, &directSum}, {routed, &routedSum}} {
			s, err := b.runLoad(ctx, side.c)
			if err != nil {
				return err
			}
			side.sum.add(s)
		}
	}
	b.printLine("%d callers, %d tokens an answer, %d rounds of %s each side, %d cores", b.cfg.Callers, b.cfg.AnswerTokens, rounds, b.cfg.RoundDuration, runtime.GOMAXPROCS(0))
	b.printTable(directSum, routedSum)
	return nil
}

func (s *sample) add(o sample) {
	s.requests += o.requests
	s.chunks += o.chunks
	s.elapsed += o.elapsed
	s.firstByte = append(s.firstByte, o.firstByte...)
	s.perChunk = append(s.perChunk, o.perChunk...)
}

func (b *Bench) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(b.out, format+"\n", args...)
}

func (b *Bench) printTable(directSum, routedSum sample) {
	cores := float64(runtime.GOMAXPROCS(0))
	row := func(name string, direct, routed float64, unit string) {
		b.printLine("%-28s direct %12.1f   routed %12.1f   ratio %5.2f   difference %9.1f %s", name, direct, routed, routed/direct, routed-direct, unit)
	}
	row("requests/s per core", directSum.perSecond(directSum.requests)/cores, routedSum.perSecond(routedSum.requests)/cores, "")
	row("chunks/s per core", directSum.perSecond(directSum.chunks)/cores, routedSum.perSecond(routedSum.chunks)/cores, "")
	row("first byte, median us", quantileMicros(directSum.firstByte, 0.5), quantileMicros(routedSum.firstByte, 0.5), "us")
	row("first byte, p95 us", quantileMicros(directSum.firstByte, 0.95), quantileMicros(routedSum.firstByte, 0.95), "us")
	row("per chunk, median us", quantileMicros(directSum.perChunk, 0.5), quantileMicros(routedSum.perChunk, 0.5), "us")
}

func quantileMicros(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))].Nanoseconds()) / 1000
}

// runLoad lets each caller send one request after another for the configured span.
func (b *Bench) runLoad(ctx context.Context, c *caller.Caller) (sample, error) {
	var total sample
	var mu sync.Mutex
	var t tomb.Tomb
	start := time.Now()
	for n := range b.cfg.Callers {
		l := &loadCaller{bench: b, caller: c, number: n, end: start.Add(b.cfg.RoundDuration), mu: &mu, total: &total}
		t.Go(func() error { return l.run(ctx) })
	}
	err := t.Wait()
	total.elapsed = time.Since(start)
	return total, err
}

// loadCaller sends one request after another until the end time.
type loadCaller struct {
	bench  *Bench
	caller *caller.Caller
	number int
	end    time.Time
	mu     *sync.Mutex
	total  *sample
}

func (l *loadCaller) run(ctx context.Context) error {
	var s sample
	for time.Now().Before(l.end) {
		text := fmt.Sprintf("%s%d-%d", imitator.MarkerPrefix, l.number, s.requests)
		model := l.bench.modelFor(l.caller)
		answer, err := l.caller.Chat(ctx, caller.Prompt{Model: model, Text: text, MaxTokens: l.bench.cfg.AnswerTokens, Stream: true})
		if err != nil {
			return err
		}
		s.requests++
		s.chunks += answer.Chunks
		s.firstByte = append(s.firstByte, answer.TimeToFirstChunk)
		s.perChunk = append(s.perChunk, (answer.Duration-answer.TimeToFirstChunk)/time.Duration(answer.Chunks))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.add(s)
	return nil
}

const (
	openStreamPause  = 30 * timer.Second
	bytesPerKilobyte = 1000
)

// measureOpenStreams keeps streams to a slow engine open and compares the memory of direct and routed streams.
func (b *Bench) measureOpenStreams(ctx context.Context) error {
	slow, err := b.addEngine("slow", imitator.EngineConfig{BetweenTokens: openStreamPause}, b.cfg.EngineName)
	if err != nil {
		return err
	}
	if err := b.fleet.WaitFor("the slow engine", func() bool { return b.hasServer("slow") }); err != nil {
		return err
	}
	direct, err := b.measureStreamMemory(ctx, caller.NewCaller(slow.Address(), ""), slow, 0)
	if err != nil {
		return err
	}
	routed, err := b.measureStreamMemory(ctx, b.fleet.NewCaller(0, b.cfg.Workspace), slow, b.cfg.OpenStreams)
	if err != nil {
		return err
	}
	b.printLine("%d open streams: direct %.1f KB each (caller and engine), routed %.1f KB each, added by the instance %.1f KB",
		b.cfg.OpenStreams, direct, routed, routed-direct)
	return nil
}

// measureStreamMemory opens the streams and returns the memory per stream in kilobytes.
// Caller, engine and instance run in this process, so the figure includes all of them.
// It waits until the engine has started OpenStreams runs more than earlierRuns.
func (b *Bench) measureStreamMemory(ctx context.Context, c *caller.Caller, engine *imitator.Engine, earlierRuns int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	baseline := memoryInUse()
	var wg sync.WaitGroup
	for n := range b.cfg.OpenStreams {
		model := b.modelFor(c)
		wg.Go(func() {
			// The error is expected: the end of the measurement cancels the stream.
			_, _ = c.Chat(ctx, caller.Prompt{Model: model, Text: fmt.Sprint("stream ", n), MaxTokens: 8, Stream: true})
		})
	}
	want := earlierRuns + b.cfg.OpenStreams
	err := b.fleet.WaitFor("the open streams", func() bool { return len(engine.Runs()) >= want })
	used := memoryInUse() - baseline
	cancel()
	wg.Wait()
	c.Close()
	return used / float64(b.cfg.OpenStreams) / bytesPerKilobyte, err
}

// settleCollections is the number of garbage collections after which the stacks of waiting goroutines no longer shrink.
// Each collection halves the stacks that use less than a quarter of their size.
const settleCollections = 4

// memoryInUse returns the size of heap and stacks in bytes, after enough garbage collections for stable stack sizes.
func memoryInUse() float64 {
	for range settleCollections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
