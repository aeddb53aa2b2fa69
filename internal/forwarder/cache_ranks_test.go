package forwarder

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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

// Two data centres of one region are asked for the same long shared parts: one server of the region must keep them, while
// short ones stay in the data centre where they are asked for.
func TestLongPartsHaveOneHomeInARegion(t *testing.T) {
	tests := map[string]struct {
		tokens   int
		regionOf map[string]string
		// sameHome and stayed are the least shares, in percent, of prompts that both data centres send to the same server and
		// that stay in their data centre.
		sameHome, stayed int
	}{
		"long parts":                   {5000, map[string]string{"a": "x", "b": "x"}, 95, 30},
		"short parts":                  {300, map[string]string{"a": "x", "b": "x"}, 0, 95},
		"long parts, two regions":      {5000, map[string]string{"a": "x", "b": "y"}, 0, 95},
		"long parts, unlisted regions": {5000, nil, 0, 95},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			servers := map[string]*fakeServer{}
			for n := range 12 {
				servers[fmt.Sprintf("s%d", n)] = &fakeServer{}
			}
			chosen := map[string][]string{}
			for _, dataCentre := range []string{"a", "b"} {
				env := newTestEnv(t, streamRoute(true), servers)
				env.f.deps.DataCentre, env.f.deps.RegionOf = dataCentre, tt.regionOf
				for i := range env.members {
					env.members[i].DataCentre = []string{"a", "b"}[int(env.members[i].Name[1])%2]
				}
				env.publishView()
				for n := range 100 {
					parts := []PromptPart{{ID: fmt.Sprint("subject-", n), Tokens: tt.tokens}, {ID: "own", Tokens: 10}}
					req := &Request{Method: http.MethodPost, Host: "h", Path: "/x", PromptParts: parts, PromptTokens: tt.tokens + 10}
					task, refusal := env.f.newTask(req, httptest.NewRecorder())
					if refusal != nil {
						t.Fatal(refusal)
					}
					s, reason := task.pickServer(env.f.deps.Telemetry.Clock.Now())
					if s == nil {
						t.Fatal(reason)
					}
					chosen[dataCentre] = append(chosen[dataCentre], s.Name+s.DataCentre)
				}
			}
			same, stayed := 0, 0
			for n, s := range chosen["a"] {
				if s == chosen["b"][n] {
					same++
				}
				if strings.HasSuffix(s, "a") {
					stayed++
				}
			}
			if same < tt.sameHome || stayed < tt.stayed {
				t.Fatalf("%d of 100 prompts go to the same server from both data centres, %d stay; want at least %d and %d", same, stayed, tt.sameHome, tt.stayed)
			}
		})
	}
}
