package registrar

import (
	"slices"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// firstByteAverageDivisor sets the weight of the newest answer in the moving average of the time to the first
	// byte to 1/8.
	firstByteAverageDivisor = 8
	// minAnswers is the number of answers needed before a backend server can be marked slow.
	minAnswers = 8
	// A backend server is slow above slowMedianFactor times the median of its group plus slowMargin.
	slowMedianFactor = 3
	slowMargin       = 20 * time.Millisecond
	// maxAnswerAge is the age of the newest answer after which a slow mark ends, so that the server is tried again.
	maxAnswerAge = 10 * timer.Second
	// maxSlowDivisor bounds the slow servers of a group to 1/3 of it.
	maxSlowDivisor = 3
)

// RecordFirstByte adds the time to the first byte of an answer that arrived at now, in milliseconds, to the moving
// average.
func (t *Traffic) RecordFirstByte(latency time.Duration, now timer.Millis) {
	t.firstByteCount.Add(1)
	t.lastFirstByteAt.Store(int64(now))
	old := t.avgFirstByteMicros.Load()
	if old == 0 {
		t.avgFirstByteMicros.Store(latency.Microseconds())
		return
	}
	t.avgFirstByteMicros.Store(old + (latency.Microseconds()-old)/firstByteAverageDivisor)
}

// MarkSlowOutliers marks the rows that answer far slower than others that run the same, at most a third of each group.
// Comparing within a group separates slow servers from busy ones, since load raises the times of the whole group.
func MarkSlowOutliers(rows []BackendServer, now timer.Millis) {
	groups := map[string][]*BackendServer{}
	for i := range rows {
		b := &rows[i]
		b.Slow = false
		answeredLately := now-timer.Millis(b.Traffic.lastFirstByteAt.Load()) <= maxAnswerAge
		if b.State == StateServing && answeredLately && b.Traffic.firstByteCount.Load() >= minAnswers {
			groups[comparisonGroup(b)] = append(groups[comparisonGroup(b)], b)
		}
	}
	for _, list := range groups {
		markSlowInGroup(list)
	}
}

func comparisonGroup(b *BackendServer) string {
	if b.Kind == KindService {
		return "service " + b.Service
	}
	if len(b.EngineNames) == 0 {
		return ""
	}
	return b.EngineNames[0]
}

func markSlowInGroup(list []*BackendServer) {
	if len(list) < maxSlowDivisor {
		return
	}
	slices.SortStableFunc(list, func(a, b *BackendServer) int {
		return int(a.Traffic.avgFirstByteMicros.Load() - b.Traffic.avgFirstByteMicros.Load())
	})
	medianMicros := list[(len(list)-1)/2].Traffic.avgFirstByteMicros.Load()
	limitMicros := slowMedianFactor*medianMicros + slowMargin.Microseconds()
	for n := range len(list) / maxSlowDivisor {
		b := list[len(list)-1-n]
		b.Slow = b.Traffic.avgFirstByteMicros.Load() > limitMicros
	}
}
