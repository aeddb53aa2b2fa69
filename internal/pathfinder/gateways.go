package pathfinder

import (
	"math/rand/v2"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// gatewaySuspension is how long an instance that did not relay a connection is asked only if all others failed too.
const gatewaySuspension = timer.Second

// gateway is another instance that relays connections to backend servers.
type gateway struct {
	messenger.Gateway
	suspendedUntil timer.Millis
	// tunnels is the number of connections that lead through it.
	tunnels int
}

// SetGateways replaces the instances that connections may lead through; what is known of those that stay is kept.
func (p *Pathfinder) SetGateways(list []messenger.Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(list) == 0 {
		// A control instance that has just started knows of none yet.
		return
	}
	var gateways []*gateway
	for _, r := range list {
		i := slices.IndexFunc(p.gateways, func(old *gateway) bool { return old.Address == r.Address })
		if i >= 0 {
			gateways = append(gateways, p.gateways[i])
			continue
		}
		gateways = append(gateways, &gateway{Gateway: r})
	}
	p.gateways = gateways
	p.deps.Telemetry.Gauge("gateways.known").Update(int64(len(gateways)))
}

// chooseGateways returns up to two instances to reach a server in the given data centre through. The first one has the
// shortest way, and of several the fewest tunnels; the second one is in another data centre if there is one, since a whole
// data centre may be cut off at once.
func (p *Pathfinder) chooseGateways(dataCentre string, now timer.Millis, relays exchanger.Relays) []*gateway {
	type candidate struct {
		*gateway
		suspended bool
		distance  float64
		tie       int
	}
	var list []candidate
	for _, r := range p.gateways {
		if !relays.Allow(r.DataCentre) {
			continue
		}
		list = append(list, candidate{r, now < r.suspendedUntil, p.deps.Distance(p.deps.DataCentre, r.DataCentre) + p.deps.Distance(r.DataCentre, dataCentre),
			rand.Int()})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.suspended != b.suspended:
			if a.suspended {
				return 1
			}
			return -1
		case a.distance != b.distance:
			if a.distance > b.distance {
				return 1
			}
			return -1
		case a.tunnels != b.tunnels:
			return a.tunnels - b.tunnels
		}
		return a.tie - b.tie
	})
	var chosen []*gateway
	for _, c := range list {
		if len(chosen) == 0 || c.DataCentre != chosen[0].DataCentre && !c.suspended {
			chosen = append(chosen, c.gateway)
		}
		if len(chosen) == maxGatewaysAsked {
			return chosen
		}
	}
	if len(chosen) == 1 && len(list) > 1 {
		chosen = append(chosen, list[1].gateway)
	}
	return chosen
}

// maxGatewaysAsked is the number of other instances that are asked for one connection.
const maxGatewaysAsked = 2

// suspend asks an instance only if all others failed too for a while.
func (p *Pathfinder) suspend(r *gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.suspendedUntil = p.deps.Telemetry.Clock.Now() + gatewaySuspension
}

// countTunnel adds to the number of connections that lead through an instance.
func (p *Pathfinder) countTunnel(r *gateway, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.tunnels += n
}
