package biller

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
)

func TestOneBillForEachKey(t *testing.T) {
	var commits atomic.Int64
	b := NewBiller(func([]byte) error { commits.Add(1); return nil })
	var firsts atomic.Int64
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			first, err := b.Add(Bill{Workspace: "w", Key: "k", Price: 2})
			if err != nil {
				t.Error(err)
			}
			if first {
				firsts.Add(1)
			}
		})
	}
	wg.Wait()
	if firsts.Load() != 1 || commits.Load() != 1 || len(b.Bills()) != 1 {
		t.Errorf("got %d first bills, %d commits, %d bills", firsts.Load(), commits.Load(), len(b.Bills()))
	}
}

func TestAFailedBillMayBeWrittenAgain(t *testing.T) {
	errDiskFull := errors.New("disk full")
	b := NewBiller(func([]byte) error { return errDiskFull })
	if _, err := b.Add(Bill{Workspace: "w", Key: "k"}); !errors.Is(err, errDiskFull) || len(b.Bills()) != 0 {
		t.Fatalf("got %v and %d bills", err, len(b.Bills()))
	}
	b.SetPersist(func([]byte) error { return nil })
	if first, err := b.Add(Bill{Workspace: "w", Key: "k"}); err != nil || !first {
		t.Fatalf("got %t, %v", first, err)
	}
}

func TestBillsOutlastARestart(t *testing.T) {
	var journal [][]byte
	b := NewBiller(func(p []byte) error { journal = append(journal, p); return nil })
	for _, key := range []string{"1", "2"} {
		if _, err := b.Add(Bill{Workspace: "w", Key: key, Digest: "d" + key, Price: 3}); err != nil {
			t.Fatal(err)
		}
	}
	restarted := NewBiller(nil)
	for _, p := range journal {
		if err := restarted.Replay(p); err != nil {
			t.Fatal(err)
		}
	}
	if first, err := restarted.Add(Bill{Workspace: "w", Key: "1"}); first || err != nil {
		t.Errorf("billed again: first %t, error %v", first, err)
	}
	if digest, ok := restarted.Digest("w", "2"); !ok || digest != "d2" {
		t.Errorf("digest %q", digest)
	}
}

func TestTotalsCountEachKeyOnceAndFindConflicts(t *testing.T) {
	tests := map[string]struct {
		bills     []Bill
		price     float64
		conflicts int
	}{
		"copies of one bill":       {[]Bill{{Workspace: "a", Key: "1", RequestID: "x", Price: 2}, {Workspace: "a", Key: "1", RequestID: "x", Price: 2}}, 2, 0},
		"merged after a partition": {[]Bill{{Workspace: "a", Key: "1", RequestID: "x", Price: 2}, {Workspace: "a", Key: "1", RequestID: "y", Price: 2}}, 2, 0},
		"different requests":       {[]Bill{{Workspace: "a", Key: "1", Digest: "p", Price: 2}, {Workspace: "a", Key: "1", Digest: "q", Price: 3}}, 2, 1},
		"same key, two customers":  {[]Bill{{Workspace: "a", Key: "1", Price: 2}, {Workspace: "b", Key: "1", Price: 3}}, 5, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			totals, conflicts := Totals(tt.bills)
			price := 0.0
			for _, total := range totals {
				price += total.Price
			}
			if price != tt.price || conflicts != tt.conflicts {
				t.Errorf("price %.1f, %d conflicts, want %.1f, %d", price, conflicts, tt.price, tt.conflicts)
			}
		})
	}
}
