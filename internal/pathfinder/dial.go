package pathfinder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/tunneler"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// attemptDelay is how long one way may take before the next one is tried beside it. The round trip to the farthest server
	// takes tens of milliseconds.
	attemptDelay = 80 * timer.Millisecond
	// fruitlessSpan is how long no gateway is asked for a server that they do not reach either.
	fruitlessSpan = timer.Second
	// maxDetourTokens and detourTokenInterval bound the connections that are tried through gateways while the direct way is
	// not known to be cut: an instance that is itself slow must not burden the others.
	maxDetourTokens     = 8
	detourTokenInterval = 40 * timer.Millisecond
)

var (
	// ErrNoPath is the error of a server that is reached neither directly nor through a gateway.
	ErrNoPath = errors.New("no way to the backend server")
	// ErrUnconfirmed is the error of a server that is not reached, while no gateway has said that it does not reach it either.
	// The fault may be that of this instance.
	ErrUnconfirmed = errors.New("not confirmed by a gateway")
)

// attempt is the outcome of one way to a server; gateway is nil for the direct one.
type attempt struct {
	conn    net.Conn
	gateway *gateway
	err     error
}

// verdict is what gateways have said about a server that was not reached.
type verdict uint8

const (
	// verdictNone: no gateway was to be asked.
	verdictNone verdict = iota
	// verdictUnconfirmed: none has answered, so the fault may be that of this instance.
	verdictUnconfirmed
	// verdictUnreachable: a gateway does not reach the server either.
	verdictUnreachable
	// verdictRefused: the server's address refuses connections to a gateway too.
	verdictRefused
)

// fruitlessRace is a race that gateways did not help.
type fruitlessRace struct {
	// until is when gateways are asked again.
	until   timer.Millis
	verdict verdict
}

// race is the search for a connection to one server.
type race struct {
	p        *Pathfinder
	endpoint exchanger.Endpoint
	// ways are tried in this order; nil is the direct one.
	ways []*gateway
	// isDetour means that the direct way is known to be cut.
	isDetour bool
	// lastVerdict is that of the gateways in an earlier race, and holds while they are not asked again; verdictNone else.
	lastVerdict    verdict
	outcomes       chan attempt
	started, ended int
	failures       []attempt
}

// Dial opens a connection to a server before the context ends. It starts with the way that worked last, and tries the next one
// beside it when that one fails or takes long. The connection leads through no instance but the given ones.
func (p *Pathfinder) Dial(ctx context.Context, e exchanger.Endpoint, relays exchanger.Relays) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := p.newRace(e, relays)
	defer func() { go r.runCleanup() }()
	r.startNext(ctx)
	for r.ended < len(r.ways) {
		select {
		case a := <-r.outcomes:
			r.ended++
			if a.err == nil {
				r.recordSuccess(a)
				return a.conn, nil
			}
			r.failures = append(r.failures, a)
			r.startNext(ctx)
		case <-r.nextDue():
			r.startNext(ctx)
		case <-ctx.Done():
			return nil, r.failure(ctx.Err())
		}
	}
	return nil, r.failure(nil)
}

func (p *Pathfinder) newRace(e exchanger.Endpoint, relays exchanger.Relays) *race {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Telemetry.Clock.Now()
	var gateways []*gateway
	last := p.fruitless[e.Address]
	if p.cutOff || now >= last.until {
		gateways, last = p.chooseGateways(e.DataCentre, now, relays), fruitlessRace{}
	}
	r := &race{p: p, endpoint: e, isDetour: p.isDetour(e.Address) && len(gateways) > 0, lastVerdict: last.verdict}
	if len(gateways) == 0 && relays != nil && len(p.gateways) > 0 {
		r.lastVerdict = max(r.lastVerdict, verdictUnconfirmed)
	}
	if r.isDetour {
		r.ways = append(gateways, nil)
	} else {
		r.ways = append([]*gateway{nil}, gateways...)
	}
	r.outcomes = make(chan attempt, len(r.ways))
	return r
}

// nextDue returns a channel that delivers when the next way is to be tried, nil if there is none.
func (r *race) nextDue() <-chan timer.Tick {
	if r.started == len(r.ways) {
		return nil
	}
	return r.p.deps.Telemetry.Clock.After(attemptDelay)
}

// startNext tries the next way, if there is one and it may be tried now.
func (r *race) startNext(ctx context.Context) {
	if r.started == len(r.ways) {
		return
	}
	way := r.ways[r.started]
	if way != nil && !r.isDetour && !r.p.takeDetourToken() {
		return
	}
	r.started++
	go r.runAttempt(ctx, way)
}

// takeDetourToken reports whether another connection may be tried through a gateway.
func (p *Pathfinder) takeDetourToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Telemetry.Clock.Now()
	p.detourTokens = min(maxDetourTokens, p.detourTokens+float64(now-p.tokensRefilledAt)/float64(detourTokenInterval))
	p.tokensRefilledAt = now
	if p.detourTokens < 1 {
		return false
	}
	p.detourTokens--
	return true
}

// runAttempt tries one way.
func (r *race) runAttempt(ctx context.Context, way *gateway) {
	a := attempt{gateway: way}
	if way == nil {
		a.conn, a.err = r.p.deps.Dial(ctx, r.endpoint.Address)
		r.outcomes <- a
		return
	}
	tunnel, err := tunneler.Dial(ctx, r.p.deps.Dial, way.Address, r.endpoint.Address)
	if err == nil {
		a.conn = r.p.newDetourConn(tunnel, r.endpoint, way)
	} else if a.err = err; !hasAnswered(err) && !isResting(err) && !errors.Is(err, context.Canceled) {
		r.p.suspend(way)
	}
	r.outcomes <- a
}

// hasAnswered reports whether the error of a gateway tells that it does not reach the server.
func hasAnswered(err error) bool {
	return errors.Is(err, tunneler.ErrUnreachable) || errors.Is(err, tunneler.ErrRefused)
}

// isResting reports whether the error of a gateway tells that the server rests there.
func isResting(err error) bool {
	var resting *tunneler.RestingError
	return errors.As(err, &resting)
}

// runCleanup closes the connections that are opened too late.
func (r *race) runCleanup() {
	for range r.started - r.ended {
		if a := <-r.outcomes; a.err == nil {
			_ = a.conn.Close()
		}
	}
}

func (r *race) recordSuccess(a attempt) {
	if a.gateway == nil {
		r.p.recordDirect(r.endpoint)
		return
	}
	r.p.deps.Telemetry.Counter("servers.detours").Inc(1)
	var directErr error
	for _, f := range r.failures {
		if f.gateway == nil {
			directErr = f.err
		}
	}
	r.p.recordDetour(r.endpoint, a.gateway, directErr)
}

// failure returns the error of a race without a winner. It wraps syscall.ECONNREFUSED only if a gateway was refused too, or if
// there is none to ask: an instance may be refused by a fault on its own way.
func (r *race) failure(ctxErr error) error {
	v := min(r.lastVerdict, verdictUnreachable)
	if len(r.ways) > 1 {
		v = verdictUnconfirmed
	}
	text := ""
	for _, f := range r.failures {
		if isResting(f.err) {
			return fmt.Errorf("%w, %w: %w", ErrNoPath, ErrUnconfirmed, f.err)
		}
		switch {
		case errors.Is(f.err, tunneler.ErrRefused), errors.Is(f.err, syscall.ECONNREFUSED) && r.lastVerdict == verdictRefused:
			v = verdictRefused
		case hasAnswered(f.err):
			v = max(v, verdictUnreachable)
		}
		text += "; " + f.err.Error()
	}
	if ctxErr != nil {
		text += "; " + ctxErr.Error()
	}
	if r.started > 1 && !errors.Is(ctxErr, context.Canceled) {
		r.markFruitless(v)
	}
	switch {
	case v == verdictNone && len(r.failures) == 1:
		return r.failures[0].err
	case v == verdictRefused:
		return fmt.Errorf("%w%s: %w", ErrNoPath, text, syscall.ECONNREFUSED)
	case v == verdictUnconfirmed:
		return fmt.Errorf("%w, %w%s", ErrNoPath, ErrUnconfirmed, text)
	}
	return fmt.Errorf("%w%s", ErrNoPath, text)
}

// markFruitless keeps the next connections to the server from asking gateways again; what they have said holds until then.
func (r *race) markFruitless(v verdict) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	r.p.fruitless[r.endpoint.Address] = fruitlessRace{until: r.p.deps.Telemetry.Clock.Now() + fruitlessSpan, verdict: v}
}

// detourConn is a connection through a gateway.
type detourConn struct {
	*tunneler.Conn
	p         *Pathfinder
	endpoint  exchanger.Endpoint
	gateway   *gateway
	closeOnce sync.Once
}

func (p *Pathfinder) newDetourConn(c *tunneler.Conn, e exchanger.Endpoint, via *gateway) *detourConn {
	p.countTunnel(via, 1)
	return &detourConn{Conn: c, p: p, endpoint: e, gateway: via}
}

// RelayDataCentre returns the data centre of the gateway.
func (c *detourConn) RelayDataCentre() string {
	return c.gateway.DataCentre
}

// Close closes the connection.
func (c *detourConn) Close() error {
	c.closeOnce.Do(func() { c.p.countTunnel(c.gateway, -1) })
	return c.Conn.Close()
}

// ReportRest tells the gateway that the server has asked to be left alone.
func (c *detourConn) ReportRest(rest timer.Millis) {
	go c.runRestReport(rest)
}

func (c *detourConn) runRestReport(rest timer.Millis) {
	if err := tunneler.ReportRest(context.Background(), c.p.deps.Dial, c.gateway.Address, c.endpoint.Address, rest); err != nil {
		c.p.deps.Telemetry.Log.Info("gateway not told that a backend server rests", "gateway", c.gateway.Address, "server", c.endpoint.Address, "error", err)
	}
}

// Read reads what the server has sent.
func (c *detourConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, tunneler.ErrCut) && !errors.Is(err, net.ErrClosed) {
		c.p.suspend(c.gateway)
	}
	return n, err
}

// IsExpired reports whether the connection should carry no further request: its server is reached directly again, or its
// gateway stops.
func (c *detourConn) IsExpired() bool {
	return c.Conn.IsExpired() || !c.p.IsDetour(c.endpoint.Address)
}
