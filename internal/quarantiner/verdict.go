package quarantiner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// minRequestCrashes is the number of crashes under the same request after which it is blocked.
	minRequestCrashes = 2
	// minPartCrashes is the number of crashes under requests with the same prompt part after which the part is blocked. They
	// must extend over minPartSpan: servers that fail together, as those of one rack, go down within less.
	minPartCrashes = 3
	minPartSpan    = timer.Second
	// certainPartCrashes is the number of crashes after which a part is blocked even if another part may be the cause.
	certainPartCrashes = 5
	// minLeadCrashes is the number of crashes from which a more specific part may turn out to be the cause.
	minLeadCrashes = 2
)

// suspect is a prompt part with the crashes that it may have caused.
type suspect struct {
	part    uint64
	crashes map[crashID]timer.Millis
}

// isConvincing reports whether the crashes under the part are too many for a coincidence.
func (s suspect) isConvincing() bool {
	if len(s.crashes) >= certainPartCrashes {
		return true
	}
	if len(s.crashes) < minPartCrashes {
		return false
	}
	times := slices.Collect(maps.Values(s.crashes))
	return slices.Max(times)-slices.Min(times) >= minPartSpan
}

// explains reports whether the part may have caused all crashes of another one.
func (s suspect) explains(other suspect) bool {
	for id := range other.crashes {
		if _, ok := s.crashes[id]; !ok {
			return false
		}
	}
	return true
}

// decide works out which parts and requests are blocked. Each crash has one cause: the crashes of a blocked part do not
// count against the bystanders, the other parts and requests that were on the same server.
func (e *Evidence) decide() {
	e.hasReports.Store(len(e.reports) > 0)
	e.blocked = map[uint64]bool{}
	explained := map[crashID]bool{}
	for {
		convicted := convict(e.mostSpecific(e.suspects(explained)))
		if len(convicted) == 0 {
			break
		}
		for _, s := range convicted {
			e.blocked[s.part] = true
			for id := range s.crashes {
				explained[id] = true
			}
		}
	}
	crashesByRequest := map[uint64]int{}
	for id := range e.reports {
		if !explained[id.crash] && !e.isAcquitted(id.crash, id.request) {
			crashesByRequest[id.request]++
		}
	}
	for request, n := range crashesByRequest {
		if n >= minRequestCrashes {
			e.blocked[request] = true
		}
	}
}

// convict returns the suspects that no other one rivals. If all have rivals, it returns those with so many crashes that
// waiting for one more would cost more servers than blocking a bystander costs requests.
func convict(suspects []suspect) []suspect {
	hasRival := func(s suspect) bool {
		return slices.ContainsFunc(suspects, func(o suspect) bool { return o.part != s.part && o.explains(s) })
	}
	certain := slices.DeleteFunc(slices.Clone(suspects), hasRival)
	if len(certain) > 0 {
		return certain
	}
	return slices.DeleteFunc(suspects, func(s suspect) bool { return len(s.crashes) < certainPartCrashes })
}

// suspects returns the parts with at least minLeadCrashes crashes that are not explained yet, in a fixed order.
func (e *Evidence) suspects(explained map[crashID]bool) []suspect {
	byPart := map[uint64]suspect{}
	for id, r := range e.reports {
		for _, p := range r.parts {
			if explained[id.crash] || e.isAcquitted(id.crash, p) {
				continue
			}
			s, ok := byPart[p]
			if !ok {
				s = suspect{part: p, crashes: map[crashID]timer.Millis{}}
				byPart[p] = s
			}
			s.crashes[id.crash] = r.crashedAt
		}
	}
	list := slices.DeleteFunc(slices.Collect(maps.Values(byPart)), func(s suspect) bool { return len(s.crashes) < minLeadCrashes })
	slices.SortFunc(list, func(a, b suspect) int { return cmp.Compare(a.part, b.part) })
	return list
}

// mostSpecific returns the suspects with a convincing number of crashes that no other suspect follows in a prompt: a part
// further down is shared by fewer requests, so blocking it costs fewer sound ones. If the part above is the cause, crashes
// under others below it follow.
func (e *Evidence) mostSpecific(list []suspect) []suspect {
	followers := e.followers(list)
	convincing := slices.DeleteFunc(slices.Clone(list), func(s suspect) bool { return !s.isConvincing() })
	specific := slices.DeleteFunc(slices.Clone(convincing), func(s suspect) bool {
		return slices.ContainsFunc(list, func(o suspect) bool {
			return followers[partPair{s.part, o.part}] && (o.isConvincing() || len(s.crashes) < certainPartCrashes)
		})
	})
	if len(specific) == 0 {
		// Parts that stand in either order in different prompts follow each other.
		return slices.DeleteFunc(convincing, func(s suspect) bool { return len(s.crashes) < certainPartCrashes })
	}
	return specific
}

// partPair is a part of a prompt with another one further down.
type partPair struct{ part, follower uint64 }

// followers returns the pairs of suspects that stand in one prompt.
func (e *Evidence) followers(list []suspect) map[partPair]bool {
	isSuspect := map[uint64]bool{}
	for _, s := range list {
		isSuspect[s.part] = true
	}
	pairs := map[partPair]bool{}
	for _, r := range e.reports {
		suspects := slices.DeleteFunc(slices.Clone(r.parts), func(p uint64) bool { return !isSuspect[p] })
		for i, p := range suspects {
			for _, follower := range suspects[i+1:] {
				pairs[partPair{p, follower}] = true
			}
		}
	}
	return pairs
}

func (e *Evidence) isAcquitted(id crashID, trait uint64) bool {
	_, ok := e.acquittals[Acquittal{id.server, id.incarnation, trait}]
	return ok
}
