package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// alarmBatchDelay batches the alarms of several entry instances into one message: servers crash together.
	alarmBatchDelay = 5 * timer.Millisecond
	// alarmRepeatInterval is the time between two messages about the same server.
	alarmRepeatInterval = 500 * timer.Millisecond
	// fullRepeatInterval is the time between two messages that the same brittle server is full.
	fullRepeatInterval = 100 * timer.Millisecond
	// alarmWindow is how long the alarm of one entry instance counts.
	alarmWindow = 2 * timer.Second
	// minAlarmReporters is the number of entry instances that must have raised an alarm about a server that accepts
	// connections: the fault of a single one may be its own.
	minAlarmReporters = 2
)

// serverAlarms are the alarms about one incarnation of a backend server.
type serverAlarms struct {
	incarnation int64
	// reportedAt is the time of the last alarm of each entry instance.
	reportedAt map[string]timer.Millis
	// forwardedAt is when the entry instances were last told, and fullForwardedAt when they were told that it is full.
	forwardedAt, fullForwardedAt timer.Millis
}

// alarmBoard decides which alarms about backend servers concern the whole fleet.
type alarmBoard struct {
	byServer map[string]*serverAlarms
	// pending are the alarms that the next message will carry.
	pending []messenger.ServerAlarm
}

func newAlarmBoard() *alarmBoard {
	return &alarmBoard{byServer: map[string]*serverAlarms{}}
}

// add counts the alarms of an entry instance and reports whether a message is due.
func (b *alarmBoard) add(reporter string, alarms []messenger.ServerAlarm, now timer.Millis) bool {
	for _, a := range alarms {
		s := b.byServer[a.Server]
		if s == nil || s.incarnation < a.Incarnation {
			s = &serverAlarms{incarnation: a.Incarnation, reportedAt: map[string]timer.Millis{}, forwardedAt: now - alarmRepeatInterval,
				fullForwardedAt: now - fullRepeatInterval}
			b.byServer[a.Server] = s
		}
		if s.incarnation > a.Incarnation {
			continue
		}
		if a.Full {
			if now-s.fullForwardedAt >= fullRepeatInterval {
				s.fullForwardedAt = now
				b.pending = append(b.pending, a)
			}
			continue
		}
		s.reportedAt[reporter] = now
		s.expire(now)
		if (a.Refused || len(s.reportedAt) >= minAlarmReporters) && now-s.forwardedAt >= alarmRepeatInterval {
			s.forwardedAt = now
			b.pending = append(b.pending, a)
		}
	}
	return len(b.pending) > 0
}

// take returns the alarms that a message must carry now.
func (b *alarmBoard) take() []messenger.ServerAlarm {
	list := b.pending
	b.pending = nil
	return list
}

// expire removes old alarms, and the servers without any.
func (b *alarmBoard) expire(now timer.Millis) {
	maps.DeleteFunc(b.byServer, func(_ string, s *serverAlarms) bool {
		s.expire(now)
		return len(s.reportedAt) == 0 && now-s.fullForwardedAt >= fullRepeatInterval
	})
}

func (s *serverAlarms) expire(now timer.Millis) {
	maps.DeleteFunc(s.reportedAt, func(_ string, at timer.Millis) bool { return now-at > alarmWindow })
}

// addAlarms handles the alarms of an entry instance.
func (s *Steward) addAlarms(reporter string, alarms []messenger.ServerAlarm) {
	if s.alarms.add(reporter, alarms, s.deps.Telemetry.Clock.Now()) && s.alarmTimer == nil {
		s.alarmTimer = s.deps.Telemetry.Clock.After(alarmBatchDelay)
	}
}

// sendAlarms tells all entry instances about failing backend servers.
func (s *Steward) sendAlarms() {
	list := s.alarms.take()
	for _, a := range list {
		if a.Full {
			s.deps.Telemetry.Log.Info("brittle backend server is full", "server", a.Server)
			continue
		}
		s.deps.Telemetry.Log.Info("backend server fails", "server", a.Server, "refused", a.Refused,
			"reporters", slices.Sorted(maps.Keys(s.alarms.byServer[a.Server].reportedAt)))
	}
	s.sendToEntries(messenger.Packet{ServerAlarms: list})
}
