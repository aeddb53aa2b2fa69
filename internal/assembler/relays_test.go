package assembler

import (
	"context"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newFiveInstanceFleet starts one instance in the data centre of the leader and four in another.
func newFiveInstanceFleet(t *testing.T) (*Fleet, *linkCuts) {
	t.Helper()
	return newFleetWithCuts(t, 2*timer.Second, "astana-a", "almaty-a", "almaty-a", "almaty-a", "almaty-a")
}

func TestRelaysForwardAcceptedChanges(t *testing.T) {
	f, c := newFiveInstanceFleet(t)
	// The leader reaches only the first two instances of the other data centre.
	c.set(func(from, to string) bool {
		return from == "astana-a-1" && (to == "almaty-a-4" || to == "almaty-a-5")
	})
	ctx := context.Background()
	if _, err := f.NewOperatorClient(0).Apply(ctx, newChange("a", 1, documentWithTarget(t, f, 71))); err != nil {
		t.Fatal(err)
	}
	waitForRevision(t, f, 3, 2)
	waitForRevision(t, f, 4, 2)
}

func TestLeaderBypassesUnreachableRelays(t *testing.T) {
	f, c := newFiveInstanceFleet(t)
	c.set(func(from, to string) bool {
		relay := from == "almaty-a-2" || from == "almaty-a-3"
		return relay && strings.HasPrefix(to, "almaty-a")
	})
	ctx := context.Background()
	for n, target := range []int{71, 72, 73} {
		if _, err := f.NewOperatorClient(0).Apply(ctx, newChange(string(rune('a'+n)), int64(n+1), documentWithTarget(t, f, target))); err != nil {
			t.Fatal(err)
		}
	}
	waitForRevision(t, f, 4, 4)
	d, err := f.NewOperatorClient(4).Document(ctx, "production")
	if err != nil || !strings.Contains(d.Text, "quality-target = 73%") {
		t.Errorf("the document after three changes: %v, %.80s", err, d.Text)
	}
}
