package registrar

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

func TestRosterMerge(t *testing.T) {
	serving := Member{Name: "x", Incarnation: 10, Sequence: 5, Address: "a1", Service: "s"}
	with := func(change func(*Member)) Member {
		m := serving
		change(&m)
		return m
	}
	tests := map[string]struct {
		then Member
		want Member
	}{
		"a later sequence counts":      {with(func(m *Member) { m.Sequence = 6; m.Version = "v2" }), with(func(m *Member) { m.Sequence = 6; m.Version = "v2" })},
		"an earlier one does not":      {with(func(m *Member) { m.Sequence = 4; m.Standing = StandingLeaving }), serving},
		"a new incarnation starts new": {with(func(m *Member) { m.Incarnation = 11; m.Sequence = 1 }), with(func(m *Member) { m.Incarnation = 11; m.Sequence = 1 })},
		"an old incarnation is late":   {with(func(m *Member) { m.Incarnation = 9; m.Sequence = 99 }), serving},
		"silence counts once":          {with(func(m *Member) { m.Standing = StandingSilent }), with(func(m *Member) { m.Standing = StandingSilent })},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRoster()
			r.Merge(serving)
			r.Merge(tt.then)
			if got, _ := r.Row("x"); got != tt.want {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestAMemberLeavesUntilItsNextIncarnation(t *testing.T) {
	r := NewRoster()
	r.Merge(Member{Name: "x", Incarnation: 1, Sequence: 1, Address: "a", Service: "s", Standing: StandingLeaving})
	r.Merge(Member{Name: "x", Incarnation: 1, Sequence: 2, Address: "a", Service: "s"})
	if len(r.Usable("s")) != 0 {
		t.Fatal("a later announcement revived a server that leaves")
	}
	r.Merge(Member{Name: "x", Incarnation: 2, Sequence: 0, Address: "a", Service: "s"})
	if len(r.Usable("s")) != 1 {
		t.Fatal("a new incarnation is not used")
	}
}

// An address that another service's server has taken must not be used for the one that was there before, however late
// its last announcements arrive.
func TestRostersAgreeInAnyOrder(t *testing.T) {
	list := []Member{
		{Name: "old", Incarnation: 1, Sequence: 1, Address: "a", Service: "s1"},
		{Name: "old", Incarnation: 1, Sequence: 2, Address: "a", Service: "s1"},
		{Name: "new", Incarnation: 5, Sequence: 1, Address: "a", Service: "s2"},
		{Name: "new", Incarnation: 5, Sequence: 2, Address: "a", Service: "s2"},
		{Name: "x", Incarnation: 3, Sequence: 1, Address: "b", Service: "s1"},
		{Name: "x", Incarnation: 4, Sequence: 1, Address: "c", Service: "s1", Standing: StandingLeaving},
	}
	var want []string
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		r := NewRoster()
		for _, m := range list {
			r.Merge(m)
		}
		var got []string
		for _, service := range []string{"s1", "s2"} {
			for _, m := range r.Usable(service) {
				got = append(got, m.Name)
			}
		}
		if want == nil {
			want = []string{"new"}
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: usable are %v, want %v", seed, got, want)
		}
	}
}
