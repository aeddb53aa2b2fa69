package replicator

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Two of three voters lose their leader at the same moment and draw equal random delays: they must not split the vote
// repeatedly.
func TestVotersWithEqualRandomDelaysElectOneLeader(t *testing.T) {
	const (
		delay        = timer.Millis(10)
		tickInterval = timer.Millis(30)
		limit        = timer.Millis(2000)
	)
	members := Members{Voters: []ID{"a", "b", "c"}}
	nodes := map[ID]*Node{}
	for _, id := range []ID{"a", "b"} {
		cfg := Config{ID: id, ElectionTimeout: 600, HeartbeatInterval: 120,
			RandIntN: func(n int) int { return n / 2 }, WithoutLeases: true}
		nodes[id] = NewNode(cfg,
			DurableState{Vote: VoteState{Term: 2}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 0)
		// Both receive the last message of the leader at the same time.
		nodes[id].Step(0, Message{Kind: MessageAppend, From: "c", To: id, Term: 2, LastIndex: 1, LastTerm: 1})
		nodes[id].TakeEffects()
	}
	type scheduled struct {
		at timer.Millis
		m  Message
	}
	var inFlight []scheduled
	for now := timer.Millis(1); now < limit; now++ {
		var later []scheduled
		for _, f := range inFlight {
			n := nodes[f.m.To]
			if f.at <= now && n != nil {
				n.Step(now, f.m)
			} else if n != nil {
				later = append(later, f)
			}
		}
		inFlight = later
		for _, n := range nodes {
			if now%tickInterval == 0 {
				n.Tick(now)
			}
			for _, m := range n.TakeEffects().Messages {
				inFlight = append(inFlight, scheduled{now + delay, m})
			}
			if n.Role() == RoleLeader {
				return
			}
		}
	}
	t.Fatalf("no leader after %s", limit)
}
