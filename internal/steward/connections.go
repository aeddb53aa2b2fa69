package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// controlAddressTTL is how long the dialer tries an address where no control instance answers; addresses of members and
// seeds do not expire.
const controlAddressTTL = 30 * timer.Second

// rememberAddress records that a control instance at the address was connected or mentioned just now.
func (s *Steward) rememberAddress(address string) {
	if address != s.deps.Self.Address {
		s.addressSeenAt[address] = s.deps.Telemetry.Clock.Now()
	}
}

// controlAddresses returns the addresses of the control instances that entry instances should connect to.
func (s *Steward) controlAddresses() []string {
	list := map[string]bool{s.deps.Self.Address: true}
	members := s.deps.Record.Status().Members
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		list[recorder.InstanceOf(id)] = true
	}
	for _, g := range s.connections {
		if g.Address != "" {
			list[g.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(list))
}

// maintainConnections keeps a link to every known control instance.
func (s *Steward) maintainConnections() {
	now := s.deps.Telemetry.Clock.Now()
	wanted := map[string]bool{}
	for _, a := range slices.Concat(s.seeds, s.controlAddresses()) {
		wanted[a] = true
	}
	for a, at := range s.addressSeenAt {
		if now-at > controlAddressTTL && !wanted[a] {
			delete(s.addressSeenAt, a)
			continue
		}
		wanted[a] = true
	}
	delete(wanted, s.deps.Self.Address)
	s.dialer.SetAddresses(slices.Sorted(maps.Keys(wanted)))
}
