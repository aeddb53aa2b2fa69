package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Standing says what is known of a backend server, in the order in which later knowledge replaces earlier one.
type Standing uint8

// The standings of a backend server.
const (
	StandingServing Standing = iota
	// StandingSilent says that the instance which took its announcements has not heard of it for a while.
	StandingSilent
	// StandingLeaving takes no new work and finishes what it has.
	StandingLeaving
	// StandingReplaced says that a later incarnation announced the same address.
	StandingReplaced
)

// Member is one incarnation of a backend server as instances tell each other of it.
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
	Standing    Standing     `cbor:"10,keyasint,omitempty"`
}

// Roster is what an instance knows of backend servers from announcements that may come late, twice and out of order.
// Two rosters that have merged the same announcements in any order agree.
type Roster struct {
	rows map[string]Member
	// owners gives the name that last announced each address.
	owners map[string]string
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{rows: map[string]Member{}, owners: map[string]string{}}
}

// Merge takes an announcement in; it reports whether it was news, and whether more than the sequence changed.
func (t *Roster) Merge(m Member) (news, changed bool) {
	old, known := t.rows[m.Name]
	if known && !newer(old, m) {
		return false, false
	}
	if known && old.Incarnation == m.Incarnation && old.Standing >= StandingLeaving && m.Standing < old.Standing {
		// Leaving ends only with a new incarnation.
		m.Standing = old.Standing
	}
	owner, owned := t.rows[t.owners[m.Address]]
	if owned && owner.Name != m.Name && m.Standing != StandingReplaced {
		if m.Incarnation <= owner.Incarnation {
			// A late announcement of a server whose address another one has taken since.
			m.Standing = StandingReplaced
		} else {
			owner.Standing = StandingReplaced
			t.rows[owner.Name] = owner
		}
	}
	if m.Standing != StandingReplaced {
		t.owners[m.Address] = m.Name
	}
	t.rows[m.Name] = m
	old.Sequence, old.WarmUp = m.Sequence, m.WarmUp
	return true, !known || old != m
}

func newer(old, m Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.Standing > old.Standing
}

// Row returns what is known of a backend server.
func (t *Roster) Row(name string) (Member, bool) {
	m, ok := t.rows[name]
	return m, ok
}

// Rows returns every backend server in the order of their names.
func (t *Roster) Rows() []Member {
	return slices.SortedFunc(maps.Values(t.rows), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// Forget drops a backend server.
func (t *Roster) Forget(name string) {
	row, ok := t.rows[name]
	if !ok {
		return
	}
	delete(t.rows, name)
	if t.owners[row.Address] == name {
		delete(t.owners, row.Address)
	}
}

// Usable returns the backend servers of a service that take new work, oldest incarnation first.
func (t *Roster) Usable(service string) []Member {
	var list []Member
	for _, m := range t.rows {
		if m.Service == service && m.Standing == StandingServing {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	return list
}
