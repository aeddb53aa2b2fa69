package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// partition fails the connections of one instance to backend servers.
type partition struct {
	// hangs makes new connections hang instead of being refused, resets breaks those that exist, and silences lets them hang.
	hangs, resets, silences bool
	mu                      sync.Mutex
	begun                   bool
	servers                 map[string]bool
	conns                   []net.Conn
}

// dial opens a connection unless the address is that of a server and the partition has begun.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	return p.dialWith(exchanger.NewDial())(ctx, address)
}

// dialWith returns a function that opens connections with dial unless the partition prevents it.
func (p *partition) dialWith(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return p.open(ctx, dial, address) }
}

func (p *partition) open(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
	p.mu.Lock()
	isCut := p.begun && p.servers[address]
	p.mu.Unlock()
	if isCut && p.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if isCut {
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	conn, err := dial(ctx, address)
	if err != nil || !p.servers[address] {
		return conn, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	return &partitionedConn{Conn: conn, partition: p}, nil
}

func (p *partition) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
	if !p.resets {
		return
	}
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = false
}

// partitionedConn drops what is sent while a partition silences existing connections.
type partitionedConn struct {
	net.Conn
	partition *partition
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	c.partition.mu.Lock()
	isSilent := c.partition.begun && c.partition.silences
	c.partition.mu.Unlock()
	if isSilent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// partitionedFleet is three entry instances, of which the first ones can be partitioned from all backend servers.
type partitionedFleet struct {
	*deployment
	partition *partition
	addrs     []string
	entries   []*Entry
	// arrived counts the requests that reach a server.
	arrived atomic.Int64
}

// newPartitionedFleet starts a fleet of which the given number of entry instances can be partitioned.
func newPartitionedFleet(t *testing.T, p *partition, partitioned int) *partitionedFleet {
	t.Helper()
	f := &partitionedFleet{deployment: newDeployment(t), partition: p}
	t.Cleanup(f.stop)
	p.servers = map[string]bool{}
	var servers []*httptest.Server
	for range 3 {
		server := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(server.Close)
		servers = append(servers, server)
		p.servers[server.Listener.Addr().String()] = true
	}
	f.waitForStatus(http.StatusOK, http.MethodPut, "http://"+f.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
	for i, server := range servers {
		t.Cleanup(f.announce(fmt.Sprint("i-", i), server.Listener.Addr().String(), "a"))
	}
	for n := range 3 {
		ports, err := reserver.ReservePorts(2)
		if err != nil {
			t.Fatal(err)
		}
		dial := exchanger.NewDial()
		if n < partitioned {
			dial = p.dial
		}
		f.addrs = append(f.addrs, fmt.Sprintf("127.0.0.1:%d", ports[0]))
		e := f.startEntryWithDial(fmt.Sprint("p", n+1), f.addrs[n], fmt.Sprintf("127.0.0.1:%d", ports[1]), dial)
		f.entries = append(f.entries, e)
		t.Cleanup(func() {
			if slices.Contains(f.entries, e) {
				if err := e.Stop(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for _, addr := range f.addrs {
		f.waitForStatus(http.StatusOK, http.MethodGet, "http://"+addr+"/read/x", "")
	}
	for _, e := range f.entries {
		for deadline := time.Now().Add(15 * time.Second); e.telemetry.Gauge("gateways.known").Value() < 2; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("an instance does not know the others")
			}
		}
	}
	return f
}

func (f *partitionedFleet) serve(w http.ResponseWriter, r *http.Request) {
	f.arrived.Add(1)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// copies is the number of requests of each kind that send sends at once, so that it takes more connections than there are.
const copies = 4

// send sends several requests of each kind at once and returns how many were sent and how many answered with success.
func (f *partitionedFleet) send(addr string) (sent, served int) {
	var wg sync.WaitGroup
	var answered atomic.Int64
	requests := []struct{ method, path string }{{http.MethodGet, "/read/x"}, {http.MethodPost, "/order/x"}, {http.MethodPost, "/stream/x"}}
	for _, r := range requests {
		for range copies {
			wg.Go(func() {
				if status, _ := callWithKey(r.method, "http://"+addr+r.path, "k1"); status == http.StatusOK {
					answered.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return len(requests) * copies, int(answered.Load())
}

// callWithKey sends a request with an API key.
func callWithKey(method, url, key string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(""))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", "id-1")
	r.Header.Set("X-Key", key)
	res, err := (&http.Client{Timeout: 6 * time.Second}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

func partitions() map[string]*partition {
	return map[string]*partition{
		"connections hang":                            {hangs: true, silences: true},
		"connections are reset, new ones hang":        {hangs: true, resets: true},
		"connections are reset, new ones are refused": {resets: true},
		"connections live on, new ones hang":          {hangs: true},
		"connections live on, new ones are refused":   {},
		"connections hang, new ones are refused":      {silences: true},
	}
}

// contactTime is how long an instance may take to find that it is partitioned.
const contactTime = 3 * time.Second

// sendFor sends requests to an instance for the given time.
func (f *partitionedFleet) sendFor(addr string, span time.Duration) {
	for deadline := time.Now().Add(span); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		f.send(addr)
	}
}

// Guards against an instance that is partitioned from all backend servers and fails its callers, though the instances beside
// it reach every server.
func TestPartitionedInstanceServesItsCallers(t *testing.T) {
	for name, p := range partitions() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionedFleet(t, p, 1)
			p.begin()
			f.sendFor(f.addrs[0], contactTime)
			sent, served, others := 0, 0, 0
			for range 8 {
				n, ok := f.send(f.addrs[0])
				sent, served = sent+n, served+ok
				_, ok = f.send(f.addrs[2])
				others += ok
			}
			if served < sent*49/50 || others < sent*49/50 {
				t.Fatalf("the partitioned instance served %d of %d requests, another one %d", served, sent, others)
			}
		})
	}
}

// Guards against an instance that goes on through others after its partition has ended, or takes itself for cut off for good.
func TestInstanceReachesServersDirectlyAfterPartition(t *testing.T) {
	const returnTime = 2 * time.Second
	p := &partition{hangs: true, resets: true}
	f := newPartitionedFleet(t, p, 1)
	for round := range 2 {
		p.begin()
		f.sendFor(f.addrs[0], contactTime)
		if !f.entries[0].paths.IsCutOff() {
			t.Fatalf("partition %d was not noticed", round)
		}
		p.end()
		f.sendFor(f.addrs[0], returnTime)
		detours := f.entries[0].telemetry.Counter("servers.detours").Count()
		f.sendFor(f.addrs[0], returnTime)
		if n := f.entries[0].telemetry.Counter("servers.detours").Count(); f.entries[0].paths.IsCutOff() || n > detours {
			t.Fatalf("%d connections still lead through other instances after partition %d", n-detours, round)
		}
	}
}

// Guards against a planned stop of the instance that relays connections breaking requests of the instance that uses it.
func TestStopOfGatewayBreaksNoRequest(t *testing.T) {
	p := &partition{hangs: true, resets: true}
	f := newPartitionedFleet(t, p, 1)
	p.begin()
	f.sendFor(f.addrs[0], contactTime)
	stopped := make(chan error, 1)
	go func() { stopped <- f.entries[1].Stop() }()
	sent, served := 0, 0
	for done := false; !done; {
		n, ok := f.send(f.addrs[0])
		sent, served = sent+n, served+ok
		select {
		case err := <-stopped:
			if err != nil {
				t.Error(err)
			}
			done = true
		default:
		}
	}
	if served < sent {
		t.Fatalf("%d of %d requests failed while another instance stopped", sent-served, sent)
	}
	f.entries = append(f.entries[:1], f.entries[2:]...)
}

// Guards against partitioned instances whose alarms suspend healthy servers at all other instances.
func TestPartitionedInstancesDoNotSuspendServersElsewhere(t *testing.T) {
	for name, p := range partitions() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionedFleet(t, p, 2)
			p.begin()
			var wg sync.WaitGroup
			for _, addr := range f.addrs[:2] {
				wg.Go(func() { f.sendFor(addr, contactTime) })
			}
			wg.Wait()
			if n := f.entries[2].telemetry.Counter("servers.suspended-by-alarm").Count(); n > 0 {
				t.Fatalf("healthy servers were suspended %d times at an instance that reaches them", n)
			}
		})
	}
}

// Guards against a partitioned instance that takes each broken connection for a server that crashed, and so has sound
// requests blocked in the whole fleet.
func TestPartitionedInstanceReportsNoCrashes(t *testing.T) {
	for name, p := range partitions() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionedFleet(t, p, 1)
			p.begin()
			f.sendFor(f.addrs[0], contactTime)
			if n := f.entries[0].telemetry.Counter("requests.crash-suspects").Count(); n > 0 {
				t.Fatalf("%d requests were reported for crashing servers that are up", n)
			}
		})
	}
}
