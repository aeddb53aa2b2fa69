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

// trio is three records that hand messages to each other in memory.
type trio struct {
	mu      sync.Mutex
	records map[string]*Record
}

func (tr *trio) send(m replicator.Message) {
	tr.mu.Lock()
	r := tr.records[InstanceOf(m.To)]
	tr.mu.Unlock()
	if r != nil && r.ID() == m.To {
		r.Step(m)
	}
}

func (tr *trio) start(t *testing.T, name string, disk Disk, founders []string) *Record {
	t.Helper()
	r, err := NewRecord(Deps{
		Common: observer.NewQuiet(timer.NewClock()), Instance: name, Disk: disk, Founders: founders, Leaseless: true,
		Send: tr.send, Changed: func(*applier.State) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	tr.mu.Lock()
	tr.records[name] = r
	tr.mu.Unlock()
	r.Start()
	return r
}

func (tr *trio) leader(t *testing.T) *Record {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		tr.mu.Lock()
		for _, r := range tr.records {
			if r.Status().Role == replicator.RoleLeader {
				tr.mu.Unlock()
				return r
			}
		}
		tr.mu.Unlock()
	}
	t.Fatal("nobody leads")
	return nil
}

func TestFoundersFormOneRecordAndReadsAreConfirmed(t *testing.T) {
	names := []string{"a", "b", "c"}
	tr := &trio{records: map[string]*Record{}}
	for _, name := range names {
		r := tr.start(t, name, NewMemoryDisk().Disk(), names)
		t.Cleanup(func() { _ = r.Stop() })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	leader := tr.leader(t)
	p, err := applier.NewPolicy(5, []byte(`{"version":5}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := leader.Propose(ctx, applier.Command{Publish: &p}); err != nil {
		t.Fatal(err)
	}
	var read applier.Policy
	if err := leader.ReadConfirmed(ctx, func(s *applier.State) { read = s.Policy() }); err != nil || read.Version != 5 {
		t.Fatalf("read version %d, %v", read.Version, err)
	}
	for _, r := range tr.records {
		if r != leader {
			if err := r.ReadConfirmed(ctx, func(*applier.State) {}); err == nil {
				t.Fatal("a follower confirmed a read")
			}
		}
	}
}

func TestAWipedDiskNeverGetsTheFoundersIdentityAgain(t *testing.T) {
	tr := &trio{records: map[string]*Record{}}
	r := tr.start(t, "a", NewMemoryDisk().Disk(), nil)
	defer func() { _ = r.Stop() }()
	if r.ID() == "a#"+founder {
		t.Fatal("an empty disk after the first start has the identity of a founder")
	}
	if len(r.Status().Members.Voters) != 0 {
		t.Fatal("it takes itself for a voter")
	}
}

func TestFoundersMustNameTheMember(t *testing.T) {
	_, err := NewRecord(Deps{Common: observer.NewQuiet(timer.NewClock()), Instance: "x", Disk: NewMemoryDisk().Disk(), Founders: []string{"a"}})
	if err == nil {
		t.Fatal("a stranger founded a record")
	}
}
