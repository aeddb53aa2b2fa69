package pathfinder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/tunneler"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// network is the way from an instance to servers, which a test can cut.
type network struct {
	mu sync.Mutex
	// cut holds the addresses that this instance does not reach, down those that nobody reaches.
	cut, down map[string]bool
	// refuses makes connections to such addresses fail at once instead of hanging.
	refuses bool
	dials   atomic.Int64
}

func (n *network) set(addresses map[string]bool, list []exchanger.Endpoint, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range list {
		addresses[e.Address] = value
	}
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.dials.Add(1)
	n.mu.Lock()
	isCut := n.cut[address]
	n.mu.Unlock()
	return n.connect(ctx, address, isCut)
}

// dialElsewhere opens a connection from an instance that is not cut off.
func (n *network) dialElsewhere(ctx context.Context, address string) (net.Conn, error) {
	return n.connect(ctx, address, false)
}

func (n *network) connect(ctx context.Context, address string, isCut bool) (net.Conn, error) {
	n.mu.Lock()
	unreachable, refuses := isCut || n.down[address], n.refuses
	n.mu.Unlock()
	switch {
	case unreachable && refuses:
		return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	case unreachable:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// newTestPathfinder returns a pathfinder with servers and gateways.
func newTestPathfinder(t *testing.T, refuses bool, servers, gateways int) (*Pathfinder, *network, []exchanger.Endpoint) {
	t.Helper()
	n := &network{cut: map[string]bool{}, down: map[string]bool{}, refuses: refuses}
	p := NewPathfinder(Deps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), DataCentre: "a", Dial: n.dial, OnChange: func() {},
		Distance: func(from, to string) float64 {
			if from == to {
				return 0
			}
			return 1
		}})
	p.Start()
	t.Cleanup(func() {
		if err := p.Stop(); err != nil {
			t.Error(err)
		}
	})
	var list []exchanger.Endpoint
	for range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		list = append(list, exchanger.Endpoint{Address: l.Addr().String(), DataCentre: "a"})
	}
	var relays []messenger.Gateway
	for i := range gateways {
		h := tunneler.NewHandler(tunneler.HandlerDeps{Telemetry: observer.NewDiscard(timer.NewSystemClock()), RestLeft: func(string) timer.Millis { return 0 }, Dial: n.dialElsewhere,
			IsServer: func(string) bool { return true }, IsCutOff: func() bool { return false },
			ReachesAnother: func(context.Context, string) bool { return true }})
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		relays = append(relays, messenger.Gateway{Address: server.Listener.Addr().String(), DataCentre: []string{"a", "b"}[i%2]})
	}
	p.SetGateways(relays)
	return p, n, list
}

// dialTimeout is the time that a request has for a connection.
const dialTimeout = 300 * time.Millisecond

func dial(p *Pathfinder, e exchanger.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, e, nil)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

func (p *Pathfinder) countDetours() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.detours)
}

// Tells an instance that is cut off from one or all servers apart from servers that are down for everybody.
func TestCutsAndServersThatAreDown(t *testing.T) {
	const servers = 4
	tests := map[string]struct {
		refuses          bool
		cut, down        int
		reached, detours int
		cutOff           bool
	}{
		"nothing":                             {false, 0, 0, 4, 0, false},
		"cut off, connections hang":           {false, 4, 0, 4, 4, true},
		"cut off, connections are refused":    {true, 4, 0, 4, 4, true},
		"one way hangs":                       {false, 1, 0, 4, 1, false},
		"one way is refused":                  {true, 1, 0, 4, 1, false},
		"one server is dark":                  {false, 0, 1, 3, 0, false},
		"all servers are dark":                {false, 0, 4, 0, 0, false},
		"all servers are down":                {true, 0, 4, 0, 0, false},
		"cut off, and one server of four":     {true, 4, 1, 3, 3, true},
		"cut off, and all servers are down":   {true, 4, 4, 0, 0, false},
		"three of four ways are cut":          {true, 3, 0, 4, 3, false},
		"three of four ways hang":             {false, 3, 0, 4, 3, false},
		"one way is cut, one server is down":  {true, 1, 2, 2, 0, false},
		"one way hangs, two servers are dark": {false, 1, 2, 2, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, n, list := newTestPathfinder(t, tt.refuses, servers, 2)
			n.set(n.cut, list[:tt.cut], true)
			n.set(n.down, list[:tt.down], true)
			reached := 0
			for i := range list {
				// The last servers, which are reached directly in a partial cut, come first.
				e := list[len(list)-1-i]
				err := dial(p, e)
				if err == nil {
					reached++
				} else if want := tt.refuses; errors.Is(err, syscall.ECONNREFUSED) != want {
					t.Errorf("%v; refused: want %t", err, want)
				}
			}
			// Where only some ways are cut, a probe of the others finds that out.
			deadline := time.Now().Add(3 * time.Second)
			for p.IsCutOff() != tt.cutOff && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			if detours := p.countDetours(); reached != tt.reached || detours != tt.detours || p.IsCutOff() != tt.cutOff {
				t.Fatalf("reached %d with %d detours, cut off %t; want %d, %d, %t", reached, detours, p.IsCutOff(), tt.reached, tt.detours, tt.cutOff)
			}
		})
	}
}

// Guards against an address that counts as refusing connections because this instance alone is refused.
func TestRefusalIsConfirmedByAGateway(t *testing.T) {
	p, n, list := newTestPathfinder(t, true, 1, 1)
	n.set(n.cut, list, true)
	p.gateways[0].Address = list[0].Address // The gateway cannot be asked.
	// After the first time no gateway is asked for a while.
	for range 3 {
		if err := dial(p, list[0]); !errors.Is(err, ErrUnconfirmed) || errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("got %v, want an error that does not blame the server", err)
		}
	}
}

// Guards against the opposite: a refusal that a gateway has confirmed is known while no gateway is asked.
func TestConfirmedRefusalIsRemembered(t *testing.T) {
	p, n, list := newTestPathfinder(t, true, 1, 1)
	n.set(n.down, list, true)
	for range 3 {
		if err := dial(p, list[0]); errors.Is(err, ErrUnconfirmed) || !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("got %v, want a refusal", err)
		}
	}
}

// Guards against connections that wait for each other's time limits when an instance that relays them is dark.
func TestSecondGatewayIsTriedBesideASilentOne(t *testing.T) {
	p, n, list := newTestPathfinder(t, true, 3, 2)
	n.set(n.cut, list, true)
	silent := p.chooseGateways("a", 0, nil)[0].Address
	n.refuses = false
	n.set(n.cut, []exchanger.Endpoint{{Address: silent}}, true)
	for _, e := range list {
		if err := dial(p, e); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against an instance that is slow itself and burdens the others with all of its connections.
func TestConnectionsThroughGatewaysAreBounded(t *testing.T) {
	p, n, list := newTestPathfinder(t, true, 1, 1)
	n.set(n.down, list, true)
	start := time.Now()
	asked := 0
	for range 200 {
		if p.takeDetourToken() {
			asked++
		}
	}
	limit := maxDetourTokens + int(time.Since(start)/(40*time.Millisecond)) + 1
	if asked > limit {
		t.Fatalf("%d connections were tried through gateways at once, want %d at most", asked, limit)
	}
}

// Guards against an instance that stays on detours after the cut, or whose probes never end.
func TestReturnToTheDirectWay(t *testing.T) {
	for name, cut := range map[string]int{"all servers": 3, "one server": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, n, list := newTestPathfinder(t, true, 3, 2)
			n.set(n.cut, list[:cut], true)
			for i := range list {
				if err := dial(p, list[len(list)-1-i]); err != nil {
					t.Fatal(err)
				}
			}
			conn, err := p.Dial(context.Background(), list[0], nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if conn.(exchanger.Detour).IsExpired() {
				t.Fatal("the detour is expired while the way is cut")
			}
			n.set(n.cut, list[:cut], false)
			for deadline := time.Now().Add(3 * time.Second); p.hasDetours.Load(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("servers are still reached through gateways")
				}
			}
			if !conn.(exchanger.Detour).IsExpired() || p.IsCutOff() {
				t.Fatal("the detour is still used")
			}
			dials := n.dials.Load()
			time.Sleep(3 * probeInterval.Duration())
			if n.dials.Load() > dials {
				t.Fatal("probes go on though every server is reached directly")
			}
		})
	}
}

// Guards against probes and detours of servers that have left.
func TestServersThatLeaveAreForgotten(t *testing.T) {
	p, n, list := newTestPathfinder(t, true, 3, 2)
	n.set(n.cut, list, true)
	for _, e := range list {
		if err := dial(p, e); err != nil {
			t.Fatal(err)
		}
	}
	p.Retain(map[string]bool{})
	if p.IsCutOff() || p.IsDetour(list[0].Address) {
		t.Fatal("the instance is cut off from servers that are gone")
	}
}

// Guards against an instance that is cut off without knowing and confirms to another one that servers are down.
func TestReachesAnother(t *testing.T) {
	tests := map[string]struct {
		// known is the number of servers of the fleet, dialed the index from which on this instance has reached them.
		known, dialed, cut int
		want               bool
	}{
		"knows only this server":                 {1, 0, 1, true},
		"reaches the other servers":              {3, 0, 1, true},
		"reaches one of the others":              {3, 0, 2, true},
		"reaches no server":                      {3, 0, 3, false},
		"has only reached another one, now cut":  {2, 1, 2, false},
		"has reached none, and reaches none":     {3, 3, 3, false},
		"has reached none, and reaches another":  {3, 3, 1, true},
		"has reached one of the others, now cut": {3, 2, 3, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, n, list := newTestPathfinder(t, false, tt.known, 1)
			fleet := map[string]bool{}
			for _, e := range list {
				fleet[e.Address] = true
			}
			p.Retain(fleet)
			for _, e := range list[tt.dialed:] {
				if err := dial(p, e); err != nil {
					t.Fatal(err)
				}
			}
			n.set(n.cut, list[:tt.cut], true)
			if got := p.ReachesAnother(context.Background(), list[0].Address); got != tt.want {
				t.Fatalf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against bodies that pass through an instance of a region in which the request must not be served: while all servers are cut
// off, each way leads through one.
func TestConnectionsLeadThroughAllowedInstancesOnly(t *testing.T) {
	tests := map[string]struct {
		allowed string
		want    error
	}{"one of two": {"b", nil}, "none": {"c", ErrUnconfirmed}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, n, list := newTestPathfinder(t, true, 2, 2)
			n.set(n.cut, list, true)
			for range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
				conn, err := p.Dial(ctx, list[0], func(dataCentre string) bool { return dataCentre == tt.allowed })
				cancel()
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				if err == nil && conn.(exchanger.Detour).RelayDataCentre() != tt.allowed {
					t.Fatalf("the connection leads through %q", conn.(exchanger.Detour).RelayDataCentre())
				}
				// Others may use any instance meanwhile.
				if err := dial(p, list[1]); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}
