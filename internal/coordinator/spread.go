package coordinator

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// Announce hands a backend server's announcement to the own table and to every other instance.
func (c *Coordinator) Announce(ctx context.Context, a registrar.Announcement) (registrar.Outcome, error) {
	outcome, err := c.deps.Controller.Announce(ctx, a)
	if err != nil || outcome != registrar.OutcomeTaken {
		return outcome, err
	}
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Announcement: &a})
	}
	return outcome, nil
}

// ShareStrike tells every other instance of a crash.
func (c *Coordinator) ShareStrike(s quarantiner.Strike) {
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Strike: &s})
	}
}

// Owns reports whether this instance is the one that runs suspect requests alone at a backend server: the instances in
// reach divide the servers among them by rendezvous hashing.
func (c *Coordinator) Owns(server string) bool {
	own := claim(c.deps.Self.Name, server)
	return !slices.ContainsFunc(c.reached(), func(p PeerState) bool { return claim(p.Name, server) > own })
}

func claim(instance, server string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + server)
}

// TellLeader hands on what was learned of a version on roll-out.
func (c *Coordinator) TellLeader(j messenger.Judged) {
	leader := c.leaderName()
	if leader == c.deps.Self.Name {
		c.deps.Judge(j)
		return
	}
	c.mesh.Send(leader, messenger.Envelope{Judged: &j})
}

// Ratings takes in ratings; those of answers that other instances gave are handed on.
func (c *Coordinator) Ratings(list []messenger.Rating) {
	unknown := c.deps.Rate(list)
	if len(unknown) == 0 {
		return
	}
	for _, p := range c.peers.all() {
		c.mesh.Send(p.Name, messenger.Envelope{Ratings: unknown})
	}
}

func (c *Coordinator) takeAnnouncement(a registrar.Announcement) {
	if _, err := c.deps.Controller.Announce(c.tomb.Context(context.Background()), a); err != nil {
		c.deps.Common.Log.Warn("announcement of another instance refused", "server", a.Name, "error", err)
	}
}
