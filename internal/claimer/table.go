package claimer

import (
	"cmp"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Table is the replicated set of claims; the same commands in the same order produce the same state on every member.
type Table struct {
	claims map[claimKey]Claim
}

type claimKey struct {
	workspace string
	key       string
}

// NewTable returns a table with the given claims.
func NewTable(claims []Claim) *Table {
	t := &Table{claims: map[claimKey]Claim{}}
	for _, c := range claims {
		t.claims[claimKey{c.Workspace, c.Key}] = c
	}
	return t
}

// Acquire stores a new claim, or returns the existing claim of the key unchanged, also when the same request asks
// again. A new claim replaces one that did not run only if it has the same digest and another request id.
func (t *Table) Acquire(c Claim) Claim {
	k := claimKey{c.Workspace, c.Key}
	existing, ok := t.claims[k]
	if ok && (existing.State != StateDidNotRun || existing.Digest != c.Digest || existing.RequestID == c.RequestID) {
		return existing
	}
	c.State = StateClaimed
	t.claims[k] = c
	return c
}

// Settle moves a claim to its final or unknown state and returns the current claim. A done claim and a claim of another
// request stay unchanged.
func (t *Table) Settle(finished Claim) Claim {
	k := claimKey{finished.Workspace, finished.Key}
	existing, ok := t.claims[k]
	if !ok && finished.State == StateDidNotRun {
		// The command that takes the claim may arrive later; it must find the claim already released.
		t.claims[k] = finished
		return finished
	}
	if !ok || existing.RequestID != finished.RequestID || existing.State == StateDone {
		return existing
	}
	t.claims[k] = finished
	return finished
}

// MarkUnknown marks every running claim of the owner's earlier incarnations as unknown.
func (t *Table) MarkUnknown(owner string, incarnation int64) {
	t.update(func(c Claim) Claim {
		if c.State == StateClaimed && c.Owner == owner && c.Incarnation < incarnation {
			return c.WithState(StateUnknown)
		}
		return c
	})
}

// Expire marks claims as unknown that are running and were made before runningSince, and deletes done and not-run
// claims that were made before settledSince.
func (t *Table) Expire(runningSince, settledSince timer.Millis) {
	t.update(func(c Claim) Claim {
		if c.State == StateClaimed && c.At < runningSince {
			return c.WithState(StateUnknown)
		}
		return c
	})
	for k, c := range t.claims {
		isSettled := c.State == StateDone || c.State == StateDidNotRun
		if isSettled && c.At < settledSince {
			delete(t.claims, k)
		}
	}
}

func (t *Table) update(change func(Claim) Claim) {
	for k, c := range t.claims {
		t.claims[k] = change(c)
	}
}

// Claims returns all claims, sorted by workspace and key.
func (t *Table) Claims() []Claim {
	list := make([]Claim, 0, len(t.claims))
	for _, c := range t.claims {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// InDoubt returns the claims with an unknown outcome, oldest first.
func (t *Table) InDoubt() []Claim {
	var list []Claim
	for _, c := range t.Claims() {
		if c.State == StateUnknown {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b Claim) int { return cmp.Compare(a.At, b.At) })
	return list
}
