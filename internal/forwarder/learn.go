package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// budget bounds repeats by what the own first attempts earned lately, so that the fleet as a whole keeps its bound.
type budget struct {
	rules Rules
	now   func() timer.Millis
	mu    sync.Mutex
	level float64
	at    timer.Millis
}

func newBudget(rules Rules, now func() timer.Millis) *budget {
	return &budget{rules: rules, now: now, level: rules.RetrySlack, at: now()}
}

// earn adds what one first attempt earns, up to what a window's worth of slack allows.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.rules.RetryShare, b.rules.RetrySlack+maxEarned*b.rules.RetryShare)
}

// maxEarned is how many first attempts a budget remembers: about a window's worth at one instance.
const maxEarned = 60

// left reports whether a repeat may be sent.
func (b *budget) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.level >= 1
}

func (b *budget) spend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.level--
}

// refill lets the slack grow back once a window.
func (b *budget) refill() {
	now := b.now()
	if b.level < b.rules.RetrySlack {
		grown := b.rules.RetrySlack * float64(now-b.at) / float64(max(1, b.rules.RetryWindow))
		b.level = min(b.rules.RetrySlack, b.level+grown)
	}
	b.at = now
}

// sessions remembers the version and the server of each session.
type sessions struct {
	span timer.Millis
	mu   sync.Mutex
	rows map[string]pin
}

type pin struct {
	service string
	version string
	server  string
	at      timer.Millis
}

func newSessions(span timer.Millis) *sessions {
	return &sessions{span: span, rows: map[string]pin{}}
}

func (s *sessions) get(id string, now timer.Millis) (pin, bool) {
	if id == "" {
		return pin{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.rows[id]
	return p, ok && now-p.at <= s.span
}

func (s *sessions) set(id string, p pin) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[id] = p
}

// on returns the sessions that had a request lately and whose pin is wanted.
func (s *sessions) on(now timer.Millis, wanted func(pin) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, p := range s.rows {
		if now-p.at <= s.span && wanted(p) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *sessions) clean(now timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.rows {
		if now-p.at > 2*s.span {
			delete(s.rows, id)
		}
	}
}

// result says what an answer was worth during a roll-out.
type result uint8

const (
	resultGood result = iota
	resultBad
	resultSlow
)

// outcomes counts answers by version for the roll-outs that run.
type outcomes struct {
	mu   sync.Mutex
	rows map[outcomeKey]messenger.Outcomes
}

// outcomeKey tells the counts of one version on one route from others.
type outcomeKey struct {
	service, version, route string
}

func newOutcomes() *outcomes {
	return &outcomes{rows: map[outcomeKey]messenger.Outcomes{}}
}

// note counts an answer while a roll-out of its service runs.
func (f *Forwarder) note(t *task, s *server, r result) {
	ro, ok := f.picture.Load().rollOuts[s.Service]
	if !ok {
		return
	}
	f.outcomes.mu.Lock()
	defer f.outcomes.mu.Unlock()
	key := outcomeKey{s.Service, s.Version, t.route.Name}
	o := f.outcomes.rows[key]
	if o.Target != ro.Target {
		o = messenger.Outcomes{Service: s.Service, Version: s.Version, Target: ro.Target, Route: t.route.Name}
	}
	switch r {
	case resultGood:
		o.Good++
	case resultBad:
		o.Bad++
	case resultSlow:
		o.Slow++
	}
	f.outcomes.rows[key] = o
}

// halted reports whether this instance alone has seen enough of a target to send it nothing more for now.
func (f *Forwarder) halted(service, target string) bool {
	f.outcomes.mu.Lock()
	defer f.outcomes.mu.Unlock()
	for key, o := range f.outcomes.rows {
		if key.service != service || key.version != target || o.Target != target {
			continue
		}
		if bad := o.Bad + o.Slow; bad >= haltBad && bad*100 >= haltShare*(o.Good+bad) {
			return true
		}
	}
	return false
}

const (
	// haltBad and haltShare are the bad answers, and their share in percent, at which an instance holds a target back by
	// itself until the leader has judged.
	haltBad   = 3
	haltShare = 20
)

// Outcomes returns what was seen of the versions of services whose roll-out runs.
func (f *Forwarder) Outcomes() []messenger.Outcomes {
	p := f.picture.Load()
	var list []messenger.Outcomes
	f.outcomes.mu.Lock()
	defer f.outcomes.mu.Unlock()
	for service := range p.rollOuts {
		v := p.versionsOf(service)
		if v.running == nil {
			continue
		}
		for key, o := range f.outcomes.rows {
			if key.service == service && o.Target == v.running.Target {
				list = append(list, o)
			}
		}
		running := map[string]int{}
		for _, s := range p.servers[service] {
			running[s.Version] += int(s.running.Load())
		}
		for version, n := range running {
			list = append(list, messenger.Outcomes{Service: service, Version: version, Target: v.running.Target, Running: n})
		}
	}
	return list
}

const (
	// slowFactor and slowMargin say how much later than usual a first byte must come to count as slow.
	slowFactor = 4
	slowMargin = 400 * timer.Millisecond
)

// average is a moving average of times to the first byte in milliseconds.
type average struct {
	mu    sync.Mutex
	value float64
	count int
}

func (a *average) add(v float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if a.count == 1 {
		a.value = v
		return
	}
	a.value += averageShare * (v - a.value)
}

func (a *average) get() (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value, a.count
}

func (f *Forwarder) firstOf(t *task) *average {
	a, _ := f.firsts.LoadOrStore(t.route.Name, &average{})
	return a.(*average)
}

// expected returns the usual time to the first byte on the request's route, in milliseconds; 0 when it is not known.
func (f *Forwarder) expected(t *task) timer.Millis {
	v, _ := f.firstOf(t).get()
	return timer.Millis(v)
}

// noteFirst learns from the time to the first byte; slow answers count against a version on roll-out.
func (f *Forwarder) noteFirst(t *task, s *server, took timer.Millis) {
	f.latency.Update(int64(f.deps.Common.Clock.Now() - t.ArrivedAt))
	a := f.firstOf(t)
	usual, count := a.get()
	if count > 5 && float64(took) > slowFactor*usual && took > slowMargin {
		f.note(t, s, resultSlow)
	} else if t.route.Kind != streamKind {
		f.note(t, s, resultGood)
	}
	if count > 5 && usual > 0 {
		s.took(float64(took) / usual)
	}
	a.add(min(float64(took), slowFactor*max(usual, float64(slowMargin))))
}

// strikes counts the servers that went down under a request.
type strikes struct {
	mu   sync.Mutex
	rows map[uint64]int
}

func newStrikes() *strikes {
	return &strikes{rows: map[uint64]int{}}
}

const (
	// maxStrikes is how many servers a request may take down before it is kept from all others.
	maxStrikes = 2
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
	// probeLimit is how long a server may take to show that it is still there; the farthest is tens of milliseconds away.
	probeLimit = 150 * timer.Millisecond
)

// strike looks whether the server went down under the request, and tells the fleet when that happened before.
func (t *task) strike(ctx context.Context, s *server) {
	c, err := s.pool.dial(ctx, probeLimit)
	if err == nil {
		s.pool.put(c)
		return
	}
	digest := t.Digest()
	st := t.f.strikes
	st.mu.Lock()
	if len(st.rows) > maxSuspects {
		st.rows = map[uint64]int{}
	}
	st.rows[digest]++
	n := st.rows[digest]
	st.mu.Unlock()
	t.f.deps.Common.Log.Warn("backend server went down under a request", "request", t.ID, "server", s.Name, "times", n, "error", err)
	if n >= maxStrikes {
		t.f.deps.Crashed(digest)
	}
}

// crashes reports whether the request has taken enough servers down.
func (t *task) crashes() bool {
	st := t.f.strikes
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.rows) > 0 && st.rows[t.Digest()] >= maxStrikes
}

// spread draws a span around the given one, so that callers do not come back all at once.
func spread(m timer.Millis) timer.Millis {
	return m/2 + timer.Millis(rand.Int64N(int64(m)))
}

// refused notes that the server had no room or was not the one meant.
func (s *server) refused(now timer.Millis, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusMisdirectedRequest {
		// Another server has the address now.
		s.suspended = now + maxSuspension
		return
	}
	s.suspended = max(s.suspended, now+fullSpan)
}

// fullSpan is how long a server that had no room is passed over, in milliseconds: about the time of one short request.
const fullSpan = 60 * timer.Millisecond
