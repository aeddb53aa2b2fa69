package allotter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// message is a claim or a grant on its way.
type message struct {
	arrivesAt timer.Millis
	instance  int
	claim     Claim
	grant     Grant
	isGrant   bool
}

// request is a request of an instance, which runs until endsAt once it has a place.
type request struct {
	arrivedAt, endsAt timer.Millis
}

// instanceRun is an entry instance in virtual time.
type instanceRun struct {
	places           *Places
	waiting, running []*request
	// incarnation differs for each start of the instance.
	incarnation int
	served      int
}

// fleet is entry instances before one server with a ledger, in virtual time. Messages of one direction keep their order.
type fleet struct {
	rng       *rand.Rand
	now       timer.Millis
	slots     int
	work      timer.Millis
	maxDelay  int64
	instances []*instanceRun
	ledger    *Ledger[string]
	messages  []message
	lastAt    map[string]timer.Millis
	served    int
	most      int
	longest   timer.Millis
}

func newFleet(seed uint64, slots, instances int, work timer.Millis, maxDelay int64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: 1000 * timer.Second, slots: slots, work: work, maxDelay: maxDelay,
		ledger: NewLedger[string](), lastAt: map[string]timer.Millis{}}
	for range instances {
		f.instances = append(f.instances, &instanceRun{places: &Places{}})
	}
	return f
}

func (f *fleet) key(i int) string {
	return fmt.Sprint(i, "-", f.instances[i].incarnation)
}

// post sends a message that arrives after a random delay, behind those sent before.
func (f *fleet) post(m message) {
	direction := fmt.Sprint(f.key(m.instance), m.isGrant)
	m.arrivesAt = max(f.now+1+timer.Millis(f.rng.Int64N(f.maxDelay)), f.lastAt[direction])
	f.lastAt[direction] = m.arrivesAt
	f.messages = append(f.messages, m)
}

// postClaims sends the claim of each instance that has changed, or of all.
func (f *fleet) postClaims(all bool) {
	for i, in := range f.instances {
		c := Claim{Server: "s", Incarnation: 1, Slots: f.slots, MaxRefusals: 3}
		if c, due := in.places.Claim(c, f.now, all); due {
			f.post(message{instance: i, claim: c})
		}
	}
}

// deliver hands the messages over that have arrived.
func (f *fleet) deliver() {
	var due []message
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		isDue := m.arrivesAt <= f.now
		if isDue {
			due = append(due, m)
		}
		return isDue
	})
	for _, m := range due {
		if m.isGrant {
			f.instances[m.instance].places.Apply(m.grant, f.now)
			continue
		}
		f.ledger.Claim(f.key(m.instance), m.claim, f.now)
	}
	grants := f.ledger.Settle(f.now)
	// In a fixed order, so that a seed gives one run.
	for i := range f.instances {
		if list := grants[f.key(i)]; len(list) > 0 {
			f.post(message{instance: i, grant: list[0], isGrant: true})
		}
	}
}

// step plays one millisecond; each instance gets the given number of requests a second.
func (f *fleet) step(rate float64) {
	f.now++
	inUse := 0
	for _, in := range f.instances {
		in.running = slices.DeleteFunc(in.running, func(r *request) bool {
			isOver := f.now >= r.endsAt
			if isOver {
				f.served++
				in.served++
				in.places.Return(f.now)
			}
			return isOver
		})
		if f.rng.Float64() < rate/float64(timer.Second) {
			in.waiting = append(in.waiting, &request{arrivedAt: f.now})
			in.places.AddWaiting(1)
		}
		for len(in.waiting) > 0 && in.places.Take(f.now) {
			in.places.AddWaiting(-1)
			r := in.waiting[0]
			in.waiting = in.waiting[1:]
			f.longest = max(f.longest, f.now-r.arrivedAt)
			r.endsAt = f.now + 1 + timer.Millis(f.rng.Int64N(int64(2*f.work)))
			in.running = append(in.running, r)
		}
		inUse += len(in.running)
	}
	f.most = max(f.most, inUse)
	f.postClaims(false)
	f.deliver()
}

// restart replaces an instance by one that has just started; its requests end with their connections.
func (f *fleet) restart(i int) {
	f.ledger.Lose(f.key(i), f.now)
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool { return m.instance == i })
	f.instances[i] = &instanceRun{places: &Places{}, incarnation: f.instances[i].incarnation + 1}
}

// Guards against instances that together send a brittle server more requests than it has places, and against places that
// nobody can use any more.
func TestLedgerGivesNoPlaceTwice(t *testing.T) {
	tests := map[string]struct {
		slots, instances int
		work             timer.Millis
		// rate is the number of requests a second of each instance.
		rate     float64
		maxDelay int64
		// restarts and handovers mean that instances start anew, and that another control instance keeps the ledger, every second.
		restarts, handovers bool
	}{
		"few places, little demand":         {6, 58, 15, 0.5, 3, false, false},
		"few places, far too much demand":   {6, 58, 15, 40, 3, false, false},
		"a far keeper":                      {6, 20, 15, 20, 40, false, false},
		"an engine":                         {32, 58, 1500, 1, 20, false, false},
		"one place":                         {1, 10, 50, 5, 3, false, false},
		"instances that start anew":         {6, 20, 15, 20, 10, true, false},
		"another keeper now and then":       {8, 20, 200, 5, 10, false, true},
		"all at once":                       {6, 30, 50, 10, 30, true, true},
		"news that takes longer than work":  {4, 12, 5, 50, 100, false, false},
		"a hundred instances, slow network": {32, 100, 300, 2, 80, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := newFleet(seed, tt.slots, tt.instances, tt.work, tt.maxDelay)
				for n := range 6000 {
					f.step(tt.rate)
					if tt.restarts && n%1000 == 500 {
						f.restart(n / 1000 % tt.instances)
					}
					if tt.handovers && n%1000 == 999 {
						f.ledger = NewLedger[string]()
						f.messages = nil
						f.postClaims(true)
					}
				}
				if f.most > tt.slots {
					t.Fatalf("seed %d: %d requests were at the server at once, it has %d places", seed, f.most, tt.slots)
				}
				// Without new requests, all that wait are served and all places come back.
				for range 6000 {
					f.step(0)
				}
				for i, in := range f.instances {
					if len(in.waiting) > 0 && tt.rate*float64(tt.instances)*float64(tt.work) < 0.5*float64(tt.slots)*1000 {
						t.Fatalf("seed %d: %d requests of instance %d still wait", seed, len(in.waiting), i)
					}
					if len(in.waiting) == 0 && in.places.HasPlace() {
						t.Fatalf("seed %d: instance %d keeps a place that it does not need", seed, i)
					}
				}
			}
		})
	}
}

// Guards against a ledger that leaves most places unused while there is more demand than places, or serves one instance only.
func TestLedgerUsesThePlaces(t *testing.T) {
	f := newFleet(1, 6, 10, 15, 3)
	const playTime = 6 * timer.Second
	for range playTime {
		f.step(100)
	}
	// Half of the work that the places allow: a new place takes a round trip.
	if want := int(playTime) * f.slots / int(f.work) / 2; f.served < want {
		t.Fatalf("%d requests were served, want %d at least", f.served, want)
	}
	least, most := 1<<30, 0
	for _, in := range f.instances {
		least, most = min(least, in.served), max(most, in.served)
	}
	t.Logf("%d served, %d to %d by instance", f.served, least, most)
	// All instances want places all the time, so each gets its turns; the work of a request is random.
	if 3*least < 2*most {
		t.Fatalf("from %d to %d requests of the instances were served, want about as many of each", least, most)
	}
}

// Guards against a server that falls over because the places that its slots allow are more than it has room for.
func TestRefusalsLowerTheLevel(t *testing.T) {
	tests := map[string]struct {
		room        int
		maxRefusals float64
	}{
		"memory for four of eight slots, three refusals borne": {4, 3},
		"memory for four of eight slots, one refusal borne":    {4, 1},
		"memory for one of eight slots":                        {1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger[int]()
			now := 1000 * timer.Second
			c := Claim{Server: "s", Incarnation: 1, Slots: 8, MaxRefusals: tt.maxRefusals}
			held, refusals, sequence := 0, 0, uint64(0)
			var refusedAt []timer.Millis
			for range 20 * int(timer.Second) {
				now++
				// One instance asks for more than there is, and returns what is refused at once; its requests last for long.
				reduced := held > tt.room
				if reduced {
					refusals += held - tt.room
					for range held - tt.room {
						refusedAt = append(refusedAt, now)
					}
					held = tt.room
				}
				sequence++
				c.Held, c.Wanted, c.Refusals, c.Sequence = held, 20, refusals, sequence
				if reduced {
					c.Reduced = sequence
				}
				l.Claim(1, c, now)
				for _, g := range l.Settle(now)[1] {
					held = g.Places
				}
			}
			for i, at := range refusedAt {
				n := 0
				for _, other := range refusedAt[i:] {
					if other < at+timer.Second {
						n++
					}
				}
				// All slots may be given away before the first refusal.
				if at > 1002*timer.Second && float64(n) > tt.maxRefusals {
					t.Fatalf("%d refusals within a second at %d, the server bears %.0f", n, at, tt.maxRefusals)
				}
			}
			if held < 1 {
				t.Fatal("the server gets nothing any more")
			}
		})
	}
}

func TestKeeperIsTheSameForAll(t *testing.T) {
	all := []Candidate{{"c1", "a"}, {"c2", "a"}, {"c3", "b"}, {"c4", "c"}}
	for name, dataCentre := range map[string]string{"near": "b", "two are near": "a", "none is near": "z"} {
		t.Run(name, func(t *testing.T) {
			want, _ := Keeper("s", dataCentre, all)
			for range 20 {
				rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				if got, found := Keeper("s", dataCentre, all); !found || got != want {
					t.Fatalf("got %v, then %v", want, got)
				}
			}
			if dataCentre != "z" && want.DataCentre != dataCentre {
				t.Fatalf("got %v for a server in %s", want, dataCentre)
			}
		})
	}
	if _, found := Keeper("s", "a", nil); found {
		t.Fatal("found a keeper among none")
	}
}

// Guards against a place that was refused and is used at once for the next request of the same instance, which is refused as well.
func TestRefusedPlaceIsGivenBack(t *testing.T) {
	for name, refused := range map[string]bool{"served": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			var p Places
			now := 1000 * timer.Second
			p.AddWaiting(2)
			c, _ := p.Claim(Claim{}, now, false)
			if !p.Apply(Grant{Places: 1, Sequence: c.Sequence}, now) || !p.Take(now) {
				t.Fatal("no place")
			}
			p.AddWaiting(-1)
			if refused {
				p.RecordRefusal()
			}
			p.Return(now + 1)
			if p.HasPlace() == refused {
				t.Fatalf("the place may be used again: %t", p.HasPlace())
			}
		})
	}
}

// Guards against instances that wait for ever for a control instance that does not answer.
func TestSilentKeeperIsNoticed(t *testing.T) {
	var p Places
	now := 1000 * timer.Second
	p.AddWaiting(1)
	c, due := p.Claim(Claim{}, now, false)
	if !due || c.Wanted != 1 {
		t.Fatalf("got %+v, %t; want a claim", c, due)
	}
	if p.IsKeeperSilent(now+answerTimeout-1) || !p.IsKeeperSilent(now+answerTimeout) {
		t.Fatal("the silence is not noticed in time")
	}
	p.AddWaiting(-1)
	now += answerTimeout
	p.Claim(Claim{}, now+timer.Second, false)
	if !p.IsKeeperSilent(now + timer.Second) {
		t.Fatal("the silence is forgotten once nothing is wanted")
	}
	p.Apply(Grant{Sequence: 9}, now+2*timer.Second)
	if p.IsKeeperSilent(now + 2*timer.Second) {
		t.Fatal("the answer does not end the silence")
	}
}

// Guards against a keeper that never counts as silent because no request waits as long as it may take to answer.
func TestSilenceOutlastsTheRequestsThatWait(t *testing.T) {
	var p Places
	now := 1000 * timer.Second
	for at := now; at < now+answerTimeout; at += 500 * timer.Millisecond {
		p.AddWaiting(1)
		p.Claim(Claim{}, at, false)
		p.AddWaiting(-1)
		p.Claim(Claim{}, at+100*timer.Millisecond, false)
	}
	if !p.IsKeeperSilent(now + answerTimeout) {
		t.Fatal("the silence is not noticed")
	}
}

// Guards against a new keeper that counts as silent for claims that the one before has not answered.
func TestNewKeeperIsNotSilent(t *testing.T) {
	var p Places
	now := 1000 * timer.Second
	p.AddWaiting(1)
	p.Claim(Claim{}, now, false)
	p.Claim(Claim{}, now+answerTimeout-timer.Millisecond, true)
	if p.IsKeeperSilent(now + answerTimeout) {
		t.Fatal("the new keeper counts as silent at once")
	}
}
