package allotter

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// collectTime is how long a new ledger gives no places: the instances that use some already must have claimed them.
	collectTime = 300 * timer.Millisecond
	// orphanTime is how long the places of an instance that is gone stay taken: its requests may still run.
	orphanTime = 2 * timer.Second
	// levelGrowth is the part of a server's slots by which its level rises in a second after refusals have lowered it.
	levelGrowth = 0.05
	// spareShare is the part of a server's slots that is not given away, as a divisor: a new connection takes a slot for a moment.
	spareShare = 16
	// minSlotsWithSpare is the number of slots from which one or more are spared.
	minSlotsWithSpare = 4
	// refusalWindow is the time in which a server bears a number of refusals.
	refusalWindow = timer.Second
	// maxPlaces bounds the places of one server, and those that one instance claims.
	maxPlaces = 100_000
	// forgetTime is how long a ledger that nobody holds or wants places of is kept.
	forgetTime = timer.Minute
)

// Ledger holds who uses how many places of which server; H identifies an instance. It is used by one goroutine.
type Ledger[H comparable] struct {
	accounts map[serverID]*account[H]
}

type serverID struct {
	server      string
	incarnation int64
}

// account is the ledger of one server.
type account[H comparable] struct {
	slots       int
	maxRefusals float64
	holders     map[H]*holder
	// queue are the instances that want more places, in the order of their turns.
	queue []H
	// level is how many places are given at most, as of levelAt.
	level       float64
	levelAt     timer.Millis
	openedAt    timer.Millis
	lastClaimAt timer.Millis
	// refusedAt are the times of the refusals within refusalWindow.
	refusedAt []timer.Millis
}

// holder is what one instance holds and wants of a server.
type holder struct {
	granted, wanted int
	sequence        uint64
	// raisedAt is the sequence under which places were granted last.
	raisedAt uint64
	refusals int
	// lostAt is when the instance was lost; 0 if it was not.
	lostAt timer.Millis
	// isDue means that the instance must get a grant.
	isDue bool
}

// NewLedger returns a ledger without servers.
func NewLedger[H comparable]() *Ledger[H] {
	return &Ledger[H]{accounts: map[serverID]*account[H]{}}
}

// Claim applies the claim of an instance; Settle returns the grants that follow from it.
func (l *Ledger[H]) Claim(instance H, c Claim, now timer.Millis) {
	// An instance of another build may send numbers whose sums overflow.
	c.Slots, c.Held, c.Wanted = min(max(1, c.Slots), maxPlaces), min(max(0, c.Held), maxPlaces), min(max(0, c.Wanted), maxPlaces)
	id := serverID{c.Server, c.Incarnation}
	a := l.accounts[id]
	if a == nil {
		a = &account[H]{holders: map[H]*holder{}, level: ceiling(c.Slots), levelAt: now, openedAt: now}
		l.accounts[id] = a
	}
	a.slots, a.maxRefusals, a.lastClaimAt = c.Slots, c.MaxRefusals, now
	a.grow(now)
	h := a.holders[instance]
	if h == nil {
		h = &holder{refusals: c.Refusals}
		a.holders[instance] = h
	}
	h.lostAt = 0
	if c.Sequence < h.sequence {
		return
	}
	if n := c.Refusals - h.refusals; n > 0 {
		a.recordRefusals(min(n, maxPlaces), now)
	}
	h.refusals = c.Refusals
	if c.Reduced > h.raisedAt {
		// The instance ignores what was granted before it gave up places.
		h.granted = c.Held
	} else {
		h.granted = max(h.granted, c.Held)
	}
	h.sequence, h.wanted = c.Sequence, c.Wanted
	if h.wanted > h.granted {
		h.isDue = true
		if !slices.Contains(a.queue, instance) {
			a.queue = append(a.queue, instance)
		}
	}
}

// Lose marks an instance as gone: its places stay taken for a while.
func (l *Ledger[H]) Lose(instance H, now timer.Millis) {
	for _, a := range l.accounts {
		if h := a.holders[instance]; h != nil {
			h.wanted, h.lostAt = 0, now
		}
	}
}

// Settle gives free places to those who want them, and returns the grants that each instance must get.
func (l *Ledger[H]) Settle(now timer.Millis) map[H][]Grant {
	grants := map[H][]Grant{}
	for id, a := range l.accounts {
		a.settle(now)
		for instance, h := range a.holders {
			if h.isDue {
				h.isDue = false
				grants[instance] = append(grants[instance], Grant{Server: id.server, Incarnation: id.incarnation, Places: h.granted, Sequence: h.sequence})
			}
		}
		if len(a.holders) == 0 && now-a.lastClaimAt > forgetTime {
			delete(l.accounts, id)
		}
	}
	return grants
}

// HasWork reports whether Settle must be called later though no claim arrives.
func (l *Ledger[H]) HasWork() bool {
	for _, a := range l.accounts {
		if len(a.queue) > 0 {
			return true
		}
		for _, h := range a.holders {
			if h.lostAt > 0 {
				return true
			}
		}
	}
	return false
}

// ceiling is how many of a server's slots are given away.
func ceiling(slots int) float64 {
	if slots < minSlotsWithSpare {
		return float64(max(1, slots))
	}
	return float64(slots - max(1, slots/spareShare))
}

// taken returns how many places are given away.
func (a *account[H]) taken() int {
	n := 0
	for _, h := range a.holders {
		n += h.granted
	}
	return n
}

// grow lets the level rise again after refusals.
func (a *account[H]) grow(now timer.Millis) {
	a.level = min(ceiling(a.slots), a.level+levelGrowth*float64(a.slots)*float64(now-a.levelAt)/float64(timer.Second))
	a.levelAt = now
}

// recordRefusals lowers the level below what was in use when the server had no room: memory or connections can run out before
// its slots do.
func (a *account[H]) recordRefusals(n int, now timer.Millis) {
	for range n {
		a.refusedAt = append(a.refusedAt, now)
	}
	a.level = max(1, min(a.level, float64(a.taken()))-float64(n))
}

// isPaused reports whether no place is given since the server may fall over by a few refusals more.
func (a *account[H]) isPaused(now timer.Millis) bool {
	a.refusedAt = slices.DeleteFunc(a.refusedAt, func(at timer.Millis) bool { return now-at >= refusalWindow })
	return len(a.refusedAt) > 0 && 2*float64(len(a.refusedAt)) >= a.maxRefusals
}

// settle gives the free places to those who want them, one at each turn.
func (a *account[H]) settle(now timer.Millis) {
	maps.DeleteFunc(a.holders, func(_ H, h *holder) bool {
		return h.lostAt > 0 && now-h.lostAt >= orphanTime || h.granted == 0 && h.wanted == 0 && !h.isDue
	})
	a.queue = slices.DeleteFunc(a.queue, func(instance H) bool {
		h := a.holders[instance]
		return h == nil || h.wanted <= h.granted
	})
	a.grow(now)
	if now-a.openedAt < collectTime || a.isPaused(now) {
		return
	}
	for free := int(a.level) - a.taken(); free > 0 && len(a.queue) > 0; free-- {
		instance := a.queue[0]
		a.queue = a.queue[1:]
		h := a.holders[instance]
		h.granted++
		h.raisedAt, h.isDue = h.sequence, true
		if h.wanted > h.granted {
			a.queue = append(a.queue, instance)
		}
	}
}
