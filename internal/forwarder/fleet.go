package forwarder

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
)

// picture is an immutable view with the servers that live behind it.
type picture struct {
	subscriber.View
	// servers are those of each service that take new work, oldest first.
	servers map[string][]*server
	// rollOuts gives the newest roll-out of each service.
	rollOuts map[string]subscriber.RollOut
}

// Publish puts a new view in force; it is called by one goroutine at a time.
func (f *Forwarder) Publish(v subscriber.View) {
	old := f.picture.Load()
	p := &picture{View: v, servers: map[string][]*server{}, rollOuts: map[string]subscriber.RollOut{}}
	for _, r := range v.RollOuts {
		p.rollOuts[r.Service] = r
	}
	known := f.known
	f.known = map[string]*server{}
	for _, m := range v.Members {
		s := f.serverOf(known[m.Name], m)
		f.known[m.Name] = s
		delete(known, m.Name)
		if m.Standing == registrar.StandingServing {
			p.servers[m.Service] = append(p.servers[m.Service], s)
			continue
		}
		if m.Standing != registrar.StandingSilent {
			s.pool.close()
		}
	}
	for _, s := range known {
		s.pool.close()
	}
	for _, list := range p.servers {
		slices.SortFunc(list, func(a, b *server) int { return int(a.Incarnation - b.Incarnation) })
	}
	f.picture.Store(p)
	if p.Policy != old.Policy {
		f.resetTables()
	}
	if old.Policy == nil && p.Policy != nil {
		close(f.arrived)
	}
}

// serverOf keeps what was learned of an incarnation.
func (f *Forwarder) serverOf(old *server, m registrar.Member) *server {
	if old == nil || old.Incarnation != m.Incarnation || old.Address != m.Address {
		if old != nil {
			old.pool.close()
		}
		return newServer(m, f.deps.Common.Clock.Now, f.deps.Dial)
	}
	if old.Standing == m.Standing && old.Version == m.Version && old.Slots == m.Slots && old.Service == m.Service {
		return old
	}
	return old.withMember(m)
}

// versions returns which versions of a service may serve: the target of a roll-out and the others apart.
type versions struct {
	stable []*server
	target []*server
	// running is the roll-out that divides them, nil when none runs.
	running *subscriber.RollOut
}

// versionsOf divides the servers of a service by version. Before the first roll-out the version of the longest-lived
// server is the one in use: a version nobody ordered takes no work.
func (p *picture) versionsOf(service string) versions {
	list := p.servers[service]
	if len(list) == 0 {
		return versions{}
	}
	r, known := p.rollOuts[service]
	if !known {
		return versions{stable: ofVersion(list, list[0].Version)}
	}
	var v versions
	for _, s := range list {
		if s.Version == r.Target {
			v.target = append(v.target, s)
		} else if !slices.Contains(r.Bad, s.Version) {
			v.stable = append(v.stable, s)
		}
	}
	switch r.State {
	case applier.RollOutCompleted:
		if len(v.target) > 0 {
			return versions{stable: v.target}
		}
		return versions{stable: v.stable}
	case applier.RollOutRolledBack:
		return versions{stable: v.stable}
	}
	v.running = &r
	return v
}

func ofVersion(list []*server, version string) []*server {
	return slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return s.Version != version })
}
