package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// PeerState is the state of another instance as it was last received.
type PeerState struct {
	messenger.Peer
	// LastSeenAt is the time of the last hello or heartbeat, by the clock of the receiver.
	LastSeenAt timer.Millis `json:"heard-at"`
	// Revisions is the revision in force by environment.
	Revisions map[string]int64 `json:"revisions"`
	// Leader is the name of the leader that the instance knows, or empty.
	Leader string `json:"leader"`
	// Stopping is set during a planned stop.
	Stopping bool `json:"stopping"`
}

// peers is the table of other instances.
type peers struct {
	mu     sync.Mutex
	byName map[string]PeerState
}

func newPeers() *peers {
	return &peers{byName: map[string]PeerState{}}
}

// recordHello records the hello of an instance. It reports false and ignores the hello if a newer incarnation is known.
func (p *peers) recordHello(peer messenger.Peer, now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.byName[peer.Name]
	if known && peer.Incarnation < state.Incarnation {
		return false
	}
	if !known || peer.Incarnation > state.Incarnation {
		state = PeerState{}
	}
	state.Peer = peer
	state.LastSeenAt = now
	p.byName[peer.Name] = state
	return true
}

// recordHeartbeat records the heartbeat of an instance; it ignores an instance that has not sent a hello.
func (p *peers) recordHeartbeat(from string, h messenger.Heartbeat, now timer.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.byName[from]
	if !known {
		return
	}
	state.LastSeenAt = now
	state.Revisions = h.Revisions
	state.Leader = h.Leader
	state.Stopping = h.Stopping
	p.byName[from] = state
}

// all returns every known instance in name order.
func (p *peers) all() []PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Values(p.byName))
	slices.SortFunc(list, func(a, b PeerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// remove removes an instance.
func (p *peers) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byName, name)
}

// reachablePeers returns the other instances that are not silent and not stopping, in name order.
func (c *Coordinator) reachablePeers() []PeerState {
	now := c.deps.Telemetry.Clock.Now()
	return slices.DeleteFunc(c.peers.all(), func(p PeerState) bool { return p.Stopping || now-p.LastSeenAt > c.deps.Config.SilenceTimeout })
}
