package coordinator

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// Announce applies a backend server's announcement here and, if it is accepted, sends it to every other instance.
func (c *Coordinator) Announce(ctx context.Context, a registrar.Announcement) (registrar.Outcome, error) {
	outcome, err := c.deps.Controller.Announce(ctx, a)
	if err != nil || outcome != registrar.OutcomeAccepted {
		return outcome, err
	}
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Announcement: &a})
	}
	return outcome, nil
}

// BroadcastCrash sends a crash of a backend server, with the request that ran on it, to every other instance.
func (c *Coordinator) BroadcastCrash(crash quarantiner.Crash) {
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Crash: &crash})
	}
}

// OwnsServer reports whether this instance may run suspect requests on a backend server, which run there alone.
// Rendezvous hashing assigns each backend server to one of the reachable instances.
func (c *Coordinator) OwnsServer(server string) bool {
	ownWeight := rendezvousWeight(c.deps.Self.Name, server)
	return !slices.ContainsFunc(c.reachablePeers(),
		func(p PeerState) bool { return rendezvousWeight(p.Name, server) > ownWeight })
}

func rendezvousWeight(instance, server string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + server)
}

// ReportRatedAnswer sends the rating of an answer by a version on roll-out to the leader.
func (c *Coordinator) ReportRatedAnswer(rated messenger.RatedAnswer) {
	leader := c.leaderName()
	if leader == c.deps.Self.Name {
		c.deps.HandleRatedAnswer(rated)
		return
	}
	c.mesh.Send(leader, messenger.Envelope{RatedAnswer: &rated})
}

// ApplyRatings applies the ratings of answers that this instance gave, and sends all others to every other instance.
func (c *Coordinator) ApplyRatings(list []messenger.Rating) {
	unknown := c.deps.ApplyRatings(list)
	if len(unknown) == 0 {
		return
	}
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Ratings: unknown})
	}
}

func (c *Coordinator) handleAnnouncement(a registrar.Announcement) {
	if _, err := c.deps.Controller.Announce(c.tomb.Context(context.Background()), a); err != nil {
		c.deps.Telemetry.Log.Warn("announcement of another instance refused", "server", a.Name, "error", err)
	}
}
