package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// maxWithdrawals bounds the withdrawals of servers that are not known; those of the earliest incarnations are dropped first.
const maxWithdrawals = 1024

// Withdrawal states that an incarnation of a backend server, and all earlier ones, accept no new requests.
type Withdrawal struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is 0 for the newest one that the receiver knows.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
}

// Check returns the first reason why the withdrawal names no backend server.
func (w Withdrawal) Check() error {
	if !isPlainText(w.Name) {
		return trace.BadParameter("the name %q is not 1 to %d printable characters", w.Name, maxNameChars)
	}
	if w.Incarnation < 0 || w.Incarnation > maxIncarnation {
		return trace.BadParameter("the incarnation %d is not between 0 and %d", w.Incarnation, maxIncarnation)
	}
	return nil
}

// Withdraw marks the server as leaving, or remembers the withdrawal if a later announcement may still bring that incarnation. It
// reports whether the row of the server changed.
func (r *Roster) Withdraw(w Withdrawal) (changed bool) {
	row, known := r.members[w.Name]
	if w.Incarnation > 0 && (!known || row.Incarnation < w.Incarnation) {
		if w.Incarnation > r.withdrawals[w.Name].Incarnation {
			r.withdrawals[w.Name] = w
			r.dropWithdrawals()
		}
	}
	if !known || row.State >= MemberStateLeaving || w.Incarnation > 0 && row.Incarnation > w.Incarnation {
		return false
	}
	row.State = MemberStateLeaving
	// No announcement of this incarnation counts any more. Instances of earlier versions compare sequences only.
	row.Sequence = maxSequence
	r.members[w.Name] = row
	return true
}

// applyWithdrawal marks a server as leaving that was withdrawn before its announcement arrived here.
func (r *Roster) applyWithdrawal(m Member) Member {
	w, ok := r.withdrawals[m.Name]
	if !ok {
		return m
	}
	if m.Incarnation >= w.Incarnation {
		delete(r.withdrawals, m.Name)
	}
	if m.Incarnation <= w.Incarnation {
		m.State = max(m.State, MemberStateLeaving)
	}
	return m
}

// Withdrawals returns the withdrawals of servers whose withdrawn incarnation is not known, sorted by name.
func (r *Roster) Withdrawals() []Withdrawal {
	return slices.SortedFunc(maps.Values(r.withdrawals), func(a, b Withdrawal) int { return strings.Compare(a.Name, b.Name) })
}

func (r *Roster) dropWithdrawals() {
	for len(r.withdrawals) > maxWithdrawals {
		earliest := slices.MinFunc(slices.Collect(maps.Values(r.withdrawals)), func(a, b Withdrawal) int {
			return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
		})
		delete(r.withdrawals, earliest.Name)
	}
}
