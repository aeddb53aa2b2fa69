package coordinator

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/controller"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// heartbeatInterval is the time between heartbeats.
	heartbeatInterval = 700 * timer.Millisecond
	// heartbeatsPerGossip is how many heartbeats pass until one names other instances.
	heartbeatsPerGossip = 8
	// peersPerGossip is how many other instances such a heartbeat names, so that it stays small in a large fleet.
	peersPerGossip = 4
	// remotePeersPerHeartbeat, divided by the number of all peers, is the probability with which a peer that does not need
	// every heartbeat gets one.
	remotePeersPerHeartbeat = 2
)

// Config holds the time limits and numbers from the settings.
type Config struct {
	// SilenceTimeout is the time without a message after which another instance, or the leader, counts as unreachable.
	SilenceTimeout timer.Millis
	// ForgetAfter is the time without a message after which another instance is forgotten.
	ForgetAfter timer.Millis
	// VoterCount is the wanted number of voting members of the record.
	VoterCount int
	// ReplaceAfter is the time without a message after which a voter is replaced.
	ReplaceAfter timer.Millis
}

// Deps holds the dependencies of a coordinator.
type Deps struct {
	Telemetry  observer.Telemetry
	Config     Config
	Self       messenger.Peer
	Seeds      []string
	Controller *controller.Controller
	Biller     *biller.Biller
	Quarantine *quarantiner.Quarantine
	// ApplyRatings applies ratings of answers that this instance gave, and returns the ratings of all other answers.
	ApplyRatings func([]messenger.Rating) (unknown []messenger.Rating)
	// HandleRatedAnswer handles the rating of an answer by a version on roll-out, from any instance, while this instance
	// leads.
	HandleRatedAnswer func(messenger.RatedAnswer)
	// Record is this instance's member of the record, nil without a data folder.
	Record *recorder.Record
	// TLS configures links with mutual authentication; nil makes plain links.
	TLS *tls.Config
	// NetworkFaults drops and delays messages in tests and measurements.
	NetworkFaults NetworkFaults
}

// NetworkFaults injects network faults in tests and measurements; nil fields drop and delay nothing.
type NetworkFaults struct {
	// Cut reports whether messages to an instance, or incoming messages from it, are dropped.
	Cut func(instance string, incoming bool) bool
	// Delay returns the one-way delay towards an instance.
	Delay func(instance string) timer.Millis
}

// Coordinator joins one instance to the fleet.
type Coordinator struct {
	deps  Deps
	peers *peers
	mesh  *messenger.Mesh
	// leaseSeenAt is the time of the last heartbeat from a leader with a lease, in milliseconds.
	leaseSeenAt atomic.Int64
	// lastLeader is the name of the last leader that had a lease.
	lastLeader atomic.Pointer[string]
	stopping   atomic.Bool
	mu         sync.Mutex
	// updates holds the newest accepted document of each environment.
	updates     map[string]documentUpdate
	leaderState leaderState
	// unreplicatedBills holds the bills that no other instance has stored.
	unreplicatedBills [][]byte
	// wakeups ends the wait of the loop for the next heartbeat.
	wakeups chan struct{}
	// heartbeats counts the rounds of heartbeats. It is atomic because BeginStop sends one too, besides the loop.
	heartbeats atomic.Int64
	tomb       tomb.Tomb
}

// NewCoordinator returns a coordinator; it sends nothing before Start.
func NewCoordinator(deps Deps) *Coordinator {
	c := &Coordinator{deps: deps, peers: newPeers(), updates: map[string]documentUpdate{}, wakeups: make(chan struct{}, 1)}
	c.leaderState = newLeaderState()
	c.mesh = messenger.NewMesh(messenger.Deps{
		Telemetry: deps.Telemetry, Self: deps.Self, TLS: deps.TLS, Handle: c.handle, OnConnect: func(string) { c.wake() }, ShouldDrop: deps.NetworkFaults.Cut, Delay: deps.NetworkFaults.Delay,
	})
	return c
}

// Mesh returns the mesh, which also serves the links that other instances open.
func (c *Coordinator) Mesh() *messenger.Mesh {
	return c.mesh
}

// Start links to the seeds and starts the goroutines of the coordinator.
func (c *Coordinator) Start() {
	for _, address := range c.deps.Seeds {
		c.mesh.Connect(address)
	}
	c.tomb.Go(c.loop)
	if c.deps.Record != nil {
		c.tomb.Go(c.runMembership)
	}
	c.tomb.Go(c.runMaintenance)
}

// BeginStop announces to the other instances that this one stops, and transfers the leadership of the record.
func (c *Coordinator) BeginStop(ctx context.Context) error {
	c.stopping.Store(true)
	c.sendHeartbeats()
	if c.deps.Record == nil {
		return nil
	}
	return c.deps.Record.TransferLeadership(ctx)
}

// Stop closes all links and waits for the goroutines of the coordinator.
func (c *Coordinator) Stop() error {
	// The mesh stops first, because its messages start goroutines in the tomb.
	err := c.mesh.Stop()
	c.tomb.Kill(nil)
	return trace.NewAggregate(err, c.tomb.Wait())
}

// Peers returns the state of the other instances in name order.
func (c *Coordinator) Peers() []PeerState {
	return c.peers.all()
}

// Wake sends the next heartbeats and updates the mode immediately.
func (c *Coordinator) Wake() {
	c.wake()
}

// wake makes the loop run its next round immediately.
func (c *Coordinator) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

func (c *Coordinator) loop() error {
	ctx := c.tomb.Context(context.Background())
	for {
		c.sendHeartbeats()
		if err := c.deps.Controller.SetMode(ctx, c.currentMode()); err != nil {
			return nil
		}
		c.forgetSilentPeers()
		select {
		case <-c.deps.Telemetry.Clock.After(heartbeatInterval):
		case <-c.wakeups:
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// hasLease reports whether this instance leads the record and holds the leader lease.
func (c *Coordinator) hasLease() bool {
	return c.deps.Record != nil && c.deps.Record.Status().HoldsLease
}

// sendHeartbeats sends a heartbeat to each instance that needs it and to a random few of the others. A leader sends it
// to all, and sends newer documents to the instances that lag.
func (c *Coordinator) sendHeartbeats() {
	lease := c.hasLease()
	if lease {
		c.leaseSeenAt.Store(int64(c.deps.Telemetry.Clock.Now()))
		c.lastLeader.Store(&c.deps.Self.Name)
	}
	h := c.newHeartbeat(lease)
	list := c.peers.all()
	if c.heartbeats.Add(1)%heartbeatsPerGossip == 0 {
		for range min(peersPerGossip, len(list)) {
			h.KnownPeers = append(h.KnownPeers, list[rand.IntN(len(list))].Peer)
		}
	}
	for _, p := range list {
		if lease || c.needsEveryHeartbeat(p) || rand.IntN(len(list)) < remotePeersPerHeartbeat {
			c.mesh.Send(p.Name, messenger.Envelope{Heartbeat: &h})
		}
	}
	if lease {
		c.feedLaggingPeers(list)
	}
}

// needsEveryHeartbeat reports whether an instance must get each heartbeat. Instances of the same data centre need it to
// detect a partition; the leader and the voters need it to know which revisions are in force where.
func (c *Coordinator) needsEveryHeartbeat(p PeerState) bool {
	return p.DataCentre == c.deps.Self.DataCentre || p.Name == c.leaderName() || c.isVoter(p)
}

// isVoter reports whether an instance is a voter of the record, as far as this instance knows.
func (c *Coordinator) isVoter(p PeerState) bool {
	if p.Member == "" {
		return false
	}
	if c.deps.Record == nil {
		return p.Name == c.leaderName()
	}
	return c.deps.Record.Status().Members.IsVoter(p.Member)
}

func (c *Coordinator) newHeartbeat(lease bool) messenger.Heartbeat {
	return messenger.Heartbeat{
		Revisions: c.adoptedRevisions(), HoldsLease: lease, Leader: c.leaderName(), Stopping: c.stopping.Load()}
}

// acknowledge sends the leader an extra heartbeat with the revisions that are in force here.
func (c *Coordinator) acknowledge() {
	h := c.newHeartbeat(false)
	if leader := c.leaderName(); leader != c.deps.Self.Name {
		c.mesh.Send(leader, messenger.Envelope{Heartbeat: &h})
	}
}

// adoptedRevisions returns the revision of each environment that is in force on this instance.
func (c *Coordinator) adoptedRevisions() map[string]int64 {
	revisions := map[string]int64{}
	for name, v := range c.deps.Controller.ViewSet().Views {
		revisions[name] = v.Revision
	}
	return revisions
}

// leaderName returns the name of the current leader as far as this instance knows, or an empty string.
func (c *Coordinator) leaderName() string {
	if c.deps.Record != nil {
		if id := c.deps.Record.Status().Leader; id != "" {
			return recorder.InstanceOf(id)
		}
	}
	if name := c.lastLeader.Load(); name != nil {
		return *name
	}
	return ""
}

// currentMode derives what the instance may do from the messages received within Config.SilenceTimeout: connected with
// a leader that has a lease, cut off with a majority of the data centre and a document, isolated otherwise.
func (c *Coordinator) currentMode() indexer.Mode {
	now := c.deps.Telemetry.Clock.Now()
	if now-timer.Millis(c.leaseSeenAt.Load()) <= c.deps.Config.SilenceTimeout {
		return indexer.ModeConnected
	}
	known, reachable := 1, 1
	for _, p := range c.peers.all() {
		if p.DataCentre != c.deps.Self.DataCentre || p.Stopping {
			continue
		}
		known++
		if now-p.LastSeenAt <= c.deps.Config.SilenceTimeout {
			reachable++
		}
	}
	if 2*reachable > known && len(c.deps.Controller.ViewSet().Views) > 0 {
		return indexer.ModeCutOff
	}
	return indexer.ModeIsolated
}

// forgetSilentPeers removes the instances that have been silent for longer than Config.ForgetAfter, and their links.
func (c *Coordinator) forgetSilentPeers() {
	now := c.deps.Telemetry.Clock.Now()
	for _, p := range c.peers.all() {
		if now-p.LastSeenAt <= c.deps.Config.ForgetAfter {
			continue
		}
		c.peers.remove(p.Name)
		if err := c.mesh.Disconnect(p.Address); err != nil {
			c.deps.Telemetry.Log.Warn("link not closed", "instance", p.Name, "error", err)
		}
		c.deps.Telemetry.Log.Info("instance forgotten", "instance", p.Name)
	}
}
