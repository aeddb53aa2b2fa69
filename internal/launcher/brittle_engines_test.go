package launcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// Guards against engines that fall over because their memory holds fewer streams than they have slots, and against what was learned
// in one brittle time being gone, or in the way, in the next one.
func TestBrittleEnginesFallOverInNoOfTwoTimes(t *testing.T) {
	const (
		servers    = 4
		room       = 5
		noticeTime = 3 * time.Second
		loadTime   = 4 * time.Second
		soundTime  = time.Second
		maxFalls   = 2 + servers/10
	)
	tt := brittlePattern{8, 3, 4, 800 * time.Millisecond, true, 12}
	d := newDeployment(t)
	t.Cleanup(d.stop)
	d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(processPolicy, 3, `"k1"`))
	var list []*brittleServer
	for i := range servers {
		s := tt.newServer(2 * time.Second)
		s.room = room
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		t.Cleanup(d.announceSlots(fmt.Sprint("i-", i), server.Listener.Addr().String(), "a", tt.slots))
		list = append(list, s)
	}
	addrs := tt.startEntries(t, d)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, addr := range addrs {
		for range tt.callers {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if status, _ := call(http.MethodPost, "http://"+addr+"/stream/x", ""); status != http.StatusOK {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	for n := range 2 {
		before := fallsOf(list)
		for _, s := range list {
			s.setBrittle(3 * s.slots)
		}
		time.Sleep(noticeTime)
		servedBefore := servedBy(list)
		for _, s := range list {
			s.setBrittle(0)
		}
		time.Sleep(loadTime)
		falls, served := fallsOf(list)-before, servedBy(list)-servedBefore
		possible := int(float64(servers*room) * float64(loadTime) / float64(tt.work))
		t.Logf("time %d: %d falls, %d served of %d possible", n, falls, served, possible)
		if falls > maxFalls {
			t.Errorf("servers fell over %d times, want %d at most", falls, maxFalls)
		}
		// A third of the capacity tells servers that are spared from servers that are not used.
		if served < possible/3 {
			t.Errorf("%d streams were served, the servers can do %d", served, possible)
		}
		for _, s := range list {
			s.setSound(3 * s.slots)
		}
		time.Sleep(soundTime)
	}
	close(stop)
	wg.Wait()
}

func fallsOf(list []*brittleServer) int {
	n := 0
	for _, s := range list {
		s.mu.Lock()
		n += s.falls
		s.mu.Unlock()
	}
	return n
}
