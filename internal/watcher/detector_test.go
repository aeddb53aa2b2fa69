package watcher

import (
	"math/rand/v2"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/rater"
)

const healthyBadShare = 0.14

// simulateRollOut sends up to n answers until the version is halted. faultyAnswers counts the bad answers up to then
// that were drawn with a share other than healthyBadShare.
func simulateRollOut(seed uint64, n int, badShare func(i int, class rater.Class) float64) (halted bool, faultyAnswers int) {
	r := rand.New(rand.NewPCG(seed, 3))
	d := NewDetector()
	workspaces := []string{"a", "b", "c", "d", "e"}
	for i := range n {
		class := rater.Class{Workspace: workspaces[r.IntN(len(workspaces))], Long: r.IntN(4) == 0}
		currentBadShare := badShare(i, class)
		good := r.Float64() >= currentBadShare
		if !good && currentBadShare != healthyBadShare {
			faultyAnswers++
		}
		dataCentre := []string{"x", "y", "z"}[r.IntN(3)]
		if _, ok := d.Observe("v", class, dataCentre, healthyBadShare, good); ok {
			return true, faultyAnswers
		}
	}
	return false, faultyAnswers
}

func TestAHealthyVersionIsSeldomHaltedByMistake(t *testing.T) {
	falseHalts := 0
	const seeds = 1000
	for seed := range uint64(seeds) {
		if halted, _ := simulateRollOut(seed, 3000, func(int, rater.Class) float64 { return healthyBadShare }); halted {
			falseHalts++
		}
	}
	t.Logf("%d of %d healthy roll-outs were halted", falseHalts, seeds)
	if falseHalts > seeds/100 {
		t.Errorf("%d of %d healthy roll-outs were halted, want at most 1%%", falseHalts, seeds)
	}
}

func TestABadVersionIsHaltedWithinFiftyBadAnswers(t *testing.T) {
	tests := map[string]func(i int, class rater.Class) float64{
		"bad at once":             func(int, rater.Class) float64 { return 0.6 },
		"worse at once":           func(int, rater.Class) float64 { return 0.4 },
		"always bad":              func(int, rater.Class) float64 { return 1 },
		"turns bad after a while": badAfter(500, 0.6),
		"only for one workspace":  badOnlyFor(func(c rater.Class) bool { return c.Workspace == "a" }, 0.7),
		"only for long prompts":   badOnlyFor(func(c rater.Class) bool { return c.Long }, 0.7),
	}
	for name, badShare := range tests {
		t.Run(name, func(t *testing.T) {
			missed, maxFaultyAnswers := 0, 0
			for seed := range uint64(200) {
				halted, faultyAnswers := simulateRollOut(seed, 5000, badShare)
				if !halted {
					missed++
				}
				maxFaultyAnswers = max(maxFaultyAnswers, faultyAnswers)
			}
			t.Logf("missed %d of 200 faults, at most %d bad answers before a halt", missed, maxFaultyAnswers)
			if missed > 0 || maxFaultyAnswers > 50 {
				t.Errorf("missed %d of 200 faults, want 0; %d bad answers before a halt, want at most 50", missed, maxFaultyAnswers)
			}
		})
	}
}

func badAfter(n int, badShare float64) func(int, rater.Class) float64 {
	return func(i int, _ rater.Class) float64 {
		if i < n {
			return healthyBadShare
		}
		return badShare
	}
}

func badOnlyFor(match func(rater.Class) bool, badShare float64) func(int, rater.Class) float64 {
	return func(_ int, c rater.Class) float64 {
		if match(c) {
			return badShare
		}
		return healthyBadShare
	}
}

func TestForgetRestartsTheTest(t *testing.T) {
	d := NewDetector()
	for range 100 {
		d.Observe("v", rater.Class{}, "x", 0.1, false)
	}
	if !d.IsHalted("v") {
		t.Fatal("not halted")
	}
	d.Reset("v")
	if _, halted := d.Observe("v", rater.Class{}, "x", 0.1, false); halted || d.IsHalted("v") {
		t.Error("halted after one bad answer")
	}
}
