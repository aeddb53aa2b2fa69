package forwarder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// countedRanks counts, for each server, the servers of its data centre with a higher weight.
func countedRanks(key uint64, list []*server) []int {
	ranks := make([]int, len(list))
	for i, s := range list {
		for _, other := range list {
			if other.DataCentre == s.DataCentre && mixBits(key^other.nameHash) > mixBits(key^s.nameHash) {
				ranks[i] = min(ranks[i]+1, maxCacheRank)
			}
		}
	}
	return ranks
}

func TestCacheRanksFollowRendezvousHashing(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for n := range 120 {
		var list []*server
		for i := range n {
			name := fmt.Sprintf("s-%d-%d", n, i)
			m := registrar.Member{Name: name, DataCentre: fmt.Sprint("dc-", r.IntN(6))}
			list = append(list, &server{Member: m, serverState: &serverState{nameHash: xxhash.Sum64String(name)}})
		}
		task := &task{Request: &Request{PromptParts: []PromptPart{{ID: fmt.Sprint(n)}, {ID: "own"}}}, route: &matcher.Route{CacheAffinity: true}}
		if got, want := task.cacheRanks(list), countedRanks(task.prefixKey(), list); !slices.Equal(got, want) {
			t.Fatalf("%d servers: got %v, want %v", n, got, want)
		}
	}
}

func TestPrefixKeyDependsOnModelAndSharedParts(t *testing.T) {
	key := func(model string, sticky bool, parts ...string) uint64 {
		var list []PromptPart
		for _, id := range parts {
			list = append(list, PromptPart{ID: id})
		}
		return (&task{Request: &Request{PromptParts: list}, route: &matcher.Route{CacheAffinity: sticky}, model: model}).prefixKey()
	}
	base := key("m", true, "a", "b", "own")
	tests := map[string]struct {
		got  uint64
		same bool
	}{
		"another last part": {key("m", true, "a", "b", "other"), true},
		"another model":     {key("n", true, "a", "b", "own"), false},
		"another part":      {key("m", true, "a", "c", "own"), false},
		"no shared part":    {key("m", true, "own"), false},
		"no sticky route":   {key("m", false, "a", "b", "own"), false},
	}
	for name, tt := range tests {
		if (tt.got == base) != tt.same {
			t.Errorf("%s: key %d, base %d", name, tt.got, base)
		}
	}
	moved := &task{Request: &Request{PromptParts: []PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}},
		route: &matcher.Route{CacheAffinity: true}, model: "n"}
	_ = moved.prefixKey()
	if moved.model = "m"; moved.prefixKey() != base {
		t.Error("the key did not change with the model")
	}
}
