package rationer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Board collects the reports of many instances and tells each one about the others.
type Board[R comparable] struct {
	byReporter map[R]map[serverID]entry
}

type serverID struct {
	server      string
	incarnation int64
}

// entry is a report with the time of the server's statement on this instance's clock, in milliseconds.
type entry struct {
	Report
	statedAt timer.Millis
}

// NewBoard returns a board without reports.
func NewBoard[R comparable]() *Board[R] {
	return &Board[R]{byReporter: map[R]map[serverID]entry{}}
}

// Set replaces the reports of one instance.
func (b *Board[R]) Set(reporter R, list []Report, now timer.Millis) {
	if len(list) == 0 {
		delete(b.byReporter, reporter)
		return
	}
	entries := map[serverID]entry{}
	for _, r := range list {
		entries[serverID{r.Server, r.Incarnation}] = entry{Report: r, statedAt: now - max(0, r.Age)}
	}
	b.byReporter[reporter] = entries
}

// Remove drops the reports of an instance that is gone.
func (b *Board[R]) Remove(reporter R) {
	delete(b.byReporter, reporter)
}

// Totals returns, for each server, the newest statement and the demand of all instances, in a fixed order.
func (b *Board[R]) Totals(now timer.Millis) []Report {
	byServer := map[serverID]Report{}
	for _, entries := range b.byReporter {
		for id, e := range entries {
			total, known := byServer[id]
			if age := max(0, now-e.statedAt); !known || age < total.Age {
				total.Server, total.Incarnation, total.Limit, total.Limited, total.Age = id.server, id.incarnation, e.Limit, e.Limited, age
				total.Brittle, total.MaxRefusals = e.Brittle, e.MaxRefusals
			}
			total.DemandUnits += e.DemandUnits
			total.Instances++
			byServer[id] = total
		}
	}
	return slices.SortedFunc(maps.Values(byServer), func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// WithoutOwn returns the totals without one instance.
func (b *Board[R]) WithoutOwn(reporter R, totals []Report) []Report {
	own := b.byReporter[reporter]
	list := slices.Clone(totals)
	for i, t := range list {
		if report, ok := own[serverID{t.Server, t.Incarnation}]; ok {
			list[i].DemandUnits -= report.DemandUnits
			list[i].Instances--
		}
	}
	return list
}
