package assembler

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// startStream requests a long answer; the channel receives nil once the whole answer has arrived, or an error.
func startStream(c *caller.Caller, marker string) chan error {
	result := make(chan error, 1)
	go func() {
		a, err := c.Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: marker, MaxTokens: 60, Stream: true})
		if err == nil && a.Chunks != 61 {
			err = errors.New("the answer is incomplete")
		}
		result <- err
	}()
	return result
}

// waitForRuns waits until the engines have started n requests in total.
func waitForRuns(t *testing.T, f *Fleet, n int) {
	t.Helper()
	err := f.WaitFor("the start of the requests", func() bool {
		total := 0
		for _, e := range f.Engines {
			total += len(e.Runs())
		}
		return total >= n
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestGracefulStopFinishesAllStreams(t *testing.T) {
	tests := map[string]struct {
		stopCalls   int
		crashEngine bool
	}{
		"one Stop call":             {1, false},
		"two concurrent Stop calls": {2, false},
		"a crashed backend server":  {1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, "almaty-a")
			for _, engine := range []string{"e1", "e2"} {
				addEngine(t, f, engine, imitator.EngineConfig{BetweenTokens: tokenInterval})
			}
			waitForServers(t, f)
			var results []chan error
			for range 8 {
				results = append(results, startStream(f.NewCaller(0, "fit-questions"), "marker-x"))
			}
			waitForRuns(t, f, len(results))
			if tt.crashEngine {
				if err := f.Engines[0].Crash(); err != nil {
					t.Fatal(err)
				}
			}
			var wg sync.WaitGroup
			for range tt.stopCalls {
				wg.Go(func() {
					if err := f.Instances[0].Stop(); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			for _, r := range results {
				if err := <-r; err != nil {
					t.Error(err)
				}
			}
			if _, err := f.NewCaller(0, "fit-questions").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "x"}); err == nil {
				t.Error("the stopped instance still accepts requests")
			}
		})
	}
}

func TestDrainingServerFinishesRequestsAndGetsNoNewOnes(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	leaving := addEngine(t, f, "leaver", imitator.EngineConfig{BetweenTokens: tokenInterval})
	waitForServers(t, f)
	result := startStream(f.NewCaller(0, "fit-questions"), "marker-x")
	waitForRuns(t, f, 1)
	addEngine(t, f, "stayer", imitator.EngineConfig{})
	waitForServers(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := leaving.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Errorf("the request in progress: %v", err)
	}
	for range 10 {
		if err := <-startStream(f.NewCaller(0, "fit-questions"), "marker-y"); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(leaving.Runs()); n != 1 {
		t.Errorf("the leaving server started %d requests, want 1", n)
	}
}

func TestDisconnectedCallerCancelsTheEngine(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	var mu sync.Mutex
	pieces := 0
	addEngine(t, f, "e", imitator.EngineConfig{BetweenTokens: tokenInterval, OnPiece: func(string, int) imitator.Action {
		mu.Lock()
		defer mu.Unlock()
		pieces++
		return imitator.ActionProceed
	}})
	waitForServers(t, f)
	ctx, cancel := context.WithCancel(context.Background())
	c := f.NewCaller(0, "fit-questions")
	go func() {
		waitForRuns(t, f, 1)
		cancel()
	}()
	if _, err := c.Chat(ctx, caller.Prompt{Model: "fitting-model", Text: "x", MaxTokens: 100_000, Stream: true}); err == nil {
		t.Fatal("the request was not cancelled")
	}
	err := f.WaitFor("the end of the request on the engine", func() bool {
		status, err := f.NewOperatorClient(0).Status(context.Background())
		return err == nil && status.Running == 0 && status.BackendServers[0].InFlight == 0
	})
	if err != nil {
		t.Fatal(err)
	}
	if bills, err := f.NewOperatorClient(0).Bills(context.Background()); err != nil || len(bills) != 0 {
		t.Errorf("%d bills, %v", len(bills), err)
	}
	mu.Lock()
	defer mu.Unlock()
	if pieces > 50_000 {
		t.Errorf("the engine sent %d pieces, want at most 50000", pieces)
	}
}

func TestCrashedServerGetsNoNewRequestsAndStreamsResume(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	addEngine(t, f, "e1", imitator.EngineConfig{BetweenTokens: timer.Millisecond})
	addEngine(t, f, "e2", imitator.EngineConfig{BetweenTokens: timer.Millisecond})
	waitForServers(t, f)
	var results []chan error
	for range 10 {
		results = append(results, startStream(f.NewCaller(0, "fit-questions"), "marker-x"))
	}
	waitForRuns(t, f, len(results))
	if err := f.Engines[0].Crash(); err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if err := <-r; err != nil {
			t.Error(err)
		}
	}
	err := f.WaitFor("the crashed server to stop serving", func() bool { return countServing(f.Instances[0]) == 1 })
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + f.Instances[0].CallersAddress() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	if err := res.Body.Close(); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("readiness %d, %v", res.StatusCode, err)
	}
}
