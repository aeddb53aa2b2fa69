package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a caller.
type attempt struct {
	id, path, entry string
	sentAt          time.Time
	took            time.Duration
	// status is 0 if no answer came; err says why.
	status int
	body   string
	seal   string
	err    error
}

func (a attempt) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s %s at %s: no answer after %d ms: %v", a.id, a.path, a.entry, a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s %s at %s: %d after %d ms", a.id, a.path, a.entry, a.status, a.took.Milliseconds())
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// callers send requests and keep what came of them.
type callers struct {
	f *fleet
	// kept, if it is set, keeps connections for further requests; otherwise each request has a connection of its own.
	kept *http.Transport

	mu       sync.Mutex
	attempts []attempt
	wg       sync.WaitGroup
}

// send sends one request and waits for its answer for the given time at most.
func (c *callers) send(m *machine, method, path, body string, wait time.Duration, header map[string]string) attempt {
	a := attempt{id: newID(), path: path, entry: m.name, sentAt: time.Now()}
	r, err := http.NewRequest(method, "http://"+c.f.callersAt(m)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: wait, Transport: c.kept}
	if c.kept == nil {
		client.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	res, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.body, a.seal = string(text), res.Header.Get("X-Response-Seal")
	}
	if a.err = err; err == nil {
		a.status = res.StatusCode
	}
	a.took = time.Since(a.sentAt)
	c.f.record.note("caller: %v", a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// load sends requests to a machine at a fixed rate until the given time.
func (c *callers) load(m *machine, perSecond int, until time.Time, send func(*machine)) {
	c.wg.Go(func() {
		for time.Now().Before(until) {
			c.wg.Go(func() { send(m) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

// between returns the attempts that were sent in a span.
func (c *callers) between(from, to time.Time) []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []attempt
	for _, a := range c.attempts {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			list = append(list, a)
		}
	}
	return list
}
