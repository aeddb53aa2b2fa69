package coordinator

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
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

// crashShareTimeout bounds the wait for other instances to store a crash report; the path between regions takes tens of
// milliseconds.
const crashShareTimeout = 500 * timer.Millisecond

// ShareCrash sends a crash of a backend server, with the request that ran on it, to every other instance. It returns
// when all reachable instances have stored the report, so that a resent request finds it at any of them; it gives up
// after crashShareTimeout.
func (c *Coordinator) ShareCrash(crash quarantiner.Crash) {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), crashShareTimeout.Duration())
	defer cancel()
	reachable := c.reachablePeers()
	var wg sync.WaitGroup
	for _, p := range c.peers.all() {
		if !slices.ContainsFunc(reachable, func(r PeerState) bool { return r.Name == p.Name }) {
			c.mesh.Send(p.Name, messenger.Envelope{Crash: &crash})
			continue
		}
		wg.Go(func() { c.runShareCrash(ctx, p.Name, crash) })
	}
	wg.Wait()
}

// runShareCrash sends a crash report to one instance and waits until it is stored there.
func (c *Coordinator) runShareCrash(ctx context.Context, instance string, crash quarantiner.Crash) {
	if _, err := c.mesh.Call(ctx, instance, messenger.Envelope{Crash: &crash}); err != nil {
		c.deps.Telemetry.Log.Warn("crash report not confirmed", "instance", instance, "server", crash.Server, "error", err)
	}
}

// handleCrash stores another instance's crash report and confirms it.
func (c *Coordinator) handleCrash(e messenger.Envelope) {
	c.deps.Quarantine.Add(*e.Crash)
	if e.CallID != 0 {
		c.mesh.Send(e.From, messenger.Envelope{CallID: e.CallID, CrashReply: &messenger.CrashReply{}})
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
