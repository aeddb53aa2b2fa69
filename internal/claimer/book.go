package claimer

import (
	"cmp"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Book is the replicated set of claims; the same commands in the same order produce the same state on every member.
type Book struct {
	claims map[claimKey]Claim
}

type claimKey struct {
	workspace string
	key       string
}

// NewBook returns a book with the given claims.
func NewBook(claims []Claim) *Book {
	b := &Book{claims: map[claimKey]Claim{}}
	for _, c := range claims {
		b.claims[claimKey{c.Workspace, c.Key}] = c
	}
	return b
}

// Take stores a new claim, or returns the existing claim of the key unchanged, also when the same request asks again.
// A new claim replaces one that did not run only if it has the same digest and another request id.
func (b *Book) Take(c Claim) Claim {
	k := claimKey{c.Workspace, c.Key}
	existing, ok := b.claims[k]
	if ok && (existing.State != StateDidNotRun || existing.Digest != c.Digest || existing.RequestID == c.RequestID) {
		return existing
	}
	c.State = StateClaimed
	b.claims[k] = c
	return c
}

// Finish moves a claim to its final or unknown state and returns the current claim. A done claim and a claim of another
// request stay unchanged.
func (b *Book) Finish(finished Claim) Claim {
	k := claimKey{finished.Workspace, finished.Key}
	existing, ok := b.claims[k]
	if !ok && finished.State == StateDidNotRun {
		// The command that takes the claim may arrive later; it must find the claim already released.
		b.claims[k] = finished
		return finished
	}
	if !ok || existing.RequestID != finished.RequestID || existing.State == StateDone {
		return existing
	}
	b.claims[k] = finished
	return finished
}

// Doubt marks every running claim of the owner's earlier incarnations as unknown.
func (b *Book) Doubt(owner string, incarnation int64) {
	b.update(func(c Claim) Claim {
		if c.State == StateClaimed && c.Owner == owner && c.Incarnation < incarnation {
			return c.WithState(StateUnknown)
		}
		return c
	})
}

// Age marks claims as unknown that are running and were made before runningSince, and deletes done and not-run claims
// that were made before settledSince.
func (b *Book) Age(runningSince, settledSince timer.Millis) {
	b.update(func(c Claim) Claim {
		if c.State == StateClaimed && c.At < runningSince {
			return c.WithState(StateUnknown)
		}
		return c
	})
	for k, c := range b.claims {
		isSettled := c.State == StateDone || c.State == StateDidNotRun
		if isSettled && c.At < settledSince {
			delete(b.claims, k)
		}
	}
}

func (b *Book) update(change func(Claim) Claim) {
	for k, c := range b.claims {
		b.claims[k] = change(c)
	}
}

// Claims returns all claims, sorted by workspace and key.
func (b *Book) Claims() []Claim {
	list := make([]Claim, 0, len(b.claims))
	for _, c := range b.claims {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// InDoubt returns the claims with an unknown outcome, oldest first.
func (b *Book) InDoubt() []Claim {
	var list []Claim
	for _, c := range b.Claims() {
		if c.State == StateUnknown {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b Claim) int { return cmp.Compare(a.At, b.At) })
	return list
}
