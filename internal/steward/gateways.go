package steward

import (
	"math/rand/v2"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// maxGateways is the number of gateways that an entry instance is told of in its own data centre, and in all others together.
const maxGateways = 4

// chooseGateways returns some entry instances that relay the connections of others, for the given one: a random choice spreads
// the load.
func (s *Steward) chooseGateways(peer messenger.Greeting) []messenger.Gateway {
	var near, far []messenger.Gateway
	for _, g := range s.connections {
		gateway := messenger.Gateway{Address: g.Gateway, DataCentre: g.DataCentre}
		switch {
		case g.Gateway == "" || g.Instance == peer.Instance:
		case g.DataCentre == peer.DataCentre:
			near = append(near, gateway)
		default:
			far = append(far, gateway)
		}
	}
	return slices.Concat(pick(near), pick(far))
}

// pick returns up to maxGateways entries in random order.
func pick(list []messenger.Gateway) []messenger.Gateway {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxGateways)]
}
