package quarantiner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// evidenceLifetime is how long a crash counts: a server that goes down under the same request once an hour is a
	// coincidence, a caller that sends a request again does so within seconds.
	evidenceLifetime = 10 * timer.Minute
	// maxReports and maxAcquittals bound what is kept; the oldest are dropped first.
	maxReports    = 4096
	maxAcquittals = 8192
)

// crashID identifies the end of one incarnation of a backend server.
type crashID struct {
	server      string
	incarnation int64
}

// CrashReport names a request whose answer had not begun, or had only just begun, when its backend server went down.
type CrashReport struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Request is the digest of the whole request; Parts are the digests of the prompt parts that other requests may share,
	// in the order of the prompt.
	Request uint64   `cbor:"3,keyasint"`
	Parts   []uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the crash, in milliseconds, so that clocks of instances need not agree.
	Age timer.Millis `cbor:"5,keyasint,omitempty"`
	// Answered are those of the parts that the reporting instance had seen backend servers answer before the crash.
	Answered []uint64 `cbor:"6,keyasint,omitempty"`
	// IsTrial is true if the request was blocked and sent to find out whether it still crashes servers.
	IsTrial bool `cbor:"7,keyasint,omitempty"`
}

// Acquittal states that a request or a prompt part did not cause a crash, because a backend server has answered it since.
type Acquittal struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Trait is the digest of the request or the part.
	Trait uint64 `cbor:"3,keyasint"`
}

// Evidence decides from the crash reports of all instances which requests and groups of prompt parts crash backend servers. Reports
// and acquittals are sets, so instances that have received the same ones in any order reach the same verdict.
type Evidence struct {
	mu         sync.RWMutex
	reports    map[reportID]report
	acquittals map[Acquittal]timer.Millis
	verdicts   []*verdict
	hasReports atomic.Bool
	answered   answeredParts
	// draw returns a random number below n.
	draw func(n int64) int64
}

type reportID struct {
	crash   crashID
	request uint64
}

// report is a CrashReport with the time of the crash on this instance's clock, in milliseconds.
type report struct {
	parts, answered []uint64
	crashedAt       timer.Millis
	// isOwn is true if this instance made the report.
	isOwn, isTrial bool
}

// NewEvidence returns evidence without any report.
func NewEvidence() *Evidence {
	return &Evidence{reports: map[reportID]report{}, acquittals: map[Acquittal]timer.Millis{},
		answered: answeredParts{answeredAt: map[uint64]timer.Millis{}}, draw: rand.Int64N}
}

// Report adds a report of this instance, completed by the parts that were answered here before, and returns it in a list if
// it is new.
func (e *Evidence) Report(r CrashReport, now timer.Millis) []CrashReport {
	r.Answered = e.answered.among(r.Parts, now)
	return e.add([]CrashReport{r}, now, true)
}

// AddReports adds reports of other instances and returns those that are new, with their age.
func (e *Evidence) AddReports(list []CrashReport, now timer.Millis) []CrashReport {
	return e.add(list, now, false)
}

func (e *Evidence) add(list []CrashReport, now timer.Millis, isOwn bool) []CrashReport {
	if len(list) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var added []CrashReport
	for _, r := range list {
		id := reportID{crash: crashID{r.Server, r.Incarnation}, request: r.Request}
		if _, known := e.reports[id]; known || r.Age > evidenceLifetime {
			continue
		}
		e.reports[id] = report{parts: r.Parts, answered: r.Answered, crashedAt: now - max(0, r.Age), isOwn: isOwn, isTrial: r.IsTrial}
		added = append(added, r)
	}
	if len(added) > 0 {
		dropOldest(e.reports, maxReports, func(r report) timer.Millis { return r.crashedAt })
		e.decide()
	}
	return added
}

// AddAcquittals adds the acquittals and returns those that are new.
func (e *Evidence) AddAcquittals(list []Acquittal, now timer.Millis) []Acquittal {
	if len(list) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var added []Acquittal
	for _, a := range list {
		if _, known := e.acquittals[a]; !known {
			e.acquittals[a] = now
			added = append(added, a)
		}
	}
	if len(added) > 0 {
		dropOldest(e.acquittals, maxAcquittals, func(at timer.Millis) timer.Millis { return at })
		e.decide()
	}
	return added
}

// RecordAnswer records that a backend server has answered a prompt with the parts.
func (e *Evidence) RecordAnswer(parts []uint64, now timer.Millis) {
	e.answered.add(parts, now)
}

// Acquit acquits a request that a backend server has answered, and its prompt parts, of all crashes known so far; it
// returns the acquittals that are new.
func (e *Evidence) Acquit(request uint64, parts []uint64, now timer.Millis) []Acquittal {
	isAnswered := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		isAnswered[p] = true
	}
	e.mu.RLock()
	var list []Acquittal
	for id, r := range e.reports {
		if id.request == request {
			list = append(list, Acquittal{id.crash.server, id.crash.incarnation, request})
		}
		for _, p := range r.parts {
			if isAnswered[p] {
				list = append(list, Acquittal{id.crash.server, id.crash.incarnation, p})
			}
		}
	}
	e.mu.RUnlock()
	return e.AddAcquittals(list, now)
}

// HasReports reports whether any crash is known.
func (e *Evidence) HasReports() bool {
	return e.hasReports.Load()
}

// Verdicts describes what is blocked, for logs.
func (e *Evidence) Verdicts() []string {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var list []string
	for _, v := range e.verdicts {
		list = append(list, v.String())
	}
	return list
}

// Snapshot returns all reports and acquittals, for an instance that has none yet.
func (e *Evidence) Snapshot(now timer.Millis) ([]CrashReport, []Acquittal) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var reports []CrashReport
	for id, r := range e.reports {
		reports = append(reports, CrashReport{Server: id.crash.server, Incarnation: id.crash.incarnation, Request: id.request,
			Parts: r.parts, Answered: r.answered, IsTrial: r.isTrial, Age: now - r.crashedAt})
	}
	return reports, slices.Collect(maps.Keys(e.acquittals))
}

// Expire drops the evidence on crashes that are long ago.
func (e *Evidence) Expire(now timer.Millis) {
	e.answered.expire(now)
	if !e.HasReports() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := len(e.reports)
	maps.DeleteFunc(e.reports, func(_ reportID, r report) bool { return now-r.crashedAt > evidenceLifetime })
	maps.DeleteFunc(e.acquittals, func(_ Acquittal, at timer.Millis) bool { return now-at > evidenceLifetime })
	if len(e.reports) != before {
		e.decide()
	}
}

// dropOldest removes the oldest entries above the limit.
func dropOldest[K comparable, V any](entries map[K]V, limit int, at func(V) timer.Millis) {
	if len(entries) <= limit {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(entries), func(a, b K) int { return cmp.Compare(at(entries[a]), at(entries[b])) })
	for _, k := range oldest[:len(entries)-limit] {
		delete(entries, k)
	}
}
