package pathfinder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// cutOffServers is the number of servers that are reached only through gateways, while none is reached directly, from
	// which this instance takes itself for cut off from all servers.
	cutOffServers = 2
	// probeInterval is the time between direct connections that are tried while servers are reached through gateways, and
	// probeTimeout the time that each may take.
	probeInterval = 400 * timer.Millisecond
	probeTimeout  = 250 * timer.Millisecond
	// serversTried is the number of servers by which this instance finds out whether it reaches any, and reachTimeout the time
	// that it takes for that.
	serversTried = 2
	reachTimeout = 60 * timer.Millisecond
)

// Deps are the dependencies of a pathfinder.
type Deps struct {
	Telemetry  observer.Telemetry
	DataCentre string
	// Distance returns the cost of the way between two data centres.
	Distance func(from, to string) float64
	// Dial opens a connection directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnChange is called after the way to a server, or to all servers, has changed.
	OnChange func()
}

// Pathfinder opens connections to backend servers; it is safe for concurrent use.
type Pathfinder struct {
	deps Deps
	// hasDetours is true while detours is not empty, or cutOff is true.
	hasDetours atomic.Bool
	// wake wakes the goroutine that probes the direct way.
	wake chan struct{}
	tomb tomb.Tomb

	mu       sync.Mutex
	gateways []*gateway
	// detours are the servers that are reached only through gateways, by address; firstDetourAt is the time of the oldest one.
	detours       map[string]exchanger.Endpoint
	firstDetourAt timer.Millis
	// fleet holds the addresses of all servers; it is not changed.
	fleet map[string]bool
	// direct are the servers that were reached directly, by address, the last one at directAt.
	direct   map[string]exchanger.Endpoint
	directAt timer.Millis
	// fruitless is the last race for each server that gateways did not help, by address.
	fruitless map[string]fruitlessRace
	// cutOff means that no server is reached directly.
	cutOff bool
	// detourTokens are the connections that may be tried through gateways at once.
	detourTokens     float64
	tokensRefilledAt timer.Millis
}

// NewPathfinder returns a pathfinder that knows of no gateway.
func NewPathfinder(deps Deps) *Pathfinder {
	return &Pathfinder{deps: deps, wake: make(chan struct{}, 1), detours: map[string]exchanger.Endpoint{},
		direct: map[string]exchanger.Endpoint{}, fruitless: map[string]fruitlessRace{}, detourTokens: maxDetourTokens}
}

// Start starts the probes of the direct way, which run only while servers are reached through gateways.
func (p *Pathfinder) Start() {
	p.tomb.Go(p.loop)
}

// Stop ends the probes.
func (p *Pathfinder) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// IsCutOff reports whether this instance reaches no server directly.
func (p *Pathfinder) IsCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// IsDetour reports whether a server is reached through a gateway.
func (p *Pathfinder) IsDetour(address string) bool {
	if !p.hasDetours.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDetour(address)
}

func (p *Pathfinder) isDetour(address string) bool {
	_, ok := p.detours[address]
	return p.cutOff || ok
}

// Distance returns the cost of the way to a server, through a gateway if it is reached so.
func (p *Pathfinder) Distance(e exchanger.Endpoint) float64 {
	if !p.hasDetours.Load() {
		return p.deps.Distance(p.deps.DataCentre, e.DataCentre)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDetour(e.Address) {
		if chosen := p.chooseGateways(e.DataCentre, p.deps.Telemetry.Clock.Now(), nil); len(chosen) > 0 {
			via := chosen[0].DataCentre
			return p.deps.Distance(p.deps.DataCentre, via) + p.deps.Distance(via, e.DataCentre)
		}
	}
	return p.deps.Distance(p.deps.DataCentre, e.DataCentre)
}

// Retain forgets all servers but those at the given addresses, which the caller must not change any more.
func (p *Pathfinder) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = addresses
	for _, m := range []map[string]exchanger.Endpoint{p.detours, p.direct} {
		for a := range m {
			if !addresses[a] {
				delete(m, a)
			}
		}
	}
	for a := range p.fruitless {
		if !addresses[a] {
			delete(p.fruitless, a)
		}
	}
	if len(p.detours) == 0 {
		p.cutOff = false
	}
	p.hasDetours.Store(len(p.detours) > 0)
}

// recordDirect records a direct connection to a server.
func (p *Pathfinder) recordDirect(e exchanger.Endpoint) {
	if p.endDetour(e) {
		p.deps.OnChange()
	}
}

// endDetour ends the detour to a server that was reached directly, and reports whether anything has changed. If this instance
// took itself for cut off, that ends too: the other servers are tried directly first again.
func (p *Pathfinder) endDetour(e exchanger.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct[e.Address] = e
	p.directAt = p.deps.Telemetry.Clock.Now()
	_, wasDetour := p.detours[e.Address]
	if !wasDetour && !p.cutOff {
		return false
	}
	delete(p.detours, e.Address)
	if p.cutOff && wasDetour {
		clear(p.detours)
	}
	p.deps.Telemetry.Log.Info("backend server is reached directly again", "address", e.Address, "was-cut-off", p.cutOff,
		"detours", len(p.detours))
	p.cutOff = false
	p.hasDetours.Store(len(p.detours) > 0)
	return true
}

// recordDetour records that a server was reached through a gateway, while the direct way failed or took long.
func (p *Pathfinder) recordDetour(e exchanger.Endpoint, via *gateway, directErr error) {
	if p.beginDetour(e, via, directErr) {
		p.deps.OnChange()
	}
}

// beginDetour begins the detour to a server, and reports whether that is new.
func (p *Pathfinder) beginDetour(e exchanger.Endpoint, via *gateway, directErr error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.fruitless, e.Address)
	delete(p.direct, e.Address)
	if _, known := p.detours[e.Address]; known {
		return false
	}
	now := p.deps.Telemetry.Clock.Now()
	if len(p.detours) == 0 {
		p.firstDetourAt = now
	}
	p.detours[e.Address] = e
	p.hasDetours.Store(true)
	if !p.cutOff {
		p.deps.Telemetry.Log.Warn("backend server is reached through a gateway only", "address", e.Address, "gateway", via.Address,
			"gateway-data-centre", via.DataCentre, "error", directErr, "detours", len(p.detours))
	}
	if !p.cutOff && len(p.detours) >= cutOffServers && p.directAt < p.firstDetourAt {
		p.cutOff = true
		p.deps.Telemetry.Log.Warn("no backend server is reached directly; all connections lead through gateways",
			"gateways", len(p.gateways), "last-direct-ms", int64(now-p.directAt))
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return true
}

// ReachesAnother reports whether this instance reaches a server other than the given one directly. Without that, its failure to
// reach the given one says nothing, unless the fleet has no other.
func (p *Pathfinder) ReachesAnother(ctx context.Context, address string) bool {
	others := p.othersToTry(address)
	ctx, cancel := context.WithTimeout(ctx, reachTimeout.Duration())
	defer cancel()
	reached := make(chan bool, len(others))
	for _, e := range others {
		go func() { reached <- p.connectsTo(ctx, e) }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return len(others) == 0
}

// othersToTry returns up to serversTried servers other than the given one: those that were reached directly first, which are the most
// likely to be up.
func (p *Pathfinder) othersToTry(address string) []exchanger.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []exchanger.Endpoint
	for a, e := range p.direct {
		if a != address && len(others) < serversTried {
			others = append(others, e)
		}
	}
	for a := range p.fleet {
		if _, isDirect := p.direct[a]; isDirect || a == address || len(others) == serversTried {
			continue
		}
		e, isDetour := p.detours[a]
		if !isDetour {
			e.Address = a
		}
		others = append(others, e)
	}
	return others
}

// connectsTo opens and closes a direct connection, and reports whether that succeeded.
func (p *Pathfinder) connectsTo(ctx context.Context, e exchanger.Endpoint) bool {
	conn, err := p.deps.Dial(ctx, e.Address)
	if err != nil {
		p.deps.Telemetry.Log.Debug("backend server is not reached directly", "address", e.Address, "error", err)
		return false
	}
	_ = conn.Close()
	p.mu.Lock()
	_, isDetour := p.detours[e.Address]
	_, isDirect := p.direct[e.Address]
	p.mu.Unlock()
	if isDetour || isDirect {
		p.recordDirect(e)
	}
	return true
}

// loop probes the direct way while there are detours.
func (p *Pathfinder) loop() error {
	ctx := p.tomb.Context(context.Background())
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return nil
		}
		for n := 0; p.hasDetours.Load(); n++ {
			if p.deps.Telemetry.Clock.Sleep(ctx, probeInterval) != nil {
				return nil
			}
			if e, ok := p.nextProbe(n); ok {
				p.probe(ctx, e)
			}
		}
	}
}

// nextProbe returns the server for the nth probe. An instance that takes itself for cut off also tries servers that it
// reached directly before: only some may be cut off.
func (p *Pathfinder) nextProbe(n int) (exchanger.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.detours
	if p.cutOff && len(p.direct) > 0 && n%2 == 1 {
		from = p.direct
	}
	// The order of a map is random, so no server is left out for long.
	for _, e := range from {
		return e, true
	}
	return exchanger.Endpoint{}, false
}

// probe tries a direct connection.
func (p *Pathfinder) probe(ctx context.Context, e exchanger.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	p.connectsTo(ctx, e)
}
