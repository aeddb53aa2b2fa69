package forwarder

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefixKey identifies the shared parts of a prompt for the chosen model, as each model has its own cache; 0 if there
// are none.
func (t *task) prefixKey() uint64 {
	if !t.route.CacheAffinity || len(t.PromptParts) < 2 {
		return 0
	}
	if t.cachedPrefixKey == 0 || t.cachedPrefixModel != t.model {
		var b strings.Builder
		for _, p := range t.PromptParts[:len(t.PromptParts)-1] {
			b.WriteString(p.ID)
			b.WriteByte(',')
		}
		b.WriteString(t.model)
		t.cachedPrefixKey, t.cachedPrefixModel = xxhash.Sum64String(b.String()), t.model
	}
	return t.cachedPrefixKey
}

// sharedTokens returns the number of tokens in the prompt's shared parts.
func (t *task) sharedTokens() int {
	sum := 0
	for _, p := range t.PromptParts[:max(0, len(t.PromptParts)-1)] {
		sum += p.Tokens
	}
	return sum
}

// maxCacheRank is the rank of all servers after the second: their caches are equally unlikely to hold the prefix.
const maxCacheRank = 2

// minRegionalTokens is the number of shared tokens from which parts have one home in a region and not one in each of its
// data centres: reading them at a cold server costs more than the way to the other data centre.
const minRegionalTokens = otherDataCentreCost / (maxCacheRank * coldCacheCost)

// topWeights are the two highest rendezvous weights in a scope: a data centre or a region.
type topWeights struct {
	scope         string
	first, second uint64
}

// cacheRanks returns the rank of each server, up to maxCacheRank, by rendezvous hashing of the shared parts within its
// data centre, or within its region for long ones; nil if there are no shared parts.
func (t *task) cacheRanks(list []*server) []int {
	key := t.prefixKey()
	if key == 0 {
		return nil
	}
	scopeOf := func(dataCentre string) string { return dataCentre }
	if float64(t.sharedTokens()) >= minRegionalTokens {
		scopeOf = func(dataCentre string) string { return regionOf(t.f.deps.RegionOf, dataCentre) }
	}
	var tops []topWeights
	for _, s := range list {
		top := topWeightsOf(&tops, scopeOf(s.DataCentre))
		switch weight := mixBits(key ^ s.nameHash); {
		case weight > top.first:
			top.first, top.second = weight, top.first
		case weight > top.second:
			top.second = weight
		}
	}
	ranks := make([]int, len(list))
	for i, s := range list {
		top := topWeightsOf(&tops, scopeOf(s.DataCentre))
		switch mixBits(key ^ s.nameHash) {
		case top.first:
		case top.second:
			ranks[i] = 1
		default:
			ranks[i] = maxCacheRank
		}
	}
	return ranks
}

// topWeightsOf returns the entry of a scope and adds it if needed; a linear search is enough for a few scopes.
func topWeightsOf(tops *[]topWeights, scope string) *topWeights {
	for i := range *tops {
		if (*tops)[i].scope == scope {
			return &(*tops)[i]
		}
	}
	*tops = append(*tops, topWeights{scope: scope})
	return &(*tops)[len(*tops)-1]
}

// mixBits is the finalizer of MurmurHash3, which spreads the bits of a hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
