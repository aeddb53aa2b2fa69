package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const leavingManifest = `{"version":1,"routes":[
{"name":"order","host":"h.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"auth_exempt":false}],
"services":[{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["key-1"],"priority":1}]}`

const (
	leavingAt = 5 * time.Second
	// leavingCut is how long the leaving runner does not reach the control instances; it exits before that ends.
	leavingCut  = 5 * time.Second
	leavingExit = 3200 * time.Millisecond
	leavingEnd  = 15 * time.Second
	orderGap    = 10 * time.Millisecond
	// leavingRunners is the number of runners; one of six is less than the share of 0.2 that may be cut off.
	leavingRunners = 6
	leavingWork    = 120 * time.Millisecond
)

// leaving is the case of a runner that leaves while it does not reach the control instances: its answers say so.
type leaving struct {
	f     *fleet
	rec   *record
	start time.Time
	gone  *runner
	mu    sync.Mutex
	// told is when each entry instance had passed on an answer that says that the runner leaves.
	told map[string]time.Time
	// sent and via are the time of each request and the entry instance that got it.
	sent map[string]time.Time
	via  map[string]string
	// late are the requests that reached the runner too late, lost those among all that got no success.
	late, lost []string
	answered   int
	n          atomic.Int64
}

func runLeaving(rec *record, trouble bool) (verdict, error) {
	l := &leaving{rec: rec, told: map[string]time.Time{}, sent: map[string]time.Time{}, via: map[string]string{}}
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	l.f = f
	if err := f.publish(leavingManifest); err != nil {
		return verdict{}, err
	}
	for n := range leavingRunners {
		r, err := newRunner(f, fmt.Sprint("d", n), "desk", zoneNames()[n%3], 6, l.answer)
		if err != nil {
			return verdict{}, err
		}
		defer r.stop()
		l.gone = r
	}
	time.Sleep(2 * time.Second)
	if err := f.waitReady(); err != nil {
		return verdict{}, err
	}
	l.play(trouble)
	text := fmt.Sprintf("%d requests reached the runner later than %d ms after the same entry instance had passed on its Server-Leaving; "+
		"%d answered, %d got no success: %v", len(l.late), drainBound.Milliseconds(), l.answered, len(l.lost), l.lost)
	return verdict{broken: len(l.late) > 0, text: text}, nil
}

func (l *leaving) isLeaving(r *runner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r == l.gone && r.state == "draining"
}

// answer takes an order. All answers of the leaving runner say that it leaves.
func (l *leaving) answer(r *runner, c net.Conn, req *http.Request, _ []byte) {
	id := req.Header.Get("X-Request-Id")
	l.rec.printf("runner %s runs request %s", r.currentID(), id)
	if r == l.gone {
		l.mu.Lock()
		told, ok := l.told[l.via[id]]
		if ok && l.sent[id].Sub(told) > drainBound {
			l.late = append(l.late, id)
			l.rec.printf("LATE: request %s reaches %s from %s, sent %d ms after the notice", id, r.currentID(), l.via[id], l.sent[id].Sub(told).Milliseconds())
		}
		l.mu.Unlock()
	}
	time.Sleep(leavingWork)
	headers := "X-Response-Seal: seal-" + id + "\r\n"
	if l.isLeaving(r) {
		headers += "Server-Leaving: 1\r\n"
	}
	reply(c, req, http.StatusOK, headers, "ordered "+id)
}

// play sends orders to all entry instances in turn. With trouble, a runner leaves while its heartbeats do not arrive.
func (l *leaving) play(trouble bool) {
	l.start = time.Now()
	if trouble {
		l.gone.pingsAreLost = func() bool { return l.isLeaving(l.gone) && time.Since(l.start) < leavingAt+leavingCut }
	}
	time.AfterFunc(leavingAt, l.leave)
	time.AfterFunc(leavingAt+leavingExit, func() {
		l.rec.say("runner %s exits", l.gone.currentID())
		l.gone.stop()
	})
	var wg sync.WaitGroup
	for time.Since(l.start) < leavingEnd {
		wg.Go(l.send)
		time.Sleep(orderGap)
	}
	wg.Wait()
}

// leave makes the runner say that it leaves, in its answers and at once in a heartbeat.
func (l *leaving) leave() {
	l.gone.mu.Lock()
	l.gone.state = "draining"
	l.gone.mu.Unlock()
	l.rec.say("runner %s leaves", l.gone.currentID())
	l.gone.ping()
}

// send sends one order at the next entry instance on a connection of its own.
func (l *leaving) send() {
	n := l.n.Add(1)
	id, entry := fmt.Sprintf("order-%d", n), l.f.entries[int(n)%len(l.f.entries)]
	req, err := http.NewRequest(http.MethodPost, "http://"+l.f.callersAddress(entry)+"/order/x", strings.NewReader("order of "+id))
	if err != nil {
		return
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Key": "key-1", "X-Deadline-Ms": "5000"} {
		req.Header.Set(name, value)
	}
	l.mu.Lock()
	l.sent[id], l.via[id] = time.Now(), entry.name
	l.mu.Unlock()
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	status, notice := 0, false
	if err == nil {
		status, notice = res.StatusCode, res.Header.Get("Server-Leaving") != ""
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	l.rec.printf("request %s at %s: %d, leaving %v, %v", id, entry.name, status, notice, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if notice && l.told[entry.name].IsZero() {
		l.told[entry.name] = time.Now()
	}
	if l.answered++; status != http.StatusOK || err != nil {
		l.lost = append(l.lost, id)
	}
}
