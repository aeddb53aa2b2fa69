package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// linkCuts selects the links between instances that drop all messages.
type linkCuts struct {
	mu  sync.Mutex
	cut func(from, to string) bool
}

func (c *linkCuts) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut != nil && c.cut(from, to)
}

func (c *linkCuts) set(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// isolate cuts all links to and from one instance.
func (c *linkCuts) isolate(name string) {
	c.set(func(from, to string) bool { return from == name || to == name })
}

// newThreeDataCentreFleet starts one instance in each of three data centres.
func newThreeDataCentreFleet(t *testing.T) (*Fleet, *linkCuts) {
	t.Helper()
	return newFleetWithCuts(t, timer.Second, "almaty-a", "astana-a", "shymkent-a")
}

// newFleetWithCuts starts a fleet with links that can be cut; a peer counts as lost after the given silence.
func newFleetWithCuts(t *testing.T, silence timer.Millis, dataCentres ...string) (*Fleet, *linkCuts) {
	t.Helper()
	t.Parallel()
	text, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	c := &linkCuts{}
	f, err := NewFleet(Config{
		Folder: t.TempDir(), Document: string(text), DataCentres: dataCentres, IsLinkCut: c.isCut,
		AdjustSettings: func(s *configurer.Settings) {
			s.Peers.Silence = silence
			s.Record.ReplaceAfter = 2 * timer.Second
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.set(nil)
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f, c
}

// documentWithTarget returns the example document with the given quality target in percent, so that changes differ.
func documentWithTarget(t *testing.T, f *Fleet, target int) string {
	t.Helper()
	doc, err := parser.Parse("document", f.cfg.Document)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(doc.String(), "name = production", fmt.Sprintf("name = production\nquality-target = %d%%", target), 1)
}

func newChange(id string, base int64, text string) operator.Change {
	return operator.Change{ID: id, Environment: "production", BaseRevision: base, Author: "aigul", Text: text}
}

func statusOf(err error) int {
	var refused *operator.Error
	if errors.As(err, &refused) {
		return refused.Status
	}
	return http.StatusOK
}

func TestConcurrentAndResentChanges(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	ctx := context.Background()
	first := documentWithTarget(t, f, 71)
	accepted, err := f.NewOperatorClient(1).Apply(ctx, newChange("a", 1, first))
	if err != nil || accepted.Revision != 2 {
		t.Fatalf("got %+v, %v", accepted, err)
	}
	tests := map[string]struct {
		c        operator.Change
		status   int
		revision int64
	}{
		"a base revision already replaced":    {newChange("b", 1, documentWithTarget(t, f, 72)), http.StatusConflict, 0},
		"the same change resent":              {newChange("a", 1, first), http.StatusOK, 2},
		"the same id with other content":      {newChange("a", 1, documentWithTarget(t, f, 73)), http.StatusUnprocessableEntity, 0},
		"an invalid document":                 {newChange("d", 2, "[environment]\nname = production\n[model m]\n"), http.StatusUnprocessableEntity, 0},
		"a document of another environment":   {newChange("e", 2, strings.Replace(first, "name = production", "name = trial", 1)), http.StatusUnprocessableEntity, 0},
		"promotion of an unknown revision":    {operator.Change{ID: "f", Environment: "production", BaseRevision: 2, Author: "x", Text: first, TrialRevision: 4}, http.StatusConflict, 0},
		"no author":                           {operator.Change{ID: "g", Environment: "production", BaseRevision: 2, Text: first}, http.StatusUnprocessableEntity, 0},
		"a base revision not yet assigned":    {newChange("h", 9, documentWithTarget(t, f, 74)), http.StatusConflict, 0},
		"a trial with the keys of production": {operator.Change{ID: "i", Environment: "trial", Author: "x", Text: strings.Replace(first, "name = production", "name = trial", 1)}, http.StatusUnprocessableEntity, 0},
	}
	for name, tt := range tests {
		for n := range f.Instances {
			t.Run(fmt.Sprintf("%s, at instance %d", name, n), func(t *testing.T) {
				got, err := f.NewOperatorClient(n).Apply(ctx, tt.c)
				if statusOf(err) != tt.status || got.Revision != tt.revision {
					t.Errorf("got revision %d, %v", got.Revision, err)
				}
			})
		}
	}
	t.Run("concurrent changes with one base revision", func(t *testing.T) { checkConcurrentChanges(t, f) })
}

// checkConcurrentChanges submits nine changes with the same base revision at once; exactly one must be accepted.
func checkConcurrentChanges(t *testing.T, f *Fleet) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	for n := range 9 {
		c := newChange(fmt.Sprintf("race-%d", n), 2, documentWithTarget(t, f, 50+n))
		wg.Go(func() {
			_, err := f.NewOperatorClient(n%3).Apply(context.Background(), c)
			mu.Lock()
			defer mu.Unlock()
			switch statusOf(err) {
			case http.StatusOK:
				accepted++
			case http.StatusConflict:
				conflicts++
			default:
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if accepted != 1 || conflicts != 8 {
		t.Errorf("%d accepted, %d conflicts", accepted, conflicts)
	}
}

func TestAcceptedChangesSurviveLeaderLossAndFullRestart(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	ctx := context.Background()
	text := documentWithTarget(t, f, 71)
	if _, err := f.NewOperatorClient(0).Apply(ctx, newChange("a", 1, text)); err != nil {
		t.Fatal(err)
	}
	killedLeader := f.LeaderIndex(context.Background())
	if err := f.Instances[killedLeader].Kill(); err != nil {
		t.Fatal(err)
	}
	survivor := (killedLeader + 1) % 3
	if _, err := f.NewOperatorClient(survivor).Apply(ctx, newChange("b", 2, documentWithTarget(t, f, 72))); err != nil {
		t.Fatalf("after the leader was killed: %v", err)
	}
	if resent, err := f.NewOperatorClient(survivor).Apply(ctx, newChange("a", 1, text)); err != nil || resent.Revision != 2 {
		t.Errorf("resent after the leader was killed: %+v, %v", resent, err)
	}
	for n := range f.Instances {
		if n != killedLeader {
			if err := f.Instances[n].Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for n := range f.Instances {
		if err := f.RestartInstance(n); err != nil {
			t.Fatal(err)
		}
	}
	for n := range f.Instances {
		waitForRevision(t, f, n, 3)
	}
	if resent, err := f.NewOperatorClient(killedLeader).Apply(ctx, newChange("a", 1, text)); err != nil || resent.Revision != 2 {
		t.Errorf("resent after every instance restarted: %+v, %v", resent, err)
	}
	checkAuditTrail(t, f)
}

// checkAuditTrail waits until the audit trail has an in-force entry of revision 3 for each data centre, and verifies
// the trail.
func checkAuditTrail(t *testing.T, f *Fleet) {
	t.Helper()
	var entries []auditor.Entry
	err := f.WaitFor("the in-force entries of all data centres", func() bool {
		var err error
		entries, err = f.NewOperatorClient(0).AuditTrail(context.Background())
		inForce := map[string]bool{}
		for _, e := range entries {
			if e.Kind == auditor.KindInForce && e.ToRevision == 3 {
				inForce[e.DataCentre] = true
			}
		}
		return err == nil && len(inForce) == 3
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := auditor.Verify(entries); err != nil {
		t.Error(err)
	}
}

func waitForRevision(t *testing.T, f *Fleet, n int, revision int64) {
	t.Helper()
	err := f.WaitFor(fmt.Sprintf("revision %d at instance %d", revision, n), func() bool {
		d, err := f.NewOperatorClient(n).Document(context.Background(), "production")
		return err == nil && d.Revision >= revision
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestVoterWithLostDiskIsReplacedBeforeSecondLoss(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	ctx := context.Background()
	wiped := (f.LeaderIndex(context.Background()) + 1) % 3
	if err := f.Instances[wiped].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(f.cfg.Folder, f.InstanceName(wiped))); err != nil {
		t.Fatal(err)
	}
	if err := f.RestartInstance(wiped); err != nil {
		t.Fatal(err)
	}
	err := f.WaitFor("the wiped instance to vote under its new identity", func() bool {
		s, err := f.NewOperatorClient(wiped).Status(ctx)
		return err == nil && s.Record != nil && len(s.Record.Voters) == 3 && s.Record.IsVoter && s.Mode == indexer.ModeConnected
	})
	if err != nil {
		t.Fatal(err)
	}
	secondLost := (wiped + 1) % 3
	if err := f.Instances[secondLost].Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.NewOperatorClient(wiped).Apply(ctx, newChange("after", 1, documentWithTarget(t, f, 71))); err != nil {
		t.Errorf("after the second loss: %v", err)
	}
}

func waitForMode(t *testing.T, f *Fleet, n int, mode indexer.Mode) {
	t.Helper()
	err := f.WaitFor(fmt.Sprintf("mode %s at instance %d", mode, n), func() bool { return f.Instances[n].ViewSet().Mode == mode })
	if err != nil {
		t.Fatal(err)
	}
}

func TestIsolatedDataCentreServesOnlyIdempotentRequests(t *testing.T) {
	f, c := newThreeDataCentreFleet(t)
	ctx := context.Background()
	addEngine(t, f, "e", imitator.EngineConfig{})
	desk := addCoatDesk(t, f, "desk", imitator.ServiceConfig{})
	waitForServers(t, f)
	isolated := (f.LeaderIndex(context.Background()) + 1) % 3
	c.isolate(f.InstanceName(isolated))
	waitForMode(t, f, isolated, indexer.ModeCutOff)

	if _, err := f.NewCaller(isolated, "fit-questions").Chat(ctx, caller.Prompt{Model: "fitting-model", Text: "x", Stream: true}); err != nil {
		t.Errorf("an idempotent request at the isolated instance: %v", err)
	}
	var refused *caller.Error
	_, err := f.NewCaller(isolated, "adoption-app").CallService(ctx, http.MethodPost, "/services/coat-desk/orders", "k", []byte("x"))
	if !errors.As(err, &refused) || refused.Type != "cut-off" || refused.Ran != "no" || len(desk.Runs()) != 0 {
		t.Errorf("an order at the isolated instance: %v, %d runs", err, len(desk.Runs()))
	}
	doc, err := parser.Parse("document", f.cfg.Document)
	if err != nil {
		t.Fatal(err)
	}
	v, _ := doc.Version("fitting-small-3")
	v.Withdrawn = true
	reachable := (isolated + 1) % 3
	accepted, err := f.NewOperatorClient(reachable).Apply(ctx, newChange("withdraw", 1, doc.WithVersion(v).String()))
	if err != nil {
		t.Fatal(err)
	}
	waiting, err := f.NewOperatorClient(reachable).WaitingInstances(ctx, "production", accepted.Revision)
	isListed := slices.ContainsFunc(waiting, func(w operator.WaitingInstance) bool { return w.Instance == f.InstanceName(isolated) })
	if err != nil || !isListed {
		t.Errorf("the isolated instance is not listed as waiting: %+v, %v", waiting, err)
	}
	c.set(nil)
	waitForRevision(t, f, isolated, accepted.Revision)
	waitForMode(t, f, isolated, indexer.ModeConnected)
	if _, err := f.NewCaller(isolated, "adoption-app").CallService(ctx, http.MethodPost, "/services/coat-desk/orders", "k", []byte("x")); err != nil {
		t.Errorf("the order after healing: %v", err)
	}
}

func TestIsolatedLeaderAcceptsNoChangesAndRejoins(t *testing.T) {
	tests := map[string]func(name string) func(from, to string) bool{
		"both ways": func(name string) func(string, string) bool {
			return func(a, b string) bool { return a == name || b == name }
		},
		"incoming cut": func(name string) func(string, string) bool { return func(_, b string) bool { return b == name } },
		"outgoing cut": func(name string) func(string, string) bool { return func(a, _ string) bool { return a == name } },
	}
	for name, newCut := range tests {
		t.Run(name, func(t *testing.T) {
			f, c := newThreeDataCentreFleet(t)
			oldLeader := f.LeaderIndex(context.Background())
			c.set(newCut(f.InstanceName(oldLeader)))
			majorityMember := (oldLeader + 1) % 3
			if _, err := f.NewOperatorClient(majorityMember).Apply(context.Background(), newChange("majority", 1, documentWithTarget(t, f, 71))); err != nil {
				t.Fatalf("a change at the majority: %v", err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if got, err := f.NewOperatorClient(oldLeader).Apply(ctx, newChange("minority", 1, documentWithTarget(t, f, 72))); err == nil {
				t.Errorf("the isolated leader accepted revision %d", got.Revision)
			}
			c.set(nil)
			waitForRevision(t, f, oldLeader, 2)
			waitForMode(t, f, oldLeader, indexer.ModeConnected)
		})
	}
}

func TestInstanceWithoutPeersRefusesWithAReason(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	for n := range f.Instances {
		if err := f.Instances[n].Kill(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.RestartInstance(0); err != nil {
		t.Fatal(err)
	}
	_, err := f.NewCaller(0, "fit-questions").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "x"})
	var refused *caller.Error
	if !errors.As(err, &refused) || refused.Type != "not-ready" || refused.Ran != "no" || refused.Message == "" {
		t.Errorf("got %v", err)
	}
}

func TestBootstrapIsRefusedOnceARecordExists(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	for n := range f.Instances {
		if err := f.NewOperatorClient(n).Bootstrap(context.Background()); statusOf(err) != http.StatusConflict {
			t.Errorf("instance %d: %v", n, err)
		}
	}
}
