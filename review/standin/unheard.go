package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The entry instance is stopped and started again at restartAt; the runner leaves at withdrawAt, when the instance has
	// been in touch again for long.
	restartAt  = 3 * time.Second
	withdrawAt = 18 * time.Second
	// stayAfter is how long the runner serves after its withdrawal was acknowledged: drain_ms, and a little longer.
	stayAfter   = 3 * time.Second
	unheardEnd  = 30 * time.Second
	unheardGap  = 15 * time.Millisecond
	unheardWork = 120 * time.Millisecond
)

// unheard is the case of a runner that withdraws at another control instance than the one that gets its heartbeats, while
// an entry instance has been restarted since the runner began.
type unheard struct {
	f     *fleet
	rec   *record
	gone  *runner
	entry *instance
	start time.Time
	n     atomic.Int64
	mu    sync.Mutex
	// ackedAt is when the withdrawal was acknowledged.
	ackedAt time.Time
	sent    map[string]time.Time
	// late are the requests that reached the runner too late; lost got no success.
	late, lost []string
	answered   int
}

func runUnheard(rec *record, trouble bool) (verdict, error) {
	u := &unheard{rec: rec, sent: map[string]time.Time{}}
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	u.f, u.entry = f, f.entries[1]
	if err := f.publish(leavingManifest); err != nil {
		return verdict{}, err
	}
	for n, zone := range zoneNames() {
		r, err := newRunner(f, fmt.Sprint("d", n), "desk", zone, 6, u.answer)
		if err != nil {
			return verdict{}, err
		}
		defer r.stop()
		r.mu.Lock()
		// Each runner keeps to the control instance of its zone.
		r.home = f.controlAddress(f.controls[n])
		r.mu.Unlock()
		if n == 1 {
			u.gone = r
		}
	}
	time.Sleep(2 * time.Second)
	if err := f.waitReady(); err != nil {
		return verdict{}, err
	}
	if err := u.play(trouble); err != nil {
		return verdict{}, err
	}
	text := fmt.Sprintf("%d requests reached the runner later than %d ms after its withdrawal was acknowledged; %d answered, %d got no success: %v",
		len(u.late), drainBound.Milliseconds(), u.answered, len(u.lost), u.lost)
	return verdict{broken: len(u.late) > 0, text: text}, nil
}

// answer takes an order.
func (u *unheard) answer(r *runner, c net.Conn, req *http.Request, _ []byte) {
	id := req.Header.Get("X-Request-Id")
	u.rec.printf("runner %s runs request %s", r.currentID(), id)
	u.mu.Lock()
	if r == u.gone && !u.ackedAt.IsZero() && time.Since(u.ackedAt) > drainBound && u.sent[id].Sub(u.ackedAt) > drainBound {
		u.late = append(u.late, id)
		u.rec.printf("LATE: request %s reaches %s, %d ms after the acknowledgement", id, r.currentID(), time.Since(u.ackedAt).Milliseconds())
	}
	u.mu.Unlock()
	time.Sleep(unheardWork)
	reply(c, req, http.StatusOK, "X-Response-Seal: seal-"+id+"\r\n", "ordered "+id)
}

// play sends orders to the entry instances. With trouble, one of them is stopped and started again; later the runner of
// its zone withdraws at a control instance of another zone.
func (u *unheard) play(trouble bool) error {
	u.start = time.Now()
	failed := make(chan error, 2)
	if trouble {
		time.AfterFunc(restartAt, func() { failed <- u.restart() })
	}
	time.AfterFunc(withdrawAt, func() { failed <- u.withdraw() })
	var wg sync.WaitGroup
	for time.Since(u.start) < unheardEnd {
		// The balancer sends nothing to an instance that is not ready.
		if u.isServing() {
			wg.Go(u.send)
		}
		time.Sleep(unheardGap)
	}
	wg.Wait()
	for len(failed) > 0 {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

// isServing reports whether no stop or start of the entry instance is near.
func (u *unheard) isServing() bool {
	since := time.Since(u.start)
	return since < restartAt-time.Second || since > withdrawAt-3*time.Second
}

// restart stops the entry instance as planned and starts it again.
func (u *unheard) restart() error {
	if err := u.f.signal(u.entry, syscall.SIGTERM); err != nil {
		return err
	}
	<-u.entry.exited
	return u.f.start(u.entry, false)
}

// withdraw makes the runner leave with DELETE at the control instance of another zone. It serves on for a while and exits.
func (u *unheard) withdraw() error {
	r := u.gone
	r.mu.Lock()
	id, body := r.id, fmt.Sprintf(`{"born":%d}`, r.born)
	r.withdrawn = true
	r.mu.Unlock()
	a := u.f.controlAddress(u.f.controls[0])
	status, text, err := u.f.call(http.MethodDelete, "http://"+a+"/instances/"+id, body)
	u.rec.say("runner %s says DELETE to %s: %d %s %v", id, a, status, strings.TrimSpace(text), err)
	if err != nil || status/100 != 2 {
		return fmt.Errorf("the withdrawal was not acknowledged: %d %v", status, err)
	}
	u.mu.Lock()
	u.ackedAt = time.Now()
	u.mu.Unlock()
	time.AfterFunc(stayAfter, func() {
		u.rec.say("runner %s exits", id)
		r.stop()
	})
	return nil
}

// send sends one order at the entry instance on a connection of its own.
func (u *unheard) send() {
	id := fmt.Sprintf("order-%d", u.n.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+u.f.callersAddress(u.entry)+"/order/x", strings.NewReader("order of "+id))
	if err != nil {
		return
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Key": "key-1", "X-Deadline-Ms": "5000"} {
		req.Header.Set(name, value)
	}
	u.mu.Lock()
	u.sent[id] = time.Now()
	u.mu.Unlock()
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	res, err := client.Do(req)
	if err == nil {
		status = res.StatusCode
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	u.rec.printf("request %s at %s: %d, %v", id, u.entry.name, status, err)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answered++; status != http.StatusOK || err != nil {
		u.lost = append(u.lost, id)
	}
}
