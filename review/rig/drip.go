package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowCallers is the size of the crowd. Every one of them sends a byte of its body each dripPause.
	slowCallers = 1100
	dripPause   = 600 * time.Millisecond
	// dripTime is how long the crowd stays.
	dripTime = 15 * time.Second
	// tryingCallers are the ordinary callers that try to connect, each once a second.
	tryingCallers = 10
)

// crowd is a number of callers that do not behave.
type crowd struct {
	wg   sync.WaitGroup
	open atomic.Int64
	stop chan struct{}
}

// newCrowd lets callers run at a machine; each comes again a moment after its connection has ended.
func newCrowd(address string, size int, run func(c net.Conn, stop <-chan struct{})) *crowd {
	w := &crowd{stop: make(chan struct{})}
	for n := range size {
		w.wg.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			for {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					w.open.Add(1)
					run(c, w.stop)
					w.open.Add(-1)
					_ = c.Close()
				}
				select {
				case <-w.stop:
					return
				case <-time.After(dripPause):
				}
			}
		})
	}
	return w
}

func (w *crowd) end() {
	close(w.stop)
	w.wg.Wait()
}

// dripBody sends a head and then its body, very slowly, until the connection or the crowd ends.
func dripBody(c net.Conn, stop <-chan struct{}) {
	head := "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + newID() + "\r\nX-Key: " + apiKey + "\r\nContent-Length: 15000\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(dripPause):
		}
		if _, err := io.WriteString(c, "x"); err != nil {
			return
		}
	}
}

// playDrip lets a crowd send very slowly to one entry instance while ordinary callers try to connect there.
func playDrip(f *fleet, trouble bool) (verdict, error) {
	if err := f.serveManifest(); err != nil {
		return verdict{}, err
	}
	if _, err := workers(f, func(*backend, *http.Request) bool { return true }); err != nil {
		return verdict{}, err
	}
	c := &callers{f: f}
	if err := c.warmUp(); err != nil {
		return verdict{}, err
	}
	target := f.entries[0]
	if trouble {
		w := newCrowd(f.callersAt(target), slowCallers, dripBody)
		defer w.end()
		time.Sleep(4 * time.Second)
		f.record.note("crowd: %d slow callers, %d connected", slowCallers, w.open.Load())
	}
	begin := time.Now()
	until := begin.Add(dripTime)
	key := map[string]string{"X-Key": apiKey}
	for range tryingCallers {
		c.load(target, 1, until, func(m *machine) { c.send(m, http.MethodGet, "/lookup/x", "", timeLimit, key) })
	}
	ready := true
	for time.Now().Before(until) {
		ready = ready && f.isReady(target)
		time.Sleep(500 * time.Millisecond)
	}
	c.wg.Wait()
	f.record.note("platform: %s said all the while that it is ready: %t", target.name, ready)
	return judgeDoor(c.between(begin, until), begin, until, ready), nil
}

// judgeDoor applies the rule on machines that are ready and take no new connection.
func judgeDoor(list []attempt, begin, until time.Time, ready bool) verdict {
	longest := time.Duration(0)
	served, tried := 0, len(list)
	for from := begin; from.Before(until); from = from.Add(100 * time.Millisecond) {
		taken := until
		for _, a := range list {
			if a.status != 0 && !a.sentAt.Before(from) && a.sentAt.Before(taken) {
				taken = a.sentAt
			}
		}
		longest = max(longest, taken.Sub(from))
	}
	for _, a := range list {
		if a.status == http.StatusOK {
			served++
		}
	}
	return verdict{broken: ready && longest >= contact, text: fmt.Sprintf("%d of %d ordinary attempts on new connections were served; "+
		"for %.1f s none was taken, though the instance said that it was ready (%t)", served, tried, longest.Seconds(), ready)}
}
