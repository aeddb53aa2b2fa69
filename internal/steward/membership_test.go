package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestPlanMembers(t *testing.T) {
	ids := func(list ...replicator.ID) []replicator.ID { return list }
	three := ids("a#1", "b#1", "c#1")
	tests := map[string]struct {
		members replicator.Members
		present []replicator.ID
		silent  map[replicator.ID]timer.Millis
		behind  bool
		want    replicator.Members
	}{
		"all is well": {
			members: replicator.Members{Voters: three}, present: ids("b#1", "c#1"), want: replicator.Members{Voters: three},
		},
		"a wiped disk leaves at once": {
			members: replicator.Members{Voters: three}, present: ids("b#2", "c#1"), want: replicator.Members{Voters: ids("a#1", "c#1")},
		},
		"its new identity learns": {
			members: replicator.Members{Voters: ids("a#1", "c#1")}, present: ids("b#2", "c#1"),
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"a learner that is behind waits": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, present: ids("b#2", "c#1"), behind: true,
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"a learner that holds the log votes": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, present: ids("b#2", "c#1"),
			want: replicator.Members{Voters: ids("a#1", "c#1", "b#2")},
		},
		"a spare learns beside enough voters": {
			members: replicator.Members{Voters: three}, present: ids("b#1", "c#1", "d#1"),
			want: replicator.Members{Voters: three, Learners: ids("d#1")},
		},
		"a silent voter stays while no spare holds the log": {
			members: replicator.Members{Voters: three, Learners: ids("d#1")}, present: ids("c#1", "d#1"), behind: true,
			silent: map[replicator.ID]timer.Millis{"b#1": 20 * timer.Second}, want: replicator.Members{Voters: three, Learners: ids("d#1")},
		},
		"a silent voter leaves for a spare": {
			members: replicator.Members{Voters: three, Learners: ids("d#1")}, present: ids("c#1", "d#1"),
			silent: map[replicator.ID]timer.Millis{"b#1": 20 * timer.Second}, want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("d#1")},
		},
		"the longest silent one leaves first": {
			members: replicator.Members{Voters: ids("a#1", "b#1", "c#1", "e#1", "f#1"), Learners: ids("d#1")}, present: ids("d#1", "e#1", "f#1"),
			silent: map[replicator.ID]timer.Millis{"b#1": 7 * timer.Second, "c#1": 9 * timer.Second},
			want:   replicator.Members{Voters: ids("a#1", "b#1", "e#1", "f#1"), Learners: ids("d#1")},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet{
				self: "a#1", present: tt.present,
				silence:  func(id replicator.ID) timer.Millis { return tt.silent[id] },
				caughtUp: func(replicator.ID) bool { return !tt.behind },
			}
			voters := 3
			if len(tt.members.Voters) > voters {
				voters = len(tt.members.Voters)
			}
			got, _ := planMembers(tt.members, f, Rules{Silence: 2 * timer.Second, Voters: voters, ReplaceAfter: 6 * timer.Second})
			if !slices.Equal(got.Voters, tt.want.Voters) || !slices.Equal(got.Learners, tt.want.Learners) {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
