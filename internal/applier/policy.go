package applier

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Policy is a document that an operator sent, with its text compressed; the highest version is in force.
type Policy struct {
	Version int64  `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint"`
}

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
}

// RollOutEnd ends a running roll-out, as completed or rolled back.
type RollOutEnd struct {
	Service       string       `cbor:"1,keyasint"`
	TargetVersion string       `cbor:"2,keyasint"`
	State         RollOutState `cbor:"3,keyasint"`
	Reason        string       `cbor:"4,keyasint,omitempty"`
}

// Policy returns the policy in force; its version is 0 before the first one is published.
func (s *State) Policy() Policy {
	return s.policy
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

// publishPolicy puts the policy in force if its version is higher. A policy with the same or a lower version is
// acknowledged but changes nothing.
func (s *State) publishPolicy(at timer.Millis, p Policy) (Result, error) {
	if p.Version <= s.policy.Version && len(s.policy.Text) > 0 {
		return Result{Version: s.policy.Version}, nil
	}
	e := auditor.Entry{At: at, Kind: auditor.KindPublished, FromRevision: s.policy.Version, ToRevision: p.Version}
	s.policy = p
	_, err := s.trail.Append(e)
	return Result{Version: p.Version}, err
}

// startRollOut starts a roll-out. An order for the target of the newest roll-out, or during a running one, changes
// nothing.
func (s *State) startRollOut(at timer.Millis, r RollOut) (Result, error) {
	old, known := s.rollOuts[r.Service]
	if known && (old.TargetVersion == r.TargetVersion || old.State == RollOutRunning) {
		return Result{}, nil
	}
	r.State = RollOutRunning
	r.StartedAt = at
	r.StableVersion, r.RolledBackVersions = old.StableVersion, old.RolledBackVersions
	s.rollOuts[r.Service] = r
	_, err := s.trail.Append(auditor.Entry{At: at, Kind: auditor.KindRollOut, Effects: []string{r.Service + " to " + r.TargetVersion}})
	return Result{}, err
}

// settleRollOut ends a running roll-out; the first committed end wins.
func (s *State) settleRollOut(at timer.Millis, end RollOutEnd) (Result, error) {
	r, known := s.rollOuts[end.Service]
	if !known || r.TargetVersion != end.TargetVersion || r.State != RollOutRunning {
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
