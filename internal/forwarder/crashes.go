package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// probeTimeout is how long a server may take to accept a connection; the round trip to the farthest takes tens of
	// milliseconds, and another instance is asked when there is no answer after that.
	probeTimeout = 250 * timer.Millisecond
	// probeValidity is how long the outcome of a probe holds: the requests of a server that goes down break together.
	probeValidity = 100 * timer.Millisecond
	// survivalTime is how long an answer must go on after its first event to show that its request does not crash servers.
	survivalTime = 500 * timer.Millisecond
)

// crashReason is the reason for refusing a request that crashes servers.
const crashReason = "this request, or a part of its prompt, has crashed backend servers"

// crashProbe is the last attempt to connect to a server after one of its connections broke.
type crashProbe struct {
	mu       sync.Mutex
	probedAt timer.Millis
	err      error
}

// probe returns the error of a new connection to the server, nil if it accepts one. A connection that was opened for another
// request since brokenAt serves as well.
func (s *server) probe(ctx context.Context, brokenAt timer.Millis, now func() timer.Millis) error {
	s.crashProbe.mu.Lock()
	defer s.crashProbe.mu.Unlock()
	if s.crashProbe.err != nil && now()-s.crashProbe.probedAt < probeValidity || s.crashProbe.probedAt > brokenAt {
		return s.crashProbe.err
	}
	conn, err := s.pool.Open(ctx, probeTimeout)
	if err == nil {
		s.pool.Put(conn)
	}
	if ctx.Err() != nil {
		// The caller's departure ends the attempt to connect and says nothing about the server.
		return nil
	}
	s.crashProbe.err, s.crashProbe.probedAt = err, now()
	return err
}

// recordCrash reports the request to the fleet if its server, which does not accept the connection of a probe, went down before
// the answer had gone on for a while. A brittle server falls over by itself.
func (t *task) recordCrash(x *exchange, probeErr error) {
	now := t.f.deps.Telemetry.Clock.Now()
	if probeErr == nil || x.server.ration.IsBrittle(now) || x.firstEventAt > 0 && now-x.firstEventAt >= survivalTime {
		return
	}
	report := quarantiner.CrashReport{Server: x.server.Name, Incarnation: x.server.Incarnation, Request: t.digest(), Parts: t.sharedParts()}
	t.f.deps.Telemetry.Counter("requests.crash-suspects").Inc(1)
	t.f.deps.Telemetry.Log.Warn("backend server went down under a request", "request", t.ID, "server", x.server.Name,
		"progress", x.progress(), "shared-parts", t.sharedPartIDs(), "error", probeErr)
	if added := t.f.AddCrashReports([]quarantiner.CrashReport{report}); len(added) > 0 {
		t.f.deps.OnCrash(added)
	}
}

// recordSurvival tells the fleet that neither the request nor a part of its prompt crashes servers.
func (t *task) recordSurvival() {
	if !t.f.evidence.HasReports() {
		return
	}
	now := t.f.deps.Telemetry.Clock.Now()
	before := t.f.evidence.Blocked()
	if added := t.f.evidence.Acquit(t.digest(), t.sharedParts(), now); len(added) > 0 {
		t.f.logVerdict(before)
		t.f.deps.OnAcquittal(added)
	}
}

// crashesServers reports whether the request, or a part of its prompt, crashes the servers that run it.
func (t *task) crashesServers() bool {
	return t.f.evidence.HasReports() && t.f.evidence.IsBlocked(t.digest(), t.sharedParts())
}

// crashRefusal is the response to a request that crashes servers; it says when to retry only if the request has not run.
func (t *task) crashRefusal() *Refusal {
	if t.mayHaveRun {
		return t.badGatewayRefusal(crashReason)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: crashReason, RetryAfter: longRetryAfter}
}

// digest returns the digest of the whole request.
func (t *task) digest() uint64 {
	if !t.hasDigests {
		t.requestDigest, t.partDigests, t.hasDigests = t.Digest(), t.sharedPartDigests(), true
	}
	return t.requestDigest
}

// sharedParts returns the digests of the prompt parts that other requests may share.
func (t *task) sharedParts() []uint64 {
	t.digest()
	return t.partDigests
}

// AddCrashReports adds crash reports of this or other instances and returns those that are new.
func (f *Forwarder) AddCrashReports(list []quarantiner.CrashReport) []quarantiner.CrashReport {
	before := f.evidence.Blocked()
	added := f.evidence.AddReports(list, f.deps.Telemetry.Clock.Now())
	f.logVerdict(before)
	return added
}

// AddAcquittals adds acquittals of other instances.
func (f *Forwarder) AddAcquittals(list []quarantiner.Acquittal) {
	before := f.evidence.Blocked()
	f.evidence.AddAcquittals(list, f.deps.Telemetry.Clock.Now())
	f.logVerdict(before)
}

// logVerdict logs which digests are blocked if that differs from before.
func (f *Forwarder) logVerdict(before []uint64) {
	if after := f.evidence.Blocked(); !slices.Equal(before, after) {
		f.deps.Telemetry.Log.Warn("requests and prompt parts that crash backend servers", "blocked", after)
	}
}
