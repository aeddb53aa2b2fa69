package steward

import (
	"github.com/eelgrasshook/eelgrasshook/internal/allotter"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// placeInterval is the time between looks at ledgers whose places become free without a claim: a level rises, or the places of
// an instance that is gone come back.
const placeInterval = 50 * timer.Millisecond

// applyServerReports handles what an entry instance reports about backend servers in trouble.
func (s *Steward) applyServerReports(conn *messenger.Link, sender messenger.Greeting, p messenger.Packet) {
	if len(p.ServerAlarms) > 0 {
		s.addAlarms(sender.Instance, p.ServerAlarms)
	}
	if p.HasRateReports {
		s.addRateReports(conn, p.RateReports)
	}
	if len(p.PlaceClaims) > 0 {
		s.addPlaceClaims(conn, p.PlaceClaims)
	}
	if len(p.Readings) > 0 {
		s.addReadings(p.Readings)
	}
	if len(p.StartClaims) > 0 {
		s.addStartClaims(conn, p.StartClaims)
	}
}

// addStartClaims applies the claims of an entry instance for starts at cold servers, and answers. Claims for a server whose starts
// another control instance paces get no answer.
func (s *Steward) addStartClaims(conn *messenger.Link, claims []allotter.StartClaim) {
	key, ok := s.registerClaimant(conn)
	if !ok {
		return
	}
	candidates := s.ledgerCandidates()
	now := s.deps.Telemetry.Clock.Now()
	for _, c := range claims {
		if keeper, found := allotter.NearKeeper(c.Server, c.DataCentre, candidates); found && keeper == candidates[0] {
			s.starts.Claim(key, c, now)
		}
	}
	s.sendPlaceGrants()
}

// addPlaceClaims applies the claims of an entry instance for places of brittle servers, and answers. Claims for a server whose
// ledger another control instance keeps get no answer: two keepers would give the same places away.
func (s *Steward) addPlaceClaims(conn *messenger.Link, claims []allotter.Claim) {
	key, ok := s.registerClaimant(conn)
	if !ok {
		return
	}
	candidates := s.ledgerCandidates()
	now := s.deps.Telemetry.Clock.Now()
	for _, c := range claims {
		if keeper, _ := allotter.Keeper(c.Server, c.DataCentre, candidates); keeper == candidates[0] {
			s.places.Claim(key, c, now)
		}
	}
	s.sendPlaceGrants()
}

// registerClaimant notes the link to an entry instance that claims places or starts, and returns its key in the ledgers.
func (s *Steward) registerClaimant(conn *messenger.Link) (key string, ok bool) {
	sender, ok := s.connections[conn]
	if ok {
		key = incarnationKey(sender)
		s.placeLinks[key] = conn
	}
	return key, ok
}

// ledgerCandidates returns the control instances that may keep ledgers, this one first.
func (s *Steward) ledgerCandidates() []allotter.Candidate {
	list := []allotter.Candidate{{Instance: s.deps.Self.Instance, DataCentre: s.deps.Self.DataCentre}}
	for _, g := range s.connections {
		if g.Address != "" && !g.Stopping {
			list = append(list, allotter.Candidate{Instance: g.Instance, DataCentre: g.DataCentre})
		}
	}
	return list
}

// sendPlaceGrants gives free places and starts to the entry instances that want them.
func (s *Steward) sendPlaceGrants() {
	for key, grants := range s.starts.Settle(s.deps.Telemetry.Clock.Now()) {
		if conn := s.placeLinks[key]; conn != nil {
			conn.Send(messenger.Packet{StartGrants: grants})
		}
	}
	for key, grants := range s.places.Settle(s.deps.Telemetry.Clock.Now()) {
		if conn := s.placeLinks[key]; conn != nil {
			conn.Send(messenger.Packet{PlaceGrants: grants})
		}
	}
	if s.placeTimer == nil && (s.places.HasWork() || s.starts.HasWork()) {
		s.placeTimer = s.deps.Telemetry.Clock.After(placeInterval)
	}
}

// loseClaimant marks the places of an entry instance whose link has closed, unless it has opened another one.
func (s *Steward) loseClaimant(conn *messenger.Link, peer messenger.Greeting) {
	key := incarnationKey(peer)
	if s.placeLinks[key] != conn {
		return
	}
	delete(s.placeLinks, key)
	s.places.Lose(key, s.deps.Telemetry.Clock.Now())
	s.starts.Lose(key)
	s.sendPlaceGrants()
}
