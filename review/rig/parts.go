package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// manyParts is the number of prompt parts of the long prompt: 10,000 tokens, in a header of 12 KB of the 16 KB that the manifest
	// allows.
	manyParts = 2000
	// modelServers is the number of model servers, of which one crashes.
	modelServers = 6
	// downTime is how long a crashed backend server is away.
	downTime = 4 * time.Second
	// timeLimit is how long callers of orders and lookups wait; the route's timeout_ms is 1,500.
	timeLimit    = 3 * time.Second
	routeTimeout = 1500 * time.Millisecond
	graceLate    = 500 * time.Millisecond
	// playTime is how long the ordinary load goes on after the long prompt.
	playTime = 45 * time.Second
)

// workers starts the backend servers of a small deployment; onRun is called when a model server begins to run a request.
func workers(f *fleet, onRun func(b *backend, r *http.Request) bool) ([]*backend, error) {
	model := func(b *backend, c net.Conn, r *http.Request, _ []byte) bool {
		f.record.note("runner %s: runs %s %s", b.id, r.Header.Get("X-Request-Id"), r.URL.Path)
		if !onRun(b, r) {
			return false
		}
		return b.stream(c, r, 5, 30*time.Millisecond)
	}
	desk := func(b *backend, c net.Conn, r *http.Request, _ []byte) bool {
		f.record.note("runner %s: runs %s %s", b.id, r.Header.Get("X-Request-Id"), r.URL.Path)
		time.Sleep(30 * time.Millisecond)
		return b.answer(c, r, "done "+r.Header.Get("X-Request-Id"))
	}
	var list []*backend
	for n, zone := range []string{"a", "b", "c", "a", "b", "c", "a", "b", "c"} {
		serve, service, slots := model, "model", 32
		if n >= modelServers {
			serve, service, slots = desk, "desk", 6
		}
		b, err := newBackend(f, fmt.Sprintf("i-%s-%d", service, n), service, zone, slots, serve)
		if err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	return list, nil
}

// warmUp waits until every entry instance serves all routes.
func (c *callers) warmUp() error {
	deadline := time.Now().Add(startTime)
	for _, m := range c.f.entries {
		for _, path := range []string{"/lookup/x", "/consult/x"} {
			for c.send(m, http.MethodGet, path, "", timeLimit, consultHeader("5c1e07a2:512,91bd3f06:410")).status != http.StatusOK {
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve %s", m.name, path)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	return nil
}

func consultHeader(parts string) map[string]string {
	return map[string]string{"X-Key": apiKey, "X-Model": "m1", "X-Token-Count": "10000,30", "X-Prompt-Prefix": parts}
}

// playParts lets one backend server crash while it runs a request whose prompt has many parts, under an ordinary load.
func playParts(f *fleet, trouble bool) (verdict, error) {
	var isDown atomic.Bool
	if err := f.serveManifest(); err != nil {
		return verdict{}, err
	}
	_, err := workers(f, func(b *backend, r *http.Request) bool {
		if r.URL.Path != "/consult/long" || !trouble || !isDown.CompareAndSwap(false, true) {
			return true
		}
		f.record.note("runner %s: crashes under %s, is away for %v", b.id, r.Header.Get("X-Request-Id"), downTime)
		b.crash(downTime)
		return false
	})
	if err != nil {
		return verdict{}, err
	}
	c := &callers{f: f}
	if err := c.warmUp(); err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	until := begin.Add(playTime + 3*time.Second)
	key := map[string]string{"X-Key": apiKey}
	for _, m := range f.entries {
		c.load(m, 6, until, func(m *machine) { c.send(m, http.MethodGet, "/lookup/x", "", timeLimit, key) })
		c.load(m, 5, until, func(m *machine) { c.send(m, http.MethodPost, "/order/x", "one coat", timeLimit, key) })
	}
	time.Sleep(3 * time.Second)
	var list []string
	for n := range manyParts {
		list = append(list, fmt.Sprintf("%x:5", 0x100+n))
	}
	var longestAck time.Duration
	c.wg.Go(func() { longestAck = f.changeManifests(until) })
	f.record.note("caller: sends a prompt of %d parts in a header of %d bytes", manyParts, len(strings.Join(list, ",")))
	c.wg.Go(func() {
		c.send(f.entries[0], http.MethodPost, "/consult/long", "prompt", 30*time.Second, consultHeader(strings.Join(list, ",")))
	})
	c.wg.Wait()
	v := judgeLate(f, c.between(begin, until))
	v.text += fmt.Sprintf("; the operator waited for up to %.1f s for an acknowledgement (ack_ms is 4,000)", longestAck.Seconds())
	return v, nil
}

// judgeLate applies the rule on requests that are unanswered at the timeout of their route.
func judgeLate(f *fleet, list []attempt) verdict {
	asked, unanswered, late := 0, 0, 0
	for _, a := range list {
		if strings.HasPrefix(a.path, "/consult/") {
			continue
		}
		asked++
		if a.took > routeTimeout {
			unanswered++
		}
		if a.took > routeTimeout+graceLate {
			late++
		}
	}
	text := fmt.Sprintf("of %d orders and lookups, %d had no answer at their route's timeout of %v, %d of these none half a second later",
		asked, unanswered, routeTimeout, late)
	f.record.note("%s", text)
	return verdict{broken: late >= 8 && 2*late > unanswered, text: text}
}
