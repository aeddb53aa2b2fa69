package forwarder

import (
	"context"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const streamKind = matcher.KindStream

const (
	// loadCost is what a full server costs against an empty one, in milliseconds: more requests make each token slower.
	loadCost = 250.0
	// farCost is what a server of another data centre costs, in milliseconds: traffic between them is paid for.
	farCost = 400.0
	// slowCost is what a server that answers far later than usual costs, in milliseconds.
	slowCost = 200.0
	// coldCost is what it costs, in milliseconds for each shared token, to leave the server that should hold the shared
	// parts of a prompt for the next in line.
	coldCost = 0.02
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
			t.f.sessions.set(t.Session, pin{service: s.Service, version: s.Version, server: s.Name, at: now})
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
	best := t.cheapest(list, now, false)
	if best == nil {
		// Where all are set aside, one of them is still better than none.
		best = t.cheapest(list, now, true)
	}
	if best == nil {
		return nil, "no backend server has room"
	}
	return best, ""
}

// cheapest returns the server with the lowest cost among those that have room, nil when none has.
func (t *task) cheapest(list []*server, now timer.Millis, desperate bool) *server {
	var best *server
	lowest := 0.0
	places := t.places(list)
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
		place := -1
		if places != nil {
			place = places[i]
		}
		cost := t.cost(s, load, slots, slowness, place, now)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// cost estimates when the server would answer, in milliseconds, and adds what traffic and cold caches are worth.
func (t *task) cost(s *server, load, slots int, slowness float64, place int, now timer.Millis) float64 {
	work := s.work.before(t.urgency(s), now) + t.promptWork(s)
	cost := work + float64(load)/float64(slots)*loadCost
	if slowness > slowServer {
		cost = cost*slowness + slowCost
	}
	if s.DataCentre != t.f.deps.DataCentre {
		cost += farCost
	}
	if place > 0 {
		cost += float64(place) * coldCost * float64(t.sharedTokens())
	}
	return cost
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

// promptWork estimates how long the server reads the prompt, in milliseconds.
func (t *task) promptWork(s *server) float64 {
	tokens := t.TokensIn
	if key := t.prefixKey(); key != 0 && t.f.prefixes.holds(key, s.Name, t.f.deps.Common.Clock.Now()) {
		tokens -= t.sharedTokens()
	}
	return float64(max(0, tokens)) * t.f.paces.get(t.model)
}

const (
	// shortPrompt is the work, in milliseconds, up to which a prompt goes before longer ones: it delays them little.
	shortPrompt = 50.0
	// shortGain is by how many ranks it does.
	shortGain = 2
)

// urgency returns the rank of the request's prompt at a server; 0 is first.
func (t *task) urgency(s *server) int {
	u := urgencyOf(t.route, t.workspace)
	if t.promptWork(s) <= shortPrompt {
		u -= shortGain
	}
	return max(0, u)
}
