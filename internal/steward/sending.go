package steward

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// isRelayFor reports whether this instance passes on to the entry instances of a data centre what it hears from other
// control instances: in its own data centre, and where there is no control instance. All others hear it from the instance
// that was told first and from their own one.
func (s *Steward) isRelayFor(dataCentre string) bool {
	if dataCentre == s.deps.Self.DataCentre {
		return true
	}
	for _, g := range s.connections {
		if g.Address != "" && g.DataCentre == dataCentre {
			return false
		}
	}
	return true
}

// relayedEntries returns the links to the entry instances that this instance is a relay for.
func (s *Steward) relayedEntries() []*messenger.Link {
	relayFor := map[string]bool{}
	var list []*messenger.Link
	for conn, g := range s.connections {
		if g.Address != "" {
			continue
		}
		is, known := relayFor[g.DataCentre]
		if !known {
			is = s.isRelayFor(g.DataCentre)
			relayFor[g.DataCentre] = is
		}
		if is {
			list = append(list, conn)
		}
	}
	return list
}

// takeOverRelay sends the whole roster to the entry instances of a data centre that has lost its last control instance:
// one that has started meanwhile may lack it.
func (s *Steward) takeOverRelay(dataCentre string) {
	if dataCentre == s.deps.Self.DataCentre || !s.isRelayFor(dataCentre) {
		return
	}
	for conn, g := range s.connections {
		if g.Address == "" && g.DataCentre == dataCentre {
			conn.Send(messenger.Packet{Members: s.rows()})
		}
	}
}

// sendToEntries sends a packet to every connected entry instance.
func (s *Steward) sendToEntries(p messenger.Packet) {
	for conn, g := range s.connections {
		if g.Address == "" {
			conn.Send(p)
		}
	}
}

// sendToAll sends a packet once to every connected entry and control instance.
func (s *Steward) sendToAll(p messenger.Packet) {
	s.sendToEntries(p)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, conn := range s.connectionByAddress {
		conn.Send(p)
	}
}

// sendControlAddresses sends the addresses of the control instances to the entry instances if they have changed: most
// links that open are those of entry instances, which change nothing.
func (s *Steward) sendControlAddresses() {
	addresses := s.controlAddresses()
	if slices.Equal(addresses, s.sentControlAddresses) {
		return
	}
	s.sentControlAddresses = addresses
	s.sendToEntries(messenger.Packet{ControlAddresses: addresses})
}
