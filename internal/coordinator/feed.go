package coordinator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// relaysPerDataCentre is how many instances of a data centre relay document updates to the others in it.
	relaysPerDataCentre = 2
	// directFeedDelay is the age of a revision from which the leader sends it directly to each instance that lacks it.
	directFeedDelay = timer.Second
)

// documentUpdate is a newly accepted document in the two forms in which it is sent to instances.
type documentUpdate struct {
	// full has the whole document.
	full messenger.DocumentUpdate
	// delta has the differences from the previous revision; an empty patch means that only full can be sent.
	delta      messenger.DocumentUpdate
	receivedAt timer.Millis
}

// SendRaft sends a replication message of the record to the instance of its receiver.
func (c *Coordinator) SendRaft(m replicator.Message) {
	c.mesh.Send(recorder.InstanceOf(m.To), messenger.Envelope{Raft: &m})
}

// DistributeDocuments distributes newly accepted documents; the record calls it on its own goroutine when its state has
// changed.
func (c *Coordinator) DistributeDocuments(state *applier.State) {
	for _, name := range state.Environments() {
		env := state.Environment(name)
		if c.newestRevision(name) >= env.Revision() {
			continue
		}
		text, _ := env.Text(env.Revision())
		c.distribute(c.newDocumentUpdate(name, env.Revision(), text, env.Document()))
	}
}

func (c *Coordinator) newestRevision(environment string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updates[environment].full.Revision
}

// newDocumentUpdate returns an update with both forms. It must run before this instance adopts the revision, because it
// computes the differences from the document that is in force.
func (c *Coordinator) newDocumentUpdate(
	environment string, revision int64, text string, doc *parser.Document) documentUpdate {
	u := documentUpdate{
		full:       messenger.DocumentUpdate{Environment: environment, Revision: revision, Text: text},
		delta:      messenger.DocumentUpdate{Environment: environment, Revision: revision, Digest: documentDigest(doc)},
		receivedAt: c.deps.Telemetry.Clock.Now(),
	}
	if view := c.deps.Controller.View(environment); view != nil && view.Revision == revision-1 {
		u.delta.Patch = parser.Diff(view.Document, doc)
	}
	return u
}

func documentDigest(doc *parser.Document) []byte {
	sum := sha256.Sum256([]byte(doc.String()))
	return sum[:]
}

// distribute adopts an update from the record. The leader then sends it to the relays, and a relay to its data centre.
func (c *Coordinator) distribute(u documentUpdate) {
	c.storeIfNewer(u)
	if !c.adopt(u.full) {
		return
	}
	if c.hasLease() {
		c.sendUpdate(c.relayPeers(), u)
	}
	c.relay(u)
}

// relay sends an update to the other instances of the data centre if this instance is a relay.
func (c *Coordinator) relay(u documentUpdate) {
	if !c.isRelay() {
		return
	}
	localPeers := slices.DeleteFunc(c.peers.all(),
		func(p PeerState) bool { return p.DataCentre != c.deps.Self.DataCentre })
	c.sendUpdate(localPeers, u)
}

// storeIfNewer stores an update unless the same or a newer revision is stored.
func (c *Coordinator) storeIfNewer(u documentUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.updates[u.full.Environment].full.Revision < u.full.Revision {
		c.updates[u.full.Environment] = u
	}
}

// relayPeers returns the instances that relay updates: the first reachable ones of each data centre by name. Instances
// need not agree on the relays, since each instance that gets an update decides for itself whether it is one.
func (c *Coordinator) relayPeers() []PeerState {
	now := c.deps.Telemetry.Clock.Now()
	relayCount := map[string]int{}
	var list []PeerState
	for _, p := range c.peers.all() {
		if p.Stopping || now-p.LastSeenAt > c.deps.Config.SilenceTimeout || relayCount[p.DataCentre] >= relaysPerDataCentre {
			continue
		}
		relayCount[p.DataCentre]++
		list = append(list, p)
	}
	return list
}

// isRelay reports whether this instance relays updates to its data centre, as the first ones by name and the leader do.
func (c *Coordinator) isRelay() bool {
	precedingPeers := 0
	now := c.deps.Telemetry.Clock.Now()
	for _, p := range c.peers.all() {
		isLocal := p.DataCentre == c.deps.Self.DataCentre && !p.Stopping && now-p.LastSeenAt <= c.deps.Config.SilenceTimeout
		if isLocal && p.Name < c.deps.Self.Name {
			precedingPeers++
		}
	}
	return precedingPeers < relaysPerDataCentre || c.hasLease()
}

// sendUpdate sends an update to the instances that lack it: the differences to those with the previous revision, and
// the whole document to the others.
func (c *Coordinator) sendUpdate(list []PeerState, u documentUpdate) {
	for _, p := range list {
		adoptedRevision := p.Revisions[u.full.Environment]
		switch {
		case adoptedRevision >= u.full.Revision:
		case adoptedRevision == u.full.Revision-1 && len(u.delta.Patch) > 0:
			c.mesh.Send(p.Name, messenger.Envelope{DocumentUpdate: &u.delta})
		default:
			c.mesh.Send(p.Name, messenger.Envelope{DocumentUpdate: &u.full})
		}
	}
}

// feedLaggingPeers sends whole documents to the instances that the relays have not reached. One message brings an
// instance up to date however many revisions it missed.
func (c *Coordinator) feedLaggingPeers(list []PeerState) {
	now := c.deps.Telemetry.Clock.Now()
	c.mu.Lock()
	var overdue []documentUpdate
	for _, u := range c.updates {
		if now-u.receivedAt > directFeedDelay {
			u.delta.Patch = nil
			overdue = append(overdue, u)
		}
	}
	c.mu.Unlock()
	for _, u := range overdue {
		c.sendUpdate(list, u)
	}
}

// handleFeed adopts a revision from another instance and relays it if this instance is a relay.
func (c *Coordinator) handleFeed(update messenger.DocumentUpdate) {
	if c.adoptedRevisions()[update.Environment] >= update.Revision {
		c.acknowledge()
		return
	}
	u, err := c.updateFromFeed(update)
	if err != nil {
		// The leader sends the whole document once it sees that this instance lags.
		c.deps.Telemetry.Log.Debug("feed not applied", "environment", update.Environment, "revision", update.Revision, "error", err)
		return
	}
	c.storeIfNewer(u)
	if c.adopt(u.full) {
		c.relay(u)
	}
}

// updateFromFeed returns a feed as an update. It returns an error if the differences do not apply to the document in
// force here, or if the result does not match the digest.
func (c *Coordinator) updateFromFeed(update messenger.DocumentUpdate) (documentUpdate, error) {
	if update.Text != "" {
		return documentUpdate{full: update, receivedAt: c.deps.Telemetry.Clock.Now()}, nil
	}
	view := c.deps.Controller.View(update.Environment)
	if view == nil || view.Revision != update.Revision-1 {
		return documentUpdate{}, trace.CompareFailed("the differences do not follow the revision here")
	}
	doc, err := parser.Patch(view.Document, update.Patch)
	if err != nil {
		return documentUpdate{}, trace.Wrap(err)
	}
	if !bytes.Equal(documentDigest(doc), update.Digest) {
		return documentUpdate{}, trace.CompareFailed("the patched document does not match the digest")
	}
	full := messenger.DocumentUpdate{Environment: update.Environment, Revision: update.Revision, Text: doc.String()}
	return documentUpdate{full: full, delta: update, receivedAt: c.deps.Telemetry.Clock.Now()}, nil
}

// adopt puts a revision in force on this instance, acknowledges it to the leader, and reports whether that succeeded.
func (c *Coordinator) adopt(update messenger.DocumentUpdate) bool {
	ctx := c.tomb.Context(context.Background())
	if err := c.deps.Controller.Adopt(ctx, update.Environment, update.Revision, update.Text); err != nil {
		c.deps.Telemetry.Log.Error("revision not adopted", "environment", update.Environment, "revision", update.Revision, "error", err)
		return false
	}
	c.acknowledge()
	return true
}
