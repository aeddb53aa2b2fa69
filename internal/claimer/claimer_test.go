package claimer

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func newOrderRequest(id, key, body string) *receiver.Request {
	return &receiver.Request{ID: id, IdempotencyKey: key, Workspace: parser.Workspace{Name: "w"}, Method: "POST", Path: "/orders", Body: []byte(body)}
}

// fakeRecord is a table that several claimers share, like the replicated record.
type fakeRecord struct {
	mu    sync.Mutex
	table *Table
	err   error
	// released lists the claims passed to Deps.Release.
	released []Claim
}

func (r *fakeRecord) acquire(_ context.Context, c Claim) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return Claim{}, r.err
	}
	return r.table.Acquire(c), nil
}

func (r *fakeRecord) settle(_ context.Context, c Claim) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return Claim{}, r.err
	}
	return r.table.Settle(c), nil
}

func newFakeRecord() *fakeRecord {
	return &fakeRecord{table: NewTable(nil)}
}

// newClaimer returns a claimer for one incarnation of an instance.
func (r *fakeRecord) newClaimer(owner string, incarnation int64) *Claimer {
	return NewClaimer(Deps{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), Owner: owner, Incarnation: incarnation, Acquire: r.acquire, Settle: r.settle,
		Release: func(c Claim) { r.released = append(r.released, c) },
	})
}

func TestResendAfterEachStep(t *testing.T) {
	answer := Answer{Status: 201, Body: []byte("made")}
	done := func(c *Claimer, claim Claim) error { return c.MarkDone(context.Background(), claim, answer) }
	didNotRun := func(c *Claimer, claim Claim) error { return c.MarkNotRun(context.Background(), claim) }
	unknown := func(c *Claimer, claim Claim) error { return c.MarkUnknown(context.Background(), claim) }
	neverFinish := func(*Claimer, Claim) error { return nil }
	tests := map[string]struct {
		finish     func(*Claimer, Claim) error
		restart    bool
		resendBody string
		want       string
	}{
		"done":                              {done, false, "a", "replay"},
		"done, then the owner restarts":     {done, true, "a", "replay"},
		"did not run":                       {didNotRun, false, "a", "run"},
		"did not run, then a restart":       {didNotRun, true, "a", "run"},
		"unknown":                           {unknown, false, "a", "in-doubt"},
		"unknown, then a restart":           {unknown, true, "a", "in-doubt"},
		"owner lost while it ran":           {neverFinish, true, "a", "in-doubt"},
		"another body":                      {done, false, "b", "key-reused"},
		"another body, then a restart":      {done, true, "b", "key-reused"},
		"another body when in doubt":        {unknown, true, "b", "key-reused"},
		"another body, first did not run":   {didNotRun, false, "b", "key-reused"},
		"another body, first owner is lost": {neverFinish, true, "b", "key-reused"},
	}
	for name, tt := range tests {
		for _, resendTo := range []string{"i1", "i2"} {
			t.Run(name+", resent to "+resendTo, func(t *testing.T) {
				r := newFakeRecord()
				c := r.newClaimer("i1", 1)
				claim, err := c.Acquire(context.Background(), newOrderRequest("1", "k", "a"))
				if err != nil {
					t.Fatal(err)
				}
				if err := tt.finish(c, claim); err != nil {
					t.Fatal(err)
				}
				if tt.restart {
					r.table = NewTable(r.table.Claims())
					r.table.MarkUnknown("i1", 2)
				}
				if got := outcomeOf(r.newClaimer(resendTo, 2).Acquire(context.Background(), newOrderRequest("2", "k", tt.resendBody))); got != tt.want {
					t.Errorf("the resend gets %s, want %s", got, tt.want)
				}
			})
		}
	}
}

func outcomeOf(claim Claim, err error) string {
	var refusal *receiver.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal.Type
	case err != nil:
		return err.Error()
	case claim.State == StateDone:
		return "replay"
	}
	return "run"
}

func TestOnlyOneOfManyConcurrentResendsRuns(t *testing.T) {
	r := newFakeRecord()
	results := make(chan string, 50)
	for n := range cap(results) {
		go func() {
			c := r.newClaimer([]string{"i1", "i2", "i3"}[n%3], 1)
			claim, err := c.Acquire(context.Background(), newOrderRequest(string(rune('A'+n)), "k", "a"))
			got := outcomeOf(claim, err)
			if got == "run" {
				err = c.MarkDone(context.Background(), claim, Answer{Status: 201})
			}
			if err != nil {
				got = err.Error()
			}
			results <- got
		}()
	}
	counts := map[string]int{}
	for range cap(results) {
		counts[<-results]++
	}
	if counts["run"] != 1 || counts["replay"] != cap(results)-1 {
		t.Errorf("got %v", counts)
	}
}

func TestAClaimThatIsNotDurableIsReleased(t *testing.T) {
	r := newFakeRecord()
	r.err = errors.New("no quorum")
	_, err := r.newClaimer("i1", 1).Acquire(context.Background(), newOrderRequest("1", "k", "a"))
	var refusal *receiver.Refusal
	if !errors.As(err, &refusal) || refusal.Ran != receiver.RanNo {
		t.Fatalf("got %v", err)
	}
	if len(r.released) != 1 || r.released[0].State != StateDidNotRun || r.released[0].RequestID != "1" {
		t.Errorf("the claim was not released: %+v", r.released)
	}
	r.err = nil
	if got := outcomeOf(r.newClaimer("i1", 1).Acquire(context.Background(), newOrderRequest("2", "k", "a"))); got != "run" {
		t.Errorf("the resend gets %s", got)
	}
}

func TestARetryOfTheSameRequestGetsItsOwnClaim(t *testing.T) {
	table := NewTable(nil)
	c := Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: "1", Owner: "i1", Incarnation: 1}
	if first, again := table.Acquire(c), table.Acquire(c); first.RequestID != "1" || again.RequestID != "1" || again.State != StateClaimed {
		t.Errorf("got %+v, then %+v", first, again)
	}
}

func TestASettledClaimDoesNotChange(t *testing.T) {
	table := NewTable(nil)
	c := table.Acquire(Claim{Workspace: "w", Key: "k", RequestID: "1", Owner: "i1", Incarnation: 1})
	table.Settle(c.WithAnswer(Answer{Status: 201}))
	if got := table.Settle(c.WithState(StateDidNotRun)); got.State != StateDone {
		t.Errorf("a done claim changed to %s", got.State)
	}
	other := c
	other.RequestID = "2"
	if got := table.Settle(other.WithState(StateDidNotRun)); got.RequestID != "1" {
		t.Error("a request changed the claim of another request")
	}
	table.MarkUnknown("i1", 2)
	if got := table.Claims()[0]; got.State != StateDone {
		t.Errorf("a done claim is %s after its owner's restart", got.State)
	}
}

func TestExpiryDropsSettledClaimsAndKeepsInDoubtOnes(t *testing.T) {
	table := NewTable([]Claim{
		{Workspace: "w", Key: "done", State: StateDone, At: 10}, {Workspace: "w", Key: "doubt", State: StateUnknown, At: 10},
		{Workspace: "w", Key: "runs", State: StateClaimed, At: 10}, {Workspace: "w", Key: "fresh", State: StateClaimed, At: 90},
	})
	table.Expire(50, 50)
	if len(table.Claims()) != 3 || len(table.InDoubt()) != 2 {
		t.Errorf("got %d claims, %d of them in doubt", len(table.Claims()), len(table.InDoubt()))
	}
}

func TestAClaimThatArrivesAfterItsReleaseDoesNotBlockTheKey(t *testing.T) {
	table := NewTable(nil)
	late := Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: "1", Owner: "i1", Incarnation: 1}
	table.Settle(late.WithState(StateDidNotRun))
	if got := table.Acquire(late); got.State != StateDidNotRun {
		t.Errorf("the late claim is %s", got.State)
	}
	resend := late
	resend.RequestID = "2"
	if got := table.Acquire(resend); got.RequestID != "2" || got.State != StateClaimed {
		t.Errorf("the resend gets %+v", got)
	}
}
