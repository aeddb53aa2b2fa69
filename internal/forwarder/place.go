package forwarder

import (
	"context"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const streamKind = matcher.KindStream

const (
	// farCost is what a server of another data centre costs, as a share of its slots: traffic between them is paid for.
	farCost = 0.6
	// secondCost and otherCost are what it costs, as a share of slots, to leave the server that most likely holds the
	// shared part of a prompt, for the next one in line or for any other.
	secondCost = 0.12
	otherCost  = 0.3
	// sessionGain is what the server of the session's last request is preferred by.
	sessionGain = 0.15
	// engineQueue and plainQueue are how many requests may wait at a server, as a share of its slots.
	engineQueue = 0.5
	plainQueue  = 2.0
	// roomEvery is the time between looks for room while a request waits.
	roomEvery = 25 * timer.Millisecond
	// roomShare is the part of the target that a request waits for room, in percent.
	roomShare = 60
)

// place waits for a server with room and counts the attempt.
func (t *task) place(ctx context.Context) (*server, *Refusal) {
	if t.crashes() {
		return nil, t.lost("this request has crashed backend servers")
	}
	// The servers may have changed since the last attempt; the route stays that of the request's arrival.
	t.pic = t.f.picture.Load()
	patience := t.ArrivedAt + max(t.route.Target*roomShare/100, roomEvery)
	for {
		now := t.f.deps.Common.Clock.Now()
		s, why := t.pick(now)
		if s != nil {
			t.tried[s.Name] = true
			t.attempts++
			t.last = s
			if t.attempts > 1 {
				t.f.budget.spend()
			}
			t.f.sessions.set(t.Session, pin{version: s.Version, server: s.Name, at: now})
			return s, nil
		}
		if t.writer.status == 0 && now > patience || now >= t.deadline {
			return nil, t.noRoom(why)
		}
		if err := t.f.deps.Common.Clock.Sleep(ctx, roomEvery); err != nil {
			return nil, t.expired()
		}
		t.pic = t.f.picture.Load()
		if t.attempts > 0 && len(t.tried) > 0 {
			// Servers that were full before may have room by now.
			clear(t.tried)
			t.tried[t.last.Name] = true
		}
	}
}

func (t *task) noRoom(why string) *Refusal {
	if t.ran {
		return &Refusal{Status: http.StatusBadGateway, Reason: why}
	}
	return t.full(why)
}

// pick returns the cheapest server that has room, or why there is none.
func (t *task) pick(now timer.Millis) (*server, string) {
	list := t.candidates(now)
	if len(list) == 0 {
		return nil, "no backend server of the service is known"
	}
	order := t.rank(list)
	best := t.cheapest(list, order, now, false)
	if best == nil {
		// Where all are set aside, one of them is still better than none.
		best = t.cheapest(list, order, now, true)
	}
	if best == nil {
		return nil, "no backend server has room"
	}
	return best, ""
}

// cheapest returns the server with the lowest cost among those that have room, nil when none has.
func (t *task) cheapest(list []*server, order []float64, now timer.Millis, desperate bool) *server {
	p, pinned := t.f.sessions.get(t.Session, now)
	var best *server
	lowest := 0.0
	for i, s := range list {
		suspended, slowness := s.state(now)
		if suspended != desperate || t.tried[s.Name] {
			continue
		}
		slots := max(1, s.Slots)
		load := s.load(now)
		if load >= t.limit(slots) {
			continue
		}
		cost := float64(load)/float64(slots) + order[i]
		if slowness > slowServer {
			cost += slowness / 4
		}
		if s.DataCentre != t.f.deps.DataCentre {
			cost += farCost
		}
		if pinned && p.server == s.Name {
			cost -= sessionGain
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// slowServer is how many times the usual time to the first byte makes a server one to avoid.
const slowServer = 2.5

// limit returns how many requests a server may run and queue.
func (t *task) limit(slots int) int {
	if t.pic.Policy.Services[t.service].EngineSlots > 0 {
		return slots + int(engineQueue*float64(slots))
	}
	return slots + int(plainQueue*float64(slots))
}

// rank returns what each server costs for not holding the shared parts of the prompt, by rendezvous hashing within
// each data centre.
func (t *task) rank(list []*server) []float64 {
	costs := make([]float64, len(list))
	if !t.route.Sticky || len(t.Parts) < 2 {
		return costs
	}
	var b strings.Builder
	for _, p := range t.Parts[:len(t.Parts)-1] {
		b.WriteString(p.ID)
		b.WriteByte(',')
	}
	// Caches hold parts for each model apart.
	b.WriteString(t.model)
	key := xxhash.Sum64String(b.String())
	weights := make([]uint64, len(list))
	for i, s := range list {
		weights[i] = mix(key ^ s.hash)
	}
	for i, s := range list {
		ahead := 0
		for j, other := range list {
			if other.DataCentre == s.DataCentre && weights[j] > weights[i] {
				ahead++
			}
		}
		switch {
		case ahead == 1:
			costs[i] = secondCost
		case ahead > 1:
			costs[i] = otherCost
		}
	}
	return costs
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// candidates returns the servers of the version that the request belongs to.
func (t *task) candidates(now timer.Millis) []*server {
	v := t.pic.versionsOf(t.service)
	if v.running == nil || len(v.target) == 0 {
		return v.stable
	}
	if len(v.stable) == 0 {
		return v.target
	}
	if t.version == "" {
		t.version = t.chooseVersion(now, v)
	}
	if t.version == v.running.Target {
		return v.target
	}
	return v.stable
}

// chooseVersion divides requests between the old and the new version; a session moves to the new one in the second
// half of a roll-out at the earliest, and never back.
func (t *task) chooseVersion(now timer.Millis, v versions) string {
	old := v.stable[0].Version
	target := v.running.Target
	progress := float64(now-v.running.Begun) / float64(max(1, v.running.Span))
	key := t.Session
	if key == "" {
		key = t.ID
	}
	drawn := float64(mix(xxhash.Sum64String(key))%1000) / 1000
	p, pinned := t.f.sessions.get(t.Session, now)
	switch {
	case progress < haltUntil && t.f.halted(t.service, target):
		return old
	case pinned && p.version == target:
		return target
	case pinned && progress < sessionsMove:
		return old
	case drawn < targetShare(progress):
		return target
	}
	return old
}

// sessionsMove is the part of a roll-out before which no session changes its version; a margin over one half, because
// instances learn of the start at different times.
const sessionsMove = 0.53

// haltUntil is the part of a roll-out after which an instance no longer holds the target back by itself: the leader has
// judged by then.
const haltUntil = 0.7

// targetShare is the part of sessions that the new version gets as a roll-out goes on.
func targetShare(progress float64) float64 {
	switch {
	case progress < sessionsMove:
		return 0.08
	case progress < 0.6:
		return 0.25
	case progress < 0.68:
		return 0.5
	}
	return 1
}

// chooseModel returns the size that is asked first: the smallest, whose answer may turn out to be enough, where another
// one can be asked after it.
func (t *task) chooseModel() string {
	models := t.route.Models
	if len(models) == 0 {
		return ""
	}
	if !t.route.Repeatable() || t.route.MaxAttempts < 2 {
		return models[len(models)-1]
	}
	return models[0]
}

// escalate moves the request to the largest size where the model that answers doubts its answer; it reports whether the
// answer at hand is to be dropped.
func (t *task) escalate(x *exchange) bool {
	models := t.route.Models
	if t.model == "" || t.writer.status != 0 || t.LastEvent != "" || t.model == models[len(models)-1] {
		return false
	}
	c := x.verdict.Confidence
	if c < 0 || c >= t.f.deps.Rules.Confidence || t.attempts >= t.route.MaxAttempts || !t.f.budget.left() {
		return false
	}
	small := t.model
	t.model = models[len(models)-1]
	if best := t.cheapestNow(); best == nil {
		t.model = small
		return false
	}
	return true
}

// cheapestNow returns a server that has room for the request as it is now, nil when there is none.
func (t *task) cheapestNow() *server {
	now := t.f.deps.Common.Clock.Now()
	list := t.candidates(now)
	tried := t.tried
	t.tried = map[string]bool{}
	best := t.cheapest(list, make([]float64, len(list)), now, false)
	if best == nil {
		t.tried = tried
	}
	return best
}
