package assembler

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
)

// TestOrdersRunAtMostOnce injects a fault before or after the service runs the order, then resends the order before and
// after a restart of the instance.
func TestOrdersRunAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		firstAction func(before bool) imitator.Action
		ran         receiver.Ran
		status      int
		runs        int
	}{
		"no fault":                        {func(bool) imitator.Action { return imitator.ActionProceed }, "", http.StatusCreated, 1},
		"refused by the service":          {actWhen(true, imitator.ActionRefuse), receiver.RanNo, http.StatusCreated, 1},
		"connection cut before it ran":    {actWhen(true, imitator.ActionDisconnect), receiver.RanUnknown, http.StatusConflict, 0},
		"connection cut after it had run": {actWhen(false, imitator.ActionDisconnect), receiver.RanUnknown, http.StatusConflict, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, "almaty-a")
			calls := 0
			desk := addCoatDesk(t, f, "desk", imitator.ServiceConfig{ActionForCall: func(_ string, before bool) imitator.Action {
				if before {
					calls++
				}
				if calls > 1 {
					return imitator.ActionProceed
				}
				return tt.firstAction(before)
			}})
			waitForServers(t, f)
			_, err := sendOrder(f, "key-1", "a")
			var refused *caller.Error
			if errors.As(err, &refused) != (tt.ran != "") || refused != nil && refused.Ran != tt.ran {
				t.Errorf("first: %v, want ran %q", err, tt.ran)
			}
			checkResend(t, f, tt.status)
			killAndRestart(t, f)
			checkResend(t, f, tt.status)
			if _, err := sendOrder(f, "key-1", "other"); !errors.As(err, &refused) || refused.Status != http.StatusUnprocessableEntity {
				t.Errorf("same key, other body: %v", err)
			}
			if n := len(desk.Runs()); n != tt.runs {
				t.Errorf("the order ran %d times, want %d", n, tt.runs)
			}
		})
	}
}

func actWhen(beforeRun bool, a imitator.Action) func(bool) imitator.Action {
	return func(before bool) imitator.Action {
		if before == beforeRun {
			return a
		}
		return imitator.ActionProceed
	}
}

func sendOrder(f *Fleet, key, body string) (caller.Answer, error) {
	return f.NewCaller(0, "adoption-app").CallService(context.Background(), http.MethodPost, "/services/coat-desk/orders", key, []byte(body))
}

func checkResend(t *testing.T, f *Fleet, want int) {
	t.Helper()
	a, err := sendOrder(f, "key-1", "a")
	var refused *caller.Error
	got := a.Status
	if errors.As(err, &refused) {
		got = refused.Status
	}
	if got != want {
		t.Errorf("resend returned %d, %v, want %d", got, err, want)
	}
}

// killAndRestart kills the instance and starts it again on its existing data.
func killAndRestart(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.Instances[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := f.RestartInstance(0); err != nil {
		t.Fatal(err)
	}
	waitForServers(t, f)
}

func TestOrdersWithoutAKeyAreRefused(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	desk := addCoatDesk(t, f, "desk", imitator.ServiceConfig{})
	waitForServers(t, f)
	var refused *caller.Error
	if _, err := sendOrder(f, "", "a"); !errors.As(err, &refused) || refused.Type != "key-required" || refused.Ran != receiver.RanNo {
		t.Errorf("got %v", err)
	}
	if len(desk.Runs()) != 0 {
		t.Error("the order ran")
	}
}

// TestEmptyLookupAnswerIsRetried checks that a look-up is retried on another service when the first returns an empty
// body.
func TestEmptyLookupAnswerIsRetried(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	addCoatDesk(t, f, "empty", imitator.ServiceConfig{ActionForCall: func(string, bool) imitator.Action { return imitator.ActionEndEarly }})
	addCoatDesk(t, f, "sound", imitator.ServiceConfig{})
	waitForServers(t, f)
	for range 10 {
		a, err := f.NewCaller(0, "volunteers").CallService(context.Background(), http.MethodGet, "/services/coat-desk/catalogue/4", "", nil)
		if err != nil || a.Text == "" {
			t.Fatalf("got %q, %v", a.Text, err)
		}
	}
}
