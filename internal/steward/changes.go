package steward

import (
	"context"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// Publish makes a policy durable; it returns the version in force. A policy that was overtaken, or is sent again, is
// acknowledged by any instance that knows so: what it has applied a majority holds.
func (s *Steward) Publish(ctx context.Context, p applier.Policy) (int64, error) {
	known, err := s.Known(ctx)
	if err == nil && known.Version >= p.Version && len(known.Text) > 0 {
		return known.Version, nil
	}
	reply, err := s.ask(ctx, messenger.Call{Command: &applier.Command{Publish: &p, At: s.deps.Common.Clock.Now()}})
	return reply.Result.Version, err
}

// StartRollOut orders a roll-out; the same order again changes nothing.
func (s *Steward) StartRollOut(ctx context.Context, r applier.RollOut) error {
	_, err := s.ask(ctx, messenger.Call{Command: &applier.Command{RollOut: &r, At: s.deps.Common.Clock.Now()}})
	return err
}

// Policy returns the newest policy, confirmed by a majority.
func (s *Steward) Policy(ctx context.Context) (applier.Policy, error) {
	reply, err := s.ask(ctx, messenger.Call{ReadPolicy: true})
	if err != nil || reply.Policy == nil {
		return applier.Policy{}, err
	}
	return *reply.Policy, nil
}

// RollOut returns the newest roll-out of a service, confirmed by a majority; ok tells whether there is one.
func (s *Steward) RollOut(ctx context.Context, service string) (r applier.RollOut, ok bool, err error) {
	reply, err := s.ask(ctx, messenger.Call{ReadRollOut: service})
	if err != nil || reply.RollOut == nil {
		return applier.RollOut{}, false, err
	}
	return *reply.RollOut, true, nil
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
	if !slices.ContainsFunc(rollOuts, func(r applier.RollOut) bool { return r.State == applier.RollOutRunning }) {
		clear(s.holdovers)
	}
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
