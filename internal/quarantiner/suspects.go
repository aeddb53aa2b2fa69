package quarantiner

import (
	"encoding/binary"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// prompt is what is left of a report: its parts without those that are known to be sound.
type prompt struct {
	crash     crashID
	crashedAt timer.Millis
	parts     []uint64
	// isShortened is true if any part was left out.
	isShortened bool
}

// family holds the parts that are in the same prompts, whose positions ascend.
type family struct {
	prompts []int
	parts   []uint64
}

// suspects returns the groups with at least minLeadCrashes crashes that are not explained yet, in a fixed order. Its time grows with the
// number of all parts, and with the square of the families that were in crashes.
func (e *Evidence) suspects(explained map[crashID]bool, answered map[uint64]bool, withAnswered bool) []suspect {
	prompts := e.openPrompts(explained, answered, withAnswered)
	families := newFamilies(prompts)
	var list []suspect
	for _, f := range families {
		s := suspect{crashes: map[crashID]timer.Millis{}}
		for _, i := range f.prompts {
			p := prompts[i]
			s.crashes[p.crash] = p.crashedAt
			s.isSingledOut = s.isSingledOut || p.isShortened
		}
		if len(s.crashes) < minLeadCrashes {
			continue
		}
		for _, companion := range families {
			if companion.isWherever(f) {
				s.parts = append(s.parts, companion.parts...)
			}
		}
		slices.Sort(s.parts)
		s.isAnswered = !slices.ContainsFunc(s.parts, func(p uint64) bool { return !answered[p] })
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b suspect) int { return slices.Compare(a.parts, b.parts) })
	return list
}

// openPrompts returns the prompts of the crashes that are not explained yet.
func (e *Evidence) openPrompts(explained map[crashID]bool, answered map[uint64]bool, withAnswered bool) []prompt {
	var list []prompt
	for id, r := range e.reports {
		if explained[id.crash] {
			continue
		}
		p := prompt{crash: id.crash, crashedAt: r.crashedAt}
		p.parts = slices.DeleteFunc(slices.Clone(r.parts), func(part uint64) bool {
			return e.isAcquitted(id.crash, part) || answered[part] && !withAnswered
		})
		p.isShortened = len(p.parts) < len(r.parts)
		list = append(list, p)
	}
	return list
}

// newFamilies groups the parts of prompts.
func newFamilies(prompts []prompt) []*family {
	holders := map[uint64][]int{}
	for i, p := range prompts {
		for _, part := range p.parts {
			if list := holders[part]; len(list) == 0 || list[len(list)-1] != i {
				holders[part] = append(list, i)
			}
		}
	}
	byPrompts := map[string]*family{}
	var list []*family
	var key []byte
	for part, positions := range holders {
		key = key[:0]
		for _, i := range positions {
			key = binary.AppendUvarint(key, uint64(i))
		}
		f, ok := byPrompts[string(key)]
		if !ok {
			f = &family{prompts: positions}
			byPrompts[string(key)] = f
			list = append(list, f)
		}
		f.parts = append(f.parts, part)
	}
	return list
}

// isWherever reports whether the family is in every prompt with another one.
func (f *family) isWherever(other *family) bool {
	i := 0
	for _, n := range other.prompts {
		for i < len(f.prompts) && f.prompts[i] < n {
			i++
		}
		if i == len(f.prompts) || f.prompts[i] != n {
			return false
		}
	}
	return true
}
