package recorder

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func openRecord(tb testing.TB, disk Disk) *Record {
	tb.Helper()
	r, err := NewRecord(Deps{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), Instance: "i", Disk: disk, Send: func(replicator.Message) {}, OnChange: func(*applier.State) {},
	})
	if err != nil {
		tb.Fatal(err)
	}
	r.Start()
	return r
}

// proposeChanges bootstraps a record and proposes n changes of the example document, one after the other.
func proposeChanges(tb testing.TB, r *Record, n int) {
	tb.Helper()
	text, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := r.Bootstrap(ctx); err != nil {
		tb.Fatal(err)
	}
	for k := range n {
		c := changer.Change{
			ID: fmt.Sprint("c", k), Environment: "production", BaseRevision: int64(k), Author: "bench",
			Text: strings.Replace(string(text), "quality-target = 80%", fmt.Sprintf("quality-target = %d%%", 40+k%50), 1),
		}
		result, err := proposeWithRetry(ctx, r, applier.Command{Change: &c})
		if err != nil || result.Accepted == nil {
			tb.Fatalf("change %d: %+v, %v", k, result, err)
		}
	}
}

// proposeWithRetry retries until the member has been elected after a start.
func proposeWithRetry(ctx context.Context, r *Record, c applier.Command) (applier.Result, error) {
	for {
		result, err := r.Propose(ctx, c)
		if err == nil || ctx.Err() != nil {
			return result, err
		}
		time.Sleep(time.Millisecond)
	}
}

func TestRecordRestartsAfterAThousandChanges(t *testing.T) {
	m := NewMemoryDisk()
	r := openRecord(t, m.Disk())
	proposeChanges(t, r, 1000)
	id := r.ID()
	if err := r.Stop(); err != nil {
		t.Fatal(err)
	}
	r = openRecord(t, m.Disk())
	if r.ID() != id {
		t.Errorf("the identity changed from %s to %s", id, r.ID())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := proposeWithRetry(ctx, r, applier.Command{ExpireClaims: &applier.ClaimExpiry{}}); err != nil {
		t.Fatal(err)
	}
	err := r.ReadLocal(ctx, func(s *applier.State) {
		if got := s.Environment("production").Revision(); got != 1000 {
			t.Errorf("revision %d after the restart", got)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Stop(); err != nil {
		t.Fatal(err)
	}
}

func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			disk, err := NewDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			r := openRecord(b, disk)
			proposeChanges(b, r, n)
			if err := r.Stop(); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for b.Loop() {
				r := openRecord(b, disk)
				if _, err := proposeWithRetry(context.Background(), r, applier.Command{ExpireClaims: &applier.ClaimExpiry{}}); err != nil {
					b.Fatal(err)
				}
				if err := r.Stop(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
