package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// forgetControl is how long an address is tried at which no control instance answers, unless it is a member or a seed.
const forgetControl = 30 * timer.Second

// meet notes the address of a control instance.
func (s *Steward) meet(address string) {
	if address != s.deps.Self.Address {
		s.known[address] = s.deps.Common.Clock.Now()
	}
}

// control returns the addresses of the control instances that entry instances should hold lines to.
func (s *Steward) control() []string {
	list := map[string]bool{s.deps.Self.Address: true}
	members := s.deps.Record.Status().Members
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		list[recorder.InstanceOf(id)] = true
	}
	for _, g := range s.lines {
		if g.Address != "" {
			list[g.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(list))
}

// keepLines holds a line to every control instance that is known.
func (s *Steward) keepLines() {
	now := s.deps.Common.Clock.Now()
	wanted := map[string]bool{}
	for _, a := range slices.Concat(s.seeds, s.control()) {
		wanted[a] = true
	}
	for a, at := range s.known {
		if now-at > forgetControl && !wanted[a] {
			delete(s.known, a)
			continue
		}
		wanted[a] = true
	}
	delete(wanted, s.deps.Self.Address)
	s.dialer.Keep(slices.Sorted(maps.Keys(wanted)))
}
