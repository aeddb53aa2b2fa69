package replayer

import (
	"container/heap"
	"math/rand/v2"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pinner"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/rater"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/retrier"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/internal/watcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Parameters of the simulated platform.
const (
	announceInterval    = timer.Second
	ratingDelay         = 8 * timer.Second
	ratedShare          = 0.7
	haltDelay           = 50 * timer.Millisecond
	requestTimeout      = 2 * timer.Minute
	maxAttempts         = 4
	maxQueueWait        = 8 * timer.Second
	poolRefreshInterval = 50 * timer.Millisecond
	// waitingPerSlot bounds a pool's queue for each slot of its servers, as an instance does.
	waitingPerSlot = 2
	retryShare     = 0.2
	exploreShare   = 0.01
	silenceTimeout = 2500 * timer.Millisecond
	// tokensPerPriceUnit is the number of tokens that a version's price refers to.
	tokensPerPriceUnit = 1000
)

// event is a callback at a virtual time; events at the same time run in the order of scheduling.
type event struct {
	at    timer.Millis
	order int
	do    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for container/heap.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Replay is one run of one trace under one policy.
type Replay struct {
	trace       *Trace
	policy      Policy
	doc         *parser.Document
	model       string
	now         timer.Millis
	events      eventQueue
	order       int
	engines     map[string]*engine
	serverNames []string
	sites       map[string]*site
	// trueQuality is the share of good answers by version and class.
	trueQuality map[[2]string]float64
	rand        *rand.Rand
	result      *Result
	// unfinished counts the calls that have no outcome yet.
	unfinished int
	// fleetDetector is the leader's detector, which sees the ratings of all sites.
	fleetDetector *watcher.Detector
	// badSince is the time at which the trace lowers a version's quality, 0 before.
	badSince timer.Millis
}

// site is the instance of one data centre; it uses the real routing code.
type site struct {
	replay          *Replay
	dataCentre      string
	table           *registrar.Table
	currentView     *indexer.View
	selector        *selector.Selector
	placer          *placer.Placer
	estimator       *rater.Estimator
	detector        *watcher.Detector
	budget          *retrier.Budget
	rand            *rand.Rand
	roundRobinIndex int
	pools           map[string]*admitter.Queue
}

// call is one request and its state over all attempts.
type call struct {
	spec         *Request
	site         *site
	version      *parser.Version
	triedServers []string
	attempts     int
	cost         float64
	// holdsPoolSlot reports whether the call holds a slot in its pool.
	holdsPoolSlot bool
	// firstTokenAt is the time at which the first token reaches the site, 0 before.
	firstTokenAt timer.Millis
}

func (c *call) affinity() string {
	if c.spec.Session != "" {
		return c.spec.Workspace + "/" + c.spec.Session
	}
	return c.spec.Workspace + "/" + c.spec.Class
}

// NewReplay prepares a run; the error says what is invalid in the trace's document.
func NewReplay(t *Trace, p Policy, seed uint64) (*Replay, error) {
	doc, err := parser.Parse(t.Head.Name, t.Head.Document)
	if err != nil {
		return nil, err
	}
	r := &Replay{
		trace: t, policy: p, doc: doc, model: doc.Models[0].Name, engines: map[string]*engine{}, sites: map[string]*site{},
		trueQuality: map[[2]string]float64{}, rand: rand.New(rand.NewPCG(seed, 5)), result: newResult(t.Head.Name, p.Name),
		fleetDetector: watcher.NewDetector(),
	}
	for _, x := range t.Truths {
		r.trueQuality[[2]string{x.Version, x.Class}] = x.Quality
	}
	for _, s := range t.Servers {
		r.engines[s.Name] = &engine{spec: s, incarnation: 1}
		r.serverNames = append(r.serverNames, s.Name)
	}
	for n, dc := range doc.DataCentres {
		if err := r.addSite(dc.Name, seed+uint64(n)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Replay) addSite(dataCentre string, seed uint64) error {
	now := func() timer.Millis { return r.now }
	telemetry := observer.NewDiscard(timer.Clock{Now: now})
	pins, err := pinner.NewPinner([]byte("the secret of a replay in virtual time"))
	if err != nil {
		return err
	}
	estimator, err := rater.NewEstimator(rater.Deps{Now: now, ExploreShare: exploreShare, Seed: seed})
	if err != nil {
		return err
	}
	s := &site{
		replay: r, dataCentre: dataCentre, table: registrar.NewTable(registrar.Timeouts{SilentAfter: silenceTimeout, RemoveAfter: timer.Hour}),
		pools: map[string]*admitter.Queue{}, estimator: estimator, detector: watcher.NewDetector(), budget: retrier.NewBudget(retryShare), rand: rand.New(rand.NewPCG(seed, 11)),
		placer: placer.NewPlacer(placer.Deps{DataCentre: dataCentre, Now: now, Seed: seed}),
	}
	s.selector = selector.NewSelector(selector.Deps{
		Telemetry: telemetry, Pins: pins, EstimateQuality: estimator.Quality, ShouldExplore: estimator.ShouldExplore, IsHalted: s.detector.IsHalted,
	})
	s.currentView = indexer.NewView(1, r.doc, nil, 0)
	s.currentView.Mode = indexer.ModeConnected
	r.sites[dataCentre] = s
	return nil
}

func (s *site) view() *indexer.View {
	return s.currentView
}

func (r *Replay) scheduleAfter(delay timer.Millis, do func()) {
	r.order++
	heap.Push(&r.events, event{at: r.now + delay, order: r.order, do: do})
}

func (r *Replay) scheduleAt(when timer.Millis, do func()) {
	r.scheduleAfter(when-r.now, do)
}

// Run replays the trace to its end; the error names a request from an unknown data centre.
func (r *Replay) Run() (*Result, error) {
	r.unfinished = len(r.trace.Requests)
	for i := range r.trace.Requests {
		spec := &r.trace.Requests[i]
		if r.sites[spec.DataCentre] == nil {
			return nil, trace.BadParameter("request %s arrives in unknown data centre %q", spec.ID, spec.DataCentre)
		}
		r.scheduleAt(spec.At, func() { r.handleArrival(spec) })
	}
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		r.scheduleAt(f.At, func() { r.injectFault(f) })
	}
	r.announceAll()
	r.refreshPools()
	for r.unfinished > 0 && len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result, nil
}

// announceAll announces every engine with its current load and repeats this each announceInterval;
// in between, the announced load is out of date.
func (r *Replay) announceAll() {
	for _, name := range r.serverNames {
		r.announce(r.engines[name])
	}
	for _, s := range r.sites {
		s.table.Expire(r.now)
		s.rebuildView()
	}
	r.scheduleAfter(announceInterval, r.announceAll)
}

func (r *Replay) announce(e *engine) {
	if e.down {
		return
	}
	e.sequence++
	a := registrar.Announcement{
		Name: e.spec.Name, Incarnation: e.incarnation, Sequence: e.sequence, Address: addressOf(r.serverNames, e.spec.Name), DataCentre: e.spec.DataCentre,
		Kind: registrar.KindEngine, EngineNames: e.spec.EngineNames, Capacity: e.spec.Capacity, Leaving: e.leaving,
		Load: registrar.Load{Running: e.running, Waiting: len(e.waiting)},
	}
	for _, s := range r.sites {
		if _, err := s.table.Announce(r.now, a); err != nil {
			panic("the server table refused a simulated announcement: " + err.Error())
		}
	}
}

func (s *site) rebuildView() {
	rows := s.table.Rows()
	registrar.MarkSlowOutliers(rows, s.replay.now)
	s.currentView = s.currentView.WithServers(rows, s.replay.now)
}

// isGood reports whether a version answers a call well, according to the trace.
func (r *Replay) isGood(c *call, version string) bool {
	return c.spec.Difficulty < r.trueQuality[[2]string{version, c.spec.Class}]
}
