package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// State says whether a backend server receives new work.
type State string

// The states of a backend server.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving"
	StateSilent  State = "silent"
	StateDrained State = "drained"
)

// Traffic counts the requests that this instance has sent to one incarnation of a backend server.
type Traffic struct {
	InFlight atomic.Int64
	Started  atomic.Int64
	Failed   atomic.Int64
	// CrashingRequests counts the running requests that have crashed another backend server.
	CrashingRequests atomic.Int64

	// avgFirstByteMicros is the moving average of the time to the first byte, in microseconds; firstByteCount is the
	// number of answers in it.
	avgFirstByteMicros  atomic.Int64
	firstByteCount      atomic.Int64
	lastFirstByteAt     atomic.Int64
	consecutiveFailures atomic.Int64
	suspectUntil        atomic.Int64
}

// Backoff of a backend server after consecutive failures.
const (
	initialSuspectSpan  = 500 * timer.Millisecond
	maxSuspectSpan      = 8 * timer.Second
	maxSuspectDoublings = 4
)

// RecordFailure counts a failure and makes the backend server suspect for a span that doubles with each consecutive
// failure.
func (t *Traffic) RecordFailure(now timer.Millis) {
	t.Failed.Add(1)
	doublings := min(t.consecutiveFailures.Add(1)-1, maxSuspectDoublings)
	span := min(initialSuspectSpan<<doublings, maxSuspectSpan)
	t.suspectUntil.Store(int64(now + span))
}

// RecordSuccess resets the consecutive failures, so that the backend server is no longer suspect.
func (t *Traffic) RecordSuccess() {
	if t.consecutiveFailures.Load() == 0 {
		return
	}
	t.consecutiveFailures.Store(0)
	t.suspectUntil.Store(0)
}

// IsSuspect reports whether the backend server failed recently, so that others are preferred.
func (t *Traffic) IsSuspect(now timer.Millis) bool {
	return int64(now) < t.suspectUntil.Load()
}

// BackendServer is an immutable row of the table.
type BackendServer struct {
	Announcement
	State      State
	StateSince timer.Millis
	LastSeen   timer.Millis
	// OwnInFlightAtReport is the number of requests of this instance that were in flight there when its load report
	// arrived.
	OwnInFlightAtReport int64
	// NameHash is the hash of the name, for rendezvous hashing.
	NameHash uint64
	// Slow means that it answers far slower than others that run the same.
	Slow bool
	// Drained means that an operator stopped new work to it.
	Drained bool
	Traffic *Traffic
}

// WithState returns a copy that entered the given state at now, in milliseconds.
func (b BackendServer) WithState(state State, now timer.Millis) BackendServer {
	if b.State == state {
		return b
	}
	b.State = state
	b.StateSince = now
	return b
}

// Timeouts are the times without an announcement after which a server is silent and after which it is removed.
type Timeouts struct {
	SilentAfter timer.Millis
	RemoveAfter timer.Millis
}

// Outcome is the result of an announcement.
type Outcome string

// The outcomes of an announcement.
const (
	OutcomeAccepted         Outcome = "taken"
	OutcomeLateSequence     Outcome = "dropped-late"
	OutcomeStaleIncarnation Outcome = "dropped-stale-incarnation"
	OutcomeRefused          Outcome = "refused"
)

// Table is the set of known backend servers; only the control goroutine uses it.
type Table struct {
	timeouts Timeouts
	rows     map[string]BackendServer
	// ownerByAddress maps each address to the name of the server that announced it last.
	ownerByAddress map[string]string
}

// NewTable returns an empty table.
func NewTable(timeouts Timeouts) *Table {
	return &Table{timeouts: timeouts, rows: map[string]BackendServer{}, ownerByAddress: map[string]string{}}
}

// Announce applies an announcement that arrived at now, in milliseconds; the error says why it was refused.
func (t *Table) Announce(now timer.Millis, a Announcement) (Outcome, error) {
	if err := a.Check(); err != nil {
		return OutcomeRefused, err
	}
	old, known := t.rows[a.Name]
	if known && a.Incarnation < old.Incarnation {
		return OutcomeStaleIncarnation, nil
	}
	sameIncarnation := known && a.Incarnation == old.Incarnation
	if sameIncarnation && a.Sequence <= old.Sequence {
		return OutcomeLateSequence, nil
	}
	if sameIncarnation && a.Address != old.Address {
		reason := fmt.Sprintf("incarnation %d of %s announced %s before", a.Incarnation, a.Name, old.Address)
		return OutcomeRefused, FieldErrors{{Field: "address", Reason: reason}}
	}
	if owner, inUse := t.servingOwner(a); inUse {
		reason := fmt.Sprintf("%s is announced by %s", a.Address, owner)
		return OutcomeRefused, FieldErrors{{Field: "address", Reason: reason}}
	}
	if known && old.Address != a.Address && t.ownerByAddress[old.Address] == a.Name {
		delete(t.ownerByAddress, old.Address)
	}
	t.ownerByAddress[a.Address] = a.Name
	t.rows[a.Name] = newRow(now, old, sameIncarnation, a)
	return OutcomeAccepted, nil
}

// servingOwner returns the name of another backend server that serves at the same address, if there is one.
func (t *Table) servingOwner(a Announcement) (string, bool) {
	name, ok := t.ownerByAddress[a.Address]
	return name, ok && name != a.Name && t.rows[name].State == StateServing
}

func newRow(now timer.Millis, old BackendServer, sameIncarnation bool, a Announcement) BackendServer {
	a.EngineNames = slices.Clone(a.EngineNames)
	row := BackendServer{Announcement: a, State: StateServing, StateSince: now, LastSeen: now, Traffic: &Traffic{}, NameHash: xxhash.Sum64String(a.Name)}
	if sameIncarnation {
		row.State = old.State
		row.StateSince = old.StateSince
		row.Traffic = old.Traffic
		row.OwnInFlightAtReport = old.Traffic.InFlight.Load()
		row.Drained = old.Drained
	}
	if a.Leaving || (sameIncarnation && old.Leaving) {
		// Leaving ends only with a new incarnation, so that a reordered message cannot make the server usable again.
		row.Leaving = true
		return row.WithState(StateLeaving, now)
	}
	if row.Drained {
		return row.WithState(StateDrained, now)
	}
	return row.WithState(StateServing, now)
}

// Drain stops new work to a backend server until it announces a new incarnation; it reports whether the server exists.
func (t *Table) Drain(now timer.Millis, name string) bool {
	row, ok := t.rows[name]
	if !ok {
		return false
	}
	row.Drained = true
	t.rows[name] = row.WithState(StateDrained, now)
	return true
}

// Expire marks rows silent and removes those that are silent for too long; it returns the names of both, sorted.
func (t *Table) Expire(now timer.Millis) []string {
	var changed []string
	for name, row := range t.rows {
		silence := now - row.LastSeen
		if silence > t.timeouts.RemoveAfter {
			delete(t.rows, name)
			if t.ownerByAddress[row.Address] == name {
				delete(t.ownerByAddress, row.Address)
			}
			changed = append(changed, name)
			continue
		}
		if silence > t.timeouts.SilentAfter && row.State == StateServing {
			t.rows[name] = row.WithState(StateSilent, now)
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// Row returns the row with the given name.
func (t *Table) Row(name string) (BackendServer, bool) {
	row, ok := t.rows[name]
	return row, ok
}

// Rows returns all rows, sorted by name.
func (t *Table) Rows() []BackendServer {
	rows := slices.Collect(maps.Values(t.rows))
	slices.SortFunc(rows, func(a, b BackendServer) int { return strings.Compare(a.Name, b.Name) })
	return rows
}
