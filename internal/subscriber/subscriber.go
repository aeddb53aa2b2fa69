package subscriber

import (
	"context"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// wantAfter is how long an offered policy may come from the own data centre before it is asked for elsewhere.
	wantAfter = 250 * timer.Millisecond
	// reportEvery is the time between reports on a running roll-out; its limits are seconds.
	reportEvery = 300 * timer.Millisecond
	// workEvery is the time between reports on the work that waits at servers.
	workEvery = 150 * timer.Millisecond
	// maxEvents bounds the events that wait for the control thread.
	maxEvents = 1024
)

// View is an immutable picture of what the instance knows.
type View struct {
	// Policy is nil before the first one is known.
	Policy   *matcher.Policy
	Members  []registrar.Member
	RollOuts []RollOut
	Crashers map[uint64]bool
}

// RollOut is a roll-out with the time, on this instance's clock, at which it began.
type RollOut struct {
	applier.RollOut
	Begun timer.Millis
}

// Deps is what a subscriber needs.
type Deps struct {
	Common observer.Common
	Self   messenger.Greeting
	Seeds  []string
	// Decode reads a policy's text.
	Decode func(applier.Policy) (*matcher.Policy, error)
	// Publish is told of each new view, on the control thread.
	Publish func(View)
	// Work returns what this instance has sent to servers and waits there, and HearWork takes in what others have.
	Work     func() []messenger.Work
	HearWork func([]messenger.Work)
	// Holdovers returns sessions on the old version of a roll-out that were not told yet, and HearHoldovers takes in others'.
	Holdovers     func() []uint64
	HearHoldovers func([]uint64)
	// Outcomes returns what this instance saw of running roll-outs.
	Outcomes func() []messenger.Outcomes
}

// Subscriber is the control side of an entry instance; its thread owns all fields below events.
type Subscriber struct {
	deps   Deps
	dialer *messenger.Dialer
	events chan func()
	// grown asks for a report on work before its time.
	grown chan struct{}
	tomb  tomb.Tomb
	lines map[*messenger.Line]bool

	seeds   []string
	control map[*messenger.Line][]string
	roster  *registrar.Roster
	view    View
	dirty   bool
	// toldWork says that the last report on work was not empty.
	toldWork bool
}

// NewSubscriber returns a subscriber that is not started.
func NewSubscriber(deps Deps) *Subscriber {
	s := &Subscriber{
		deps: deps, events: make(chan func(), maxEvents), grown: make(chan struct{}, 1), lines: map[*messenger.Line]bool{}, seeds: deps.Seeds,
		control: map[*messenger.Line][]string{}, roster: registrar.NewRoster(), view: View{Crashers: map[uint64]bool{}},
	}
	s.dialer = messenger.NewDialer(messenger.Ends{
		Common: deps.Common,
		Greet:  func() messenger.Greeting { return deps.Self },
		Opened: func(l *messenger.Line) { s.post(func() { s.opened(l) }) },
		Closed: func(l *messenger.Line) { s.post(func() { s.closed(l) }) },
		Take:   func(l *messenger.Line, p messenger.Packet) { s.post(func() { s.take(l, p) }) },
	})
	return s
}

// Start links to the control instances.
func (s *Subscriber) Start() {
	s.keepLines()
	s.tomb.Go(s.loop)
}

// Stop drops all lines.
func (s *Subscriber) Stop() error {
	s.tomb.Kill(nil)
	return trace.NewAggregate(s.dialer.Stop(), s.tomb.Wait())
}

// SetSeeds replaces the seeds by those of changed settings.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.post(func() {
		s.seeds = seeds
		s.keepLines()
	})
}

// TellCrasher tells the fleet of a request that crashes backend servers.
func (s *Subscriber) TellCrasher(digest uint64) {
	s.post(func() {
		s.addCrashers([]uint64{digest})
		s.send(messenger.Packet{Crashers: []uint64{digest}})
		s.publish()
	})
}

// WorkGrown lets the others know at once of a long prompt that was sent to a server; it never waits.
func (s *Subscriber) WorkGrown() {
	select {
	case s.grown <- struct{}{}:
	default:
	}
}

func (s *Subscriber) post(f func()) {
	select {
	case s.events <- f:
	case <-s.tomb.Dying():
	}
}

func (s *Subscriber) loop() error {
	ctx := s.tomb.Context(context.Background())
	report := s.deps.Common.Clock.After(reportEvery)
	work := s.deps.Common.Clock.After(workEvery)
	for {
		select {
		case f := <-s.events:
			f()
			s.drain()
			s.publish()
		case <-s.grown:
			s.tellWork()
		case <-work:
			s.tellWork()
			work = s.deps.Common.Clock.After(workEvery)
		case <-report:
			if outcomes := s.deps.Outcomes(); len(outcomes) > 0 {
				s.send(messenger.Packet{Outcomes: outcomes})
			}
			s.tellHoldovers()
			report = s.deps.Common.Clock.After(reportEvery)
		case <-ctx.Done():
			return nil
		}
	}
}

// tellWork reports to the control instances of the own data centre; nothing is said while there is nothing to say.
func (s *Subscriber) tellWork() {
	list := s.deps.Work()
	if len(list) == 0 && !s.toldWork {
		return
	}
	s.toldWork = len(list) > 0
	for l := range s.lines {
		if l.Greeted().DataCentre == s.deps.Self.DataCentre {
			l.Send(messenger.Packet{Work: list, TellsWork: true})
		}
	}
}

// tellHoldovers reports to one control instance, which hands on to all entry instances; the own data centre's is nearest.
func (s *Subscriber) tellHoldovers() {
	keys := s.deps.Holdovers()
	if len(keys) == 0 {
		return
	}
	var best *messenger.Line
	for l := range s.lines {
		if best == nil || l.Greeted().DataCentre == s.deps.Self.DataCentre {
			best = l
		}
	}
	if best != nil {
		best.Send(messenger.Packet{Holdovers: keys})
	}
}

// drain takes in what waits already, so that one view shows all of it.
func (s *Subscriber) drain() {
	for {
		select {
		case f := <-s.events:
			f()
		default:
			return
		}
	}
}

func (s *Subscriber) opened(l *messenger.Line) {
	s.lines[l] = true
	s.deps.Common.Log.Info("control instance reached", "instance", l.Greeted().Instance, "data-centre", l.Greeted().DataCentre)
}

func (s *Subscriber) closed(l *messenger.Line) {
	delete(s.lines, l)
	delete(s.control, l)
	s.deps.Common.Log.Warn("control instance lost", "instance", l.Greeted().Instance, "left", len(s.lines))
}

func (s *Subscriber) send(p messenger.Packet) {
	for l := range s.lines {
		l.Send(p)
	}
}

// keepLines holds a line to every control instance that the seeds or any control instance name.
func (s *Subscriber) keepLines() {
	wanted := map[string]bool{}
	for _, list := range s.control {
		for _, a := range list {
			wanted[a] = true
		}
	}
	for _, a := range s.seeds {
		wanted[a] = true
	}
	s.dialer.Keep(slices.Sorted(maps.Keys(wanted)))
}

func (s *Subscriber) take(l *messenger.Line, p messenger.Packet) {
	if len(p.Control) > 0 {
		s.control[l] = p.Control
		s.keepLines()
	}
	for _, m := range p.Members {
		if _, changed := s.roster.Merge(m); changed {
			s.dirty = true
			s.deps.Common.Log.Debug("backend server known", "server", m.Name, "standing", m.Standing, "from", l.Greeted().Instance)
		}
	}
	if p.Offer > s.version() {
		wait := wantAfter
		if s.view.Policy == nil {
			wait = 0
		}
		s.tomb.Go(func() error { return s.runWant(l, p.Offer, wait) })
	}
	if p.Policy != nil {
		s.adopt(*p.Policy, l.Greeted().Instance)
	}
	if len(p.RollOuts) > 0 {
		s.adoptRollOuts(p.RollOuts)
	}
	if p.TellsWork {
		s.deps.HearWork(p.OthersWork)
	}
	if len(p.Holdovers) > 0 {
		s.deps.HearHoldovers(p.Holdovers)
	}
	s.addCrashers(p.Crashers)
}

func (s *Subscriber) addCrashers(digests []uint64) {
	for _, d := range digests {
		if s.view.Crashers[d] {
			continue
		}
		s.view.Crashers = maps.Clone(s.view.Crashers)
		s.view.Crashers[d] = true
		s.dirty = true
	}
}

func (s *Subscriber) version() int64 {
	if s.view.Policy == nil {
		return -1
	}
	return s.view.Policy.Version
}

// runWant asks for an offered policy that did not come from the own data centre in time.
func (s *Subscriber) runWant(l *messenger.Line, version int64, wait timer.Millis) error {
	if err := s.deps.Common.Clock.Sleep(s.tomb.Context(context.Background()), wait); err != nil {
		return nil
	}
	s.post(func() {
		if s.version() < version {
			l.Send(messenger.Packet{Want: version})
		}
	})
	return nil
}

// adopt puts a newer policy in force; an older one never comes back.
func (s *Subscriber) adopt(p applier.Policy, from string) {
	if p.Version <= s.version() {
		return
	}
	policy, err := s.deps.Decode(p)
	if err != nil {
		s.deps.Common.Log.Error("policy not adopted", "version", p.Version, "from", from, "error", err)
		return
	}
	s.view.Policy = policy
	s.dirty = true
	s.deps.Common.Log.Info("policy in force", "version", p.Version, "routes", len(policy.Routes), "from", from)
}

// adoptRollOuts takes in what a control instance knows; the end of a roll-out is never taken back.
func (s *Subscriber) adoptRollOuts(list []messenger.RollOut) {
	now := s.deps.Common.Clock.Now()
	next := slices.Clone(s.view.RollOuts)
	for _, r := range list {
		i := slices.IndexFunc(next, func(o RollOut) bool { return o.Service == r.Service })
		fresh := RollOut{RollOut: r.RollOut, Begun: now - r.Elapsed}
		switch {
		case i < 0:
			next = append(next, fresh)
		case !overtakes(r.RollOut, next[i].RollOut):
			continue
		default:
			if next[i].Target == r.Target {
				fresh.Begun = next[i].Begun
			}
			next[i] = fresh
		}
		s.dirty = true
		s.deps.Common.Log.Info("roll-out known", "service", r.Service, "target", r.Target, "state", r.State, "elapsed", r.Elapsed)
	}
	s.view.RollOuts = next
}

func overtakes(a, b applier.RollOut) bool {
	if a.Target != b.Target {
		return a.StartedAt > b.StartedAt
	}
	return b.State == applier.RollOutRunning && a.State != applier.RollOutRunning
}

func (s *Subscriber) publish() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.view.Members = s.roster.Rows()
	s.deps.Publish(s.view)
}
