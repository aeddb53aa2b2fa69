package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// prefillBatchDelay batches the prefill reports of several entry instances into one message. Where queues matter, a
// prompt waits at least tens of milliseconds.
const prefillBatchDelay = 10 * timer.Millisecond

// sendOthersPrefill sends each entry instance of the same data centre the prefill that the others have sent to backend
// servers. The entry instances of the region report here; work seldom crosses between regions.
func (s *Steward) sendOthersPrefill() {
	for conn := range s.pendingPrefillByEntry {
		if _, open := s.connections[conn]; !open {
			delete(s.pendingPrefillByEntry, conn)
		}
	}
	for conn, g := range s.connections {
		if g.Address == "" && g.DataCentre == s.deps.Self.DataCentre {
			if list := s.othersPrefill(conn); len(list) > 0 || s.nonEmptyPrefillSent[conn] {
				s.nonEmptyPrefillSent[conn] = len(list) > 0
				conn.Send(messenger.Packet{OthersPendingPrefill: list, HasPendingPrefill: true})
			}
		}
	}
	maps.DeleteFunc(s.nonEmptyPrefillSent,
		func(conn *messenger.Link, _ bool) bool { _, open := s.connections[conn]; return !open })
}

// othersPrefill sums the reported prefill by backend server, without the reports of one link.
func (s *Steward) othersPrefill(self *messenger.Link) []messenger.PendingPrefill {
	sums := map[string][]float64{}
	for conn, list := range s.pendingPrefillByEntry {
		if conn == self {
			continue
		}
		for _, p := range list {
			sum := sums[p.Server]
			for urgency, ms := range p.Millis() {
				if urgency >= len(sum) {
					sum = append(sum, 0)
				}
				sum[urgency] += ms
			}
			sums[p.Server] = sum
		}
	}
	list := make([]messenger.PendingPrefill, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, messenger.NewPendingPrefill(name, sums[name]))
	}
	return list
}
