package steward

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// maintenanceInterval is the time between checks of silent servers, links and roll-outs, which take seconds to change.
	maintenanceInterval = 250 * timer.Millisecond
	// maxQueuedEvents bounds the events that wait for the event loop.
	maxQueuedEvents = 1024
)

// Config are the time limits and numbers from the settings.
type Config struct {
	// SilenceTimeout is the time without an announcement after which a backend server gets no new requests, in
	// milliseconds.
	SilenceTimeout timer.Millis
	// ForgetAfter is how long a server that is not serving stays in the roster, in milliseconds.
	ForgetAfter timer.Millis
	// Voters is the wanted number of voters of the record.
	Voters int
	// ReplaceAfter is the time without a connection after which a voter may be replaced, in milliseconds.
	ReplaceAfter timer.Millis
}

// Deps are the dependencies and settings of a steward.
type Deps struct {
	Telemetry observer.Telemetry
	Config    Config
	Self      messenger.Greeting
	// RegionOf is the region of each data centre; one that is missing is a region of its own.
	RegionOf map[string]string
	// Seeds are the link addresses of the control instances to connect to first.
	Seeds  []string
	Record *recorder.Record
	// RestoredRoster is the roster saved before a restart.
	RestoredRoster SavedRoster
	// SaveRoster stores the roster for the next start; nil disables saving.
	SaveRoster func(SavedRoster) error
}

// Steward is the logic of one control instance. The event loop owns the fields below lastCallID.
type Steward struct {
	deps   Deps
	dialer *messenger.Dialer
	events chan func()
	tomb   tomb.Tomb

	// stopping is true from the begin of Stop on.
	stopping atomic.Bool
	// mu protects connectionByAddress, pendingCalls and lastCallID.
	mu sync.RWMutex
	// connectionByAddress is one link to each connected control instance, for messages of the record.
	connectionByAddress map[string]*messenger.Link
	// pendingCalls are the reply channels of the calls to the leader that are in flight.
	pendingCalls map[uint64]chan messenger.Reply
	lastCallID   uint64

	connections map[*messenger.Link]messenger.Greeting
	seeds       []string
	// sentControlAddresses are the addresses that the entry instances were last told of.
	sentControlAddresses []string
	// addressSeenAt is when each control instance's address was last connected or mentioned.
	addressSeenAt map[string]timer.Millis
	roster        *registrar.Roster
	// announcedHere holds the servers that announce themselves to this instance, by name.
	announcedHere   map[string]lastAnnouncement
	notServingSince map[string]timer.Millis
	policy          applier.Policy
	rollOuts        []applier.RollOut
	evacuations     []applier.Evacuation
	// rollOutStartedAt is the time at which this instance first saw each roll-out, or the leader's start time where that
	// is earlier, by rollOutKey.
	rollOutStartedAt map[string]timer.Millis
	// rollOutJudges holds the judge of each running roll-out while this instance leads, by rollOutKey.
	rollOutJudges map[string]*rollOutJudge
	outcomes      map[string][]messenger.Outcomes
	memberSeenAt  map[replicator.ID]timer.Millis
	// learnerSince is when each learner was last ready to vote, or became a learner.
	learnerSince map[replicator.ID]timer.Millis
	// identityByAddress is the identity in the latest greeting from each address.
	identityByAddress map[string]replicator.ID
	// evidence is what all instances have reported on requests that crash backend servers.
	evidence *quarantiner.Evidence
	// rates are the latest reports of the entry instances on servers that limit their requests.
	rates     *rationer.Board[*messenger.Link]
	rateTimer <-chan timer.Tick
	// places are the ledgers of brittle servers that this instance keeps, and placeLinks the links to the entry instances that
	// have claims there, by incarnationKey.
	places     *allotter.Ledger[string]
	placeLinks map[string]*messenger.Link
	placeTimer <-chan timer.Tick
	// gauges holds the readings of the servers' machines that this instance keeps.
	gauges    *gauger.Board
	loadTimer <-chan timer.Tick
	// starts paces the requests that cold servers get.
	starts *allotter.Pacer[string]
	// coldUntil is until when each server is cold, by name.
	coldUntil map[string]timer.Millis
	// pendingPrefillByEntry is the latest report of pending prefill from each entry instance.
	pendingPrefillByEntry map[*messenger.Link][]messenger.PendingPrefill
	// nonEmptyPrefillSent is true for an entry instance if the last message to it about others' pending prefill was not
	// empty, so that an empty one must follow.
	nonEmptyPrefillSent map[*messenger.Link]bool
	// oldVersionSessions are the sessions that stay on the old version; instances that connect later get them too.
	oldVersionSessions map[uint64]bool
	prefillTimer       <-chan timer.Tick
	// pendingMembers are the rows of the roster that the next message to all instances will carry.
	pendingMembers     map[string]registrar.Member
	memberTimer        <-chan timer.Tick
	alarms             *alarmBoard
	alarmTimer         <-chan timer.Tick
	unconfirmedServers unconfirmedServers
	// rosterDirty is true if the roster has changed since rosterSavedAt, when it was last passed to rosterSaves.
	rosterDirty   bool
	rosterSavedAt timer.Millis
	rosterSaves   chan SavedRoster
}

// NewSteward returns a steward with the restored roster; Start runs it.
func NewSteward(deps Deps) *Steward {
	s := &Steward{
		deps: deps, events: make(chan func(), maxQueuedEvents),
		connectionByAddress: map[string]*messenger.Link{}, pendingCalls: map[uint64]chan messenger.Reply{},
		connections: map[*messenger.Link]messenger.Greeting{}, seeds: deps.Seeds, addressSeenAt: map[string]timer.Millis{},
		roster: registrar.NewRoster(), announcedHere: map[string]lastAnnouncement{},
		notServingSince:  map[string]timer.Millis{},
		rollOutStartedAt: map[string]timer.Millis{}, rollOutJudges: map[string]*rollOutJudge{}, alarms: newAlarmBoard(), pendingMembers: map[string]registrar.Member{}, outcomes: map[string][]messenger.Outcomes{},
		memberSeenAt: map[replicator.ID]timer.Millis{}, learnerSince: map[replicator.ID]timer.Millis{}, identityByAddress: map[string]replicator.ID{},
		evidence: quarantiner.NewEvidence(), rates: rationer.NewBoard[*messenger.Link](), pendingPrefillByEntry: map[*messenger.Link][]messenger.PendingPrefill{},
		places: allotter.NewLedger[string](), placeLinks: map[string]*messenger.Link{},
		gauges: gauger.NewBoard(), starts: allotter.NewPacer[string](), coldUntil: map[string]timer.Millis{},
		nonEmptyPrefillSent: map[*messenger.Link]bool{}, oldVersionSessions: map[uint64]bool{},
		rosterSaves: make(chan SavedRoster),
	}
	s.restoreRoster(deps.RestoredRoster)
	s.dialer = messenger.NewDialer(s.LinkHandler())
	return s
}

// LinkHandler returns the handlers of links with other instances, both accepted and dialed.
func (s *Steward) LinkHandler() messenger.LinkHandler {
	return messenger.LinkHandler{
		Telemetry:   s.deps.Telemetry,
		NewGreeting: s.newGreeting,
		OnOpen:      func(conn *messenger.Link) { s.enqueue(func() { s.handleOpened(conn) }) },
		OnClose:     func(conn *messenger.Link) { s.enqueue(func() { s.handleClosed(conn) }) },
		OnPacket:    s.handlePacket,
	}
}

// newGreeting returns the greeting of this instance, which tells whether it is stopping.
func (s *Steward) newGreeting() messenger.Greeting {
	g := s.deps.Self
	g.Stopping = s.stopping.Load()
	return g
}

// Start starts the goroutines that connect to the other control instances and handle events.
func (s *Steward) Start() {
	s.tomb.Go(s.loop)
	s.tomb.Go(s.runMembership)
	s.tomb.Go(s.runSaves)
}

// enqueue queues f for the event loop; it blocks while the queue is full and drops f once the steward stops.
func (s *Steward) enqueue(f func()) {
	select {
	case s.events <- f:
	case <-s.tomb.Dying():
	}
}

// enqueueAndWait runs f on the event loop and waits until it returns.
func (s *Steward) enqueueAndWait(ctx context.Context, f func()) error {
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
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-s.tomb.Dead():
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
}

// loop is the event loop.
func (s *Steward) loop() error {
	s.maintainConnections()
	tick := s.deps.Telemetry.Clock.After(maintenanceInterval)
	for {
		select {
		case f := <-s.events:
			f()
		case <-s.prefillTimer:
			s.prefillTimer = nil
			s.sendOthersPrefill()
		case <-s.rateTimer:
			s.rateTimer = nil
			s.sendOthersRates()
		case <-s.placeTimer:
			s.placeTimer = nil
			s.sendPlaceGrants()
		case <-s.loadTimer:
			s.loadTimer = nil
			s.sendLoads()
		case <-s.memberTimer:
			s.sendPendingMembers()
		case <-s.alarmTimer:
			s.alarmTimer = nil
			s.sendAlarms()
		case <-tick:
			s.expireServers()
			s.alarms.expire(s.deps.Telemetry.Clock.Now())
			s.evidence.Expire(s.deps.Telemetry.Clock.Now())
			s.queueRosterSave(s.deps.Telemetry.Clock.Now())
			s.maintainConnections()
			s.settleRollOuts()
			tick = s.deps.Telemetry.Clock.After(maintenanceInterval)
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (s *Steward) SetSeeds(seeds []string) {
	s.enqueue(func() { s.seeds = seeds })
}

// SendRaft sends a message of the record to its receiver without blocking; it drops the message when the receiver is
// not connected.
func (s *Steward) SendRaft(m replicator.Message) {
	s.mu.RLock()
	conn := s.connectionByAddress[recorder.InstanceOf(m.To)]
	s.mu.RUnlock()
	if conn != nil {
		conn.Send(messenger.Packet{Raft: &m})
	}
}

// handlePacket runs on the link's goroutine. It leaves everything but the record's messages, replies and calls to
// the event loop.
func (s *Steward) handlePacket(conn *messenger.Link, p messenger.Packet) {
	switch {
	case p.Raft != nil:
		s.deps.Record.Step(*p.Raft)
		return
	case p.Reply != nil:
		s.deliverReply(*p.Reply)
		return
	case p.Call != nil:
		go s.runCall(conn, *p.Call)
		return
	}
	s.enqueue(func() { s.applyPacket(conn, p) })
}

// applyPacket handles a packet on the event loop.
func (s *Steward) applyPacket(conn *messenger.Link, p messenger.Packet) {
	sender := s.connections[conn]
	if p.Greeting != nil {
		s.connections[conn] = *p.Greeting
	}
	for _, a := range p.ControlAddresses {
		s.rememberAddress(a)
	}
	if changed := s.mergeServers(p.Members); len(changed) > 0 {
		for _, entry := range s.relayedEntries() {
			entry.Send(messenger.Packet{Members: changed})
		}
	}
	s.correctSilentServers(p.Members)
	if len(p.Withdrawals) > 0 {
		s.mergeWithdrawals(p.Withdrawals)
	}
	if p.Outcomes != nil {
		s.outcomes[incarnationKey(sender)] = p.Outcomes
	}
	if p.HasPendingPrefill {
		s.pendingPrefillByEntry[conn] = p.PendingPrefill
		if s.prefillTimer == nil {
			s.prefillTimer = s.deps.Telemetry.Clock.After(prefillBatchDelay)
		}
	}
	if p.RequestedPolicyVersion > 0 && s.policy.Version > 0 {
		policy := s.policy
		conn.Send(messenger.Packet{Policy: &policy})
	}
	if p.RequestsRoster {
		conn.Send(messenger.Packet{Members: s.rows()})
	}
	if p.RequestsGateways {
		conn.Send(messenger.Packet{Gateways: s.chooseGateways(sender)})
	}
	if p.SyncRequest > 0 {
		conn.Send(messenger.Packet{SyncReply: p.SyncRequest})
	}
	s.applyServerReports(conn, sender, p)
	s.forwardEvidence(p)
	s.forwardOldVersionSessions(p.OldVersionSessions)
}

// handleOpened registers a new link and sends the peer the state that it may lack.
func (s *Steward) handleOpened(conn *messenger.Link) {
	peer := conn.PeerGreeting()
	s.connections[conn] = peer
	if s.stopping.Load() {
		// The link may have sent its greeting before the stop began.
		greeting := s.newGreeting()
		conn.Send(messenger.Packet{Greeting: &greeting})
	}
	if peer.Address != "" {
		s.rememberAddress(peer.Address)
		s.identityByAddress[peer.Address] = peer.Member
		s.mu.Lock()
		s.connectionByAddress[peer.Address] = conn
		s.mu.Unlock()
	}
	s.deps.Telemetry.Log.Info("instance reached", "instance", peer.Instance, "data-centre", peer.DataCentre)
	p := messenger.Packet{ControlAddresses: s.controlAddresses(), RollOuts: s.rollOutsWithAge(), Evacuations: s.evacuationsWithAge(),
		OldVersionSessions: sortedKeys(s.oldVersionSessions), Withdrawals: s.roster.Withdrawals()}
	p.CrashReports, p.Acquittals = s.evidence.Snapshot(s.deps.Telemetry.Clock.Now())
	if peer.Address != "" || s.isRelayFor(peer.DataCentre) {
		p.Members = s.rows()
	}
	if peer.Address == "" {
		p.Gauges = s.gauges.Gauges()
		p.OfferedPolicyVersion = s.policy.Version
		p.RateReports, p.HasRateReports = s.rates.Totals(s.deps.Telemetry.Clock.Now()), true
		if peer.DataCentre == s.deps.Self.DataCentre && s.policy.Version > 0 {
			policy := s.policy
			p.Policy = &policy
		}
	}
	conn.Send(p)
	s.sendControlAddresses()
}

// handleClosed removes a closed link, and selects another one to the same address if there is one.
func (s *Steward) handleClosed(conn *messenger.Link) {
	peer := s.connections[conn]
	delete(s.connections, conn)
	s.rates.Remove(conn)
	s.loseClaimant(conn, peer)
	s.deps.Telemetry.Log.Info("instance lost", "instance", peer.Instance, "data-centre", peer.DataCentre)
	if peer.Address == "" {
		s.clearRunning(peer)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connectionByAddress[peer.Address] != conn {
		return
	}
	delete(s.connectionByAddress, peer.Address)
	for other, g := range s.connections {
		if g.Address == peer.Address {
			s.connectionByAddress[peer.Address] = other
		}
	}
	s.takeOverRelay(peer.DataCentre)
}
