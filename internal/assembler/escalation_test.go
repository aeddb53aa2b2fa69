package assembler

import (
	"context"
	"fmt"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// TestEmptyAnswersEscalateToTheCostlierVersion checks that a request escalates to the costlier version when every
// engine of the cheap one returns an empty answer.
func TestEmptyAnswersEscalateToTheCostlierVersion(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("streamed %t", stream), func(t *testing.T) {
			f := newTestFleet(t, "almaty-a")
			emptyAnswer := func(_ string, chunk int) imitator.Action {
				if chunk == 1 {
					return imitator.ActionEndEarly
				}
				return imitator.ActionProceed
			}
			for n := range 3 {
				addEngine(t, f, fmt.Sprint("cheap-", n), imitator.EngineConfig{OnPiece: emptyAnswer})
			}
			a := registrar.Announcement{Name: "costly", DataCentre: "almaty-a", EngineNames: []string{"fit-l-2"}}
			if _, err := f.AddEngine(a, imitator.EngineConfig{}); err != nil {
				t.Fatal(err)
			}
			waitForServers(t, f)
			answer, err := f.NewCaller(0, "fit-questions").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: "marker-x", MaxTokens: 8, Stream: stream})
			if err != nil || answer.Version != "fitting-large-2" || !answer.Billed {
				t.Fatalf("got version %q, billed %t, %v", answer.Version, answer.Billed, err)
			}
			bills, err := f.NewOperatorClient(0).Bills(context.Background())
			if err != nil || len(bills) != 1 || bills[0].Version != "fitting-large-2" || bills[0].Cost <= bills[0].Price {
				t.Errorf("bills %+v, %v", bills, err)
			}
		})
	}
}
