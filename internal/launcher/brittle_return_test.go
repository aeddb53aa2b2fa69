package launcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// brittleHost runs one brittle server after the other: when one falls over, the next one has another name and address and knows
// nothing of the last one.
type brittleHost struct {
	d       *deployment
	name    string
	pattern brittlePattern
	stopped chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	queue   int
	brittle bool
	servers []*brittleServer
	crash   chan struct{}
}

func (tt brittlePattern) startHost(t *testing.T, d *deployment, name string) *brittleHost {
	t.Helper()
	h := &brittleHost{d: d, name: name, pattern: tt, stopped: make(chan struct{}), queue: 3 * tt.slots, crash: make(chan struct{}, 1)}
	ready := make(chan struct{})
	h.wg.Go(func() { h.run(ready) })
	<-ready
	t.Cleanup(func() {
		close(h.stopped)
		h.wg.Wait()
	})
	return h
}

func (h *brittleHost) run(ready chan struct{}) {
	for n := 0; ; n++ {
		fallen := make(chan struct{}, 1)
		s := h.newServer(func() {
			select {
			case fallen <- struct{}{}:
			default:
			}
		})
		server := httptest.NewServer(s)
		stopAnnouncing := h.d.announceSlots(fmt.Sprint(h.name, "-", n), server.Listener.Addr().String(), "a", h.pattern.slots)
		if n == 0 {
			close(ready)
		}
		isStopped := false
		select {
		case <-fallen:
		case <-h.crash:
			s.fall()
		case <-h.stopped:
			isStopped = true
		}
		// A server that falls over sends nothing more, and its address refuses connections.
		server.CloseClientConnections()
		_ = server.Listener.Close()
		stopAnnouncing()
		server.Close()
		if isStopped {
			return
		}
		select {
		case <-time.After(s.downtime):
		case <-h.stopped:
			return
		}
	}
}

func (h *brittleHost) newServer(onFall func()) *brittleServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.pattern.newServer(time.Second)
	s.queue, s.brittle, s.onFall = h.queue, h.brittle, onFall
	h.servers = append(h.servers, s)
	return s
}

// setBrittle makes this and all later servers brittle; they let the given number of requests wait.
func (h *brittleHost) setBrittle(queue int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brittle, h.queue = true, queue
	h.servers[len(h.servers)-1].setBrittle(queue)
}

// counts returns what all servers of the host have done.
func (h *brittleHost) counts() (falls, refused, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.mu.Lock()
		falls, refused, served = falls+s.falls, refused+s.refused, served+s.served
		s.mu.Unlock()
	}
	return falls, refused, served
}

// startHosts starts the hosts of a pattern.
func (tt brittlePattern) startHosts(t *testing.T, d *deployment, n int) []*brittleHost {
	t.Helper()
	var hosts []*brittleHost
	for i := range n {
		hosts = append(hosts, tt.startHost(t, d, fmt.Sprint("i-", i)))
	}
	return hosts
}

func totals(hosts []*brittleHost) (falls, refused, served int) {
	for _, h := range hosts {
		f, r, s := h.counts()
		falls, refused, served = falls+f, refused+r, served+s
	}
	return falls, refused, served
}

// sendUntil keeps callers busy at one instance until stop is closed; they pause between two requests.
func sendUntil(stop chan struct{}, wg *sync.WaitGroup, addr string, callers int, pause time.Duration) {
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if status, _ := callWithKey(http.MethodPost, "http://"+addr+"/order/x", "k1"); status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
}

// Guards against instances that take a server that starts anew for one that is not brittle, so that it falls over again.
func TestBrittleServersThatStartAnewDoNotFallOver(t *testing.T) {
	tests := map[string]struct {
		brittlePattern
		servers int
		// stopsControl stops one of the control instances, which keep the ledgers of the servers.
		stopsControl bool
	}{
		"few places":                   {brittlePattern{4, 4, 12, 60 * time.Millisecond, true, 3}, 4, false},
		"many instances, few refusals": {brittlePattern{6, 3, 5, 60 * time.Millisecond, true, 10}, 4, false},
		"long work":                    {brittlePattern{12, 4, 20, 700 * time.Millisecond, true, 6}, 4, false},
		"a control instance stops":     {brittlePattern{6, 3, 5, 60 * time.Millisecond, true, 10}, 4, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const (
				noticeTime = 3 * time.Second
				loadTime   = 8 * time.Second
			)
			d := newDeployment(t)
			t.Cleanup(d.stop)
			d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
			hosts := tt.startHosts(t, d, tt.servers)
			addrs := tt.startEntries(t, d)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, addr := range addrs {
				sendUntil(stop, &wg, addr, tt.callers, 0)
			}
			for _, h := range hosts {
				h.setBrittle(3 * tt.slots)
			}
			time.Sleep(noticeTime)
			for _, h := range hosts {
				h.setBrittle(0)
			}
			_, _, before := totals(hosts)
			start := time.Now()
			// Two servers go down for a reason of their own.
			for i := range 2 {
				time.Sleep(time.Second)
				hosts[i].crash <- struct{}{}
			}
			if tt.stopsControl {
				if err := d.control[0].Stop(); err != nil {
					t.Error(err)
				}
				d.control[0] = nil
			}
			for time.Since(start) < loadTime {
				time.Sleep(time.Second)
				falls, refused, served := totals(hosts)
				t.Logf("after %.0f s: %d falls, %d refusals, %d served", time.Since(start).Seconds(), falls, refused, served-before)
			}
			close(stop)
			wg.Wait()
			falls, _, served := totals(hosts)
			if maxFalls := 2 + tt.servers/10; falls > maxFalls {
				t.Errorf("servers fell over %d times, want %d at most", falls, maxFalls)
			}
			capacity := int(float64(tt.servers*tt.slots) * float64(loadTime) / float64(tt.work))
			t.Logf("%d served of %d possible", served-before, capacity)
		})
	}
}

// Guards against instances that each have little to send and each count on a place of their own.
func TestBrittleServersBearABurstOfManyInstances(t *testing.T) {
	tests := map[string]struct {
		brittlePattern
		servers int
		// calmPause is the pause of the one caller of each instance before the burst.
		calmPause time.Duration
	}{
		"many instances, one server":          {brittlePattern{6, 3, 3, 30 * time.Millisecond, true, 24}, 1, 2 * time.Second},
		"many instances, few servers":         {brittlePattern{6, 3, 4, 60 * time.Millisecond, true, 24}, 4, 2 * time.Second},
		"many instances, many servers":        {brittlePattern{8, 3, 8, 600 * time.Millisecond, true, 24}, 12, 1 * time.Second},
		"servers that do not tell their load": {brittlePattern{6, 3, 4, 60 * time.Millisecond, false, 24}, 4, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const (
				noticeTime = 3 * time.Second
				burstTime  = 2 * time.Second
				bursts     = 2
			)
			d := newDeployment(t)
			t.Cleanup(d.stop)
			d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
			hosts := tt.startHosts(t, d, tt.servers)
			addrs := tt.startEntries(t, d)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, addr := range addrs {
				sendUntil(stop, &wg, addr, 1, tt.calmPause)
			}
			for _, h := range hosts {
				h.setBrittle(3 * tt.slots)
			}
			time.Sleep(noticeTime)
			for _, h := range hosts {
				h.setBrittle(0)
			}
			for range bursts {
				_, _, before := totals(hosts)
				stopBurst := make(chan struct{})
				var burstWg sync.WaitGroup
				for _, addr := range addrs {
					sendUntil(stopBurst, &burstWg, addr, tt.callers, 0)
				}
				time.Sleep(burstTime)
				close(stopBurst)
				burstWg.Wait()
				falls, refused, served := totals(hosts)
				t.Logf("after a burst: %d falls, %d refusals, %d served of %d possible", falls, refused, served-before,
					int(float64(tt.servers*tt.slots)*float64(burstTime)/float64(tt.work)))
				time.Sleep(burstTime)
			}
			close(stop)
			wg.Wait()
			falls, _, _ := totals(hosts)
			if maxFalls := 2 + tt.servers/10; falls > maxFalls {
				t.Errorf("servers fell over %d times, want %d at most", falls, maxFalls)
			}
		})
	}
}
