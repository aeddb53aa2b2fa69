package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// PeerState is what an instance knows of another one.
type PeerState struct {
	messenger.Peer
	HeardAt   timer.Millis     `json:"heard-at"`
	Revisions map[string]int64 `json:"revisions"`
	Leader    string           `json:"leader"`
	Stopping  bool             `json:"stopping"`
}

// peers is the table of other instances.
type peers struct {
	mu   sync.Mutex
	rows map[string]PeerState
}

func newPeers() *peers {
	return &peers{rows: map[string]PeerState{}}
}

// meet takes in what an instance says of itself; an older incarnation is ignored.
func (p *peers) meet(peer messenger.Peer, now timer.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.rows[peer.Name]
	if known && peer.Incarnation < old.Incarnation {
		return false
	}
	if !known || peer.Incarnation > old.Incarnation {
		old = PeerState{}
	}
	old.Peer = peer
	old.HeardAt = now
	p.rows[peer.Name] = old
	return true
}

// beat notes a sign of life of a known instance.
func (p *peers) beat(from string, b messenger.Beat, now timer.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, known := p.rows[from]
	if !known {
		return
	}
	row.HeardAt = now
	row.Revisions = b.Revisions
	row.Leader = b.Leader
	row.Stopping = b.Stopping
	p.rows[from] = row
}

// all returns every known instance in name order.
func (p *peers) all() []PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Values(p.rows))
	slices.SortFunc(list, func(a, b PeerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// forget drops an instance and returns its address.
func (p *peers) forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rows, name)
}

// reached returns the other instances that were heard of lately and do not stop, in name order.
func (c *Coordinator) reached() []PeerState {
	now := c.deps.Common.Clock.Now()
	return slices.DeleteFunc(c.peers.all(), func(p PeerState) bool { return p.Stopping || now-p.HeardAt > c.deps.Rules.Silence })
}
