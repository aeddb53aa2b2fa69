package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestRequestThatCrashesServersCrashesTwoAtMost(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	const engines = 8
	for n := range engines {
		addEngine(t, f, fmt.Sprintf("e%d", n), imitator.EngineConfig{BetweenTokens: tokenInterval, CrashOn: "poison"})
	}
	waitForServers(t, f)
	var wg sync.WaitGroup
	for n := range 12 {
		c := f.NewCaller(n%3, "fit-questions")
		wg.Go(func() {
			marker := fmt.Sprintf("%sinnocent-%d", imitator.MarkerPrefix, n)
			a, err := c.Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: marker, MaxTokens: 100, Stream: true})
			if err != nil || len(strings.Fields(a.Text)) != 100 {
				t.Errorf("%s: %d words, %v", marker, len(strings.Fields(a.Text)), err)
			}
		})
	}
	waitForRuns(t, f, 12)
	for resend := range 4 {
		_, err := f.NewCaller(resend%3, "volunteers").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "poison"})
		var refused *caller.Error
		if !errors.As(err, &refused) || refused.Type != "quarantined" {
			t.Errorf("resend %d: %v", resend, err)
		}
	}
	wg.Wait()
	crashed := 0
	for _, e := range f.Engines {
		if e.Crashed() {
			crashed++
		}
	}
	if crashed != 2 {
		t.Errorf("%d of %d engines crashed, want 2", crashed, engines)
	}
}

// A caller who is told that a request failed sends it again at another instance at once. Links delay every message, so
// a crash report that nobody waits for arrives there after the request.
func TestCrashIsKnownAtEveryInstanceBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	const linkDelay = 120 * timer.Millisecond
	text, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFleet(Config{Folder: t.TempDir(), Document: string(text), DataCentres: []string{"almaty-a", "astana-a", "shymkent-a"},
		LinkDelay: func(string, string) timer.Millis { return linkDelay }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	for n := range 6 {
		addEngine(t, f, fmt.Sprintf("e%d", n), imitator.EngineConfig{CrashOn: "poison"})
	}
	waitForServers(t, f)
	for resend := range 3 {
		_, err := f.NewCaller(resend, "volunteers").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "poison"})
		var refused *caller.Error
		if !errors.As(err, &refused) || refused.Type != "quarantined" {
			t.Errorf("resend %d: %v", resend, err)
		}
	}
	crashed := 0
	for _, e := range f.Engines {
		if e.Crashed() {
			crashed++
		}
	}
	if crashed != 2 {
		t.Errorf("%d engines crashed, want 2", crashed)
	}
}

// postRatings sends ratings of answers to one instance, as the rating service does.
func postRatings(t *testing.T, f *Fleet, instance int, ratings []messenger.Rating) {
	t.Helper()
	body, err := json.Marshal(ratings)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post("http://"+f.Instances[instance].ControlAddress()+"/ratings", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if err := res.Body.Close(); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", res.StatusCode, err)
	}
}

func TestBadVersionIsWithdrawnOnAllInstances(t *testing.T) {
	f, _ := newThreeDataCentreFleet(t)
	ctx := context.Background()
	doc, err := parser.Parse("document", f.cfg.Document)
	if err != nil {
		t.Fatal(err)
	}
	candidate, _ := doc.Version("fitting-small-3")
	candidate.Name, candidate.EngineName = "fitting-small-4", "fit-s-4"
	doc.Versions = append(doc.Versions, candidate)
	doc = doc.WithRollOut(parser.RollOut{Version: candidate.Name, Replaces: "fitting-small-3", Share: 0.5, MaxExposed: 1000})
	for _, name := range []string{"fit-s-3", "fit-s-4"} {
		a := registrar.Announcement{Name: name, DataCentre: "almaty-a", EngineNames: []string{name}, Capacity: 64}
		if _, err := f.AddEngine(a, imitator.EngineConfig{}); err != nil {
			t.Fatal(err)
		}
	}
	waitForServers(t, f)
	if err := f.Apply(ctx, "roll-out", doc.String()); err != nil {
		t.Fatal(err)
	}
	exposed := 0
	for n := 0; n < 400 && !isWithdrawnEverywhere(f, candidate.Name); n++ {
		a, err := f.NewCaller(n%3, "fit-questions").Chat(ctx, caller.Prompt{Model: "fitting-model", Text: fmt.Sprint("question ", n)})
		if err != nil {
			t.Fatal(err)
		}
		good := a.Version != candidate.Name
		if !good {
			exposed++
		}
		// The rating goes to a different instance from the one that answered.
		postRatings(t, f, (n+1)%3, []messenger.Rating{{RequestID: a.RequestID, Good: good}})
	}
	err = f.WaitFor("the withdrawal on every instance", func() bool { return isWithdrawnEverywhere(f, candidate.Name) })
	if err != nil {
		t.Fatal(err)
	}
	if maxExposed := 50; exposed > maxExposed {
		t.Errorf("%d requests were exposed, want at most %d", exposed, maxExposed)
	}
	entries, err := f.NewOperatorClient(0).AuditTrail(ctx)
	hasWatcherEntry := slices.ContainsFunc(entries, func(e auditor.Entry) bool { return strings.HasPrefix(e.Author, "watcher: ") })
	if err != nil || !hasWatcherEntry {
		t.Errorf("the audit trail does not name the watcher: %+v, %v", entries, err)
	}
}

// isWithdrawnEverywhere reports whether a version is withdrawn on every instance.
func isWithdrawnEverywhere(f *Fleet, version string) bool {
	for _, i := range f.Instances {
		v, ok := i.ViewSet().Views["production"].Version(version)
		if !ok || !v.Withdrawn {
			return false
		}
	}
	return true
}
