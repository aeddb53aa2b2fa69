package replicator

import (
	"errors"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newNetworkWithLeader returns a network with a leader that has committed an entry of its term.
func newNetworkWithLeader(t *testing.T, voters int) (*network, *Node) {
	t.Helper()
	w := newNetwork(t, 1, voters)
	w.run(10 * testElection)
	leader := w.leader()
	if leader == nil || !leader.HoldsLease(w.now) {
		t.Fatal("no leader with a lease")
	}
	return w, leader
}

func (w *network) anyOther(id ID) ID {
	for _, x := range w.ids() {
		if x != id {
			return x
		}
	}
	return ""
}

func TestAVoterRefusesVotesWhileTheLeaderIsAlive(t *testing.T) {
	tests := map[string]struct {
		restart  bool
		wait     timer.Millis
		transfer bool
		granted  bool
	}{
		"recent contact with the leader":                {false, 0, false, false},
		"restarted just now":                            {true, 0, false, false},
		"restarted and waited a whole election timeout": {true, testElection, false, true},
		"no contact for a whole election timeout":       {false, testElection, false, true},
		"leadership transfer":                           {false, 0, true, true},
		"no contact for 1 ms less":                      {false, testElection - 1, false, false},
		"restarted and waited 1 ms less":                {true, testElection - 1, false, false},
		"restarted, leadership transfer":                {true, 0, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, leader := newNetworkWithLeader(t, 3)
			id := w.anyOther(leader.cfg.ID)
			if tt.restart {
				w.members[id].applied = nil
				w.startMember(id)
			}
			voter := w.members[id].node
			voter.Step(max(w.now, voter.electionTimerStart+tt.wait), Message{
				Kind: MessageVote, From: "x", To: id, Term: leader.Term() + 1, LastIndex: 99, LastTerm: leader.Term(), IsTransfer: tt.transfer,
			})
			granted := false
			for _, m := range voter.TakeEffects().Messages {
				granted = granted || m.Kind == MessageVoteResponse && m.Granted
			}
			if granted != tt.granted {
				t.Errorf("granted %t, want %t", granted, tt.granted)
			}
		})
	}
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	w, leader := newNetworkWithLeader(t, 3)
	for _, id := range []ID{"s1", "s2"} {
		w.addMember(id, DurableState{})
	}
	if _, err := leader.ChangeMembers(leader.Members().WithLearner("s1")); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.ChangeMembers(leader.Members().WithLearner("s2")); !errors.Is(err, ErrMemberChangePending) {
		t.Fatalf("second change while the first is pending: got %v", err)
	}
	w.processEffects(leader.cfg.ID)
	w.run(testElection)
	if _, err := leader.ChangeMembers(leader.Members().WithLearner("s2")); err != nil {
		t.Errorf("second change after the first was committed: %v", err)
	}
}

func TestALaggingLearnerCannotBecomeAVoter(t *testing.T) {
	w, leader := newNetworkWithLeader(t, 3)
	w.addMember("s", DurableState{})
	w.isolate("s", true, true)
	if _, err := leader.ChangeMembers(leader.Members().WithLearner("s")); err != nil {
		t.Fatal(err)
	}
	for range 2 * maxCaughtUpLag {
		if _, _, err := leader.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	w.processEffects(leader.cfg.ID)
	w.run(testElection)
	if _, err := leader.ChangeMembers(leader.Members().WithVoter("s")); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promotion of a lagging learner: got %v", err)
	}
	w.removePartitions()
	w.run(5 * testElection)
	if _, err := leader.ChangeMembers(leader.Members().WithVoter("s")); err != nil {
		t.Errorf("promotion after the learner caught up: %v", err)
	}
}

func TestAnIsolatedLeaderStopsAnsweringBeforeAnotherIsElected(t *testing.T) {
	tests := map[string]struct{ in, out bool }{
		"blocked in both directions": {true, true},
		"receives nothing":           {true, false},
		"sends nothing":              {false, true},
		"not isolated":               {false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w, oldLeader := newNetworkWithLeader(t, 3)
			w.isolate(oldLeader.cfg.ID, tt.in, tt.out)
			w.run(10 * testElection)
			if got := oldLeader.HoldsLease(w.now); got == (tt.in || tt.out) {
				t.Errorf("the old leader holds its lease: %t", got)
			}
			leader := w.leader()
			if leader == nil || (leader == oldLeader) == (tt.in || tt.out) {
				t.Fatal("the wrong voter is the leader")
			}
			term := leader.Term()
			w.removePartitions()
			w.run(10 * testElection)
			if w.leader().Term() != term {
				t.Errorf("the term changed from %d to %d when a voter returned", term, w.leader().Term())
			}
		})
	}
}

func TestASecondVoterIsLostRightAfterARepair(t *testing.T) {
	w, leader := newNetworkWithLeader(t, 3)
	lostVoter := w.anyOther(leader.cfg.ID)
	w.members[lostVoter].down = true
	w.addMember("spare", DurableState{})
	steps := []func(Members) Members{
		func(m Members) Members { return m.WithLearner("spare") },
		func(m Members) Members { return m.WithVoter("spare") },
		func(m Members) Members { return m.Without(lostVoter) },
	}
	for i, step := range steps {
		w.run(2 * testElection)
		if _, err := leader.ChangeMembers(step(leader.Members())); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		w.processEffects(leader.cfg.ID)
	}
	w.run(2 * testElection)
	w.members[leader.cfg.ID].down = true
	w.run(10 * testElection)
	newLeader := w.leader()
	if newLeader == nil || newLeader == leader {
		t.Fatal("no leader after the second loss")
	}
	if _, _, err := newLeader.Propose([]byte("after")); err != nil {
		t.Fatal(err)
	}
	w.processEffects(newLeader.cfg.ID)
	w.run(testElection)
	if newLeader.CommitIndex() != newLeader.log.lastIndex() {
		t.Error("nothing is committed after the second loss")
	}
}

func TestAWipedVoterReturnsAsAnotherMember(t *testing.T) {
	w, leader := newNetworkWithLeader(t, 3)
	wipedID := w.anyOther(leader.cfg.ID)
	delete(w.members, wipedID)
	newID := wipedID + "#2"
	w.addMember(newID, DurableState{})
	w.run(10 * testElection)
	if w.members[newID].node.Role() != RoleFollower || w.members[newID].node.CommitIndex() != 0 {
		t.Fatal("a member without a log is not a passive follower")
	}
	m := w.members[newID].node
	m.Step(w.now, Message{Kind: MessagePreVote, From: "x", To: newID, Term: 99})
	for _, change := range []Members{leader.Members().WithLearner(newID), leader.Members().WithLearner(newID).WithVoter(newID)} {
		if _, err := leader.ChangeMembers(change); err != nil {
			t.Fatal(err)
		}
		w.processEffects(leader.cfg.ID)
		w.run(5 * testElection)
	}
	if got := len(w.members[newID].applied); got != len(w.history) {
		t.Errorf("the new member applied %d of %d entries", got, len(w.history))
	}
}

func TestTransferMovesLeadershipWithinAnElection(t *testing.T) {
	w, oldLeader := newNetworkWithLeader(t, 3)
	oldLeader.TransferLeadership()
	w.processEffects(oldLeader.cfg.ID)
	if oldLeader.HoldsLease(w.now) {
		t.Error("a leader holds its lease during a leadership transfer")
	}
	w.run(testElection)
	if leader := w.leader(); leader == nil || leader == oldLeader {
		t.Error("leadership was not transferred")
	}
}

func BenchmarkProposeAndCommitInMemory(b *testing.B) {
	cfg := Config{ID: "a", ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		RandIntN: func(int) int { return 0 }}
	n := NewNode(cfg, DurableState{Snapshot: Snapshot{Index: 1, Term: 1, Members: Members{Voters: []ID{"a"}}}}, 0)
	n.Tick(2 * testElection)
	n.TakeEffects()
	data := make([]byte, 200)
	for b.Loop() {
		index, _, err := n.Propose(data)
		if err != nil {
			b.Fatal(err)
		}
		n.TakeEffects()
		if index%10_000 == 0 {
			n.Compact(index, nil)
			n.TakeEffects()
		}
	}
}
