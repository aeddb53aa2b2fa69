package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// candidates returns the servers of the version that serves the request, among those that may get it.
func (t *task) candidates(now timer.Millis) []*server {
	v := t.allowed().versionSplit
	if v.rollOut == nil || len(v.target) == 0 {
		return v.stable
	}
	if len(v.stable) == 0 {
		return v.target
	}
	if t.version == "" {
		t.version = t.chooseVersion(now, v)
	}
	if t.version == t.avoidedTarget {
		t.version = v.stable[0].Version
	}
	if t.version == v.rollOut.TargetVersion {
		return v.target
	}
	return v.stable
}

// chooseVersion divides requests between the old and the target version. A session moves to the target in the second
// half of a roll-out at the earliest, and never back.
func (t *task) chooseVersion(now timer.Millis, v versionSplit) string {
	old := v.stable[0].Version
	target := v.rollOut.TargetVersion
	progress := float64(now-v.rollOut.LocalStartedAt) / float64(max(1, v.rollOut.MaxDuration))
	key := t.Session
	if key == "" {
		key = t.ID
	}
	draw := hashFraction(key)
	p, pinned := t.f.sessions.get(t.Session, now)
	early := progress < sessionMoveProgress
	switch {
	case pinned && p.version == target:
		t.sessionOnTarget = true
		return target
	case now-v.rollOut.LocalStartedAt < moveDelay:
		return old
	case early && (pinned || t.f.oldVersionSessions.contains(rollOutSessionKey(key, v.rollOut))):
		return old
	case !early && progress < localHaltProgress && t.f.isTargetHalted(t.service, target):
		return old
	case draw < targetShare(progress):
		return target
	}
	return old
}

// incidentWindow is how long the broken connections of a server count as one incident: a crash, and the requests that
// were sent before the crash was detected.
const incidentWindow = 2 * timer.Second

// recordBrokenConn counts a broken connection, at most once for each incident at the server: the number of requests in
// flight during a crash says little about the version.
func (t *task) recordBrokenConn(s *server, now timer.Millis) {
	last := timer.Millis(s.incidentAt.Load())
	if now-last < incidentWindow {
		t.avoidTarget(s)
		return
	}
	s.incidentAt.Store(int64(now))
	t.recordBadResponse(s)
}

// recordBadResponse counts a bad response of the server's version.
func (t *task) recordBadResponse(s *server) {
	t.f.recordOutcome(t, s, gradeBad)
	t.avoidTarget(s)
}

// avoidTarget makes further attempts use the old version after the roll-out's target has failed the request, unless the
// session runs on the target.
func (t *task) avoidTarget(s *server) {
	rollOut := t.view.splitVersions(s.Service).rollOut
	if rollOut != nil && s.Version == rollOut.TargetVersion && !t.sessionOnTarget && t.writer.status == 0 {
		t.avoidedTarget = s.Version
	}
}

// sessionMoveProgress is the progress of a roll-out before which no session changes its version. It lies above one half
// because instances learn of the start at different times.
const sessionMoveProgress = 0.53

// localHaltProgress is the progress of a roll-out after which an instance no longer halts the target by itself: the
// leader has decided by then.
const localHaltProgress = 0.7

// targetShare returns the share of sessions that run on the target version at the given progress of a roll-out.
func targetShare(progress float64) float64 {
	switch {
	case progress < sessionMoveProgress:
		return canaryShare
	case progress < 0.6:
		return 0.25
	case progress < 0.68:
		return 0.5
	}
	return 1
}
