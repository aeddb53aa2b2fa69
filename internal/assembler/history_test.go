package assembler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

// changeAttempt is one change as its operator observed it, including all resends.
type changeAttempt struct {
	id               string
	baseRevision     int64
	startedAt        time.Time
	endedAt          time.Time
	revision         int64
	conflictRevision int64
}

// findHistoryViolations returns the reasons why no sequential order of the changes explains what the operators
// observed: two changes accepted as the same revision, a revision that does not follow its base, a later change with an
// earlier revision, or a conflict reported with an outdated revision.
func findHistoryViolations(attempts []changeAttempt) []string {
	var violations []string
	winners := map[int64]string{}
	for _, a := range attempts {
		if a.revision == 0 {
			continue
		}
		if other, ok := winners[a.revision]; ok {
			violations = append(violations, fmt.Sprintf("%s and %s were both accepted as revision %d", a.id, other, a.revision))
		}
		winners[a.revision] = a.id
		if a.revision != a.baseRevision+1 {
			violations = append(violations, fmt.Sprintf("%s with base %d was accepted as revision %d", a.id, a.baseRevision, a.revision))
		}
	}
	for _, a := range attempts {
		for _, b := range attempts {
			seen := max(a.revision, a.conflictRevision)
			if a.endedAt.Before(b.startedAt) && b.revision > 0 && b.revision <= seen {
				violations = append(violations, fmt.Sprintf("%s was accepted as revision %d after %s had observed %d", b.id, b.revision, a.id, seen))
			}
			if a.endedAt.Before(b.startedAt) && b.conflictRevision > 0 && b.conflictRevision < seen {
				violations = append(violations, fmt.Sprintf("%s conflicted with revision %d after %s had observed %d", b.id, b.conflictRevision, a.id, seen))
			}
		}
	}
	return violations
}

func TestFindHistoryViolationsDetectsEachKind(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	validHistory := []changeAttempt{
		{id: "a", baseRevision: 1, startedAt: at(1), endedAt: at(2), revision: 2},
		{id: "b", baseRevision: 1, startedAt: at(1), endedAt: at(3), conflictRevision: 2},
		{id: "c", baseRevision: 2, startedAt: at(4), endedAt: at(5), revision: 3},
	}
	if violations := findHistoryViolations(validHistory); len(violations) > 0 {
		t.Fatalf("violations reported in a valid history: %v", violations)
	}
	tests := map[string]changeAttempt{
		"same revision twice":     {id: "x", baseRevision: 1, startedAt: at(1), endedAt: at(2), revision: 2},
		"gap after the base":      {id: "x", baseRevision: 1, startedAt: at(6), endedAt: at(7), revision: 4},
		"revision goes backwards": {id: "x", baseRevision: 0, startedAt: at(6), endedAt: at(7), revision: 1},
		"outdated conflict":       {id: "x", baseRevision: 1, startedAt: at(6), endedAt: at(7), conflictRevision: 2},
	}
	for name, invalid := range tests {
		t.Run(name, func(t *testing.T) {
			if len(findHistoryViolations(append(slices.Clone(validHistory), invalid))) == 0 {
				t.Error("the violation is not detected")
			}
		})
	}
}

// changeWriter simulates an operator who submits changes, loses some answers and resends those changes to random
// instances.
type changeWriter struct {
	f        *Fleet
	index    int
	rand     *rand.Rand
	texts    []string
	mu       *sync.Mutex
	attempts *[]changeAttempt
}

func (w *changeWriter) run(deadline time.Time) {
	base := int64(1)
	for n := 0; time.Now().Before(deadline); n++ {
		a := changeAttempt{id: fmt.Sprintf("w%d-%d", w.index, n), baseRevision: base, startedAt: time.Now()}
		w.applyUntilDecided(&a, w.texts[n%len(w.texts)])
		a.endedAt = time.Now()
		base = max(base, a.revision, a.conflictRevision)
		w.mu.Lock()
		*w.attempts = append(*w.attempts, a)
		w.mu.Unlock()
	}
}

// applyUntilDecided resends a change until it is accepted or refused with a conflict.
func (w *changeWriter) applyUntilDecided(a *changeAttempt, text string) {
	for try := 0; ; try++ {
		// The short timeout loses some answers; the change is then resent to a random instance with the same id.
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+w.rand.IntN(40))*time.Millisecond<<min(try, 8))
		accepted, err := w.f.NewOperatorClient(w.rand.IntN(3)).Apply(ctx, newChange(a.id, a.baseRevision, text))
		cancel()
		var refused *operator.Error
		switch {
		case err == nil:
			a.revision = accepted.Revision
			return
		case errors.As(err, &refused) && refused.Status == http.StatusConflict:
			a.conflictRevision = refused.Result.Conflict.CurrentRevision
			return
		}
	}
}

// TestChangesAreLinearizable submits conflicting changes from three operators while links between instances are cut and
// restored.
func TestChangesAreLinearizable(t *testing.T) {
	f, c := newThreeDataCentreFleet(t)
	var texts []string
	for n := range 10 {
		texts = append(texts, documentWithTarget(t, f, 40+n))
	}
	var mu sync.Mutex
	var attempts []changeAttempt
	var wg sync.WaitGroup
	deadline := time.Now().Add(6 * time.Second)
	for n := range 3 {
		w := &changeWriter{f: f, index: n, rand: rand.New(rand.NewPCG(uint64(n), 3)), texts: texts, mu: &mu, attempts: &attempts}
		wg.Go(func() { w.run(deadline) })
	}
	// The second cut starts before the instances have recovered from the first one.
	for n := range 3 {
		time.Sleep(1200 * time.Millisecond)
		c.isolate(f.InstanceName(n))
		time.Sleep(400 * time.Millisecond)
		nextInstance := f.InstanceName((n + 1) % 3)
		c.set(func(from, _ string) bool { return from == nextInstance })
		time.Sleep(300 * time.Millisecond)
		c.set(nil)
	}
	wg.Wait()
	acceptedCount := 0
	for _, a := range attempts {
		if a.revision > 0 {
			acceptedCount++
		}
	}
	t.Logf("%d changes, %d accepted", len(attempts), acceptedCount)
	if violations := findHistoryViolations(attempts); len(violations) > 0 {
		t.Errorf("%d violations: %s", len(violations), strings.Join(violations[:min(len(violations), 5)], "; "))
	}
	if acceptedCount < 10 {
		t.Errorf("only %d changes were accepted", acceptedCount)
	}
}

// TestIsolatedInstanceRefusesNewRequests isolates one of the four instances of a data centre; callers still reach it.
func TestIsolatedInstanceRefusesNewRequests(t *testing.T) {
	f, c := newFiveInstanceFleet(t)
	c.isolate(f.InstanceName(4))
	waitForMode(t, f, 4, indexer.ModeIsolated)
	_, err := f.NewCaller(4, "fit-questions").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "x"})
	var refused *caller.Error
	if !errors.As(err, &refused) || refused.Type != "not-ready" || refused.Ran != "no" {
		t.Errorf("got %v", err)
	}
	waitForMode(t, f, 3, indexer.ModeConnected)
	c.set(nil)
	waitForMode(t, f, 4, indexer.ModeConnected)
}
