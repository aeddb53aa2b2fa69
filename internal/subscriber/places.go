package subscriber

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// ClaimPlaces sends the claims for places of brittle servers that have changed; it never blocks.
func (s *Subscriber) ClaimPlaces() {
	select {
	case s.placeChanges <- struct{}{}:
	default:
	}
}

// sendPlaceClaims sends the changed claims, or all of them, to the control instances that keep the ledgers of the servers.
func (s *Subscriber) sendPlaceClaims(all bool) {
	claims := s.deps.PlaceClaims(all)
	if len(claims) == 0 {
		return
	}
	linkOf := map[allotter.Candidate]*messenger.Link{}
	var candidates []allotter.Candidate
	for l := range s.links {
		c := allotter.Candidate{Instance: l.PeerGreeting().Instance, DataCentre: l.PeerGreeting().DataCentre}
		linkOf[c] = l
		candidates = append(candidates, c)
	}
	byLink := map[*messenger.Link][]allotter.Claim{}
	for _, c := range claims {
		if keeper, ok := allotter.Keeper(c.Server, c.DataCentre, candidates); ok {
			byLink[linkOf[keeper]] = append(byLink[linkOf[keeper]], c)
		}
	}
	for l, list := range byLink {
		l.Send(messenger.Packet{PlaceClaims: list})
	}
}
