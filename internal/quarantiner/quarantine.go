package quarantiner

import (
	"sync"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// crashesUntilBlocked is the number of crashes after which a request is blocked.
	crashesUntilBlocked = 2
	// maxSuspects limits the digests in memory; the least recently used ones are evicted.
	maxSuspects = 100_000
)

// Crash reports that one incarnation of a backend server crashed while it ran the request with this digest.
type Crash struct {
	Digest      string `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
}

// Quarantine counts the backend server crashes of each request digest.
type Quarantine struct {
	mu      sync.Mutex
	crashes *lru.Cache[string, map[Crash]bool]
	// share sends a crash report to the other instances and returns once they have stored it.
	share func(Crash)
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() (*Quarantine, error) {
	crashes, err := lru.New[string, map[Crash]bool](maxSuspects)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Quarantine{crashes: crashes, share: func(Crash) {}}, nil
}

// SetShare sets the function that sends crash reports to the other instances and waits until they have stored them; it
// must be called before the first report.
func (q *Quarantine) SetShare(share func(Crash)) {
	q.share = share
}

// Report records a crash and, if it is new, shares it with the other instances before it returns.
func (q *Quarantine) Report(c Crash) {
	if q.Add(c) {
		q.share(c)
	}
}

// Add records a crash that this or another instance reported; it returns whether the crash is new.
func (q *Quarantine) Add(c Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	seen, ok := q.crashes.Get(c.Digest)
	if !ok {
		seen = map[Crash]bool{}
		q.crashes.Add(c.Digest, seen)
	}
	if seen[c] {
		return false
	}
	seen[c] = true
	return true
}

// IsSuspect reports whether a request has crashed a backend server; such a request must run alone.
func (q *Quarantine) IsSuspect(digest string) bool {
	return q.crashCount(digest) > 0
}

// IsBlocked reports whether a request is blocked because it has crashed too many backend servers.
func (q *Quarantine) IsBlocked(digest string) bool {
	return q.crashCount(digest) >= crashesUntilBlocked
}

func (q *Quarantine) crashCount(digest string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	seen, _ := q.crashes.Peek(digest)
	return len(seen)
}
