package subscriber

import (
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// gatewayRequestInterval is the time between requests for gateways. The last answer must name some that are still there when
// the direct way is cut.
const gatewayRequestInterval = 2 * timer.Second

// firstGatewayRequestInterval is the time between requests while none is known.
const firstGatewayRequestInterval = 500 * timer.Millisecond

// SetGateway sets the address at which this instance relays the connections of others, and tells the control instances; an
// empty one means that it relays none.
func (s *Subscriber) SetGateway(address string) {
	if old := s.gateway.Swap(&address); *old == address {
		return
	}
	s.enqueue(func() {
		g := s.greeting()
		s.broadcast(messenger.Packet{Greeting: &g})
		s.requestGateways()
	})
}

// greeting returns how this instance introduces itself.
func (s *Subscriber) greeting() messenger.Greeting {
	g := s.deps.Self
	g.Gateway = *s.gateway.Load()
	return g
}

// requestGateways asks the nearest control instance for gateways.
func (s *Subscriber) requestGateways() {
	s.gatewaysRequestedAt = s.deps.Telemetry.Clock.Now()
	s.sendToNearest(messenger.Packet{RequestsGateways: true})
}

// refreshGateways asks for gateways if the last answer is old.
func (s *Subscriber) refreshGateways() {
	interval := gatewayRequestInterval
	if !s.knowsGateways {
		interval = firstGatewayRequestInterval
	}
	if s.deps.Telemetry.Clock.Now()-s.gatewaysRequestedAt >= interval {
		s.requestGateways()
	}
}
