package coordinator

import (
	"context"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

var errNoDataFolder = trace.BadParameter("this instance has no data folder, so it cannot hold the record")

func errRecordExists(instance, leader string) error {
	return trace.AlreadyExists("instance %s knows a record that %s leads; this instance joins it by itself", instance, leader)
}

const (
	// maintenanceInterval is the time between rounds of maintenance.
	maintenanceInterval = 100 * timer.Millisecond
	// maxClaimRunTime is the age from which a claim that is not settled counts as in doubt.
	maxClaimRunTime = timer.Hour
	// claimRetention is how long the answer to an order is kept to be replayed to resends.
	claimRetention = 7 * 24 * timer.Hour
	// claimExpiryInterval is the time between expiries of old claims.
	claimExpiryInterval = 10 * timer.Minute
)

// leaderState is what the maintenance of a leader remembers between rounds.
type leaderState struct {
	// inForce is the newest revision that the audit trail has as in force, by environment and data centre.
	inForce map[[2]string]int64
	// claimsExpiredAt is the time of the last expiry of old claims.
	claimsExpiredAt timer.Millis
}

func newLeaderState() leaderState {
	return leaderState{inForce: map[[2]string]int64{}}
}

// runMaintenance records the start of this instance, retries the replication of bills, and does the periodic work of
// the leader while this instance leads.
func (c *Coordinator) runMaintenance() error {
	ctx := c.tomb.Context(context.Background())
	startRecorded := false
	for {
		select {
		case <-c.deps.Telemetry.Clock.After(maintenanceInterval):
		case <-c.tomb.Dying():
			return nil
		}
		if !startRecorded {
			startRecorded = c.recordStart(ctx)
		}
		c.retryUnreplicatedBills()
		if c.hasLease() {
			c.recordInForce(ctx)
			c.expireClaims(ctx)
			continue
		}
		// Another leader may extend the audit trail meanwhile.
		c.leaderState.inForce = map[[2]string]int64{}
	}
}

// recordStart commits the start of this instance, which puts unsettled claims of its earlier incarnations in doubt. It
// reports whether that succeeded.
func (c *Coordinator) recordStart(ctx context.Context) bool {
	if c.leaderName() == "" {
		return false
	}
	_, err := c.Propose(ctx, applier.Command{InstanceStarted: &applier.InstanceStart{
		Instance: c.deps.Self.Name, Incarnation: c.deps.Self.Incarnation}})
	return err == nil
}

// expireClaims puts claims in doubt that run for too long, and drops settled claims that are older than claimRetention.
func (c *Coordinator) expireClaims(ctx context.Context) {
	now := c.deps.Telemetry.Clock.Now()
	if now-c.leaderState.claimsExpiredAt < claimExpiryInterval {
		return
	}
	c.leaderState.claimsExpiredAt = now
	command := applier.Command{ExpireClaims: &applier.ClaimExpiry{RunningCutoff: now - maxClaimRunTime, SettledCutoff: now - claimRetention}}
	if _, err := c.Propose(ctx, command); err != nil {
		c.deps.Telemetry.Log.Warn("claims not expired", "error", err)
	}
}

// PendingInstances returns the instances on which a revision is not in force. It asks the leader, to which every
// instance sends its revisions.
func (c *Coordinator) PendingInstances(ctx context.Context, environment string, revision int64) ([]messenger.WaitingInstance, error) {
	leader := c.leaderName()
	if leader == c.deps.Self.Name {
		return c.pendingInstances(environment, revision), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposalAttemptTimeout.Duration())
	defer cancel()
	query := messenger.WaitingQuery{Environment: environment, Revision: revision}
	answer, err := c.mesh.Call(ctx, leader, messenger.Envelope{WaitingQuery: &query})
	if err != nil {
		return nil, err
	}
	return answer.WaitingReply.Instances, nil
}

// handleWaitingQuery replies to another instance with the instances on which a revision is not in force.
func (c *Coordinator) handleWaitingQuery(e messenger.Envelope) {
	list := c.pendingInstances(e.WaitingQuery.Environment, e.WaitingQuery.Revision)
	c.mesh.Send(e.From, messenger.Envelope{CallID: e.CallID, WaitingReply: &messenger.WaitingReply{Instances: list}})
}

// pendingInstances returns the instances on which a revision is not in force. A silent instance may still serve, so it
// counts as pending until it acknowledges the revision or is forgotten.
func (c *Coordinator) pendingInstances(environment string, revision int64) []messenger.WaitingInstance {
	list := []messenger.WaitingInstance{}
	if c.adoptedRevisions()[environment] < revision {
		list = append(list, messenger.WaitingInstance{Instance: c.deps.Self.Name, DataCentre: c.deps.Self.DataCentre, Reason: "has not adopted it yet"})
	}
	now := c.deps.Telemetry.Clock.Now()
	for _, p := range c.peers.all() {
		if p.Revisions[environment] >= revision || p.Stopping {
			continue
		}
		reason := "has not acknowledged it yet"
		if silence := now - p.LastSeenAt; silence > c.deps.Config.SilenceTimeout {
			reason = fmt.Sprintf("not heard of for %s; it may be cut off and still serve", silence)
		}
		list = append(list, messenger.WaitingInstance{Instance: p.Name, DataCentre: p.DataCentre, Reason: reason})
	}
	return list
}

// recordInForce records in the audit trail each data centre that has the newest revision in force on all instances.
func (c *Coordinator) recordInForce(ctx context.Context) {
	c.mu.Lock()
	newest := map[string]int64{}
	for name, u := range c.updates {
		newest[name] = u.full.Revision
	}
	c.mu.Unlock()
	for environment, revision := range newest {
		pending := c.pendingInstances(environment, revision)
		for _, dataCentre := range c.dataCentres() {
			isPending := slices.ContainsFunc(pending, func(w messenger.WaitingInstance) bool { return w.DataCentre == dataCentre })
			if !isPending {
				c.recordInForceUpTo(ctx, environment, revision, dataCentre)
			}
		}
	}
}

// recordInForceUpTo records each revision since the last recorded one. A revision that was replaced before every
// instance acknowledged it counts as in force together with its successor. A new leader continues where the audit trail
// ends.
func (c *Coordinator) recordInForceUpTo(ctx context.Context, environment string, revision int64, dataCentre string) {
	key := [2]string{environment, dataCentre}
	if c.leaderState.inForce[key] == 0 {
		c.leaderState.inForce[key] = c.lastRecordedInForce(ctx, environment, dataCentre, revision-1)
	}
	for r := c.leaderState.inForce[key] + 1; r <= revision; r++ {
		if !c.proposeInForce(ctx, environment, r, dataCentre) {
			return
		}
	}
}

// lastRecordedInForce returns the newest revision that the audit trail has as in force in a data centre. It returns
// fallback if there is none or the trail cannot be read.
func (c *Coordinator) lastRecordedInForce(ctx context.Context, environment, dataCentre string, fallback int64) int64 {
	revision := int64(0)
	err := c.read(ctx, func(s *applier.State) {
		for _, e := range s.Trail() {
			if e.Kind == auditor.KindInForce && e.Environment == environment && e.DataCentre == dataCentre {
				revision = e.ToRevision
			}
		}
	})
	if err != nil || revision == 0 {
		return fallback
	}
	return revision
}

// proposeInForce commits that a revision is in force in a data centre, and reports whether that succeeded.
func (c *Coordinator) proposeInForce(ctx context.Context, environment string, revision int64, dataCentre string) bool {
	command := applier.Command{InForce: &applier.InForce{Environment: environment, Revision: revision, DataCentre: dataCentre}}
	if _, err := c.Propose(ctx, command); err != nil {
		c.deps.Telemetry.Log.Warn("in-force time not recorded", "environment", environment, "revision", revision, "error", err)
		return false
	}
	c.leaderState.inForce[[2]string{environment, dataCentre}] = revision
	return true
}

// dataCentres returns the data centres of all known instances, that of this instance first.
func (c *Coordinator) dataCentres() []string {
	names := []string{c.deps.Self.DataCentre}
	for _, p := range c.peers.all() {
		if !slices.Contains(names, p.DataCentre) {
			names = append(names, p.DataCentre)
		}
	}
	return names
}
