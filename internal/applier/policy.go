package applier

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Policy is a document as its operator sent it; of two versions the higher one is in force.
type Policy struct {
	Version int64  `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint"`
}

// RollOutState says how far a roll-out has come.
type RollOutState string

// The states of a roll-out.
const (
	RollOutRunning    RollOutState = "running"
	RollOutCompleted  RollOutState = "completed"
	RollOutRolledBack RollOutState = "rolled-back"
)

// RollOut is the newest roll-out of a service, and what its earlier ones left behind.
type RollOut struct {
	Service string       `cbor:"1,keyasint"`
	Target  string       `cbor:"2,keyasint"`
	State   RollOutState `cbor:"3,keyasint"`
	// StartedAt is the leader's time of the order, and Span the time it may take, in milliseconds.
	StartedAt timer.Millis `cbor:"4,keyasint"`
	Span      timer.Millis `cbor:"5,keyasint"`
	// Stable is the version that the service ran on before; empty before the first completed roll-out.
	Stable string `cbor:"6,keyasint,omitempty"`
	// Bad are the versions that were rolled back.
	Bad []string `cbor:"7,keyasint,omitempty"`
}

// Settle ends a running roll-out.
type Settle struct {
	Service string       `cbor:"1,keyasint"`
	Target  string       `cbor:"2,keyasint"`
	State   RollOutState `cbor:"3,keyasint"`
	Reason  string       `cbor:"4,keyasint,omitempty"`
}

// Policy returns the policy in force, with version 0 before the first.
func (s *State) Policy() Policy {
	return s.policy
}

// RollOuts returns the newest roll-out of each service in the order of their names.
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

// publish keeps the policy with the highest version; one that was overtaken is acknowledged and changes nothing.
func (s *State) publish(at timer.Millis, p Policy) (Result, error) {
	if p.Version <= s.policy.Version && len(s.policy.Text) > 0 {
		return Result{Version: s.policy.Version}, nil
	}
	e := auditor.Entry{At: at, What: auditor.WhatPublished, From: s.policy.Version, To: p.Version}
	s.policy = p
	_, err := s.trail.Append(e)
	return Result{Version: p.Version}, err
}

// startRollOut begins a roll-out; an order for the target that the service has met already changes nothing.
func (s *State) startRollOut(at timer.Millis, r RollOut) (Result, error) {
	old, known := s.rollOuts[r.Service]
	if known && (old.Target == r.Target || old.State == RollOutRunning) {
		return Result{}, nil
	}
	r.State = RollOutRunning
	r.StartedAt = at
	r.Stable, r.Bad = old.Stable, old.Bad
	s.rollOuts[r.Service] = r
	_, err := s.trail.Append(auditor.Entry{At: at, What: auditor.WhatRollOut, Effects: []string{r.Service + " to " + r.Target}})
	return Result{}, err
}

// settleRollOut ends a roll-out that still runs; whichever end is committed first stands.
func (s *State) settleRollOut(at timer.Millis, end Settle) (Result, error) {
	r, known := s.rollOuts[end.Service]
	if !known || r.Target != end.Target || r.State != RollOutRunning {
		return Result{}, nil
	}
	r.State = end.State
	if end.State == RollOutCompleted {
		r.Stable = r.Target
	} else {
		r.Bad = append(slices.Clone(r.Bad), r.Target)
	}
	s.rollOuts[end.Service] = r
	_, err := s.trail.Append(auditor.Entry{At: at, What: auditor.WhatRollOut, Effects: []string{end.Service + " " + string(end.State) + ": " + end.Reason}})
	return Result{}, err
}
