package steward

import (
	"context"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// PublishPolicy commits a policy and returns the version in force. An instance that has applied the same or a newer
// version answers without the leader, because a majority has stored every applied entry. It fails when the record
// cannot be reached.
func (s *Steward) PublishPolicy(ctx context.Context, p applier.Policy) (int64, error) {
	latest, err := s.AppliedPolicy(ctx)
	if err == nil && latest.Version >= p.Version && len(latest.Text) > 0 {
		return latest.Version, nil
	}
	reply, err := s.callLeader(ctx,
		messenger.Call{Command: &applier.Command{PublishPolicy: &p, At: s.deps.Telemetry.Clock.Now()}})
	return reply.Result.Version, err
}

// StartRollOut commits the start of a roll-out and returns the newest roll-out of the service; an order that is sent again changes
// nothing. It fails with trace.AlreadyExists while a roll-out to another version is running, and when the record cannot be reached.
func (s *Steward) StartRollOut(ctx context.Context, r applier.RollOut) (applier.RollOut, error) {
	reply, err := s.callLeader(ctx, messenger.Call{Command: &applier.Command{StartRollOut: &r, At: s.deps.Telemetry.Clock.Now()}})
	if err != nil {
		return applier.RollOut{}, err
	}
	newest := reply.Result.RollOut
	if newest == nil {
		// A leader of an earlier build does not tell.
		return r, nil
	}
	if !reply.Result.IsOrderRefused {
		return *newest, nil
	}
	var elapsed timer.Millis
	if err := s.enqueueAndWait(ctx, func() { elapsed = s.elapsed(*newest) }); err != nil {
		return applier.RollOut{}, err
	}
	if elapsed >= newest.MaxDuration {
		return applier.RollOut{}, trace.ConnectionProblem(nil, "the roll-out of %s to %s is about to end", r.Service, newest.TargetVersion)
	}
	return applier.RollOut{}, trace.AlreadyExists("the roll-out of %s to %s is running, for up to %v more", r.Service, newest.TargetVersion,
		newest.MaxDuration-elapsed)
}

// elapsed returns the time since the start of a roll-out.
func (s *Steward) elapsed(r applier.RollOut) timer.Millis {
	now := s.deps.Telemetry.Clock.Now()
	startedAt, known := s.rollOutStartedAt[rollOutKey(r)]
	if !known {
		startedAt = min(now, r.StartedAt)
	}
	return now - startedAt
}

// ReadPolicy returns the newest policy, confirmed by a majority; it fails when the record cannot be reached.
func (s *Steward) ReadPolicy(ctx context.Context) (applier.Policy, error) {
	reply, err := s.callLeader(ctx, messenger.Call{ReadPolicy: true})
	if err != nil || reply.Policy == nil {
		return applier.Policy{}, err
	}
	return *reply.Policy, nil
}

// ReadRollOut returns the newest roll-out of a service, confirmed by a majority; ok reports whether there is one. It
// fails when the record cannot be reached.
func (s *Steward) ReadRollOut(ctx context.Context, service string) (r applier.RollOut, ok bool, err error) {
	reply, err := s.callLeader(ctx, messenger.Call{ReadRollOut: service})
	if err != nil || reply.RollOut == nil {
		return applier.RollOut{}, false, err
	}
	return *reply.RollOut, true, nil
}

// AppliedPolicy returns the newest policy that this instance has applied; other instances may have a newer one. It
// fails when ctx ends or the instance is stopping.
func (s *Steward) AppliedPolicy(ctx context.Context) (applier.Policy, error) {
	var p applier.Policy
	err := s.enqueueAndWait(ctx, func() { p = s.policy })
	return p, err
}

// HandleStateChange is the callback of the record's goroutine after a change of the replicated state.
func (s *Steward) HandleStateChange(state *applier.State) {
	policy, rollOuts, evacuations := state.Policy(), state.RollOuts(), state.Evacuations()
	s.enqueue(func() {
		s.adoptEvacuations(evacuations)
		s.adoptState(policy, rollOuts)
	})
}

func (s *Steward) adoptState(policy applier.Policy, rollOuts []applier.RollOut) {
	if policy.Version > s.policy.Version {
		s.policy = policy
		s.deps.Telemetry.Log.Info("policy known", "version", policy.Version, "bytes", len(policy.Text))
		s.sendPolicy()
	}
	if slices.EqualFunc(rollOuts, s.rollOuts, func(a, b applier.RollOut) bool { return a.IsSameAs(b) && a.State == b.State }) {
		return
	}
	s.rollOuts = rollOuts
	if !slices.ContainsFunc(rollOuts, func(r applier.RollOut) bool { return r.State == applier.RollOutRunning }) {
		clear(s.oldVersionSessions)
	}
	now := s.deps.Telemetry.Clock.Now()
	s.forgetOldRollOuts()
	for _, r := range rollOuts {
		key := rollOutKey(r)
		if _, ok := s.rollOutStartedAt[key]; !ok {
			// After a restart the age is computed from the leader's timestamp, which is inexact by the difference between the
			// two clocks.
			s.rollOutStartedAt[key] = min(now, r.StartedAt)
			s.forgetOutcomes(r.Service)
		}
		s.deps.Telemetry.Log.Info("roll-out known", "service", r.Service, "target", r.TargetVersion, "state", r.State)
	}
	s.sendToEntries(messenger.Packet{RollOuts: s.rollOutsWithAge()})
}

// forgetOutcomes drops the answers of earlier roll-outs of a service, which may have had the same target.
func (s *Steward) forgetOutcomes(service string) {
	for key, list := range s.outcomes {
		s.outcomes[key] = slices.DeleteFunc(slices.Clone(list), func(o messenger.Outcomes) bool { return o.Service == service })
	}
}

// forgetOldRollOuts drops what is kept about roll-outs that are no longer listed.
func (s *Steward) forgetOldRollOuts() {
	listed := map[string]bool{}
	for _, r := range s.rollOuts {
		listed[rollOutKey(r)] = true
	}
	maps.DeleteFunc(s.rollOutStartedAt, func(key string, _ timer.Millis) bool { return !listed[key] })
	maps.DeleteFunc(s.rollOutJudges, func(key string, _ *rollOutJudge) bool { return !listed[key] })
}

// sendPolicy sends the policy to the entry instances of the same data centre and only offers its version to the others.
// The text then crosses between data centres only for a data centre without a control instance.
func (s *Steward) sendPolicy() {
	policy := s.policy
	for conn, g := range s.connections {
		switch {
		case g.Address != "":
		case g.DataCentre == s.deps.Self.DataCentre:
			conn.Send(messenger.Packet{Policy: &policy})
		default:
			conn.Send(messenger.Packet{OfferedPolicyVersion: policy.Version})
		}
	}
}

// rollOutsWithAge returns the roll-outs with the time since their start, in milliseconds.
func (s *Steward) rollOutsWithAge() []messenger.RollOut {
	list := make([]messenger.RollOut, 0, len(s.rollOuts))
	for _, r := range s.rollOuts {
		list = append(list, messenger.RollOut{RollOut: r, Elapsed: s.elapsed(r)})
	}
	return list
}
