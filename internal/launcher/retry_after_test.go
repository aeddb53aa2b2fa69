package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

// restingServer is a backend server that asks instances to leave it alone for some time.
type restingServer struct {
	mu sync.Mutex
	// retryAfter are the values of the Retry-After headers of its refusals, one after the other; the last one stays. It serves
	// requests if there is none, or an empty one.
	retryAfter []string
	// arrivals are the times of all requests, and refusals those of the refusals, of each instance.
	arrivals map[string][]time.Time
	refusals map[string][]refusal
	served   int
}

// refusal is an answer with Retry-After.
type refusal struct {
	at   time.Time
	rest time.Duration
}

func newRestingServer(retryAfter ...string) *restingServer {
	return &restingServer{retryAfter: retryAfter, arrivals: map[string][]time.Time{}, refusals: map[string][]refusal{}}
}

func (s *restingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		panic(err)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if s.refuse(w, instance) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// refuse counts a request and refuses it if the server rests.
func (s *restingServer) refuse(w http.ResponseWriter, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals[instance] = append(s.arrivals[instance], now)
	value := ""
	if len(s.retryAfter) > 0 {
		value = s.retryAfter[0]
	}
	if len(s.retryAfter) > 1 {
		s.retryAfter = s.retryAfter[1:]
	}
	if value == "" {
		s.served++
		return false
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
		s.refusals[instance] = append(s.refusals[instance], refusal{now, time.Duration(seconds * float64(time.Second))})
	}
	w.Header().Set("Retry-After", value)
	w.Header().Set("X-Not-Executed", "full")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// setRetryAfter replaces what the server asks for; nothing lets it serve.
func (s *restingServer) setRetryAfter(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = values
}

// mostInRest returns the largest number of requests that one instance has sent between half a second after a refusal and the
// end of the time that it named.
func (s *restingServer) mostInRest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	// graceTime is how long requests may go on to arrive after a refusal.
	const graceTime = 500 * time.Millisecond
	most := 0
	for instance, refusals := range s.refusals {
		for _, r := range refusals {
			n := 0
			for _, at := range s.arrivals[instance] {
				if at.After(r.at.Add(graceTime)) && at.Before(r.at.Add(r.rest)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

func (s *restingServer) servedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

func (s *restingServer) refusedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, list := range s.refusals {
		n += len(list)
	}
	return n
}

// requestsIn returns the number of requests in a span of time.
func (s *restingServer) requestsIn(start, end time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, list := range s.arrivals {
		for _, at := range list {
			if at.After(start) && at.Before(end) {
				n++
			}
		}
	}
	return n
}

// timeline returns the number of requests in each second after the start.
func (s *restingServer) timeline(start time.Time) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []int
	for _, list := range s.arrivals {
		for _, at := range list {
			second := int(at.Sub(start) / time.Second)
			if second < 0 {
				continue
			}
			for len(counts) <= second {
				counts = append(counts, 0)
			}
			counts[second]++
		}
	}
	return counts
}

// dialFrom returns a function that opens connections from a loopback address of its own, by which servers tell instances apart.
func dialFrom(ip string) func(context.Context, string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// restingFleet is entry instances in front of servers that ask to be left alone.
type restingFleet struct {
	*deployment
	addrs   []string
	entries []*Entry
}

// stopControl stops all control instances.
func (f *restingFleet) stopControl() {
	for n, c := range f.control {
		if err := c.Stop(); err != nil {
			f.t.Error(err)
		}
		f.control[n] = nil
	}
}

// reload reloads the settings of the entry instances.
func (f *restingFleet) reload() {
	for _, e := range f.entries {
		e.Reload(f.entrySettings)
	}
}

// newRestingFleet starts entry instances before the servers; all but the last one can be partitioned from them if p is not nil.
func newRestingFleet(t *testing.T, servers []*restingServer, entries int, p *partition) *restingFleet {
	t.Helper()
	f := &restingFleet{deployment: newDeployment(t)}
	t.Cleanup(f.stop)
	f.waitForStatus(http.StatusOK, http.MethodPut, "http://"+f.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
	for i, s := range servers {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		if p != nil {
			p.servers[server.Listener.Addr().String()] = true
		}
		t.Cleanup(f.announce(fmt.Sprint("i-", i), server.Listener.Addr().String(), "a"))
	}
	for n := range entries {
		ports, err := reserver.ReservePorts(2)
		if err != nil {
			t.Fatal(err)
		}
		f.addrs = append(f.addrs, fmt.Sprintf("127.0.0.1:%d", ports[0]))
		dial := dialFrom(fmt.Sprint("127.0.1.", n+1))
		if p != nil && n < entries-1 {
			dial = p.dialWith(dial)
		}
		e := f.startEntryWithDial(fmt.Sprint("r", n+1), f.addrs[n], fmt.Sprintf("127.0.0.1:%d", ports[1]), dial)
		f.entries = append(f.entries, e)
		t.Cleanup(func() {
			if err := e.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
	return f
}

// callers sends requests of all kinds to each instance, with a pause after each, until stop is called, which returns how many were answered with each
// status, and the longest time that a refusal took.
func (f *restingFleet) callers(perInstance int, pause time.Duration) (stop func() (statuses map[int]int, slowestRefusal time.Duration)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses, slowest := map[int]int{}, time.Duration(0)
	done := make(chan struct{})
	requests := []struct{ method, path string }{{http.MethodGet, "/read/x"}, {http.MethodPost, "/order/x"}, {http.MethodPost, "/stream/x"}}
	for _, addr := range f.addrs {
		for n := range perInstance {
			wg.Go(func() {
				for i := n; ; i++ {
					select {
					case <-done:
						return
					case <-time.After(pause):
					}
					request := requests[i%len(requests)]
					start := time.Now()
					status, _ := callWithKey(request.method, "http://"+addr+request.path, "k1")
					mu.Lock()
					statuses[status]++
					if status != http.StatusOK {
						slowest = max(slowest, time.Since(start))
					}
					mu.Unlock()
				}
			})
		}
	}
	return func() (map[int]int, time.Duration) {
		close(done)
		wg.Wait()
		return statuses, slowest
	}
}

// maxInRest is the users' bound on the requests that a server gets from one instance while it rests.
const maxInRest = 2

// Guards against requests to a server that has answered 503 with Retry-After, before that time has passed.
func TestServersThatAskToWaitAreLeftAlone(t *testing.T) {
	tests := map[string]struct {
		// retryAfter are what the resting servers ask for, one after the other.
		retryAfter []string
		// resting is how many of the two servers rest.
		resting, entries int
		loadTime         time.Duration
		// isolated stops the control instances, and reloaded reloads the settings of the entry instances, during the rest.
		isolated, reloaded bool
	}{
		"one of two servers":      {[]string{"3"}, 1, 1, 7 * time.Second, false, false},
		"all servers":             {[]string{"3"}, 2, 1, 7 * time.Second, false, false},
		"several instances":       {[]string{"2"}, 1, 3, 5 * time.Second, false, false},
		"a fraction of a second":  {[]string{"1.75"}, 2, 1, 5 * time.Second, false, false},
		"two answers in a row":    {[]string{"3", "1"}, 1, 1, 5 * time.Second, false, false},
		"times that vary":         {[]string{"1", "2.5", "0.75"}, 2, 2, 6 * time.Second, false, false},
		"values without a sense":  {[]string{"-3", "NaN", "0x10", "soon", "2"}, 1, 1, 5 * time.Second, false, false},
		"a server that asks once": {[]string{"2", ""}, 1, 1, 4 * time.Second, false, false},
		"all servers ask once":    {[]string{"2", ""}, 2, 1, 4 * time.Second, false, false},
		"no control instance":     {[]string{"3"}, 1, 1, 4 * time.Second, true, false},
		"settings reloaded":       {[]string{"3"}, 1, 1, 4 * time.Second, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*restingServer{newRestingServer(), newRestingServer()}
			f := newRestingFleet(t, servers, tt.entries, nil)
			for _, addr := range f.addrs {
				f.waitForStatus(http.StatusOK, http.MethodGet, "http://"+addr+"/read/x", "")
			}
			stop := f.callers(12, 20*time.Millisecond)
			time.Sleep(time.Second)
			start := time.Now()
			for _, s := range servers[:tt.resting] {
				s.setRetryAfter(tt.retryAfter...)
			}
			time.Sleep(time.Second)
			if tt.isolated {
				f.stopControl()
			}
			if tt.reloaded {
				f.reload()
			}
			time.Sleep(tt.loadTime - time.Second)
			statuses, slowest := stop()
			for i, s := range servers {
				t.Logf("server %d: requests by second %v, %d refusals, %d served", i, s.timeline(start), s.refusedCount(), s.servedCount())
			}
			t.Logf("answers to callers %v, slowest refusal %v", statuses, slowest)
			for i, s := range servers[:tt.resting] {
				if n := s.mostInRest(); n > maxInRest {
					t.Errorf("server %d got %d requests from one instance while it rested, want %d at most", i, n, maxInRest)
				}
				if tt.retryAfter[len(tt.retryAfter)-1] == "" && s.requestsIn(start.Add(2*time.Second), start.Add(3*time.Second)) == 0 {
					t.Errorf("server %d got no request in the second after its rest", i)
				}
			}
		})
	}
}

// Guards against requests that reach a resting server through another instance: it asks the machine that the connection comes from,
// whichever instance the request is from.
func TestServersAreLeftAloneByGatewaysToo(t *testing.T) {
	const (
		// noticeTime leaves an instance time to find the only gateway that is not cut off itself; how soon it does is not tested here.
		noticeTime = 15 * time.Second
		loadTime   = 9 * time.Second
	)
	p := &partition{hangs: true, resets: true, servers: map[string]bool{}}
	servers := []*restingServer{newRestingServer(), newRestingServer(), newRestingServer()}
	f := newRestingFleet(t, servers, 6, p)
	for _, addr := range f.addrs {
		f.waitForStatus(http.StatusOK, http.MethodGet, "http://"+addr+"/read/x", "")
	}
	for deadline := time.Now().Add(15 * time.Second); f.entries[0].telemetry.Gauge("gateways.known").Value() < 4; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the instance does not know the others")
		}
	}
	p.begin()
	stop := f.callers(6, 20*time.Millisecond)
	for deadline := time.Now().Add(noticeTime); !f.entries[0].paths.IsCutOff(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the partition was not noticed")
		}
	}
	stop()
	for _, s := range servers[:2] {
		s.setRetryAfter("4")
	}
	// Each instance has few requests, so that they arrive all over the time of rest.
	stop = f.callers(2, 1200*time.Millisecond)
	time.Sleep(loadTime)
	statuses, _ := stop()
	t.Logf("answers to callers %v", statuses)
	for i, s := range servers[:2] {
		t.Logf("server %d: %d refusals", i, s.refusedCount())
		if n := s.mostInRest(); n > maxInRest {
			t.Errorf("server %d got %d requests from one machine while it rested, want %d at most", i, n, maxInRest)
		}
	}
	if statuses[http.StatusOK] < 50 {
		t.Errorf("%d requests were served, one server does not rest", statuses[http.StatusOK])
	}
}
