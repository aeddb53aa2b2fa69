package steward

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// A control instance hangs for some seconds. Its backend servers move to another control instance, which broadcasts
// each of them only once. The first instance must not mark them silent.
func TestServerAnnouncedToAnotherInstanceIsNotMarkedSilent(t *testing.T) {
	servingRow := func(sequence int64) registrar.Member {
		return registrar.Member{Name: "a", Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4}
	}
	silentRow := func(sequence int64) registrar.Member {
		m := servingRow(sequence)
		m.State = registrar.MemberStateSilent
		return m
	}
	const silence = 4500 * timer.Millisecond
	tests := map[string]struct {
		received      []registrar.Member
		want          registrar.MemberState
		wantBroadcast bool
	}{
		"no instance receives an announcement": {nil, registrar.MemberStateSilent, true},
		"another instance receives a later announcement": {
			[]registrar.Member{servingRow(5)}, registrar.MemberStateServing, false},
		"another instance received the same announcement": {
			[]registrar.Member{servingRow(4)}, registrar.MemberStateSilent, true},
		"another instance received a later announcement and marked it silent": {
			[]registrar.Member{servingRow(5), silentRow(5)}, registrar.MemberStateSilent, false},
		"another instance marked it silent earlier": {
			[]registrar.Member{silentRow(3)}, registrar.MemberStateSilent, true},
		"it restarted and announces itself to another instance": {
			[]registrar.Member{{Name: "a", Incarnation: 2, Sequence: 1, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4}},
			registrar.MemberStateServing, false,
		},
		"it announces to another instance that it is leaving": {[]registrar.Member{{Name: "a", Incarnation: 1, Sequence: 5,
			Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4, State: registrar.MemberStateLeaving}}, registrar.MemberStateLeaving, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := timer.Minute
			clock := timer.NewSystemClock()
			clock.Now = func() timer.Millis { return now }
			s := NewSteward(Deps{Telemetry: observer.NewDiscard(clock), Config: Config{SilenceTimeout: silence, ForgetAfter: timer.Minute}})
			s.mergeAnnouncement(servingRow(4))
			s.mergeServers(tt.received)
			now += silence + 1
			s.rosterDirty = false
			s.expireServers()
			if row, _ := s.roster.Member("a"); row.State != tt.want || s.rosterDirty != tt.wantBroadcast {
				t.Fatalf("standing %d, broadcast %t, want %d and %t", row.State, s.rosterDirty, tt.want, tt.wantBroadcast)
			}
		})
	}
}

// Another instance reports a server as silent. This instance must broadcast the server as serving if it received a
// later announcement recently.
func TestLaterAnnouncementCorrectsSilentRow(t *testing.T) {
	tests := map[string]struct {
		announcedSequence, silentSequence int64
		elapsed                           timer.Millis
		wantBroadcast                     bool
	}{
		"this instance received a later announcement":         {6, 5, timer.Second, true},
		"this instance received the same announcement":        {5, 5, timer.Second, false},
		"this instance received an earlier announcement":      {4, 5, timer.Second, false},
		"this instance received no announcement for a minute": {6, 5, timer.Minute, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := timer.Minute
			clock := timer.NewSystemClock()
			clock.Now = func() timer.Millis { return now }
			s := NewSteward(Deps{Telemetry: observer.NewDiscard(clock), Config: Config{SilenceTimeout: 4500, ForgetAfter: timer.Minute}})
			s.mergeAnnouncement(registrar.Member{Name: "a", Incarnation: 1, Sequence: tt.announcedSequence,
				Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4})
			now += tt.elapsed
			list := []registrar.Member{{Name: "a", Incarnation: 1, Sequence: tt.silentSequence,
				Address: "10.0.0.1:1", Service: "s", DataCentre: "a", Version: "v1", Slots: 4, State: registrar.MemberStateSilent}}
			s.mergeServers(list)
			s.rosterDirty = false
			s.correctSilentServers(list)
			if s.rosterDirty != tt.wantBroadcast {
				t.Fatalf("broadcast %t, want %t", s.rosterDirty, tt.wantBroadcast)
			}
		})
	}
}
