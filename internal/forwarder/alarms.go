package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// alarmInterval is the time between two alarms of this instance about the same server.
	alarmInterval = 300 * timer.Millisecond
	// alarmSuspension is how long a server that another instance has raised an alarm about gets no request from this one;
	// after that a request finds out whether it serves again.
	alarmSuspension = 1200 * timer.Millisecond
	// alarmImmunity is how long after its last byte a server is not suspended because of an alarm.
	alarmImmunity = 250 * timer.Millisecond
)

// reportAlarm tells the other instances that a server fails, so that not each of them has to find out by a request of
// its own; refused means that no process listens at the server's address.
func (f *Forwarder) reportAlarm(s *server, now timer.Millis, refused bool) {
	if f.deps.Paths.IsDetour(s.Address) {
		return
	}
	last := s.alarmedAt.Load()
	if now-timer.Millis(last) < alarmInterval || !s.alarmedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	f.deps.OnServerAlarm(messenger.ServerAlarm{Server: s.Name, Incarnation: s.Incarnation, Refused: refused})
}

// SuspendServers suspends the servers that other instances have raised alarms about; it is called by the goroutine that
// calls SetView.
func (f *Forwarder) SuspendServers(alarms []messenger.ServerAlarm) {
	now := f.deps.Telemetry.Clock.Now()
	for _, a := range alarms {
		s := f.serversByName[a.Server]
		if s == nil || s.Incarnation != a.Incarnation {
			continue
		}
		if a.Full {
			s.ration.RecordFull(now)
			continue
		}
		if now-timer.Millis(s.lastByte.Load()) < alarmImmunity {
			continue
		}
		s.suspendUntil(now + alarmSuspension)
		f.deps.Telemetry.Counter("servers.suspended-by-alarm").Inc(1)
	}
}
