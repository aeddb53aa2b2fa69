package forwarder

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefixKey tells the shared parts of a prompt from others; caches hold them for each model apart. It is 0 where there are
// none.
func (t *task) prefixKey() uint64 {
	if !t.route.Sticky || len(t.Parts) < 2 {
		return 0
	}
	if t.key == 0 || t.keyModel != t.model {
		var b strings.Builder
		for _, p := range t.Parts[:len(t.Parts)-1] {
			b.WriteString(p.ID)
			b.WriteByte(',')
		}
		b.WriteString(t.model)
		t.key, t.keyModel = xxhash.Sum64String(b.String()), t.model
	}
	return t.key
}

// sharedTokens returns the tokens of the prompt's shared parts.
func (t *task) sharedTokens() int {
	sum := 0
	for _, p := range t.Parts[:max(0, len(t.Parts)-1)] {
		sum += p.Tokens
	}
	return sum
}

// lastPlace is the place of all servers after the second in a line: their caches are alike.
const lastPlace = 2

// leaders are the two highest weights in a data centre.
type leaders struct {
	dataCentre    string
	first, second uint64
}

// places returns the place of each server, up to lastPlace, in the line of those that should hold the shared parts of the
// prompt, by rendezvous hashing within each data centre; nil where there are none.
func (t *task) places(list []*server) []int {
	key := t.prefixKey()
	if key == 0 {
		return nil
	}
	var lines []leaders
	for _, s := range list {
		l := lineOf(&lines, s.DataCentre)
		switch weight := mix(key ^ s.hash); {
		case weight > l.first:
			l.first, l.second = weight, l.first
		case weight > l.second:
			l.second = weight
		}
	}
	places := make([]int, len(list))
	for i, s := range list {
		l := lineOf(&lines, s.DataCentre)
		switch mix(key ^ s.hash) {
		case l.first:
		case l.second:
			places[i] = 1
		default:
			places[i] = lastPlace
		}
	}
	return places
}

// lineOf returns the line of a data centre, of which there are few.
func lineOf(lines *[]leaders, dataCentre string) *leaders {
	for i := range *lines {
		if (*lines)[i].dataCentre == dataCentre {
			return &(*lines)[i]
		}
	}
	*lines = append(*lines, leaders{dataCentre: dataCentre})
	return &(*lines)[len(*lines)-1]
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
