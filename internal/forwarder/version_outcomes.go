package forwarder

import (
	"maps"
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// grade rates a response during a roll-out.
type grade uint8

const (
	gradeGood grade = iota
	gradeBad
	gradeSlow
)

// versionOutcomes counts responses by version for the roll-outs in progress.
type versionOutcomes struct {
	mu     sync.Mutex
	counts map[outcomeKey]messenger.Outcomes
}

// outcomeKey identifies the counts of one version on one route in one roll-out.
type outcomeKey struct {
	service, version, route string
	rollOutStartedAt        timer.Millis
}

func newVersionOutcomes() *versionOutcomes {
	return &versionOutcomes{counts: map[outcomeKey]messenger.Outcomes{}}
}

// recordOutcome counts a response if its service has a roll-out.
func (f *Forwarder) recordOutcome(t *task, s *server, g grade) {
	f.updateOutcomes(t, s, func(o *messenger.Outcomes) {
		switch g {
		case gradeGood:
			o.Good++
		case gradeBad:
			o.Bad++
		case gradeSlow:
			o.Slow++
		}
	})
}

// updateOutcomes updates the counts of a server's version if its service has a roll-out.
func (f *Forwarder) updateOutcomes(t *task, s *server, update func(*messenger.Outcomes)) {
	rollOut, ok := f.fleetView.Load().rollOuts[s.Service]
	if !ok {
		return
	}
	f.versionOutcomes.mu.Lock()
	defer f.versionOutcomes.mu.Unlock()
	key := outcomeKey{s.Service, s.Version, t.route.Name, rollOut.StartedAt}
	o := f.versionOutcomes.counts[key]
	if o.Target != rollOut.TargetVersion {
		o = messenger.Outcomes{Service: s.Service, Version: s.Version, Target: rollOut.TargetVersion, Route: t.route.Name}
	}
	update(&o)
	f.versionOutcomes.counts[key] = o
}

// isTargetHalted reports whether this instance has counted enough bad responses of a target to stop sending new
// sessions to it until the leader decides.
func (f *Forwarder) isTargetHalted(service, target string) bool {
	f.versionOutcomes.mu.Lock()
	defer f.versionOutcomes.mu.Unlock()
	for key, o := range f.versionOutcomes.counts {
		if key.service != service || key.version != target || o.Target != target {
			continue
		}
		if bad := o.Bad + o.Slow; bad >= haltMinBad && bad*100 >= haltBadPercent*(o.Good+bad) {
			return true
		}
	}
	return false
}

const (
	// haltMinBad and haltBadPercent are the number of bad responses, and their share in percent, at which an instance
	// stops sending work to a target before the leader decides.
	haltMinBad     = 3
	haltBadPercent = 20
)

// VersionOutcomes returns the response counts and the requests in flight for each version of the services with a
// roll-out in progress.
func (f *Forwarder) VersionOutcomes() []messenger.Outcomes {
	view := f.fleetView.Load()
	var list []messenger.Outcomes
	f.versionOutcomes.mu.Lock()
	defer f.versionOutcomes.mu.Unlock()
	maps.DeleteFunc(f.versionOutcomes.counts, func(key outcomeKey, _ messenger.Outcomes) bool {
		return view.rollOuts[key.service].StartedAt != key.rollOutStartedAt
	})
	for service := range view.rollOuts {
		v := view.splitVersions(service)
		if v.rollOut == nil {
			continue
		}
		for key, o := range f.versionOutcomes.counts {
			if key.service == service && o.Target == v.rollOut.TargetVersion {
				list = append(list, o)
			}
		}
		rows := map[string]messenger.Outcomes{}
		for _, s := range view.servers[service] {
			row, ok := rows[s.Version]
			if !ok {
				row = messenger.Outcomes{Service: service, Version: s.Version, Target: v.rollOut.TargetVersion, PaceByServer: messenger.PaceByServer{}}
			}
			row.InFlight += int(s.inFlight.Load())
			row.PaceByServer.Add(s.nameHash, messenger.PaceCount{On: int(s.onPace.Load()), Off: int(s.offPace.Load())})
			rows[s.Version] = row
		}
		list = slices.AppendSeq(list, maps.Values(rows))
	}
	return list
}
