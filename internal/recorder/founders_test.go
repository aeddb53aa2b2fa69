package recorder

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// recordGroup is a group of records that exchange messages in memory.
type recordGroup struct {
	mu      sync.Mutex
	records map[string]*Record
}

func (g *recordGroup) send(m replicator.Message) {
	g.mu.Lock()
	r := g.records[InstanceOf(m.To)]
	g.mu.Unlock()
	if r != nil && r.ID() == m.To {
		r.Step(m)
	}
}

func (g *recordGroup) startRecord(t *testing.T, name string, disk Disk, founders []string) *Record {
	t.Helper()
	r, err := NewRecord(Deps{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()), Instance: name, Disk: disk, Founders: founders, WithoutLeases: true,
		Send: g.send, OnChange: func(*applier.State) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	g.records[name] = r
	g.mu.Unlock()
	r.Start()
	return r
}

func (g *recordGroup) waitForLeader(t *testing.T) *Record {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		for _, r := range g.records {
			if r.Status().Role == replicator.RoleLeader {
				g.mu.Unlock()
				return r
			}
		}
		g.mu.Unlock()
	}
	t.Fatal("no leader after 10 s")
	return nil
}

func TestFoundersFormOneRecordAndReadsAreConfirmed(t *testing.T) {
	names := []string{"a", "b", "c"}
	group := &recordGroup{records: map[string]*Record{}}
	for _, name := range names {
		r := group.startRecord(t, name, NewMemoryDisk().Disk(), names)
		t.Cleanup(func() { _ = r.Stop() })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	leader := group.waitForLeader(t)
	p, err := applier.NewPolicy(5, []byte(`{"version":5}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := leader.Propose(ctx, applier.Command{PublishPolicy: &p}); err != nil {
		t.Fatal(err)
	}
	var read applier.Policy
	if err := leader.ReadConfirmed(ctx, func(s *applier.State) { read = s.Policy() }); err != nil || read.Version != 5 {
		t.Fatalf("read version %d, %v", read.Version, err)
	}
	for _, r := range group.records {
		if r != leader {
			if err := r.ReadConfirmed(ctx, func(*applier.State) {}); err == nil {
				t.Fatal("a follower confirmed a read")
			}
		}
	}
}

func TestAWipedDiskNeverGetsTheFoundersIdentityAgain(t *testing.T) {
	group := &recordGroup{records: map[string]*Record{}}
	r := group.startRecord(t, "a", NewMemoryDisk().Disk(), nil)
	defer func() { _ = r.Stop() }()
	if r.ID() == "a#"+founderIdentity {
		t.Fatal("a member without founders has the identity of a founder")
	}
	if len(r.Status().Members.Voters) != 0 {
		t.Fatal("a member without a record has voters")
	}
}

func TestFoundersMustIncludeTheMember(t *testing.T) {
	_, err := NewRecord(Deps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), Instance: "x", Disk: NewMemoryDisk().Disk(), Founders: []string{"a"}})
	if err == nil {
		t.Fatal("an instance that is not among the founders founded a record")
	}
}
