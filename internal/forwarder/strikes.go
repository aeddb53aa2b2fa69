package forwarder

import (
	"context"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// strikes counts the servers that went down under a request.
type strikes struct {
	mu   sync.Mutex
	rows map[uint64]int
}

func newStrikes() *strikes {
	return &strikes{rows: map[uint64]int{}}
}

const (
	// maxStrikes is how many servers a request may take down before it is kept from all others.
	maxStrikes = 2
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
	// probeLimit is how long a server may take to show that it is still there; the farthest is tens of milliseconds away.
	probeLimit = 150 * timer.Millisecond
)

// strike looks whether the server went down under the request, and tells the fleet when that happened before.
func (t *task) strike(ctx context.Context, s *server) {
	c, err := s.pool.dial(ctx, probeLimit)
	if err == nil {
		s.pool.put(c)
		return
	}
	digest := t.Digest()
	st := t.f.strikes
	st.mu.Lock()
	if len(st.rows) > maxSuspects {
		st.rows = map[uint64]int{}
	}
	st.rows[digest]++
	n := st.rows[digest]
	st.mu.Unlock()
	t.f.deps.Common.Log.Warn("backend server went down under a request", "request", t.ID, "server", s.Name, "times", n, "error", err)
	if n >= maxStrikes {
		t.f.deps.Crashed(digest)
	}
}

// crashes reports whether the request has taken enough servers down.
func (t *task) crashes() bool {
	st := t.f.strikes
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.rows) > 0 && st.rows[t.Digest()] >= maxStrikes
}
