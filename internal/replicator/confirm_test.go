package replicator

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// leaderOfThree returns a leader at 1,000 ms whose first entry both others hold.
func leaderOfThree(t *testing.T) *Node {
	t.Helper()
	members := Members{Voters: []ID{"a", "b", "c"}}
	cfg := Config{ID: "a", Election: 600, Heartbeat: 120, Random: func(int) int { return 0 }, Leaseless: true}
	n := NewNode(cfg, Stored{Vote: Vote{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 0)
	n.Take()
	n.Tick(1000)
	n.Step(1000, Message{Kind: MessagePreVoteAnswer, From: "b", To: "a", Term: 2, Granted: true})
	n.Step(1000, Message{Kind: MessageVoteAnswer, From: "b", To: "a", Term: 2, Granted: true})
	if n.Role() != RoleLeader {
		t.Fatal("the node does not lead")
	}
	n.Step(1000, Message{Kind: MessageAppendAnswer, From: "b", To: "a", Term: 2, Granted: true, LastIndex: 2, SentAt: 1000})
	n.Take()
	return n
}

// A leader that stood still has a clock that stood still too: answers to what it sent before must not confirm a read that
// began after it woke, in the same millisecond of its clock.
func TestAnswersToEarlierMessagesConfirmNoRead(t *testing.T) {
	n := leaderOfThree(t)
	const readAt = timer.Millis(1000)
	if at := n.ConfirmedAt(readAt); at > readAt {
		t.Fatalf("a read at %d is confirmed by messages of %d", readAt, at)
	}
	n.Confirm(1030)
	n.Step(1040, Message{Kind: MessageAppendAnswer, From: "c", To: "a", Term: 2, Granted: true, LastIndex: 2, SentAt: 1030})
	if at := n.ConfirmedAt(1040); at <= readAt {
		t.Fatalf("a majority has answered a later message, yet the newest confirmed one is of %d", at)
	}
}

func TestALeaderOfAnOlderTermConfirmsNothing(t *testing.T) {
	n := leaderOfThree(t)
	n.Step(1050, Message{Kind: MessageAppendAnswer, From: "b", To: "a", Term: 3})
	if at := n.ConfirmedAt(1060); at != -1 {
		t.Fatalf("a node that was deposed confirms reads up to %d", at)
	}
}

func TestACaughtUpLearnerHoldsNearlyTheWholeLog(t *testing.T) {
	n := leaderOfThree(t)
	if n.CaughtUp("c") {
		t.Fatal("a member that has answered nothing counts as caught up")
	}
	if !n.CaughtUp("b") || n.CaughtUp("x") {
		t.Fatal("the member that holds the log does not count, or a stranger does")
	}
}

// After a loss of power of all members nobody has heard of a leader; they need not wait out a lease that nobody uses.
func TestAMemberThatHasJustStartedVotesAtOnce(t *testing.T) {
	members := Members{Voters: []ID{"a", "b", "c"}}
	cfg := Config{ID: "a", Election: 600, Heartbeat: 120, Random: func(n int) int { return n - 1 }, Leaseless: true}
	n := NewNode(cfg, Stored{Vote: Vote{Term: 4}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}, 5000)
	n.Take()
	n.Step(5010, Message{Kind: MessagePreVote, From: "b", To: "a", Term: 5, LastIndex: 1, LastTerm: 1})
	out := n.Take()
	if len(out.Messages) != 1 || !out.Messages[0].Granted {
		t.Fatalf("the pre-vote was not granted: %+v", out.Messages)
	}
	n.Tick(5000 + cfg.Heartbeat + cfg.Election/2)
	if n.Role() != RolePreCandidate {
		t.Fatal("the member has not asked for votes within half an election span")
	}
}
