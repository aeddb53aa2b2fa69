package coordinator

import (
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// handle handles one message from another instance.
func (c *Coordinator) handle(e messenger.Envelope) {
	now := c.deps.Telemetry.Clock.Now()
	switch {
	case e.Hello != nil:
		c.handleHello(*e.Hello, now)
	case e.Heartbeat != nil:
		c.handleHeartbeat(e.From, *e.Heartbeat, now)
	case e.Raft != nil && c.deps.Record != nil:
		c.deps.Record.Step(*e.Raft)
	case e.Proposal != nil:
		c.tomb.Go(func() error { return c.runProposal(e) })
	case e.DocumentUpdate != nil:
		c.handleFeed(*e.DocumentUpdate)
	case e.Announcement != nil:
		c.handleAnnouncement(*e.Announcement)
	case e.Crash != nil:
		c.handleCrash(e)
	case e.RatedAnswer != nil:
		c.deps.HandleRatedAnswer(*e.RatedAnswer)
	case e.Ratings != nil:
		c.deps.ApplyRatings(e.Ratings)
	case e.WaitingQuery != nil:
		c.handleWaitingQuery(e)
	case e.Bill != nil:
		c.tomb.Go(func() error { return c.runStoreBill(e) })
	}
}

// handleHello records a new or restarted instance and links to it.
func (c *Coordinator) handleHello(p messenger.Peer, now timer.Millis) {
	if p.Name == c.deps.Self.Name || !c.peers.recordHello(p, now) {
		return
	}
	c.mesh.SetAddress(p.Name, p.Address)
	c.wake()
}

// handleHeartbeat records the state of an instance and links to the instances that it names.
func (c *Coordinator) handleHeartbeat(from string, h messenger.Heartbeat, now timer.Millis) {
	c.peers.recordHeartbeat(from, h, now)
	if h.HoldsLease {
		c.leaseSeenAt.Store(int64(now))
		c.lastLeader.Store(&from)
	}
	for _, p := range h.KnownPeers {
		if p.Name != c.deps.Self.Name {
			// Only a link is opened here: an instance counts as reachable only by its own messages.
			c.mesh.Connect(p.Address)
		}
	}
}
