package steward

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// dutiesEvery is the time between looks at silence, membership and roll-outs; all of them take seconds.
	dutiesEvery = 250 * timer.Millisecond
	// maxEvents bounds the events that wait for the control thread.
	maxEvents = 1024
)

// Rules are the spans and numbers that the settings give.
type Rules struct {
	// Silence is the silence after which a backend server takes no new work, in milliseconds.
	Silence timer.Millis
	// Forget is how long a server that takes no work is remembered, in milliseconds.
	Forget timer.Millis
	// Voters is how many voters the record keeps.
	Voters int
	// ReplaceAfter is the silence after which a spare takes a voter's place, in milliseconds.
	ReplaceAfter timer.Millis
}

// Deps is what a steward needs.
type Deps struct {
	Common observer.Common
	Rules  Rules
	Self   messenger.Greeting
	// Seeds are the link addresses of control instances to meet first.
	Seeds  []string
	Record *recorder.Record
	// Restored are the backend servers that were known before a restart.
	Restored SavedRoster
	// Save keeps the known backend servers for a restart; nil keeps nothing.
	Save func(SavedRoster) error
}

// Steward is one control instance; its thread owns all fields below events.
type Steward struct {
	deps   Deps
	dialer *messenger.Dialer
	events chan func()
	tomb   tomb.Tomb

	mu sync.RWMutex
	// byAddress gives a line to each connected control instance, for messages of the record.
	byAddress map[string]*messenger.Line
	// calls are the questions to the leader that wait for a reply.
	calls    map[uint64]chan messenger.Reply
	lastCall uint64

	lines    map[*messenger.Line]messenger.Greeting
	seeds    []string
	known    map[string]timer.Millis
	roster   *registrar.Roster
	heard    map[string]hearing
	idleAt   map[string]timer.Millis
	policy   applier.Policy
	rollOuts []applier.RollOut
	// begun is when this instance first saw each running roll-out.
	begun    map[string]timer.Millis
	outcomes map[string][]messenger.Outcomes
	seenAt   map[replicator.ID]timer.Millis
	// identities gives the identity that last greeted from each address.
	identities map[string]replicator.ID
	crashers   map[uint64]bool
	// work is what each entry instance told last, and toldWork which of them were told of others' work last.
	work     map[*messenger.Line][]messenger.Work
	toldWork map[*messenger.Line]bool
	// holdovers are the sessions that stay on the old version, for instances that come later.
	holdovers map[uint64]bool
	workDue   <-chan timer.Tick
	stopping  bool
	restoring restoring
	// unsaved says that the roster has changed since savedAt, when it was last handed to saves.
	unsaved bool
	savedAt timer.Millis
	saves   chan SavedRoster
}

// NewSteward returns a steward that is not started.
func NewSteward(deps Deps) *Steward {
	s := &Steward{
		deps: deps, events: make(chan func(), maxEvents), byAddress: map[string]*messenger.Line{}, calls: map[uint64]chan messenger.Reply{},
		lines: map[*messenger.Line]messenger.Greeting{}, seeds: deps.Seeds, known: map[string]timer.Millis{},
		roster: registrar.NewRoster(), heard: map[string]hearing{}, idleAt: map[string]timer.Millis{},
		begun: map[string]timer.Millis{}, outcomes: map[string][]messenger.Outcomes{}, seenAt: map[replicator.ID]timer.Millis{}, identities: map[string]replicator.ID{},
		crashers: map[uint64]bool{}, work: map[*messenger.Line][]messenger.Work{}, toldWork: map[*messenger.Line]bool{}, holdovers: map[uint64]bool{},
		saves: make(chan SavedRoster),
	}
	s.restore(deps.Restored)
	s.dialer = messenger.NewDialer(s.Ends())
	return s
}

// Ends returns what takes in the lines of other instances.
func (s *Steward) Ends() messenger.Ends {
	return messenger.Ends{
		Common: s.deps.Common,
		Greet:  func() messenger.Greeting { return s.deps.Self },
		Opened: func(l *messenger.Line) { s.post(func() { s.opened(l) }) },
		Closed: func(l *messenger.Line) { s.post(func() { s.closed(l) }) },
		Take:   s.take,
	}
}

// Start links to the other control instances.
func (s *Steward) Start() {
	s.tomb.Go(s.loop)
	s.tomb.Go(s.runMembership)
	s.tomb.Go(s.runSaves)
}

// Stop tells the others, hands leadership on and drops all lines.
func (s *Steward) Stop(ctx context.Context) error {
	s.post(func() {
		s.stopping = true
		greeting := s.deps.Self
		greeting.Stopping = true
		for l := range s.lines {
			l.Send(messenger.Packet{Greeting: &greeting})
		}
	})
	err := s.deps.Record.Transfer(ctx)
	err = trace.NewAggregate(err, s.deps.Common.Clock.Sleep(ctx, transferSpan))
	s.tomb.Kill(nil)
	return trace.NewAggregate(err, s.dialer.Stop(), s.tomb.Wait())
}

// transferSpan lets a new leader take over before the lines drop; an election among live voters takes two rounds.
const transferSpan = 300 * timer.Millisecond

// post hands an event to the control thread.
func (s *Steward) post(f func()) {
	select {
	case s.events <- f:
	case <-s.tomb.Dying():
	}
}

// do runs f on the control thread and waits for it.
func (s *Steward) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case s.events <- func() { f(); close(done) }:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-s.tomb.Dying():
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
	select {
	case <-done:
		return nil
	case <-s.tomb.Dead():
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
}

func (s *Steward) loop() error {
	s.keepLines()
	tick := s.deps.Common.Clock.After(dutiesEvery)
	for {
		select {
		case f := <-s.events:
			f()
		case <-s.workDue:
			s.workDue = nil
			s.tellWork()
		case <-tick:
			s.expire()
			s.saveRoster(s.deps.Common.Clock.Now())
			s.keepLines()
			s.judgeRollOuts()
			tick = s.deps.Common.Clock.After(dutiesEvery)
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// SetSeeds replaces the seeds by those of changed settings.
func (s *Steward) SetSeeds(seeds []string) {
	s.post(func() { s.seeds = seeds })
}

// SendRaft hands a message of the record to a line of its receiver; it never waits.
func (s *Steward) SendRaft(m replicator.Message) {
	s.mu.RLock()
	l := s.byAddress[recorder.InstanceOf(m.To)]
	s.mu.RUnlock()
	if l != nil {
		l.Send(messenger.Packet{Raft: &m})
	}
}

// take runs on a line's goroutine.
func (s *Steward) take(l *messenger.Line, p messenger.Packet) {
	switch {
	case p.Raft != nil:
		s.deps.Record.Step(*p.Raft)
		return
	case p.Reply != nil:
		s.takeReply(*p.Reply)
		return
	case p.Call != nil:
		s.tomb.Go(func() error { return s.runCall(l, *p.Call) })
		return
	}
	s.post(func() { s.takePacket(l, p) })
}

func (s *Steward) takePacket(l *messenger.Line, p messenger.Packet) {
	from := s.lines[l]
	if p.Greeting != nil {
		s.lines[l] = *p.Greeting
	}
	for _, a := range p.Control {
		s.meet(a)
	}
	if changed := s.merge(p.Members); len(changed) > 0 {
		s.sendToEntries(messenger.Packet{Members: changed})
	}
	s.contradict(p.Members)
	if p.Outcomes != nil {
		s.outcomes[incarnationOf(from)] = p.Outcomes
	}
	if p.TellsWork {
		s.work[l] = p.Work
		if s.workDue == nil {
			s.workDue = s.deps.Common.Clock.After(workPause)
		}
	}
	if p.Want > 0 && s.policy.Version > 0 {
		policy := s.policy
		l.Send(messenger.Packet{Policy: &policy})
	}
	s.takeCrashers(p.Crashers)
	s.takeHoldovers(p.Holdovers)
}

// takeHoldovers hands sessions on to the entry instances, which all hold a line to this instance.
func (s *Steward) takeHoldovers(keys []uint64) {
	if fresh := addNew(s.holdovers, keys); len(fresh) > 0 {
		s.sendToEntries(messenger.Packet{Holdovers: fresh})
	}
}

// takeCrashers hands digests of crashing requests on to all instances, once each.
func (s *Steward) takeCrashers(digests []uint64) {
	if fresh := addNew(s.crashers, digests); len(fresh) > 0 {
		s.deps.Common.Log.Warn("requests crash backend servers", "digests", fresh)
		s.sendToAll(messenger.Packet{Crashers: fresh})
	}
}

// opened sends a new line everything that its other end may lack.
func (s *Steward) opened(l *messenger.Line) {
	peer := l.Greeted()
	s.lines[l] = peer
	if peer.Address != "" {
		s.meet(peer.Address)
		s.identities[peer.Address] = peer.Member
		s.mu.Lock()
		s.byAddress[peer.Address] = l
		s.mu.Unlock()
	}
	s.deps.Common.Log.Info("instance reached", "instance", peer.Instance, "data-centre", peer.DataCentre)
	p := messenger.Packet{Members: s.roster.Rows(), Control: s.control(), RollOuts: s.aged(), Crashers: keysOf(s.crashers), Holdovers: keysOf(s.holdovers)}
	if peer.Address == "" {
		p.Offer = s.policy.Version
		if peer.DataCentre == s.deps.Self.DataCentre && s.policy.Version > 0 {
			policy := s.policy
			p.Policy = &policy
		}
	}
	l.Send(p)
	s.sendToEntries(messenger.Packet{Control: s.control()})
}

// addNew adds keys to a set and returns those that it lacked.
func addNew(set map[uint64]bool, keys []uint64) []uint64 {
	var fresh []uint64
	for _, key := range keys {
		if !set[key] {
			set[key] = true
			fresh = append(fresh, key)
		}
	}
	return fresh
}

func keysOf(set map[uint64]bool) []uint64 {
	return slices.Sorted(maps.Keys(set))
}

func (s *Steward) closed(l *messenger.Line) {
	peer := s.lines[l]
	delete(s.lines, l)
	s.deps.Common.Log.Info("instance lost", "instance", peer.Instance, "data-centre", peer.DataCentre)
	if peer.Address == "" {
		s.endRunning(peer)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress[peer.Address] != l {
		return
	}
	delete(s.byAddress, peer.Address)
	for other, g := range s.lines {
		if g.Address == peer.Address {
			s.byAddress[peer.Address] = other
		}
	}
}

// incarnationOf names one start of an instance.
func incarnationOf(g messenger.Greeting) string {
	return fmt.Sprintf("%s#%d", g.Instance, g.Incarnation)
}

// endRunning keeps what an instance saw but for what ran there: it may never come back.
func (s *Steward) endRunning(g messenger.Greeting) {
	list := slices.Clone(s.outcomes[incarnationOf(g)])
	for i := range list {
		list[i].Running = 0
	}
	s.outcomes[incarnationOf(g)] = list
}

func (s *Steward) sendToEntries(p messenger.Packet) {
	for l, g := range s.lines {
		if g.Address == "" {
			l.Send(p)
		}
	}
}

// sendToAll sends a packet once to every connected instance.
func (s *Steward) sendToAll(p messenger.Packet) {
	s.sendToEntries(p)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.byAddress {
		l.Send(p)
	}
}
