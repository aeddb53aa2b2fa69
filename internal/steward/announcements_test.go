package steward

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// The pattern: a control instance stands still for some seconds; the servers that announced themselves there go on at
// another one, which tells of each once.
func TestAServerThatAnnouncesItselfElsewhereIsNotSilent(t *testing.T) {
	member := func(sequence int64) registrar.Member {
		return registrar.Member{Name: "a", Incarnation: 1, Sequence: sequence, Address: "a:1", Service: "s"}
	}
	silent := func(sequence int64) registrar.Member {
		m := member(sequence)
		m.Standing = registrar.StandingSilent
		return m
	}
	const silence = 4500 * timer.Millisecond
	tests := map[string]struct {
		elsewhere []registrar.Member
		want      registrar.Standing
		told      bool
	}{
		"nobody hears of it":                        {nil, registrar.StandingSilent, true},
		"another instance hears of it":              {[]registrar.Member{member(5)}, registrar.StandingServing, false},
		"another instance heard the same":           {[]registrar.Member{member(4)}, registrar.StandingSilent, true},
		"another instance has heard of it and lost": {[]registrar.Member{member(5), silent(5)}, registrar.StandingSilent, false},
		"another instance lost it before we heard":  {[]registrar.Member{silent(3)}, registrar.StandingSilent, true},
		"it started anew and announces itself elsewhere": {
			[]registrar.Member{{Name: "a", Incarnation: 2, Sequence: 1, Address: "a:1", Service: "s"}}, registrar.StandingServing, false,
		},
		"another instance learns that it is leaving": {[]registrar.Member{{Name: "a", Incarnation: 1, Sequence: 5, Address: "a:1", Service: "s", Standing: registrar.StandingLeaving}}, registrar.StandingLeaving, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := timer.Minute
			clock := timer.NewClock()
			clock.Now = func() timer.Millis { return now }
			s := NewSteward(Deps{Common: observer.NewQuiet(clock), Rules: Rules{Silence: silence, Forget: timer.Minute}})
			s.announce(member(4))
			s.merge(tt.elsewhere)
			now += silence + 1
			s.unsaved = false
			s.expire()
			if row, _ := s.roster.Row("a"); row.Standing != tt.want || s.unsaved != tt.told {
				t.Fatalf("standing %d, told %t, want %d and %t", row.Standing, s.unsaved, tt.want, tt.told)
			}
		})
	}
}

func TestAServerThatAnnouncesItselfHereIsNotSilentElsewhere(t *testing.T) {
	tests := map[string]struct {
		heard, silent int64
		later         timer.Millis
		told          bool
	}{
		"a later announcement came here":       {6, 5, timer.Second, true},
		"the same announcement came here":      {5, 5, timer.Second, false},
		"an earlier announcement came here":    {4, 5, timer.Second, false},
		"nothing came here for a while either": {6, 5, timer.Minute, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := timer.Minute
			clock := timer.NewClock()
			clock.Now = func() timer.Millis { return now }
			s := NewSteward(Deps{Common: observer.NewQuiet(clock), Rules: Rules{Silence: 4500, Forget: timer.Minute}})
			s.announce(registrar.Member{Name: "a", Incarnation: 1, Sequence: tt.heard, Address: "a:1", Service: "s"})
			now += tt.later
			list := []registrar.Member{{Name: "a", Incarnation: 1, Sequence: tt.silent, Address: "a:1", Service: "s", Standing: registrar.StandingSilent}}
			s.merge(list)
			s.unsaved = false
			s.contradict(list)
			if s.unsaved != tt.told {
				t.Fatalf("told %t, want %t", s.unsaved, tt.told)
			}
		})
	}
}
