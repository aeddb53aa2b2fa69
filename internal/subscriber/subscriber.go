package subscriber

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// policyRequestDelay is the time to wait for an offered policy from the own data centre before requesting it from
	// the instance that offered it.
	policyRequestDelay = 250 * timer.Millisecond
	// outcomeReportInterval is the time between reports on a running roll-out; the time limits of roll-outs are in
	// seconds.
	outcomeReportInterval = 300 * timer.Millisecond
	// prefillReportInterval is the time between reports on the prefill that waits at servers.
	prefillReportInterval = 150 * timer.Millisecond
	// maxQueuedAlarms bounds the alarms about backend servers that wait for the control goroutine.
	maxQueuedAlarms = 64
	// maxQueuedEvents bounds the events that wait for the control goroutine.
	maxQueuedEvents = 1024
)

// Subscriber is the control side of an entry instance; its goroutine owns the fields from links on.
type Subscriber struct {
	deps   Deps
	dialer *messenger.Dialer
	events chan func()
	// prefillReportRequests triggers a report on waiting prefill before the interval ends.
	prefillReportRequests chan struct{}
	// placeChanges triggers claims for places of brittle servers.
	placeChanges chan struct{}
	// alarms holds the alarms about backend servers that are not sent yet.
	alarms chan messenger.ServerAlarm
	tomb   tomb.Tomb
	links  map[*messenger.Link]bool

	seeds            []string
	controlAddresses map[*messenger.Link][]string
	roster           *registrar.Roster
	view             View
	viewChanged      bool
	// viewIsUrgent means that the change must not wait; viewTimer ends the wait of one that may. publishedAt is the time of the last view.
	viewIsUrgent bool
	viewTimer    <-chan timer.Tick
	publishedAt  timer.Millis
	standstill   *standstill
	// syncNumber is the number of the last SyncRequest, and syncUntil the time at which the wait for its reply ends; 0 if
	// there is none.
	syncNumber uint64
	syncUntil  timer.Millis
	// syncReplied means that the reply has arrived and its view is not published yet.
	syncReplied bool
	// gateway is the address at which this instance relays the connections of others.
	gateway atomic.Pointer[string]
	// gatewaysRequestedAt is the time of the last request for gateways.
	gatewaysRequestedAt timer.Millis
	knowsGateways       bool
	// hasReportedRates means that the last report on request limits was not empty.
	hasReportedRates bool
	// hasReportedPrefill means that the last report on waiting prefill was not empty.
	hasReportedPrefill bool
}

// NewSubscriber returns a subscriber that is not started.
func NewSubscriber(deps Deps) *Subscriber {
	s := &Subscriber{
		deps: deps, events: make(chan func(), maxQueuedEvents), prefillReportRequests: make(chan struct{}, 1),
		placeChanges: make(chan struct{}, 1),
		alarms:       make(chan messenger.ServerAlarm, maxQueuedAlarms),
		links:        map[*messenger.Link]bool{}, seeds: deps.Seeds, controlAddresses: map[*messenger.Link][]string{},
		roster:     registrar.NewRoster(),
		standstill: newStandstill(deps.Telemetry.Clock),
	}
	s.gateway.Store(&deps.Self.Gateway)
	s.dialer = messenger.NewDialer(messenger.LinkHandler{
		Telemetry:   deps.Telemetry,
		NewGreeting: s.greeting,
		OnOpen:      func(l *messenger.Link) { s.enqueue(func() { s.handleOpened(l) }) },
		OnClose:     func(l *messenger.Link) { s.enqueue(func() { s.handleClosed(l) }) },
		OnPacket:    func(l *messenger.Link, p messenger.Packet) { s.enqueue(func() { s.handlePacket(l, p) }) },
	})
	return s
}

// Start opens links to the control instances.
func (s *Subscriber) Start() {
	s.updateLinks()
	s.tomb.Go(s.loop)
}

// Stop closes all links.
func (s *Subscriber) Stop() error {
	s.tomb.Kill(nil)
	return trace.NewAggregate(s.dialer.Stop(), s.tomb.Wait())
}

// SetSeeds replaces the seeds by those of changed settings.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.enqueue(func() {
		s.seeds = seeds
		s.updateLinks()
	})
}

// ReportCrashes reports requests whose backend servers went down to the fleet.
func (s *Subscriber) ReportCrashes(list []quarantiner.CrashReport) {
	s.enqueue(func() { s.broadcast(messenger.Packet{CrashReports: list}) })
}

// ReportAcquittals reports to the fleet that backend servers have answered requests that were suspected to crash them.
func (s *Subscriber) ReportAcquittals(list []quarantiner.Acquittal) {
	s.enqueue(func() { s.broadcast(messenger.Packet{Acquittals: list}) })
}

// ReportLeaving marks a backend server as leaving that has said so itself, and tells the fleet.
func (s *Subscriber) ReportLeaving(w registrar.Withdrawal) {
	s.enqueue(func() {
		if s.roster.Withdraw(w) {
			s.viewChanged, s.viewIsUrgent = true, true
		}
		s.broadcast(messenger.Packet{Withdrawals: []registrar.Withdrawal{w}})
	})
}

// SendPrefillNow triggers a report on pending prefill at once, because a long prompt was sent to a server; it never
// blocks.
func (s *Subscriber) SendPrefillNow() {
	select {
	case s.prefillReportRequests <- struct{}{}:
	default:
	}
}

// ReportServerAlarm tells the fleet that a backend server fails; it never blocks and drops the alarm if many are queued.
func (s *Subscriber) ReportServerAlarm(a messenger.ServerAlarm) {
	select {
	case s.alarms <- a:
	default:
	}
}

func (s *Subscriber) enqueue(f func()) {
	select {
	case s.events <- f:
	case <-s.tomb.Dying():
	}
}

func (s *Subscriber) loop() error {
	ctx := s.tomb.Context(context.Background())
	outcomeReportDue := s.deps.Telemetry.Clock.After(outcomeReportInterval)
	prefillReportDue := s.deps.Telemetry.Clock.After(prefillReportInterval)
	for {
		s.checkStandstill()
		select {
		case f := <-s.events:
			// The event may have waited here while the process stood still.
			s.checkStandstill()
			f()
			s.runQueuedEvents()
			s.publishView()
			s.finishSync()
		case <-s.viewTimer:
			s.viewTimer = nil
			s.publishView()
		case <-s.prefillReportRequests:
			s.reportPendingPrefill()
		case <-s.placeChanges:
			s.sendPlaceClaims(false)
		case a := <-s.alarms:
			s.reportAlarms(a)
		case <-prefillReportDue:
			s.reportPendingPrefill()
			s.reportReadings()
			s.reportRates()
			s.sendPlaceClaims(false)
			s.refreshGateways()
			prefillReportDue = s.deps.Telemetry.Clock.After(prefillReportInterval)
		case <-outcomeReportDue:
			if outcomes := s.deps.Outcomes(); len(outcomes) > 0 {
				s.broadcast(messenger.Packet{Outcomes: outcomes})
			}
			s.reportOldVersionSessions()
			outcomeReportDue = s.deps.Telemetry.Clock.After(outcomeReportInterval)
		case <-ctx.Done():
			return nil
		}
	}
}

// runQueuedEvents handles the events that are queued already, so that one view covers them all.
func (s *Subscriber) runQueuedEvents() {
	for {
		select {
		case f := <-s.events:
			f()
		default:
			return
		}
	}
}

func (s *Subscriber) handleOpened(l *messenger.Link) {
	s.links[l] = true
	s.sendPlaceClaims(true)
	if len(s.links) == 1 {
		s.requestRoster()
	}
	if s.syncUntil > 0 {
		l.Send(messenger.Packet{SyncRequest: s.syncNumber})
	}
	s.deps.Telemetry.Log.Info("control instance reached", "instance", l.PeerGreeting().Instance, "data-centre", l.PeerGreeting().DataCentre)
}

func (s *Subscriber) handleClosed(l *messenger.Link) {
	delete(s.links, l)
	delete(s.controlAddresses, l)
	s.sendPlaceClaims(true)
	if l.PeerGreeting().DataCentre == s.deps.Self.DataCentre {
		s.requestRoster()
	}
	s.deps.Telemetry.Log.Warn("control instance lost", "instance", l.PeerGreeting().Instance, "left", len(s.links))
}

func (s *Subscriber) broadcast(p messenger.Packet) {
	for l := range s.links {
		l.Send(p)
	}
}

// updateLinks keeps a link to every control instance that is listed by the seeds or by a linked control instance.
func (s *Subscriber) updateLinks() {
	addresses := map[string]bool{}
	for _, list := range s.controlAddresses {
		for _, a := range list {
			addresses[a] = true
		}
	}
	for _, a := range s.seeds {
		addresses[a] = true
	}
	s.dialer.SetAddresses(slices.Sorted(maps.Keys(addresses)))
}

func (s *Subscriber) handlePacket(l *messenger.Link, p messenger.Packet) {
	if len(p.ControlAddresses) > 0 {
		s.controlAddresses[l] = p.ControlAddresses
		s.updateLinks()
	}
	s.mergeMembers(p.Members, l.PeerGreeting().Instance)
	s.mergeWithdrawals(p.Withdrawals, l.PeerGreeting().Instance)
	if p.OfferedPolicyVersion > s.policyVersion() {
		delay := policyRequestDelay
		if s.view.Policy == nil {
			delay = 0
		}
		s.tomb.Go(func() error { return s.runPolicyRequest(l, p.OfferedPolicyVersion, delay) })
	}
	if p.Policy != nil {
		s.adoptPolicy(*p.Policy, l.PeerGreeting().Instance)
	}
	if len(p.RollOuts) > 0 {
		s.mergeRollOuts(p.RollOuts)
	}
	s.mergeEvacuations(p.Evacuations)
	if p.HasPendingPrefill {
		s.deps.SetOthersPrefill(p.OthersPendingPrefill)
	}
	if len(p.OldVersionSessions) > 0 {
		s.deps.AddOldVersionSessions(p.OldVersionSessions)
	}
	if p.SyncReply > 0 && p.SyncReply == s.syncNumber {
		s.syncReplied = true
	}
	s.handleServerReports(p)
}

// mergeMembers merges the rows of the roster that a control instance sent.
func (s *Subscriber) mergeMembers(list []registrar.Member, from string) {
	for _, m := range list {
		if err := m.Check(); err != nil {
			s.deps.Telemetry.Log.Warn("row of the roster ignored", "server", m.Name, "from", from, "error", err)
			continue
		}
		if accepted, changed := s.roster.Merge(m); changed || accepted && m.State == registrar.MemberStateServing {
			s.viewChanged = true
			s.viewIsUrgent = s.viewIsUrgent || m.State != registrar.MemberStateServing
			s.deps.Telemetry.Log.Debug("backend server updated", "server", m.Name, "standing", m.State, "from", from)
		}
	}
}

// mergeWithdrawals marks the servers as leaving that a control instance reports as withdrawn.
func (s *Subscriber) mergeWithdrawals(list []registrar.Withdrawal, from string) {
	for _, w := range list {
		if err := w.Check(); err != nil {
			s.deps.Telemetry.Log.Warn("withdrawal ignored", "server", w.Name, "from", from, "error", err)
			continue
		}
		if s.roster.Withdraw(w) {
			s.viewChanged, s.viewIsUrgent = true, true
			s.deps.Telemetry.Log.Debug("backend server withdrawn", "server", w.Name, "from", from)
		}
	}
}

func (s *Subscriber) policyVersion() int64 {
	if s.view.Policy == nil {
		return -1
	}
	return s.view.Policy.Version
}

// runPolicyRequest requests an offered policy if it has not arrived from the own data centre within the delay.
func (s *Subscriber) runPolicyRequest(l *messenger.Link, version int64, delay timer.Millis) error {
	if err := s.deps.Telemetry.Clock.Sleep(s.tomb.Context(context.Background()), delay); err != nil {
		return nil
	}
	s.enqueue(func() {
		if s.policyVersion() < version {
			l.Send(messenger.Packet{RequestedPolicyVersion: version})
		}
	})
	return nil
}

// adoptPolicy puts a newer policy in force and ignores an older one.
func (s *Subscriber) adoptPolicy(p applier.Policy, from string) {
	if p.Version <= s.policyVersion() {
		return
	}
	policy, err := s.deps.DecodePolicy(p)
	if err != nil {
		s.deps.Telemetry.Log.Error("policy cannot be decoded", "version", p.Version, "from", from, "error", err)
		return
	}
	s.view.Policy = policy
	s.viewChanged, s.viewIsUrgent = true, true
	s.deps.Telemetry.Log.Info("policy in force", "version", p.Version, "routes", len(policy.Routes), "from", from)
}

// mergeRollOuts merges the roll-outs that a control instance sent; a roll-out that has ended never runs again.
func (s *Subscriber) mergeRollOuts(list []messenger.RollOut) {
	now := s.deps.Telemetry.Clock.Now()
	merged := slices.Clone(s.view.RollOuts)
	for _, r := range list {
		i := slices.IndexFunc(merged, func(o RollOut) bool { return o.Service == r.Service })
		received := RollOut{RollOut: r.RollOut, LocalStartedAt: now - r.Elapsed}
		switch {
		case i < 0:
			merged = append(merged, received)
		case !r.Supersedes(merged[i].RollOut):
			continue
		default:
			if merged[i].IsSameAs(r.RollOut) {
				received.LocalStartedAt = merged[i].LocalStartedAt
			}
			merged[i] = received
		}
		s.viewChanged, s.viewIsUrgent = true, true
		s.deps.Telemetry.Log.Info("roll-out known", "service", r.Service, "target", r.TargetVersion, "state", r.State, "elapsed", r.Elapsed)
	}
	s.view.RollOuts = merged
}

// viewInterval is the time between two views that differ by servers that serve. While a fleet of thousands starts, a view takes
// milliseconds, and a new one with each message would take the whole processor.
const viewInterval = 25 * timer.Millisecond

func (s *Subscriber) publishView() {
	now := s.deps.Telemetry.Clock.Now()
	wait := s.publishedAt + viewInterval - now
	switch {
	case !s.viewChanged:
		return
	case wait > 0 && !s.viewIsUrgent && !s.syncReplied:
		if s.viewTimer == nil {
			s.viewTimer = s.deps.Telemetry.Clock.After(wait)
		}
		return
	}
	s.viewChanged, s.viewIsUrgent, s.publishedAt = false, false, now
	s.view.Members = s.roster.Members()
	s.deps.Publish(s.view)
}
