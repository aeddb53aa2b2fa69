package assembler

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// TestConcurrentAnswersReachTheirOwnCaller checks that no answer reaches another caller while thousands of concurrent
// requests run on engines that cut off, repeat, skip and refuse parts of their answers.
func TestConcurrentAnswersReachTheirOwnCaller(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	var chunkCount atomic.Int64
	injectFault := func(_ string, chunk int) imitator.Action {
		switch slot := chunkCount.Add(1) % 401; {
		case chunk > 1 && slot < 4:
			return imitator.ActionRepeat
		case chunk > 0 && slot == 5:
			return imitator.ActionDisconnect
		case chunk > 1 && slot == 6:
			return imitator.ActionSkip
		case chunk == 0 && slot%44 == 10:
			// Refusals are spaced out: an immediate retry gets the next slot and must not be refused by every engine.
			return imitator.ActionRefuse
		}
		return imitator.ActionProceed
	}
	for n := range 8 {
		addEngine(t, f, fmt.Sprintf("e%d", n), imitator.EngineConfig{OnPiece: injectFault})
	}
	waitForServers(t, f)
	const workers, requestsPerWorker = 64, 40
	var wg sync.WaitGroup
	for w := range workers {
		c := f.NewCaller(0, "fit-questions")
		wg.Go(func() {
			for i := range requestsPerWorker {
				marker := fmt.Sprintf("%s%d-%d", imitator.MarkerPrefix, w, i)
				a, err := c.Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: marker, MaxTokens: 12, Stream: i%2 == 0})
				if err != nil {
					t.Errorf("%s: %v", marker, err)
					continue
				}
				checkAnswer(t, a, marker, 12)
			}
		})
	}
	wg.Wait()
	bills, err := f.NewOperatorClient(0).Bills(context.Background())
	if err != nil || len(bills) != workers*requestsPerWorker {
		t.Errorf("%d bills for %d answers, %v", len(bills), workers*requestsPerWorker, err)
	}
}

func checkAnswer(t *testing.T, a caller.Answer, marker string, want int) {
	t.Helper()
	words := strings.Fields(a.Text)
	if len(words) != want || !a.Billed {
		t.Errorf("%s: %d of %d words, billed %t", marker, len(words), want, a.Billed)
	}
	for i, w := range words {
		if !strings.HasPrefix(w, fmt.Sprintf("%s:w%d-", marker, i+1)) {
			t.Errorf("%s: word %d is %q", marker, i+1, w)
		}
	}
}

func addEngine(t *testing.T, f *Fleet, name string, cfg imitator.EngineConfig) *imitator.Engine {
	t.Helper()
	a := registrar.Announcement{Name: name, DataCentre: "almaty-a", EngineNames: []string{"fit-s-3"}, Capacity: 64}
	e, err := f.AddEngine(a, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return e
}
