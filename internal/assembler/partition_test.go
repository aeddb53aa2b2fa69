package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func sendOrderTo(f *Fleet, instance int, key, body string) (caller.Answer, error) {
	return f.NewCaller(instance, "adoption-app").CallService(context.Background(), http.MethodPost, "/services/coat-desk/orders", key, []byte(body))
}

func countRunsByKey(desks ...*imitator.Service) map[string]int {
	runs := map[string]int{}
	for _, d := range desks {
		for _, r := range d.Runs() {
			runs[r.IdempotencyKey]++
		}
	}
	return runs
}

func TestOrdersRunOnceWhileAServiceDrains(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	leaving := addCoatDesk(t, f, "leaver", imitator.ServiceConfig{Delay: 10 * timer.Millisecond})
	remaining := addCoatDesk(t, f, "stayer", imitator.ServiceConfig{Delay: 10 * timer.Millisecond})
	waitForServers(t, f)
	const orders = 120
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			for k := n; k < orders; k += 6 {
				if _, err := sendOrderTo(f, 0, fmt.Sprint("key-", k), "a"); err != nil {
					t.Errorf("order %d: %v", k, err)
				}
			}
		})
	}
	if err := f.WaitFor("the first orders", func() bool { return len(leaving.Runs()) > 3 }); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := leaving.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	runs := countRunsByKey(leaving, remaining)
	for k := range orders {
		if n := runs[fmt.Sprint("key-", k)]; n != 1 {
			t.Errorf("order %d ran %d times", k, n)
		}
	}
}

func TestOrderThatCrashesServicesCrashesTwoAtMost(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	var desks []*imitator.Service
	for n := range 5 {
		desks = append(desks, addCoatDesk(t, f, fmt.Sprint("desk-", n), imitator.ServiceConfig{CrashOn: "poison"}))
	}
	waitForServers(t, f)
	want := []string{"backend-server-failed", "backend-server-failed", "quarantined", "quarantined"}
	for n, kind := range want {
		_, err := sendOrderTo(f, 0, fmt.Sprint("key-", n), "poison")
		var refused *caller.Error
		if !errors.As(err, &refused) || refused.Type != kind {
			t.Errorf("order %d: %v, want %s", n, err, kind)
		}
	}
	crashed := 0
	for _, d := range desks {
		if d.Crashed() {
			crashed++
		}
	}
	if crashed != 2 {
		t.Errorf("%d services crashed, want 2", crashed)
	}
}

func TestOrdersRunAtMostOnceDuringOneWayPartition(t *testing.T) {
	tests := map[string]func(name string) func(from, to string) bool{
		"incoming cut": func(name string) func(string, string) bool { return func(_, b string) bool { return b == name } },
		"outgoing cut": func(name string) func(string, string) bool { return func(a, _ string) bool { return a == name } },
	}
	for name, newCut := range tests {
		t.Run(name, func(t *testing.T) {
			f, c := newThreeDataCentreFleet(t)
			desk := addCoatDesk(t, f, "desk", imitator.ServiceConfig{})
			waitForServers(t, f)
			isolated := (f.LeaderIndex(context.Background()) + 1) % 3
			c.set(newCut(f.InstanceName(isolated)))
			_, err := sendOrderTo(f, isolated, "k", "a")
			var refused *caller.Error
			if !errors.As(err, &refused) || refused.Ran != receiver.RanNo || len(desk.Runs()) != 0 {
				t.Errorf("at the isolated instance: %v, %d runs", err, len(desk.Runs()))
			}
			if _, err := sendOrderTo(f, (isolated+1)%3, "k", "a"); err != nil {
				t.Errorf("resent to a reachable instance: %v", err)
			}
			c.set(nil)
			waitForMode(t, f, isolated, indexer.ModeConnected)
			a, err := sendOrderTo(f, isolated, "k", "a")
			if err != nil || a.ReplayedRequestID == "" || len(desk.Runs()) != 1 {
				t.Errorf("resent after healing: %v, replayed %q, %d runs", err, a.ReplayedRequestID, len(desk.Runs()))
			}
		})
	}
}

// TestBillsOfIsolatedInstanceAreReplicatedAfterHealing checks that bills written by an isolated instance, also before
// it has detected the partition, are stored on two instances after the partition heals.
func TestBillsOfIsolatedInstanceAreReplicatedAfterHealing(t *testing.T) {
	f, c := newThreeDataCentreFleet(t)
	addEngine(t, f, "e", imitator.EngineConfig{})
	waitForServers(t, f)
	isolated := (f.LeaderIndex(context.Background()) + 1) % 3
	c.isolate(f.InstanceName(isolated))
	answered := map[string]bool{}
	for n := range 5 {
		a, err := f.NewCaller(isolated, "fit-questions").Chat(context.Background(), caller.Prompt{Model: "fitting-model", Text: fmt.Sprint("x", n), Stream: true})
		if err != nil || !a.Billed {
			t.Errorf("request %d during the partition: billed %t, %v", n, a.Billed, err)
		}
		answered[a.RequestID] = true
	}
	c.set(nil)
	err := f.WaitFor("a second copy of each bill", func() bool {
		copies := map[string]int{}
		for n := range f.Instances {
			bills, err := f.NewOperatorClient(n).Bills(context.Background())
			if err != nil {
				return false
			}
			for _, b := range bills {
				copies[b.RequestID]++
			}
		}
		for id := range answered {
			if copies[id] < 2 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Error(err)
	}
}
