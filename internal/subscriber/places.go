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

// sendPlaceClaims sends the changed claims for places, or all of them, and the claims for starts that are due, to the control instances
// that keep the ledgers of the servers.
func (s *Subscriber) sendPlaceClaims(all bool) {
	places, starts := s.deps.PlaceClaims(all), s.deps.StartClaims()
	if len(places)+len(starts) == 0 {
		return
	}
	linkOf := map[allotter.Candidate]*messenger.Link{}
	var candidates []allotter.Candidate
	for l := range s.links {
		c := allotter.Candidate{Instance: l.PeerGreeting().Instance, DataCentre: l.PeerGreeting().DataCentre}
		linkOf[c] = l
		candidates = append(candidates, c)
	}
	packets := map[*messenger.Link]messenger.Packet{}
	for _, c := range places {
		if keeper, ok := allotter.Keeper(c.Server, c.DataCentre, candidates); ok {
			p := packets[linkOf[keeper]]
			p.PlaceClaims = append(p.PlaceClaims, c)
			packets[linkOf[keeper]] = p
		}
	}
	for _, c := range starts {
		if keeper, ok := allotter.NearKeeper(c.Server, c.DataCentre, candidates); ok {
			p := packets[linkOf[keeper]]
			p.StartClaims = append(p.StartClaims, c)
			packets[linkOf[keeper]] = p
		}
	}
	for l, p := range packets {
		l.Send(p)
	}
}
