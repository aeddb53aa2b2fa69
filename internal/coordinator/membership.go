package coordinator

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// membershipInterval is the time between checks of the membership of the record.
const membershipInterval = 300 * timer.Millisecond

// runMembership keeps the wanted number of voters while this instance leads, one membership change at a time.
func (c *Coordinator) runMembership() error {
	ctx := c.tomb.Context(context.Background())
	for {
		select {
		case <-c.deps.Telemetry.Clock.After(membershipInterval):
		case <-c.tomb.Dying():
			return nil
		}
		if !c.hasLease() {
			continue
		}
		current := c.deps.Record.Status().Members
		next, reason := planMembers(current, c.candidates(), c.deps.Config)
		if reason == "" {
			continue
		}
		if err := c.deps.Record.ChangeMembers(ctx, next); err != nil {
			c.deps.Telemetry.Log.Debug("membership not changed yet", "why", reason, "error", err)
			continue
		}
		c.deps.Telemetry.Log.Info("membership of the record changes", "why", reason, "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// candidate is an instance with a data folder, which can be a member of the record, as the leader sees it.
type candidate struct {
	id         replicator.ID
	dataCentre string
	// silentFor is the time since the last message of the instance.
	silentFor timer.Millis
	stopping  bool
}

// candidates returns this instance and all others that can be members.
func (c *Coordinator) candidates() []candidate {
	now := c.deps.Telemetry.Clock.Now()
	list := []candidate{{id: c.deps.Record.ID(), dataCentre: c.deps.Self.DataCentre}}
	for _, p := range c.peers.all() {
		if p.Member != "" {
			list = append(list, candidate{id: p.Member, dataCentre: p.DataCentre, silentFor: now - p.LastSeenAt, stopping: p.Stopping})
		}
	}
	return list
}

// planMembers returns the next membership and the reason for it; the reason is empty if no change is needed. A lost
// voter is removed only after its replacement votes, so that the record survives a second loss right after a repair.
func planMembers(m replicator.Members, candidates []candidate, cfg Config) (replicator.Members, string) {
	if len(m.Learners) > 0 {
		id := m.Learners[0]
		if c, ok := findCandidate(candidates, id); ok && c.silentFor <= cfg.SilenceTimeout {
			return m.WithVoter(id), "the learner " + string(id) + " becomes a voter"
		}
		return m.Without(id), "the learner " + string(id) + " is unreachable"
	}
	lost := lostVoter(m, candidates, cfg)
	healthyVoters := len(m.Voters)
	if lost != "" {
		healthyVoters--
	}
	if healthyVoters < cfg.VoterCount {
		if id, ok := bestSpare(m, candidates, cfg); ok {
			return m.WithLearner(id), "the spare " + string(id) + " becomes a learner"
		}
		return m, ""
	}
	if lost != "" {
		return m.Without(lost), "the voter " + string(lost) + " was replaced"
	}
	return m, ""
}

func findCandidate(candidates []candidate, id replicator.ID) (candidate, bool) {
	for _, c := range candidates {
		if c.id == id {
			return c, true
		}
	}
	return candidate{}, false
}

// lostVoter returns a voter that has been silent for longer than ReplaceAfter, or that no known instance has as its
// member, for example after its data folder was wiped. It returns an empty id if there is none.
func lostVoter(m replicator.Members, candidates []candidate, cfg Config) replicator.ID {
	for _, id := range m.Voters {
		c, ok := findCandidate(candidates, id)
		if !ok || c.silentFor > cfg.ReplaceAfter {
			return id
		}
	}
	return ""
}

// bestSpare returns a reachable instance outside the membership, from the data centre with the fewest voters. It
// reports false if there is none.
func bestSpare(m replicator.Members, candidates []candidate, cfg Config) (replicator.ID, bool) {
	votersByDataCentre := map[string]int{}
	for _, c := range candidates {
		if m.IsVoter(c.id) {
			votersByDataCentre[c.dataCentre]++
		}
	}
	var best candidate
	for _, c := range candidates {
		if m.Contains(c.id) || c.stopping || c.silentFor > cfg.SilenceTimeout {
			continue
		}
		if best.id == "" || votersByDataCentre[c.dataCentre] < votersByDataCentre[best.dataCentre] {
			best = c
		}
	}
	return best.id, best.id != ""
}

// Bootstrap creates a new record with this instance as its only member. It returns an error if this instance has no
// data folder or if a known instance knows a leader.
func (c *Coordinator) Bootstrap(ctx context.Context) error {
	if c.deps.Record == nil {
		return errNoDataFolder
	}
	for _, p := range c.peers.all() {
		if p.Leader != "" {
			return errRecordExists(p.Name, p.Leader)
		}
	}
	return c.deps.Record.Bootstrap(ctx)
}

// RecordStatus returns the status of this instance's member of the record; it reports false if there is no member.
func (c *Coordinator) RecordStatus() (recorder.Status, bool) {
	if c.deps.Record == nil {
		return recorder.Status{}, false
	}
	return c.deps.Record.Status(), true
}
