package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// candidates returns the servers of the version that the request belongs to.
func (t *task) candidates(now timer.Millis) []*server {
	v := t.pic.versionsOf(t.service)
	if v.running == nil || len(v.target) == 0 {
		return v.stable
	}
	if len(v.stable) == 0 {
		return v.target
	}
	if t.version == "" {
		t.version = t.chooseVersion(now, v)
	}
	if t.version == t.shunned {
		t.version = v.stable[0].Version
	}
	if t.version == v.running.Target {
		return v.target
	}
	return v.stable
}

// chooseVersion divides requests between the old and the new version; a session moves to the new one in the second
// half of a roll-out at the earliest, and never back.
func (t *task) chooseVersion(now timer.Millis, v versions) string {
	old := v.stable[0].Version
	target := v.running.Target
	progress := float64(now-v.running.Begun) / float64(max(1, v.running.Span))
	key := t.Session
	if key == "" {
		key = t.ID
	}
	drawn := drawOf(key)
	p, pinned := t.f.sessions.get(t.Session, now)
	early := progress < sessionsMove
	switch {
	case pinned && p.version == target:
		t.bound = true
		return target
	case now-v.running.Begun < holdSpan:
		return old
	case early && (pinned || t.f.holdovers.holds(holdoverKey(key, v.running))):
		return old
	case !early && progress < haltUntil && t.f.halted(t.service, target):
		return old
	case drawn < targetShare(progress):
		return target
	}
	return old
}

// incidentSpan is how long the connections that a server breaks count as one incident: a crash and what was sent to the
// server before that was noticed.
const incidentSpan = 2 * timer.Second

// noteBroken counts a broken connection, once for each incident at the server: a crash says little of its version, however
// many requests ran there.
func (t *task) noteBroken(s *server, now timer.Millis) {
	last := timer.Millis(s.brokeAt.Load())
	if now-last < incidentSpan {
		t.shun(s)
		return
	}
	s.brokeAt.Store(int64(now))
	t.noteBad(s)
}

// noteBad counts a failure at a server.
func (t *task) noteBad(s *server) {
	t.f.note(t, s, resultBad)
	t.shun(s)
}

// shun lets a request that the target of a roll-out has failed go on at the version before, unless its session runs on the
// target.
func (t *task) shun(s *server) {
	running := t.pic.versionsOf(s.Service).running
	if running != nil && s.Version == running.Target && !t.bound && t.writer.status == 0 {
		t.shunned = s.Version
	}
}

// sessionsMove is the part of a roll-out before which no session changes its version; a margin over one half, because
// instances learn of the start at different times.
const sessionsMove = 0.53

// haltUntil is the part of a roll-out after which an instance no longer holds the target back by itself: the leader has
// judged by then.
const haltUntil = 0.7

// targetShare is the part of sessions that the new version gets as a roll-out goes on.
func targetShare(progress float64) float64 {
	switch {
	case progress < sessionsMove:
		return firstShare
	case progress < 0.6:
		return 0.25
	case progress < 0.68:
		return 0.5
	}
	return 1
}
