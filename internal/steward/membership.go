package steward

import (
	"context"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// membershipEvery is the time between looks at the members of the record.
const membershipEvery = 200 * timer.Millisecond

// fleet is what the leader knows of the instances that could be members.
type fleet struct {
	self replicator.ID
	// present are the members that are connected and not stopping.
	present []replicator.ID
	// silence tells for how long a member has not been connected.
	silence  func(replicator.ID) timer.Millis
	caughtUp func(replicator.ID) bool
}

// planMembers returns the next membership, one change away, and why; an empty reason says that all is as it should be.
// A voter that can never vote again, because its disk was lost, leaves at once: the quorum does not grow by that. One
// that is only silent leaves when a spare holds the whole log.
func planMembers(m replicator.Members, f fleet, rules Rules) (replicator.Members, string) {
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != f.self && f.replaced(id) {
			return m.Without(id), "the disk of " + string(id) + " was lost"
		}
	}
	for _, id := range m.Learners {
		if f.silence(id) > rules.Silence {
			return m.Without(id), "the learner " + string(id) + " is gone"
		}
	}
	lost := f.longestSilent(m.Voters, rules.ReplaceAfter)
	for _, id := range m.Learners {
		switch {
		case !f.caughtUp(id):
		case len(m.Voters) < rules.Voters:
			return m.WithVoter(id), "the learner " + string(id) + " is to vote"
		case lost != "":
			return m.Without(lost), "the voter " + string(lost) + " fell silent"
		}
	}
	if len(m.Learners) > 0 {
		return m, ""
	}
	for _, id := range f.present {
		if !m.Knows(id) {
			return m.WithLearner(id), "the spare " + string(id) + " is to learn"
		}
	}
	return m, ""
}

// replaced reports whether another identity came up at the address of a member.
func (f fleet) replaced(id replicator.ID) bool {
	return slices.ContainsFunc(f.present, func(other replicator.ID) bool {
		return other != id && recorder.InstanceOf(other) == recorder.InstanceOf(id)
	})
}

func (f fleet) longestSilent(voters []replicator.ID, atLeast timer.Millis) replicator.ID {
	var lost replicator.ID
	longest := atLeast
	for _, id := range voters {
		if silence := f.silence(id); id != f.self && silence > longest {
			lost, longest = id, silence
		}
	}
	return lost
}

// runMembership lets the leader keep the wanted number of voters.
func (s *Steward) runMembership() error {
	ctx := s.tomb.Context(context.Background())
	for {
		if err := s.deps.Common.Clock.Sleep(ctx, membershipEvery); err != nil {
			return nil
		}
		status := s.deps.Record.Status()
		if status.Role != replicator.RoleLeader {
			continue
		}
		// The record's thread may wait for a slow disk, so it is not asked on the control thread.
		caughtUp := map[replicator.ID]bool{}
		for _, id := range status.Members.Learners {
			ok, err := s.deps.Record.CaughtUp(ctx, id)
			if err != nil {
				return nil
			}
			caughtUp[id] = ok
		}
		var next replicator.Members
		var why string
		err := s.do(ctx, func() { next, why = planMembers(status.Members, s.fleet(status.Members, caughtUp), s.deps.Rules) })
		if err != nil {
			return nil
		}
		if why == "" {
			continue
		}
		if err := s.deps.Record.ChangeMembers(ctx, next); err != nil {
			s.deps.Common.Log.Debug("membership not changed yet", "why", why, "error", err)
			continue
		}
		s.deps.Common.Log.Info("membership of the record changes", "why", why, "voters", next.Voters, "learners", next.Learners)
	}
}

func (s *Steward) fleet(m replicator.Members, caughtUp map[replicator.ID]bool) fleet {
	now := s.deps.Common.Clock.Now()
	f := fleet{self: s.deps.Record.ID(), caughtUp: func(id replicator.ID) bool { return caughtUp[id] }}
	for _, g := range s.lines {
		// A line of an identity that the disk has lost may outlive it for a moment.
		if g.Member == "" || g.Stopping || s.identities[g.Address] != g.Member {
			continue
		}
		s.seenAt[g.Member] = now
		if !slices.Contains(f.present, g.Member) {
			f.present = append(f.present, g.Member)
		}
	}
	slices.Sort(f.present)
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if _, ok := s.seenAt[id]; !ok {
			// A new leader gives everybody the whole span.
			s.seenAt[id] = now
		}
	}
	f.silence = func(id replicator.ID) timer.Millis { return now - s.seenAt[id] }
	return f
}
