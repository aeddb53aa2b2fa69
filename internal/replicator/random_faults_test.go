package replicator

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// seedsToRun returns the seeds to run: 1 to 2,500, or those of EELGRASSHOOK_SEEDS=FROM-TO.
func seedsToRun(t *testing.T) (from, to uint64) {
	t.Helper()
	text := os.Getenv("EELGRASSHOOK_SEEDS")
	if text == "" {
		return 1, 2500
	}
	if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil {
		t.Fatalf("EELGRASSHOOK_SEEDS=%s: want FROM-TO", text)
	}
	return from, to
}

// proposalLog counts the proposals sent and lists those that were acknowledged.
type proposalLog struct {
	sent  int
	acked map[string]bool
}

// TestRandomFaultsKeepTheInvariants injects random crashes, partitions, message loss and duplication, snapshots,
// leadership transfers and membership changes.
func TestRandomFaultsKeepTheInvariants(t *testing.T) {
	from, to := seedsToRun(t)
	for seed := from; seed <= to; seed++ {
		runSeed(t, seed)
		if t.Failed() {
			return
		}
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	w := newNetwork(t, seed, 3+2*int(seed%2))
	w.lossPercent = w.rand.IntN(25)
	p := &proposalLog{acked: map[string]bool{}}
	spares := 0
	for range 40 {
		injectFault(w, &spares)
		propose(w, p)
		w.run(timer.Millis(10 + w.rand.IntN(90)))
	}
	w.removePartitions()
	w.lossPercent = 0
	for _, id := range w.ids() {
		if w.members[id].down {
			w.startMember(id)
		}
	}
	w.run(15 * testElection)
	leader := w.leader()
	if leader == nil {
		t.Fatalf("seed %d: no leader after all faults ended", seed)
	}
	if _, _, err := leader.Propose([]byte("last")); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	w.run(5 * testElection)
	for _, id := range leader.Members().Voters {
		if got := len(w.members[id].applied); got != len(w.history) {
			t.Fatalf("seed %d: %s applied %d of %d entries", seed, id, got, len(w.history))
		}
	}
	p.checkAppliedOnce(t, w)
}

// injectFault injects at most one random fault or change.
func injectFault(w *network, spares *int) {
	ids := w.ids()
	id := ids[w.rand.IntN(len(ids))]
	m := w.members[id]
	switch draw := w.rand.IntN(14); {
	case draw < 2 && !m.down:
		m.down = true
		m.applied = nil
	case draw < 5 && m.down:
		w.startMember(id)
	case draw == 5:
		w.isolate(id, true, true)
	case draw == 6:
		w.isolate(id, true, false)
	case draw == 7:
		w.isolate(id, false, true)
	case draw < 10:
		w.removePartitions()
	case draw == 10 && !m.down:
		m.node.Compact(m.node.CommitIndex(), encodeState(m.applied))
		w.processEffects(id)
	case draw == 11:
		if leader := w.leader(); leader != nil {
			leader.TransferLeadership()
			w.processEffects(leader.cfg.ID)
		}
	case draw == 12:
		changeMembers(w, spares)
	}
}

// changeMembers promotes a learner if there is one, removes a voter if there are more than 3, or adds a new learner.
func changeMembers(w *network, spares *int) {
	leader := w.leader()
	if leader == nil {
		return
	}
	m := leader.Members()
	switch {
	case len(m.Learners) > 0:
		m = m.WithVoter(m.Learners[0])
	case len(m.Voters) > 3:
		m = m.Without(m.Voters[w.rand.IntN(len(m.Voters))])
	default:
		*spares++
		id := ID(fmt.Sprintf("spare%d", *spares))
		w.addMember(id, DurableState{})
		m = m.WithLearner(id)
	}
	if _, err := leader.ChangeMembers(m); err == nil {
		w.processEffects(leader.cfg.ID)
	}
}

func propose(w *network, p *proposalLog) {
	leader := w.leader()
	if leader == nil {
		return
	}
	p.sent++
	data := strconv.Itoa(p.sent)
	index, term, err := leader.Propose([]byte(data))
	if err != nil {
		return
	}
	w.processEffects(leader.cfg.ID)
	w.run(4 * testHeartbeat)
	if termAtIndex, ok := leader.log.term(index); ok && termAtIndex == term && leader.CommitIndex() >= index {
		p.acked[data] = true
	}
}

// checkAppliedOnce fails if an acknowledged proposal was lost or any was applied twice.
func (p *proposalLog) checkAppliedOnce(t *testing.T, w *network) {
	t.Helper()
	timesApplied := map[string]int{}
	for _, e := range w.history {
		var index, term, kind int
		var data []byte
		if _, err := fmt.Sscanf(e, "%d/%d/%d/%x", &index, &term, &kind, &data); err == nil && EntryKind(kind) == EntryCommand {
			timesApplied[string(data)]++
		}
	}
	for data, n := range timesApplied {
		if n > 1 {
			t.Fatalf("seed %d: proposal %s was applied %d times", w.seed, data, n)
		}
	}
	for data := range p.acked {
		if timesApplied[data] != 1 {
			t.Fatalf("seed %d: acknowledged proposal %s was lost", w.seed, data)
		}
	}
	if timesApplied["last"] != 1 {
		t.Fatalf("seed %d: the proposal after all faults ended was applied %d times", w.seed, timesApplied["last"])
	}
}
