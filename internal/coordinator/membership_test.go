package coordinator

import (
	"slices"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestPlanMembersMakesOneSafeChange(t *testing.T) {
	cfg := Config{SilenceTimeout: 3000, VoterCount: 3, ReplaceAfter: 30_000}
	reachable := func(id replicator.ID, dc string) candidate { return candidate{id: id, dataCentre: dc} }
	silent := func(id replicator.ID, dc string, silentFor timer.Millis) candidate {
		return candidate{id: id, dataCentre: dc, silentFor: silentFor}
	}
	stuck := func(id replicator.ID, dc string) candidate { return candidate{id: id, dataCentre: dc, isStuck: true} }
	tests := map[string]struct {
		voters, learners []replicator.ID
		candidates       []candidate
		wantVoters       string
		wantLearners     string
	}{
		"complete":                                          {parseIDs("a b c"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), reachable("c", "3")}, "", ""},
		"too few voters, one spare":                         {parseIDs("a"), nil, []candidate{reachable("a", "1"), reachable("b", "2")}, "a", "b"},
		"too few voters, no spare":                          {parseIDs("a"), nil, []candidate{reachable("a", "1")}, "", ""},
		"spare in another data centre is preferred":         {parseIDs("a"), nil, []candidate{reachable("a", "1"), reachable("b", "1"), reachable("c", "2")}, "a", "c"},
		"reachable learner becomes a voter":                 {parseIDs("a"), parseIDs("b"), []candidate{reachable("a", "1"), reachable("b", "2")}, "a b", ""},
		"silent learner is removed":                         {parseIDs("a"), parseIDs("b"), []candidate{reachable("a", "1"), silent("b", "2", 5000)}, "a", ""},
		"briefly silent voter is kept":                      {parseIDs("a b c"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), silent("c", "3", 5000), reachable("d", "3")}, "", ""},
		"lost voter, spare becomes a learner":               {parseIDs("a b c"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), silent("c", "3", 40_000), reachable("d", "3")}, "a b c", "d"},
		"lost voter, learner becomes a voter":               {parseIDs("a b c"), parseIDs("d"), []candidate{reachable("a", "1"), reachable("b", "2"), silent("c", "3", 40_000), reachable("d", "3")}, "a b c d", ""},
		"lost voter is removed after its replacement votes": {parseIDs("a b c d"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), silent("c", "3", 40_000), reachable("d", "3")}, "a b d", ""},
		"lost voter, no spare":                              {parseIDs("a b c"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), silent("c", "3", 40_000)}, "", ""},
		"voter with a wiped disk has a new id":              {parseIDs("a b c"), nil, []candidate{reachable("a", "1"), reachable("b", "2"), reachable("c2", "3")}, "a b c", "c2"},
		"stuck learner, another spare becomes a learner":    {parseIDs("a b"), parseIDs("c"), []candidate{reachable("a", "1"), reachable("b", "2"), stuck("c", "3"), reachable("d", "3")}, "a b", "c d"},
		"stuck learner, no other spare":                     {parseIDs("a b"), parseIDs("c"), []candidate{reachable("a", "1"), reachable("b", "2"), stuck("c", "3")}, "", ""},
		"learner behind a stuck one becomes a voter":        {parseIDs("a b"), parseIDs("c d"), []candidate{reachable("a", "1"), reachable("b", "2"), stuck("c", "3"), reachable("d", "3")}, "a b d", "c"},
		"learner that is not needed any more":               {parseIDs("a b d"), parseIDs("c"), []candidate{reachable("a", "1"), reachable("b", "2"), stuck("c", "3"), reachable("d", "3")}, "a b d", ""},
		"stopping spare is not used":                        {parseIDs("a"), nil, []candidate{reachable("a", "1"), {id: "b", dataCentre: "2", stopping: true}}, "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := replicator.Members{Voters: tt.voters, Learners: tt.learners}
			next, reason := planMembers(m, tt.candidates, cfg)
			if tt.wantVoters == "" {
				if reason != "" {
					t.Fatalf("unexpected membership change: %s", reason)
				}
				return
			}
			if reason == "" || !slices.Equal(next.Voters, parseIDs(tt.wantVoters)) || !slices.Equal(next.Learners, parseIDs(tt.wantLearners)) {
				t.Errorf("got voters %v, learners %v, reason %q", next.Voters, next.Learners, reason)
			}
		})
	}
}

func parseIDs(text string) []replicator.ID {
	var list []replicator.ID
	for _, s := range strings.Fields(text) {
		list = append(list, replicator.ID(s))
	}
	return list
}
