package applier

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
)

var keyPattern = regexp.MustCompile(`key-digests = .*`)

func documentText(t testing.TB, environment string) string {
	t.Helper()
	raw, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	out := strings.Replace(string(raw), "name = production", "name = "+environment, 1)
	if environment == TrialEnvironment {
		// A key belongs to one environment only, so the trial environment gets other keys.
		out = keyPattern.ReplaceAllStringFunc(out, func(l string) string {
			sum := sha256.Sum256([]byte(l))
			return "key-digests = " + hex.EncodeToString(sum[:])
		})
	}
	return out
}

func applyCommand(t testing.TB, s *State, c Command) Result {
	t.Helper()
	raw, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Apply(raw)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func changeCommand(id, environment string, base, promotes int64, text string) Command {
	return Command{Change: &changer.Change{ID: id, Environment: environment, BaseRevision: base, Author: "a", Text: text, TrialRevision: promotes}}
}

// populatedState returns a state with one trial revision, one production revision promoted from it, and one claim.
func populatedState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	steps := []Command{
		changeCommand("t1", TrialEnvironment, 0, 0, documentText(t, TrialEnvironment)),
		changeCommand("p1", "production", 0, 1, documentText(t, "production")),
		{AcquireClaim: &claimer.Claim{Workspace: "w", Key: "k", RequestID: "1", Owner: "i", Incarnation: 1}},
	}
	for i, c := range steps {
		if r := applyCommand(t, s, c); r.Err() != nil {
			t.Fatalf("step %d: %v", i, r.Err())
		}
	}
	return s
}

func TestPromotionAndResendsThroughASnapshot(t *testing.T) {
	tests := map[string]struct {
		command Command
		want    string
	}{
		"resent after a newer trial revision": {changeCommand("p1", "production", 0, 1, documentText(t, "production")), "revision 1"},
		"promoted from an old revision":       {changeCommand("p2", "production", 1, 1, documentText(t, "production")), "conflict"},
		"promoted from the newest":            {changeCommand("p2", "production", 1, 2, documentText(t, "production")), "revision 2"},
		"same id, other base":                 {changeCommand("p1", "production", 1, 1, documentText(t, "production")), "reused"},
		"without a promotion":                 {changeCommand("p2", "production", 1, 0, documentText(t, "production")), "revision 2"},
		"faulty":                              {changeCommand("p2", "production", 1, 0, "[environment]"), "problems"},
		"same keys as the trial":              {changeCommand("p2", "production", 1, 0, strings.Replace(documentText(t, TrialEnvironment), "name = trial", "name = production", 1)), "invalid"},
	}
	for name, tt := range tests {
		for _, viaSnapshot := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := populatedState(t)
				applyCommand(t, s, changeCommand("t2", TrialEnvironment, 1, 0, strings.Replace(documentText(t, TrialEnvironment), "80%", "81%", 1)))
				if viaSnapshot {
					s = snapshotRoundTrip(t, s)
				}
				if got := resultKind(applyCommand(t, s, tt.command)); got != tt.want {
					t.Errorf("got %s, want %s", got, tt.want)
				}
			})
		}
	}
}

func snapshotRoundTrip(t *testing.T, s *State) *State {
	t.Helper()
	raw, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(raw); err != nil {
		t.Fatal(err)
	}
	reencoded, err := restored.Snapshot()
	if err != nil || string(reencoded) != string(raw) {
		t.Fatalf("the snapshot of the restored state differs, %v", err)
	}
	return restored
}

func resultKind(r Result) string {
	switch {
	case r.Accepted != nil:
		return "revision " + string(rune('0'+r.Accepted.Revision))
	case r.Conflict != nil:
		return "conflict"
	case r.Reused != nil:
		return "reused"
	case r.Invalid != nil:
		return "invalid"
	}
	return "problems"
}

func TestOwnerRestartPutsClaimsInDoubt(t *testing.T) {
	s := snapshotRoundTrip(t, populatedState(t))
	applyCommand(t, s, Command{InstanceStarted: &InstanceStart{Instance: "other", Incarnation: 9}})
	if len(s.InDoubt()) != 0 {
		t.Error("another instance's start put the claim in doubt")
	}
	applyCommand(t, s, Command{InstanceStarted: &InstanceStart{Instance: "i", Incarnation: 2}})
	if len(s.InDoubt()) != 1 {
		t.Error("the owner's restart did not put the claim in doubt")
	}
}

func FuzzApply(f *testing.F) {
	seed, err := changeCommand("t1", TrialEnvironment, 0, 0, documentText(f, TrialEnvironment)).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := NewState()
		if _, err := s.Apply(raw); err != nil {
			return
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
