package steward

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// relayedEntries returns the links to the entry instances to which this instance passes on what it hears from another
// control instance: those of its own data centre and of data centres without a control instance. All others hear it from
// the instance that was told first and from their own one.
func (s *Steward) relayedEntries() []*messenger.Link {
	hasControl := map[string]bool{}
	for _, g := range s.connections {
		if g.Address != "" {
			hasControl[g.DataCentre] = true
		}
	}
	var list []*messenger.Link
	for conn, g := range s.connections {
		if g.Address == "" && (g.DataCentre == s.deps.Self.DataCentre || !hasControl[g.DataCentre]) {
			list = append(list, conn)
		}
	}
	return list
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
