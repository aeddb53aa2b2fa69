package applier

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// orderRepeatWindow is how long after an order the same one counts as sent again, because its acknowledgement was lost.
// Operators send an order again for some seconds.
const orderRepeatWindow = 10 * timer.Second

// RollOutState is the progress of a roll-out.
type RollOutState string

// The states of a roll-out.
const (
	RollOutRunning    RollOutState = "running"
	RollOutCompleted  RollOutState = "completed"
	RollOutRolledBack RollOutState = "rolled-back"
)

// RollOut is the newest roll-out of a service, with the results of the earlier ones in StableVersion and
// RolledBackVersions.
type RollOut struct {
	Service       string       `cbor:"1,keyasint"`
	TargetVersion string       `cbor:"2,keyasint"`
	State         RollOutState `cbor:"3,keyasint"`
	// StartedAt is when the leader started the roll-out, and MaxDuration is how long the roll-out may take, in
	// milliseconds.
	StartedAt   timer.Millis `cbor:"4,keyasint"`
	MaxDuration timer.Millis `cbor:"5,keyasint"`
	// StableVersion is the target of the last completed roll-out, empty before the first one.
	StableVersion string `cbor:"6,keyasint,omitempty"`
	// RolledBackVersions lists the versions that were rolled back.
	RolledBackVersions []string `cbor:"7,keyasint,omitempty"`
	// Number counts the roll-outs of the service; it is 0 if the roll-out started under an earlier build.
	Number int64 `cbor:"8,keyasint,omitempty"`
	// Orders are the accepted orders that may still be sent again, the newest last.
	Orders []RollOutOrder `cbor:"9,keyasint,omitempty"`
}

// RollOutOrder is an accepted order.
type RollOutOrder struct {
	TargetVersion string       `cbor:"1,keyasint"`
	At            timer.Millis `cbor:"2,keyasint"`
}

// IsSameAs reports whether two values are states of one roll-out.
func (r RollOut) IsSameAs(o RollOut) bool {
	return r.Service == o.Service && r.TargetVersion == o.TargetVersion && r.StartedAt == o.StartedAt
}

// Supersedes reports whether the roll-out is a later one, or a later state of the same one.
func (r RollOut) Supersedes(o RollOut) bool {
	switch {
	case r.IsSameAs(o):
		return o.State == RollOutRunning && r.State != RollOutRunning
	case r.Number > 0 && o.Number > 0:
		return r.Number > o.Number
	}
	// The clocks of the instances that took the orders may differ.
	return r.StartedAt > o.StartedAt
}

// RollOutEnd ends a running roll-out, as completed or rolled back.
type RollOutEnd struct {
	Service       string       `cbor:"1,keyasint"`
	TargetVersion string       `cbor:"2,keyasint"`
	State         RollOutState `cbor:"3,keyasint"`
	Reason        string       `cbor:"4,keyasint,omitempty"`
	// StartedAt tells the roll-out from an earlier one to the same version; 0 ends either.
	StartedAt timer.Millis `cbor:"5,keyasint,omitempty"`
}

// RollOuts returns the newest roll-out of each service, sorted by service name.
func (s *State) RollOuts() []RollOut {
	list := make([]RollOut, 0, len(s.rollOuts))
	for _, name := range slices.Sorted(maps.Keys(s.rollOuts)) {
		list = append(list, s.rollOuts[name])
	}
	return list
}

// RollOut returns the newest roll-out of a service.
func (s *State) RollOut(service string) (RollOut, bool) {
	r, ok := s.rollOuts[service]
	return r, ok
}

// startRollOut starts a roll-out. An order that was accepted before and is sent again, or one for the version that the last roll-out
// brought in force, changes nothing; another one during a running roll-out is refused. The result holds the newest roll-out.
func (s *State) startRollOut(at timer.Millis, r RollOut) (Result, error) {
	old, known := s.rollOuts[r.Service]
	orders := recentOrders(old.Orders, at)
	isInForce := known && old.TargetVersion == r.TargetVersion && old.State != RollOutRolledBack
	isRepeated := slices.ContainsFunc(orders, func(o RollOutOrder) bool { return o.TargetVersion == r.TargetVersion })
	if isInForce || isRepeated || known && old.State == RollOutRunning {
		return Result{RollOut: &old, IsOrderRefused: !isInForce && !isRepeated}, nil
	}
	r.State = RollOutRunning
	r.StartedAt = at
	r.Number = old.Number + 1
	r.Orders = append(orders, RollOutOrder{TargetVersion: r.TargetVersion, At: at})
	r.StableVersion = old.StableVersion
	r.RolledBackVersions = slices.DeleteFunc(slices.Clone(old.RolledBackVersions), func(v string) bool { return v == r.TargetVersion })
	s.rollOuts[r.Service] = r
	_, err := s.trail.Append(auditor.Entry{At: at, Kind: auditor.KindRollOut, Effects: []string{r.Service + " to " + r.TargetVersion}})
	return Result{RollOut: &r}, err
}

// recentOrders returns the orders that may still be sent again. The times come from the clocks of several instances.
func recentOrders(orders []RollOutOrder, at timer.Millis) []RollOutOrder {
	return slices.DeleteFunc(slices.Clone(orders), func(o RollOutOrder) bool {
		return at-o.At > orderRepeatWindow || o.At-at > orderRepeatWindow
	})
}

// settleRollOut ends a running roll-out; the first committed end wins.
func (s *State) settleRollOut(at timer.Millis, end RollOutEnd) (Result, error) {
	r, known := s.rollOuts[end.Service]
	if !known || r.TargetVersion != end.TargetVersion || r.State != RollOutRunning || end.StartedAt > 0 && end.StartedAt != r.StartedAt {
		return Result{}, nil
	}
	r.State = end.State
	if end.State == RollOutCompleted {
		r.StableVersion = r.TargetVersion
	} else {
		r.RolledBackVersions = append(slices.Clone(r.RolledBackVersions), r.TargetVersion)
	}
	s.rollOuts[end.Service] = r
	_, err := s.trail.Append(auditor.Entry{At: at, Kind: auditor.KindRollOut, Effects: []string{end.Service + " " + string(end.State) + ": " + end.Reason}})
	return Result{}, err
}
