package replicator

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newLeaderOfThree returns a node that became leader at 1,000 ms and has committed its first entry.
func newLeaderOfThree(t *testing.T) *Node {
	t.Helper()
	members := Members{Voters: []ID{"a", "b", "c"}}
	cfg := Config{ID: "a", ElectionTimeout: 600, HeartbeatInterval: 120,
		RandIntN: func(int) int { return 0 }, WithoutLeases: true}
	n := NewNode(cfg, DurableState{Vote: VoteState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 0)
	n.TakeEffects()
	n.Tick(1000)
	n.Step(1000, Message{Kind: MessagePreVoteResponse, From: "b", To: "a", Term: 2, Granted: true})
	n.Step(1000, Message{Kind: MessageVoteResponse, From: "b", To: "a", Term: 2, Granted: true})
	if n.Role() != RoleLeader {
		t.Fatal("the node is not the leader")
	}
	n.Step(1000, Message{Kind: MessageAppendResponse, From: "b", To: "a", Term: 2, Granted: true, LastIndex: 2, SentAt: 1000})
	n.TakeEffects()
	return n
}

// A paused leader's clock is paused too: responses to messages sent before the pause must not confirm a read that
// begins after the pause in the same millisecond of its clock.
func TestResponsesToEarlierMessagesConfirmNoRead(t *testing.T) {
	n := newLeaderOfThree(t)
	const readAt = timer.Millis(1000)
	if at := n.LeadershipConfirmedAt(readAt); at > readAt {
		t.Fatalf("a read at %d ms is confirmed by messages sent at %d ms", readAt, at)
	}
	n.ConfirmLeadership(1030)
	n.Step(1040, Message{Kind: MessageAppendResponse, From: "c", To: "a", Term: 2, Granted: true, LastIndex: 2, SentAt: 1030})
	if at := n.LeadershipConfirmedAt(1040); at <= readAt {
		t.Fatalf("a majority has answered a later message, but leadership is confirmed only at %d ms", at)
	}
}

func TestDeposedLeaderConfirmsNoRead(t *testing.T) {
	n := newLeaderOfThree(t)
	n.Step(1050, Message{Kind: MessageAppendResponse, From: "b", To: "a", Term: 3})
	if at := n.LeadershipConfirmedAt(1060); at != -1 {
		t.Fatalf("a deposed leader confirms reads up to %d ms", at)
	}
}

func TestOnlyAMemberWithNearlyTheWholeLogIsCaughtUp(t *testing.T) {
	n := newLeaderOfThree(t)
	if n.IsCaughtUp("c") {
		t.Fatal("a member that has not responded counts as caught up")
	}
	if !n.IsCaughtUp("b") || n.IsCaughtUp("x") {
		t.Fatal("the member with the whole log does not count as caught up, or a non-member does")
	}
}

// After a power loss of all members there is no leader. Without leases, members need not wait for one to expire.
func TestAMemberThatHasJustStartedDoesNotWaitForALease(t *testing.T) {
	members := Members{Voters: []ID{"a", "b", "c"}}
	cfg := Config{ID: "a", ElectionTimeout: 600, HeartbeatInterval: 120,
		RandIntN: func(n int) int { return n - 1 }, WithoutLeases: true}
	n := NewNode(cfg,
		DurableState{Vote: VoteState{Term: 4}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 5000)
	n.TakeEffects()
	n.Step(5010, Message{Kind: MessagePreVote, From: "b", To: "a", Term: 5, LastIndex: 1, LastTerm: 1})
	out := n.TakeEffects()
	if len(out.Messages) != 1 || !out.Messages[0].Granted {
		t.Fatalf("the pre-vote was not granted: %+v", out.Messages)
	}
	n.Tick(5000 + cfg.HeartbeatInterval + cfg.ElectionTimeout/2)
	if n.Role() != RolePreCandidate {
		t.Fatal("the member has not requested pre-votes within half an election timeout")
	}
}
