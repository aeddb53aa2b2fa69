package quarantiner

import (
	"cmp"
	"fmt"
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
	// minLeadCrashes is the number of crashes from which a more specific group of parts may turn out to be the cause.
	minLeadCrashes = 2
)

// verdict blocks requests that crash backend servers: those whose prompt holds all of the parts, or the one with the digest.
type verdict struct {
	parts   []uint64
	request uint64
	crashes map[crashID]timer.Millis
	// failedTrials counts the crashes under a trial; a verdict on a part that others were told apart from starts with more.
	failedTrials int
	trials       trials
}

func (v *verdict) applies(request uint64, parts []uint64) bool {
	if len(v.parts) == 0 {
		return v.request == request
	}
	return isSubset(v.parts, parts)
}

// String returns what the verdict blocks, for logs.
func (v *verdict) String() string {
	if len(v.parts) == 0 {
		return fmt.Sprintf("request %x", v.request)
	}
	return fmt.Sprintf("parts %x", v.parts)
}

func (v *verdict) isSameAs(o *verdict) bool {
	return v.request == o.request && slices.Equal(v.parts, o.parts)
}

func (v *verdict) lastCrashAt() timer.Millis {
	return slices.Max(slices.Collect(maps.Values(v.crashes)))
}

// suspect is a group of prompt parts with the crashes that it may have caused. The group holds one part and its companions, the
// other suspects that are in every prompt with it: the reports cannot tell them apart.
type suspect struct {
	parts   []uint64
	crashes map[crashID]timer.Millis
	// isAnswered is true if servers have answered prompts with each of the parts before.
	isAnswered bool
	// isSingledOut is true if other parts of its prompts are known to be sound.
	isSingledOut bool
}

// isConvincing reports whether the crashes under the group are too many for a coincidence.
func (s suspect) isConvincing() bool {
	times := slices.Collect(maps.Values(s.crashes))
	isSpread := slices.Max(times)-slices.Min(times) >= minPartSpan
	if s.isAnswered {
		return isSpread && len(s.crashes) >= certainPartCrashes
	}
	return len(s.crashes) >= certainPartCrashes || isSpread && len(s.crashes) >= minPartCrashes
}

// explains reports whether the group may have caused all crashes of another one.
func (s suspect) explains(other suspect) bool {
	for id := range other.crashes {
		if _, ok := s.crashes[id]; !ok {
			return false
		}
	}
	return true
}

// isMoreSpecificThan reports whether fewer prompts hold the group.
func (s suspect) isMoreSpecificThan(other suspect) bool {
	return len(s.parts) > len(other.parts) && isSubset(other.parts, s.parts)
}

// fewParts is the number of parts up to which a search in a list is faster than a set.
const fewParts = 16

func isSubset(subset, set []uint64) bool {
	if len(subset) <= fewParts {
		return !slices.ContainsFunc(subset, func(p uint64) bool { return !slices.Contains(set, p) })
	}
	members := make(map[uint64]bool, len(set))
	for _, p := range set {
		members[p] = true
	}
	return !slices.ContainsFunc(subset, func(p uint64) bool { return !members[p] })
}

// decide works out which groups of parts and which requests are blocked. Each crash has one cause: the crashes of a blocked
// group do not count against the bystanders, the other parts and requests that were on the same server. Parts that were
// answered before are suspects only of what the others do not explain.
func (e *Evidence) decide() {
	e.hasReports.Store(len(e.reports) > 0)
	before := e.verdicts
	e.verdicts = nil
	explained := map[crashID]bool{}
	answered := e.answeredBeforeCrashes()
	for _, withAnswered := range []bool{false, true} {
		for {
			convicted := convict(mostSpecific(e.suspects(explained, answered, withAnswered)))
			if len(convicted) == 0 {
				break
			}
			for _, s := range convicted {
				e.verdicts = append(e.verdicts, &verdict{parts: s.parts, crashes: s.crashes, failedTrials: e.failedTrials(s)})
				for id := range s.crashes {
					explained[id] = true
				}
			}
		}
	}
	e.verdicts = append(e.verdicts, e.requestVerdicts(explained)...)
	for _, v := range e.verdicts {
		if i := slices.IndexFunc(before, v.isSameAs); i >= 0 {
			v.trials = before[i].trials
		}
	}
}

// requestVerdicts returns the verdicts on whole requests, in a fixed order.
func (e *Evidence) requestVerdicts(explained map[crashID]bool) []*verdict {
	byRequest := map[uint64]*verdict{}
	for id, r := range e.reports {
		if explained[id.crash] || e.isAcquitted(id.crash, id.request) {
			continue
		}
		v, ok := byRequest[id.request]
		if !ok {
			v = &verdict{request: id.request, crashes: map[crashID]timer.Millis{}}
			byRequest[id.request] = v
		}
		v.crashes[id.crash] = r.crashedAt
		if r.isTrial {
			v.failedTrials++
		}
	}
	list := slices.DeleteFunc(slices.Collect(maps.Values(byRequest)), func(v *verdict) bool { return len(v.crashes) < minRequestCrashes })
	slices.SortFunc(list, func(a, b *verdict) int { return cmp.Compare(a.request, b.request) })
	return list
}

// failedTrials counts the crashes of the group under a trial. A single part that is told apart from all others is known well
// enough: it gets the last trial only.
func (e *Evidence) failedTrials(s suspect) int {
	crashes := map[crashID]bool{}
	for id, r := range e.reports {
		if _, ok := s.crashes[id.crash]; ok && r.isTrial && isSubset(s.parts, r.parts) {
			crashes[id.crash] = true
		}
	}
	n := len(crashes)
	if len(s.parts) == 1 && s.isSingledOut && !s.isAnswered {
		n += len(trialPauses) - 1
	}
	return n
}

// answeredBeforeCrashes returns the parts that any instance had seen answered before one of the crashes.
func (e *Evidence) answeredBeforeCrashes() map[uint64]bool {
	answered := map[uint64]bool{}
	for _, r := range e.reports {
		for _, p := range r.answered {
			answered[p] = true
		}
	}
	return answered
}

// convict returns the suspects that no other one rivals. If all have rivals, it returns those with so many crashes that
// waiting for one more would cost more servers than blocking a bystander costs requests.
func convict(suspects []suspect) []suspect {
	hasRival := func(i int) bool {
		for j, o := range suspects {
			if j != i && o.explains(suspects[i]) {
				return true
			}
		}
		return false
	}
	var certain, frequent []suspect
	for i, s := range suspects {
		if !hasRival(i) {
			certain = append(certain, s)
		}
		if len(s.crashes) >= certainPartCrashes {
			frequent = append(frequent, s)
		}
	}
	if len(certain) > 0 {
		return certain
	}
	return frequent
}

// mostSpecific returns the suspects with a convincing number of crashes that no other one is more specific than: fewer prompts
// hold a larger group, so blocking it costs fewer sound ones, and these then show which of its parts are sound. If a smaller
// group is the cause, crashes under it alone follow.
func mostSpecific(list []suspect) []suspect {
	return slices.DeleteFunc(slices.Clone(list), func(s suspect) bool {
		return !s.isConvincing() || slices.ContainsFunc(list, func(o suspect) bool {
			return o.isMoreSpecificThan(s) && (o.isConvincing() || len(s.crashes) < certainPartCrashes)
		})
	})
}

func (e *Evidence) isAcquitted(id crashID, trait uint64) bool {
	_, ok := e.acquittals[Acquittal{id.server, id.incarnation, trait}]
	return ok
}
