package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const deadlyManifest = `{"version":1,"routes":[{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":20000,
"target_latency_ms":1000,"gap_target_ms":800,"priority":0,"service":"model","max_attempts":3,"auth_exempt":false,"sticky":true,"resumable":true}],
"services":[{"name":"model","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":32,"kv_cache_tokens":600000,"models":[{"name":"m","cost":0.1}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["key-1"],"priority":1}]}`

const (
	// deadlyPart crashes each runner that begins to write an answer on it.
	deadlyPart  = "deadd00d"
	firstShared = "5c1e07a2"
	laterShared = "91bd3f06"
	// crashDown is how long a runner is away after a crash.
	crashDown = 3 * time.Second
	// soundGap is the time between two sound requests, deadlyGap between two with the deadly part.
	soundGap  = 20 * time.Millisecond
	deadlyGap = 450 * time.Millisecond
	// deadlyRunners is the number of runners.
	deadlyRunners = 3
	// Times from the start of traffic.
	troubleAt = 15 * time.Second
	trafficIs = 45 * time.Second
	// minEach is the number of sound requests that the rule wants of each kind.
	minEach = 20
)

// deadly is the case of a part of prompts that crashes runners.
type deadly struct {
	f       *fleet
	rec     *record
	runners []*runner
	start   time.Time
	mu      sync.Mutex
	// crashes are the times of the crashes, began the sound requests that a runner has begun to run.
	crashes []time.Duration
	began   map[string]bool
	sent    map[string]time.Duration
	n       atomic.Int64
}

func runDeadlyPart(rec *record, trouble bool) (verdict, error) {
	d := &deadly{rec: rec, began: map[string]bool{}, sent: map[string]time.Duration{}}
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	d.f = f
	if err := d.prepare(); err != nil {
		return verdict{}, err
	}
	d.play(trouble)
	for _, r := range d.runners {
		r.stop()
	}
	return d.judge(), nil
}

func (d *deadly) prepare() error {
	if err := d.f.publish(deadlyManifest); err != nil {
		return err
	}
	for n := range deadlyRunners {
		r, err := newRunner(d.f, fmt.Sprint("m", n), "model", zoneNames()[n], 32, d.answer)
		if err != nil {
			return err
		}
		d.runners = append(d.runners, r)
	}
	time.Sleep(2 * time.Second)
	return d.f.waitReady()
}

// answer reads the prompt, then writes ten events; a prompt with the deadly part crashes the runner as it begins to write.
func (d *deadly) answer(r *runner, c net.Conn, req *http.Request, _ []byte) {
	id, name := req.Header.Get("X-Request-Id"), strings.Split(r.currentID(), "-")[1]
	d.rec.printf("runner %s runs request %s", r.currentID(), id)
	if strings.HasPrefix(id, "sound-") {
		d.mu.Lock()
		d.began[id] = true
		d.mu.Unlock()
	}
	time.Sleep(40 * time.Millisecond)
	if strings.Contains(req.Header.Get("X-Prompt-Prefix"), deadlyPart) {
		d.mu.Lock()
		d.crashes = append(d.crashes, time.Since(d.start))
		d.mu.Unlock()
		r.crash(name, crashDown)
		return
	}
	if streamHead(c, req) != nil {
		return
	}
	for n := range 20 {
		if streamEvent(c, n+1, "piece") != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = streamEnd(c)
}

// play sends sound requests all the time and, with trouble, requests with the deadly part from troubleAt on.
func (d *deadly) play(trouble bool) {
	d.start = time.Now()
	var wg sync.WaitGroup
	nextSound, nextDeadly := time.Duration(0), troubleAt
	for now := time.Duration(0); now < trafficIs; now = time.Since(d.start) {
		if now >= nextSound {
			nextSound += soundGap
			wg.Go(func() { d.send("sound", firstShared+":512,"+laterShared+":256") })
		}
		if trouble && now >= nextDeadly {
			nextDeadly += deadlyGap
			wg.Go(func() { d.send("deadly", firstShared+":512,"+deadlyPart+":300,"+laterShared+":256") })
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
}

// send sends one request at an entry instance; shared are the parts of its prompt before the last one, which is its own.
func (d *deadly) send(kind, shared string) {
	n := d.n.Add(1)
	id := fmt.Sprintf("%s-%d", kind, n)
	entry := d.f.entries[rand.IntN(len(d.f.entries))]
	req, err := http.NewRequest(http.MethodPost, "http://"+d.f.callersAddress(entry)+"/chat/x", strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Key": "key-1", "X-Deadline-Ms": "20000", "X-Model": "m", "X-Token-Count": "868,120",
		"X-Prompt-Prefix": fmt.Sprintf("%s,%08x:100", shared, n),
	} {
		req.Header.Set(name, value)
	}
	d.mu.Lock()
	d.sent[id] = time.Since(d.start)
	d.mu.Unlock()
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		d.rec.printf("request %s at %s: %v", id, entry.name, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	d.rec.printf("request %s at %s: %d, %d bytes, %v", id, entry.name, res.StatusCode, len(text), err)
}

// judge compares how often sound requests begin at a runner, before the trouble and from 2 x contact_ms after the fifth
// crash on.
func (d *deadly) judge() verdict {
	from := troubleAt + 2*contactBound
	if n := len(d.crashes); n > 0 {
		from = d.crashes[min(n, 5)-1] + 2*contactBound
	}
	var before, beforeBegan, after, afterBegan int
	for id, at := range d.sent {
		switch {
		case !strings.HasPrefix(id, "sound-"):
		case at < troubleAt-time.Second:
			before++
			beforeBegan += count(d.began[id])
		case at >= from:
			after++
			afterBegan += count(d.began[id])
		}
	}
	d.rec.say("%d crashes; before: %d of %d sound requests began; from %.1f s on: %d of %d", len(d.crashes), beforeBegan, before, from.Seconds(), afterBegan, after)
	text := fmt.Sprintf("sound requests began in %d of %d cases after the fifth crash, %d of %d before", afterBegan, after, beforeBegan, before)
	broken := before >= minEach && after >= minEach && float64(afterBegan)/float64(after) < 0.5*float64(beforeBegan)/float64(before)
	return verdict{broken: broken, text: text}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
