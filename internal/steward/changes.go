package steward

import (
	"context"
	"fmt"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// LeaderError says that another control instance must be asked; the address is its link address, empty when unknown.
type LeaderError struct {
	Address string
}

// Error prints the leader's address.
func (e *LeaderError) Error() string {
	return fmt.Sprintf("this instance does not lead the record; the leader is %q", e.Address)
}

// commitSpan bounds the wait for a majority; operators try elsewhere after about a second.
const commitSpan = 3 * timer.Second

// Publish makes a policy durable; it returns the version in force.
func (s *Steward) Publish(ctx context.Context, p applier.Policy) (int64, error) {
	result, err := s.propose(ctx, applier.Command{Publish: &p})
	return result.Version, err
}

// StartRollOut orders a roll-out; the same order again changes nothing.
func (s *Steward) StartRollOut(ctx context.Context, r applier.RollOut) error {
	_, err := s.propose(ctx, applier.Command{RollOut: &r})
	return err
}

func (s *Steward) propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	if err := s.mustLead(); err != nil {
		return applier.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitSpan.Duration())
	defer cancel()
	c.At = s.deps.Common.Clock.Now()
	return s.deps.Record.Propose(ctx, c)
}

func (s *Steward) mustLead() error {
	status := s.deps.Record.Status()
	if status.Role == replicator.RoleLeader {
		return nil
	}
	return &LeaderError{Address: recorder.InstanceOf(status.Leader)}
}

// Policy returns the newest policy, confirmed by a majority.
func (s *Steward) Policy(ctx context.Context) (applier.Policy, error) {
	var p applier.Policy
	err := s.confirmed(ctx, func(state *applier.State) { p = state.Policy() })
	return p, err
}

// RollOut returns the newest roll-out of a service, confirmed by a majority; ok tells whether there is one.
func (s *Steward) RollOut(ctx context.Context, service string) (r applier.RollOut, ok bool, err error) {
	err = s.confirmed(ctx, func(state *applier.State) { r, ok = state.RollOut(service) })
	return r, ok, err
}

func (s *Steward) confirmed(ctx context.Context, f func(*applier.State)) error {
	if err := s.mustLead(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitSpan.Duration())
	defer cancel()
	return s.deps.Record.ReadConfirmed(ctx, f)
}

// Known returns the newest policy that this instance has seen, which others may have overtaken.
func (s *Steward) Known(ctx context.Context) (applier.Policy, error) {
	var p applier.Policy
	err := s.do(ctx, func() { p = s.policy })
	return p, err
}

// Changed is told by the record's thread that the state has changed.
func (s *Steward) Changed(state *applier.State) {
	policy, rollOuts := state.Policy(), state.RollOuts()
	s.post(func() { s.adopt(policy, rollOuts) })
}

func (s *Steward) adopt(policy applier.Policy, rollOuts []applier.RollOut) {
	if policy.Version > s.policy.Version {
		s.policy = policy
		s.deps.Common.Log.Info("policy known", "version", policy.Version, "bytes", len(policy.Text))
		s.spreadPolicy()
	}
	if slices.EqualFunc(rollOuts, s.rollOuts, func(a, b applier.RollOut) bool {
		return a.Service == b.Service && a.Target == b.Target && a.State == b.State
	}) {
		return
	}
	s.rollOuts = rollOuts
	now := s.deps.Common.Clock.Now()
	for _, r := range rollOuts {
		key := r.Service + " " + r.Target
		if _, ok := s.begun[key]; !ok {
			// After a restart the age is taken from the leader's time of the order, which may be off by a clock's error.
			s.begun[key] = min(now, r.StartedAt)
		}
		s.deps.Common.Log.Info("roll-out known", "service", r.Service, "target", r.Target, "state", r.State)
	}
	s.sendToEntries(messenger.Packet{RollOuts: s.aged()})
}

// spreadPolicy sends the policy to the entry instances of the own data centre and offers it to the others, so that it
// crosses between data centres only where a data centre has no control instance of its own.
func (s *Steward) spreadPolicy() {
	policy := s.policy
	for l, g := range s.lines {
		switch {
		case g.Address != "":
		case g.DataCentre == s.deps.Self.DataCentre:
			l.Send(messenger.Packet{Policy: &policy})
		default:
			l.Send(messenger.Packet{Offer: policy.Version})
		}
	}
}

// aged returns the roll-outs with their ages.
func (s *Steward) aged() []messenger.RollOut {
	now := s.deps.Common.Clock.Now()
	list := make([]messenger.RollOut, 0, len(s.rollOuts))
	for _, r := range s.rollOuts {
		list = append(list, messenger.RollOut{RollOut: r, Elapsed: now - s.begun[r.Service+" "+r.Target]})
	}
	return list
}
