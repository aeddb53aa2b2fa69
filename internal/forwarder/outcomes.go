package forwarder

import (
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

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
