package coordinator

import (
	"context"
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// membershipInterval is the time between checks of the membership of the record.
	membershipInterval = 300 * timer.Millisecond
	// catchUpTimeout is the time after which another spare becomes a learner too, because the ones so far do not get the whole log.
	catchUpTimeout = 1 * timer.Second
)

// runMembership keeps the wanted number of voters while this instance leads, one membership change at a time.
func (c *Coordinator) runMembership() error {
	ctx := c.tomb.Context(context.Background())
	// readyAt is when each learner last had the whole log, or became a learner.
	readyAt := map[replicator.ID]timer.Millis{}
	for {
		select {
		case <-c.deps.Telemetry.Clock.After(membershipInterval):
		case <-c.tomb.Dying():
			return nil
		}
		if !c.hasLease() {
			clear(readyAt)
			continue
		}
		current := c.deps.Record.Status().Members
		list := c.candidates()
		if err := c.markStuckLearners(ctx, current.Learners, list, readyAt); err != nil {
			return nil
		}
		next, reason := planMembers(current, list, c.deps.Config)
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
	// isStuck is true for a learner that has not had the whole log for catchUpTimeout.
	isStuck bool
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

// markStuckLearners marks the candidates that are learners and do not get the whole log; readyAt outlasts the call. It fails when ctx
// ends.
func (c *Coordinator) markStuckLearners(ctx context.Context, learners []replicator.ID, list []candidate, readyAt map[replicator.ID]timer.Millis) error {
	now := c.deps.Telemetry.Clock.Now()
	maps.DeleteFunc(readyAt, func(id replicator.ID, _ timer.Millis) bool { return !slices.Contains(learners, id) })
	for i := range list {
		id := list[i].id
		if !slices.Contains(learners, id) {
			continue
		}
		caughtUp, err := c.deps.Record.IsCaughtUp(ctx, id)
		if err != nil {
			return err
		}
		if _, known := readyAt[id]; !known || caughtUp {
			readyAt[id] = now
		}
		list[i].isStuck = now-readyAt[id] > catchUpTimeout
	}
	return nil
}

// planMembers returns the next membership and the reason for it; the reason is empty if no change is needed. A lost
// voter is removed only after its replacement votes, so that the record survives a second loss right after a repair.
func planMembers(m replicator.Members, candidates []candidate, cfg Config) (replicator.Members, string) {
	lost := lostVoter(m, candidates, cfg)
	healthyVoters := len(m.Voters)
	if lost != "" {
		healthyVoters--
	}
	var ready replicator.ID
	for _, id := range m.Learners {
		c, ok := findCandidate(candidates, id)
		switch {
		case !ok || c.silentFor > cfg.SilenceTimeout:
			return m.Without(id), "the learner " + string(id) + " is unreachable"
		case healthyVoters >= cfg.VoterCount:
			return m.Without(id), "the learner " + string(id) + " is not needed"
		case ready == "" && !c.isStuck:
			ready = id
		}
	}
	if ready != "" {
		return m.WithVoter(ready), "the learner " + string(ready) + " becomes a voter"
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
