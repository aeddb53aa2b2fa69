package applier

import (
	"bytes"
	"strings"
	"testing"
)

func TestHighestPolicyVersionIsInForce(t *testing.T) {
	tests := map[string]struct {
		versions []int64
		want     int64
	}{
		"in order":       {[]int64{3, 7, 9}, 9},
		"out of order":   {[]int64{9, 3, 7}, 9},
		"same twice":     {[]int64{9, 9}, 9},
		"version zero":   {[]int64{0}, 0},
		"uneven steps":   {[]int64{1, 100, 50, 101}, 101},
		"only one lower": {[]int64{2, 1}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for i, version := range tt.versions {
				p, err := NewPolicy(version, []byte(strings.Repeat("x", i+1)))
				if err != nil {
					t.Fatal(err)
				}
				applyCommand(t, s, Command{PublishPolicy: &p})
			}
			if s.Policy().Version != tt.want {
				t.Fatalf("version %d is in force, want %d", s.Policy().Version, tt.want)
			}
		})
	}
}

func TestOtherTextWithSamePolicyVersionIsIgnored(t *testing.T) {
	s := NewState()
	first, err := NewPolicy(4, []byte("first"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := NewPolicy(4, []byte("second"))
	if err != nil {
		t.Fatal(err)
	}
	applyCommand(t, s, Command{PublishPolicy: &first})
	if r := applyCommand(t, s, Command{PublishPolicy: &second}); r.Version != 4 {
		t.Fatalf("acknowledged with version %d", r.Version)
	}
	text, err := s.Policy().Decompressed()
	if err != nil || !bytes.Equal(text, []byte("first")) {
		t.Fatalf("read %q, %v", text, err)
	}
}

func TestRollOutSettlesOnceAndSurvivesSnapshot(t *testing.T) {
	s := NewState()
	start := func(target string) {
		applyCommand(t, s, Command{At: 5, StartRollOut: &RollOut{Service: "s", TargetVersion: target, MaxDuration: 1000}})
	}
	settle := func(target string, state RollOutState) {
		applyCommand(t, s, Command{EndRollOut: &RollOutEnd{Service: "s", TargetVersion: target, State: state}})
	}
	start("v2")
	start("v2")
	settle("v2", RollOutRolledBack)
	settle("v2", RollOutCompleted)
	if r, _ := s.RollOut("s"); r.State != RollOutRolledBack || len(r.RolledBackVersions) != 1 {
		t.Fatalf("the roll-out ended as %+v", r)
	}
	start("v2")
	if r, _ := s.RollOut("s"); r.State != RollOutRolledBack {
		t.Fatal("a resent order started the roll-out again")
	}
	start("v3")
	settle("v3", RollOutCompleted)
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if r, _ := restored.RollOut("s"); r.State != RollOutCompleted || r.StableVersion != "v3" ||
		len(r.RolledBackVersions) != 1 {
		t.Fatalf("the restored roll-out is %+v", r)
	}
}
