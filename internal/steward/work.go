package steward

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// workPause gathers what several entry instances tell of their work into one message: a prompt waits for tens of
// milliseconds at least where it matters.
const workPause = 10 * timer.Millisecond

// tellWork sends every entry instance of the own data centre the sum of what the others there have sent. Work crosses
// between data centres seldom, so it is not told there.
func (s *Steward) tellWork() {
	for l := range s.work {
		if _, open := s.lines[l]; !open {
			delete(s.work, l)
		}
	}
	for l, g := range s.lines {
		if g.Address == "" && g.DataCentre == s.deps.Self.DataCentre {
			if list := s.othersWork(l); len(list) > 0 || s.toldWork[l] {
				s.toldWork[l] = len(list) > 0
				l.Send(messenger.Packet{OthersWork: list, TellsWork: true})
			}
		}
	}
	maps.DeleteFunc(s.toldWork, func(l *messenger.Line, _ bool) bool { _, open := s.lines[l]; return !open })
}

func (s *Steward) othersWork(self *messenger.Line) []messenger.Work {
	sums := map[string][]float64{}
	for l, list := range s.work {
		if l == self {
			continue
		}
		for _, w := range list {
			sum := sums[w.Server]
			for u, ms := range w.Millis() {
				if u >= len(sum) {
					sum = append(sum, 0)
				}
				sum[u] += ms
			}
			sums[w.Server] = sum
		}
	}
	list := make([]messenger.Work, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, messenger.NewWork(name, sums[name]))
	}
	return list
}
