package messenger

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func newTestMesh(handle func(Envelope)) *Mesh {
	return NewMesh(Deps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), Self: Peer{Name: "self"}, Handle: handle, OnConnect: func(string) {}})
}

func TestReceiveAcceptsNeighbouringVersionsOnly(t *testing.T) {
	tests := map[string]struct {
		version int
		want    bool
	}{
		"this version": {ProtocolVersion, true}, "one newer": {ProtocolVersion + 1, true}, "one older": {ProtocolVersion - 1, true},
		"two newer": {ProtocolVersion + 2, false}, "two older": {ProtocolVersion - 2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			handled := false
			m := newTestMesh(func(Envelope) { handled = true })
			raw, err := encode(Envelope{Version: tt.version, From: "x", Heartbeat: &Heartbeat{}})
			if err != nil {
				t.Fatal(err)
			}
			if got := m.receive(raw); got != tt.want || handled != tt.want {
				t.Errorf("receive returned %t, handled is %t, want %t for both", got, handled, tt.want)
			}
		})
	}
}

func FuzzReceive(f *testing.F) {
	for _, e := range []Envelope{
		{Version: 1, From: "a", Heartbeat: &Heartbeat{Revisions: map[string]int64{"p": 1}}},
		{Version: 1, From: "a", Raft: &replicator.Message{Kind: replicator.MessageAppend, Entries: []replicator.Entry{{Index: 1}}}},
		{Version: 1, From: "a", CallID: 3, ProposalReply: &ProposalReply{Error: "x"}},
	} {
		raw, err := encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := newTestMesh(func(e Envelope) {
			if _, err := encode(e); err != nil {
				t.Fatalf("a decoded message cannot be encoded: %v", err)
			}
		})
		m.receive(raw)
	})
}
