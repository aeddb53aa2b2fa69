package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// With many control instances an entry instance must not hear of each server from each of them.
func TestRelayedEntries(t *testing.T) {
	entry := func(dataCentre string) messenger.Greeting { return messenger.Greeting{DataCentre: dataCentre} }
	control := func(dataCentre string) messenger.Greeting {
		return messenger.Greeting{DataCentre: dataCentre, Address: "address in " + dataCentre}
	}
	tests := map[string]struct {
		peers []messenger.Greeting
		want  []string
	}{
		"every data centre has a control instance":     {[]messenger.Greeting{entry("a"), entry("a"), entry("b"), control("b")}, []string{"a", "a"}},
		"a data centre has none":                       {[]messenger.Greeting{entry("a"), entry("b"), entry("c"), control("b")}, []string{"a", "c"}},
		"the only control instance that is in contact": {[]messenger.Greeting{entry("a"), entry("b")}, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Steward{connections: map[*messenger.Link]messenger.Greeting{}}
			s.deps.Self.DataCentre = "a"
			for _, g := range tt.peers {
				s.connections[&messenger.Link{}] = g
			}
			var got []string
			for _, conn := range s.relayedEntries() {
				got = append(got, s.connections[conn].DataCentre)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Fatalf("passed on to entry instances in %v, want %v", got, tt.want)
			}
		})
	}
}
