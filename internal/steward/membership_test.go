package steward

import (
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestPlanMembers(t *testing.T) {
	ids := func(list ...replicator.ID) []replicator.ID { return list }
	threeVoters := ids("a#1", "b#1", "c#1")
	tests := map[string]struct {
		members       replicator.Members
		connected     []replicator.ID
		silentFor     map[replicator.ID]timer.Millis
		learnerFor    timer.Millis
		learnerBehind bool
		want          replicator.Members
	}{
		"no change is needed": {
			members: replicator.Members{Voters: threeVoters}, connected: ids("b#1", "c#1"),
			want: replicator.Members{Voters: threeVoters},
		},
		"a voter with a lost disk is removed at once": {
			members: replicator.Members{Voters: threeVoters}, connected: ids("b#2", "c#1"),
			want: replicator.Members{Voters: ids("a#1", "c#1")},
		},
		"the new identity of a removed voter becomes a learner": {
			members: replicator.Members{Voters: ids("a#1", "c#1")}, connected: ids("b#2", "c#1"),
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"a learner that lacks entries does not become a voter": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("b#2", "c#1"),
			learnerBehind: true,
			want:          replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"a learner with the whole log becomes a voter": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("b#2", "c#1"),
			want: replicator.Members{Voters: ids("a#1", "c#1", "b#2")},
		},
		"a spare becomes a learner although there are enough voters": {
			members: replicator.Members{Voters: threeVoters}, connected: ids("b#1", "c#1", "d#1"),
			want: replicator.Members{Voters: threeVoters, Learners: ids("d#1")},
		},
		"a silent voter stays while no learner has the whole log": {
			members: replicator.Members{Voters: threeVoters, Learners: ids("d#1")}, connected: ids("c#1", "d#1"),
			learnerBehind: true,
			silentFor:     map[replicator.ID]timer.Millis{"b#1": 20 * timer.Second},
			want:          replicator.Members{Voters: threeVoters, Learners: ids("d#1")},
		},
		"a silent voter is removed once a learner has the whole log": {
			members: replicator.Members{Voters: threeVoters, Learners: ids("d#1")}, connected: ids("c#1", "d#1"),
			silentFor: map[replicator.ID]timer.Millis{"b#1": 20 * timer.Second},
			want:      replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("d#1")},
		},
		"another spare waits while a learner gets the log": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("b#2", "c#1", "d#1"),
			learnerBehind: true, learnerFor: catchUpTimeout,
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"another spare becomes a learner where the first one does not get the log": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("b#2", "c#1", "d#1"),
			learnerBehind: true, learnerFor: catchUpTimeout + timer.Millisecond,
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2", "d#1")},
		},
		"another spare becomes a learner where the first one is gone": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("c#1", "d#1"),
			silentFor: map[replicator.ID]timer.Millis{"b#2": catchUpTimeout}, learnerFor: catchUpTimeout + timer.Millisecond,
			want: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2", "d#1")},
		},
		"a learner that is not connected does not become a voter": {
			members: replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")}, connected: ids("c#1"),
			silentFor: map[replicator.ID]timer.Millis{"b#2": timer.Millisecond},
			want:      replicator.Members{Voters: ids("a#1", "c#1"), Learners: ids("b#2")},
		},
		"a silent voter stays while the learner is not connected": {
			members: replicator.Members{Voters: threeVoters, Learners: ids("d#1")}, connected: ids("c#1"),
			silentFor: map[replicator.ID]timer.Millis{"b#1": 20 * timer.Second, "d#1": timer.Millisecond},
			want:      replicator.Members{Voters: threeVoters, Learners: ids("d#1")},
		},
		"the voter with the longest silence is removed first": {
			members:   replicator.Members{Voters: ids("a#1", "b#1", "c#1", "e#1", "f#1"), Learners: ids("d#1")},
			connected: ids("d#1", "e#1", "f#1"),
			silentFor: map[replicator.ID]timer.Millis{"b#1": 7 * timer.Second, "c#1": 9 * timer.Second},
			want:      replicator.Members{Voters: ids("a#1", "b#1", "e#1", "f#1"), Learners: ids("d#1")},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			view := membershipView{
				self: "a#1", connected: tt.connected,
				silence:    func(id replicator.ID) timer.Millis { return tt.silentFor[id] },
				caughtUp:   func(replicator.ID) bool { return !tt.learnerBehind },
				learnerFor: func(replicator.ID) timer.Millis { return tt.learnerFor },
			}
			voters := 3
			if len(tt.members.Voters) > voters {
				voters = len(tt.members.Voters)
			}
			got, _ := planMembers(tt.members, view,
				Config{SilenceTimeout: 2 * timer.Second, Voters: voters, ReplaceAfter: 6 * timer.Second})
			if !slices.Equal(got.Voters, tt.want.Voters) || !slices.Equal(got.Learners, tt.want.Learners) {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
