package steward

import (
	"context"
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Announce merges an announcement of a backend server into the roster; it fails when ctx ends or the instance is
// stopping.
func (s *Steward) Announce(ctx context.Context, m registrar.Member) error {
	return s.enqueueAndWait(ctx, func() { s.mergeAnnouncement(m) })
}

// lastAnnouncement identifies the last announcement that a backend server sent to this instance directly.
type lastAnnouncement struct {
	at          timer.Millis
	incarnation int64
	sequence    int64
}

// isOlderThan reports whether a row of the roster comes from a later announcement.
func (a lastAnnouncement) isOlderThan(row registrar.Member) bool {
	return row.Incarnation > a.incarnation || row.Incarnation == a.incarnation && row.Sequence > a.sequence
}

func (s *Steward) mergeAnnouncement(m registrar.Member) {
	_, announcedHere := s.announcedHere[m.Name]
	isNewer, changed := s.roster.Merge(m)
	if !isNewer {
		s.deps.Telemetry.Log.Debug("late announcement ignored", "server", m.Name,
			"incarnation", m.Incarnation, "sequence", m.Sequence)
		return
	}
	s.announcedHere[m.Name] = lastAnnouncement{at: s.deps.Telemetry.Clock.Now(),
		incarnation: m.Incarnation, sequence: m.Sequence}
	coldChanged := s.recordCold(m)
	if row, _ := s.roster.Member(m.Name); changed || coldChanged || !announcedHere {
		s.broadcastServer(row)
	}
}

// Withdraw marks a backend server as leaving at all instances; an incarnation that has been superseded is left alone. It fails when
// ctx ends or the instance is stopping.
func (s *Steward) Withdraw(ctx context.Context, w registrar.Withdrawal) error {
	return s.enqueueAndWait(ctx, func() { s.withdraw(w) })
}

func (s *Steward) withdraw(w registrar.Withdrawal) {
	changed := s.roster.Withdraw(w)
	row, known := s.roster.Member(w.Name)
	if known && row.Incarnation >= w.Incarnation {
		if changed {
			delete(s.announcedHere, w.Name)
			s.broadcastServer(row)
		}
		return
	}
	// The others may know the incarnation that this instance has not heard of.
	s.deps.Telemetry.Log.Info("backend server withdrawn before its announcement", "server", w.Name, "incarnation", w.Incarnation)
	s.sendToAll(messenger.Packet{Withdrawals: []registrar.Withdrawal{w}})
}

// mergeWithdrawals merges the withdrawals that another control instance reports and passes on what it changed.
func (s *Steward) mergeWithdrawals(list []registrar.Withdrawal) {
	var changed []registrar.Member
	for _, w := range list {
		if err := w.Check(); err != nil {
			s.deps.Telemetry.Log.Warn("withdrawal ignored", "server", w.Name, "error", err)
			continue
		}
		if s.roster.Withdraw(w) {
			row, _ := s.roster.Member(w.Name)
			changed = append(changed, row)
		}
	}
	s.rosterDirty = s.rosterDirty || len(changed) > 0
	for _, entry := range s.relayedEntries() {
		entry.Send(messenger.Packet{Members: changed, Withdrawals: list})
	}
}

// memberBatchDelay batches the rows of servers that have started into one message: after an outage all of them announce
// themselves at once.
const memberBatchDelay = 10 * timer.Millisecond

// broadcastServer sends one row of the roster to every connected instance, at once unless the server serves: what an
// instance has acknowledged about a leaving server must not be lost with it.
func (s *Steward) broadcastServer(row registrar.Member) {
	s.rosterDirty = true
	s.deps.Telemetry.Log.Info("backend server changed", "server", row.Name, "address", row.Address, "service", row.Service,
		"version", row.Version, "standing", row.State, "incarnation", row.Incarnation, "sequence", row.Sequence)
	s.pendingMembers[row.Name] = row
	switch {
	case row.State != registrar.MemberStateServing:
		s.sendPendingMembers()
	case s.memberTimer == nil:
		s.memberTimer = s.deps.Telemetry.Clock.After(memberBatchDelay)
	}
}

// sendPendingMembers sends the pending rows to every connected instance.
func (s *Steward) sendPendingMembers() {
	s.memberTimer = nil
	var list []registrar.Member
	for _, name := range slices.Sorted(maps.Keys(s.pendingMembers)) {
		list = append(list, s.pendingMembers[name])
	}
	clear(s.pendingMembers)
	s.sendToAll(messenger.Packet{Members: list})
}

// mergeServers merges rows of another control instance's roster and returns the rows that changed.
func (s *Steward) mergeServers(list []registrar.Member) []registrar.Member {
	var changed []registrar.Member
	for _, m := range list {
		if err := m.Check(); err != nil {
			s.deps.Telemetry.Log.Warn("row of the roster ignored", "server", m.Name, "error", err)
			continue
		}
		accepted, differs := s.roster.Merge(m)
		if coldChanged := accepted && s.recordCold(m); differs || coldChanged {
			row, _ := s.roster.Member(m.Name)
			changed = append(changed, row)
		}
	}
	s.rosterDirty = s.rosterDirty || len(changed) > 0
	return changed
}

// correctSilentServers broadcasts the servers that another instance reports as silent although they announced
// themselves to this instance since. The other instances miss these announcements, because an announcement that changes
// nothing is not broadcast.
func (s *Steward) correctSilentServers(list []registrar.Member) {
	for _, m := range list {
		last, announcedHere := s.announcedHere[m.Name]
		row, ok := s.roster.Member(m.Name)
		if m.State != registrar.MemberStateSilent || !announcedHere || !ok ||
			s.deps.Telemetry.Clock.Now()-last.at > s.deps.Config.SilenceTimeout {
			continue
		}
		if row.Incarnation == m.Incarnation && row.Sequence > m.Sequence && row.State == registrar.MemberStateServing {
			s.broadcastServer(row)
		}
	}
}

// expireServers marks servers as silent that stopped announcing themselves to this instance, and drops servers that
// have not been serving for longer than Config.ForgetAfter.
func (s *Steward) expireServers() {
	now := s.deps.Telemetry.Clock.Now()
	s.expireUnconfirmed(now)
	for name, last := range s.announcedHere {
		if now-last.at <= s.deps.Config.SilenceTimeout {
			continue
		}
		delete(s.announcedHere, name)
		row, ok := s.roster.Member(name)
		if !ok || row.State != registrar.MemberStateServing || last.isOlderThan(row) {
			// Another instance received a later announcement and now monitors the server.
			continue
		}
		row.State = registrar.MemberStateSilent
		s.roster.Merge(row)
		s.broadcastServer(row)
	}
	for _, row := range s.roster.Members() {
		if row.State == registrar.MemberStateServing {
			delete(s.notServingSince, row.Name)
			continue
		}
		since, ok := s.notServingSince[row.Name]
		if !ok {
			s.notServingSince[row.Name] = now
		} else if now-since > s.deps.Config.ForgetAfter {
			delete(s.notServingSince, row.Name)
			s.roster.Remove(row.Name)
			delete(s.coldUntil, row.Name)
			s.gauges.Retain(func(name string) bool { return name != row.Name })
			s.rosterDirty = true
		}
	}
}
