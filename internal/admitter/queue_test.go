package admitter

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const farFuture = timer.Millis(1 << 40)

func newWorkspace(name string, weight, inFlight, waiting int) parser.Workspace {
	return parser.Workspace{Name: name, Weight: weight, MaxInFlight: inFlight, MaxWaiting: waiting}
}

// enqueue pushes a request and returns a pointer that receives its verdict; 0 means that it waits.
func enqueue(q *Queue, w parser.Workspace, priority int, expires timer.Millis) *Verdict {
	var v Verdict
	q.Push(w, &Entry{workspace: w.Name, priority: priority, expires: expires, onVerdict: func(x Verdict) { v = x }}, q.now)
	return &v
}

func TestQueueEnforcesLimits(t *testing.T) {
	q := NewQueue(3, 4)
	a := newWorkspace("a", 1, 2, 1)
	verdicts := []*Verdict{enqueue(q, a, 5, farFuture), enqueue(q, a, 5, farFuture),
		enqueue(q, a, 5, farFuture), enqueue(q, a, 5, farFuture)}
	want := []Verdict{VerdictAdmitted, VerdictAdmitted, 0, VerdictWorkspaceFull}
	for i, v := range verdicts {
		if *v != want[i] {
			t.Errorf("request %d: verdict %d, want %d", i, *v, want[i])
		}
	}
	q.Release("a", 0)
	if *verdicts[2] != VerdictAdmitted || q.inFlight != 2 {
		t.Errorf("after a release: verdict %d, %d in flight", *verdicts[2], q.inFlight)
	}
}

func TestQueueSharesByWeight(t *testing.T) {
	q := NewQueue(1, 10_000)
	enqueue(q, newWorkspace("first", 1, 1, 1), 5, farFuture)
	counts := map[string]int{}
	push := func(w parser.Workspace) {
		q.Push(w, &Entry{workspace: w.Name, priority: 5, expires: farFuture,
			onVerdict: func(Verdict) { counts[w.Name]++ }}, q.now)
	}
	for range 800 {
		push(newWorkspace("large", 3, 1000, 1000))
		push(newWorkspace("small", 1, 1000, 1000))
	}
	running := "first"
	for range 400 {
		before := counts["large"]
		q.Release(running, 0)
		running = "small"
		if counts["large"] > before {
			running = "large"
		}
	}
	if counts["small"] < 99 || counts["small"] > 101 {
		t.Errorf("weights 3 and 1: %v of 400 starts", counts)
	}
}

func TestQueueGivesNoCreditToIdleWorkspaces(t *testing.T) {
	q := NewQueue(1, 100)
	busy, late := newWorkspace("busy", 1, 100, 100), newWorkspace("late", 1, 100, 100)
	enqueue(q, busy, 5, farFuture)
	for range 50 {
		enqueue(q, busy, 5, farFuture)
	}
	for range 30 {
		q.Release("busy", 0)
	}
	verdicts := []*Verdict{enqueue(q, late, 5, farFuture), enqueue(q, late, 5, farFuture),
		enqueue(q, late, 5, farFuture)}
	q.Release("busy", 0)
	q.Release("late", 0)
	if *verdicts[0] != VerdictAdmitted || *verdicts[2] == VerdictAdmitted {
		t.Errorf("verdicts of the idle workspace: %d, %d, %d; want the first but not the third to run",
			*verdicts[0], *verdicts[1], *verdicts[2])
	}
}

func TestQueueShedsTheLeastUrgentFirst(t *testing.T) {
	q := NewQueue(1, 2)
	w := newWorkspace("a", 1, 100, 100)
	enqueue(q, w, 5, farFuture)
	read, order := enqueue(q, w, 1, farFuture), enqueue(q, w, 9, farFuture)
	consultation := enqueue(q, w, 9, farFuture)
	late := enqueue(q, w, 1, farFuture)
	if *read != VerdictShed || *order != 0 || *consultation != 0 || *late != VerdictShed {
		t.Errorf("verdicts: read %d, order %d, consultation %d, late read %d", *read, *order, *consultation, *late)
	}
}

func TestQueueExpiresWaitingRequests(t *testing.T) {
	q := NewQueue(1, 10)
	w := newWorkspace("a", 1, 10, 10)
	enqueue(q, w, 5, farFuture)
	soon, later := enqueue(q, w, 5, 100), enqueue(q, w, 5, 900)
	q.Release("a", 500)
	if *soon != VerdictExpired || *later != VerdictAdmitted {
		t.Errorf("verdicts %d and %d, want the first to expire and the second to run", *soon, *later)
	}
}

func TestQueueRemovesIdleWorkspaces(t *testing.T) {
	q := NewQueue(1, 10)
	for _, name := range []string{"a", "b", "c"} {
		enqueue(q, newWorkspace(name, 1, 10, 10), 5, farFuture)
		q.virtualTime += 2
		q.Release(name, 0)
	}
	if len(q.byWorkspace) != 0 {
		t.Errorf("%d workspace queues are left", len(q.byWorkspace))
	}
}

func TestQueueRejectsRequestsWithTooLongAnExpectedWait(t *testing.T) {
	q := NewQueue(1, 1000)
	w := newWorkspace("a", 1, 1000, 1000)
	enqueue(q, w, 5, farFuture)
	for range 40 {
		enqueue(q, w, 5, farFuture)
	}
	// One request starts each second from now on.
	for now := timer.Millis(1000); now <= 30_000; now += 1000 {
		q.Release("a", now)
	}
	late, early := enqueue(q, w, 5, 30_000+8_000), enqueue(q, w, 5, 30_000+60_000)
	if *late != VerdictWaitTooLong || *early != 0 {
		t.Errorf("11 requests wait and one starts each second: verdict %d for 8 s, %d for 60 s", *late, *early)
	}
	other := enqueue(q, newWorkspace("b", 1, 1000, 1000), 5, 30_000+8_000)
	if *other != 0 {
		t.Errorf("a workspace without waiting requests: verdict %d, want none yet", *other)
	}
}
