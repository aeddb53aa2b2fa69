package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// MemberState is the state of a backend server as the instances replicate it. At the same incarnation and sequence, the
// higher value wins.
type MemberState uint8

// The standings of a backend server, from the lowest to the highest precedence.
const (
	MemberStateServing MemberState = iota
	// MemberStateSilent means that the instance that receives its announcements has had none for a while.
	MemberStateSilent
	// MemberStateLeaving means that it finishes its requests and accepts no new ones.
	MemberStateLeaving
	// MemberStateReplaced means that another server with a later incarnation announced the same address.
	MemberStateReplaced
)

// Member is one incarnation of a backend server in the form that instances send to each other.
type Member struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation int64        `cbor:"2,keyasint"`
	Sequence    int64        `cbor:"3,keyasint"`
	Address     string       `cbor:"4,keyasint"`
	DataCentre  string       `cbor:"5,keyasint"`
	Service     string       `cbor:"6,keyasint"`
	Version     string       `cbor:"7,keyasint,omitempty"`
	Slots       int          `cbor:"8,keyasint"`
	WarmUp      timer.Millis `cbor:"9,keyasint,omitempty"`
	State       MemberState  `cbor:"10,keyasint,omitempty"`
}

// Roster is the set of backend servers that an instance has learned about. Announcements may arrive late, twice and out
// of order; two rosters that have merged the same announcements in any order are equal.
type Roster struct {
	members map[string]Member
	// ownerByAddress maps each address to the name of the server that announced it last.
	ownerByAddress map[string]string
	// withdrawals are those of servers whose withdrawn incarnation is not known yet, by name.
	withdrawals map[string]Withdrawal
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{members: map[string]Member{}, ownerByAddress: map[string]string{}, withdrawals: map[string]Withdrawal{}}
}

// Merge adds an announcement. It reports whether it accepted the announcement, because the server is new or the
// announcement is newer than the last one, and whether anything but the sequence and the warm-up time changed.
func (r *Roster) Merge(m Member) (accepted, changed bool) {
	old, known := r.members[m.Name]
	if known && old.Incarnation == m.Incarnation {
		m = keepLeaving(old, m)
	}
	m = r.applyWithdrawal(m)
	if known && !isSupersededBy(old, m) {
		return false, false
	}
	if known {
		r.leaveAddress(old, m)
	}
	m = r.takeAddress(m)
	r.members[m.Name] = m
	old.Sequence, old.WarmUp = m.Sequence, m.WarmUp
	return true, !known || old != m
}

// keepLeaving keeps the state leaving of either of two rows of one incarnation: such a server can return only with a new incarnation.
// Sequences do not decide, since an instance may mark a server as leaving that knows an early announcement only.
func keepLeaving(old, m Member) Member {
	if m.Sequence >= old.Sequence {
		if old.State >= MemberStateLeaving {
			m.State = max(m.State, old.State)
		}
		return m
	}
	if m.State == MemberStateLeaving && old.State < MemberStateLeaving {
		old.State = MemberStateLeaving
		return old
	}
	return m
}

// leaveAddress gives up the address that a server had before it moved, so that a later owner of it does not replace the
// server.
func (r *Roster) leaveAddress(old, m Member) {
	if old.Address != m.Address && r.ownerByAddress[old.Address] == m.Name {
		delete(r.ownerByAddress, old.Address)
	}
}

// takeAddress makes a server the owner of its address and returns it. Of two servers at one address, the one with the
// earlier incarnation is marked as replaced.
func (r *Roster) takeAddress(m Member) Member {
	owner, hasOwner := r.members[r.ownerByAddress[m.Address]]
	if hasOwner && owner.Name != m.Name && m.State != MemberStateReplaced {
		if m.Incarnation <= owner.Incarnation {
			// The announcement is late: another server has announced this address since.
			m.State = MemberStateReplaced
		} else {
			owner.State = MemberStateReplaced
			r.members[owner.Name] = owner
		}
	}
	if m.State != MemberStateReplaced {
		r.ownerByAddress[m.Address] = m.Name
	}
	return m
}

func isSupersededBy(old, m Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.State > old.State
}

// Member returns the member with the given name.
func (r *Roster) Member(name string) (Member, bool) {
	m, ok := r.members[name]
	return m, ok
}

// Members returns all members, sorted by name.
func (r *Roster) Members() []Member {
	return slices.SortedFunc(maps.Values(r.members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// Remove removes the member with the given name, if there is one.
func (r *Roster) Remove(name string) {
	m, ok := r.members[name]
	if !ok {
		return
	}
	delete(r.members, name)
	if r.ownerByAddress[m.Address] == name {
		delete(r.ownerByAddress, m.Address)
	}
}

// Usable returns the members of a service that accept new work, oldest incarnation first.
func (r *Roster) Usable(service string) []Member {
	var list []Member
	for _, m := range r.members {
		if m.Service == service && m.State == MemberStateServing {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	return list
}
