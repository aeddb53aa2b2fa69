package replicator

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Two of three voters lose their leader at the same moment, and their draws are alike: they must not stand against each
// other again and again.
func TestVotersWithEqualDrawsElectOneLeader(t *testing.T) {
	const (
		delay = timer.Millis(10)
		step  = timer.Millis(30)
		limit = timer.Millis(2000)
	)
	members := Members{Voters: []ID{"a", "b", "c"}}
	nodes := map[ID]*Node{}
	for _, id := range []ID{"a", "b"} {
		cfg := Config{ID: id, Election: 600, Heartbeat: 120, Random: func(n int) int { return n / 2 }, Leaseless: true}
		nodes[id] = NewNode(cfg, Stored{Vote: Vote{Term: 2}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 0)
		// Both have heard of the leader at the same time.
		nodes[id].Step(0, Message{Kind: MessageAppend, From: "c", To: id, Term: 2, LastIndex: 1, LastTerm: 1})
		nodes[id].Take()
	}
	type flight struct {
		at timer.Millis
		m  Message
	}
	var flights []flight
	for now := timer.Millis(1); now < limit; now++ {
		var later []flight
		for _, f := range flights {
			n := nodes[f.m.To]
			if f.at <= now && n != nil {
				n.Step(now, f.m)
			} else if n != nil {
				later = append(later, f)
			}
		}
		flights = later
		for _, n := range nodes {
			if now%step == 0 {
				n.Tick(now)
			}
			for _, m := range n.Take().Messages {
				flights = append(flights, flight{now + delay, m})
			}
			if n.Role() == RoleLeader {
				return
			}
		}
	}
	t.Fatalf("nobody leads after %s", limit)
}
