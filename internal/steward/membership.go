package steward

import (
	"context"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// membershipCheckInterval is the time between checks of the record's members.
	membershipCheckInterval = 200 * timer.Millisecond
	// catchUpTimeout is the time after which another spare becomes a learner too, because the ones so far do not get the whole log.
	catchUpTimeout = 1 * timer.Second
)

// membershipView is the leader's view of the instances that are or could become members.
type membershipView struct {
	self replicator.ID
	// connected are the identities of connected instances that are not stopping.
	connected []replicator.ID
	// silence returns how long a member has not been connected, in milliseconds.
	silence func(replicator.ID) timer.Millis
	// caughtUp reports whether a learner has the whole log.
	caughtUp func(replicator.ID) bool
	// learnerFor returns how long this leader has had a member as a learner that was not ready to vote, in milliseconds.
	learnerFor func(replicator.ID) timer.Millis
}

// planMembers returns the next membership, which differs by one change, and the reason; an empty reason means no
// change. A voter with a lost disk can never vote again and is removed at once, which does not increase the quorum. A
// voter that is only silent is removed once a learner that is connected has the whole log.
func planMembers(m replicator.Members, view membershipView, cfg Config) (replicator.Members, string) {
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != view.self && view.isReplaced(id) {
			return m.Without(id), "the disk of " + string(id) + " was lost"
		}
	}
	for _, id := range m.Learners {
		if view.silence(id) > cfg.SilenceTimeout {
			return m.Without(id), "the learner " + string(id) + " is not connected"
		}
	}
	lost := view.longestSilentVoter(m.Voters, cfg.ReplaceAfter)
	for _, id := range m.Learners {
		switch {
		case !view.isReady(id):
		case len(m.Voters) < cfg.Voters:
			return m.WithVoter(id), "the learner " + string(id) + " becomes a voter"
		case lost != "":
			return m.Without(lost), "the voter " + string(lost) + " fell silent"
		}
	}
	if slices.ContainsFunc(m.Learners, func(id replicator.ID) bool { return view.isReady(id) || view.learnerFor(id) <= catchUpTimeout }) {
		return m, ""
	}
	for _, id := range view.connected {
		if !m.Contains(id) {
			return m.WithLearner(id), "the spare " + string(id) + " becomes a learner"
		}
	}
	return m, ""
}

// isReady reports whether a learner can vote at once.
func (v membershipView) isReady(id replicator.ID) bool {
	return v.caughtUp(id) && v.silence(id) == 0
}

// isReplaced reports whether an instance with another identity is connected from the address of a member.
func (v membershipView) isReplaced(id replicator.ID) bool {
	return slices.ContainsFunc(v.connected, func(other replicator.ID) bool {
		return other != id && recorder.InstanceOf(other) == recorder.InstanceOf(id)
	})
}

// longestSilentVoter returns the voter with the longest silence above minSilence, or an empty ID.
func (v membershipView) longestSilentVoter(voters []replicator.ID, minSilence timer.Millis) replicator.ID {
	var lost replicator.ID
	longest := minSilence
	for _, id := range voters {
		if silence := v.silence(id); id != v.self && silence > longest {
			lost, longest = id, silence
		}
	}
	return lost
}

// runMembership keeps the configured number of voters while this instance leads.
func (s *Steward) runMembership() error {
	ctx := s.tomb.Context(context.Background())
	for {
		if err := s.deps.Telemetry.Clock.Sleep(ctx, membershipCheckInterval); err != nil {
			return nil
		}
		status := s.deps.Record.Status()
		if status.Role != replicator.RoleLeader {
			continue
		}
		// The record's goroutine may block on a slow disk, so this call must not run on the event loop.
		caughtUp := map[replicator.ID]bool{}
		for _, id := range status.Members.Learners {
			ok, err := s.deps.Record.IsCaughtUp(ctx, id)
			if err != nil {
				return nil
			}
			caughtUp[id] = ok
		}
		var next replicator.Members
		var reason string
		err := s.enqueueAndWait(ctx, func() {
			next, reason = planMembers(status.Members, s.membershipView(status.Members, caughtUp), s.deps.Config)
		})
		if err != nil {
			return nil
		}
		if reason == "" {
			continue
		}
		if err := s.deps.Record.ChangeMembers(ctx, next); err != nil {
			s.deps.Telemetry.Log.Debug("membership not changed yet", "why", reason, "error", err)
			continue
		}
		s.deps.Telemetry.Log.Info("membership of the record changes", "why", reason, "voters", next.Voters,
			"learners", next.Learners)
	}
}

// membershipView collects the view of the connected instances; it runs on the event loop.
func (s *Steward) membershipView(m replicator.Members, caughtUp map[replicator.ID]bool) membershipView {
	now := s.deps.Telemetry.Clock.Now()
	view := membershipView{self: s.deps.Record.ID(), caughtUp: func(id replicator.ID) bool { return caughtUp[id] }}
	for _, g := range s.connections {
		// An instance that lost its disk gets a new identity; the old identity's link may stay open for a moment.
		if g.Member == "" || g.Stopping || s.identityByAddress[g.Address] != g.Member {
			continue
		}
		s.memberSeenAt[g.Member] = now
		if !slices.Contains(view.connected, g.Member) {
			view.connected = append(view.connected, g.Member)
		}
	}
	slices.Sort(view.connected)
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if _, ok := s.memberSeenAt[id]; !ok {
			// On a new leader, the silence of every member starts at 0.
			s.memberSeenAt[id] = now
		}
	}
	view.silence = func(id replicator.ID) timer.Millis { return now - s.memberSeenAt[id] }
	for id := range s.learnerSince {
		if !slices.Contains(m.Learners, id) {
			delete(s.learnerSince, id)
		}
	}
	for _, id := range m.Learners {
		if _, ok := s.learnerSince[id]; !ok || view.isReady(id) {
			s.learnerSince[id] = now
		}
	}
	view.learnerFor = func(id replicator.ID) timer.Millis { return now - s.learnerSince[id] }
	return view
}
