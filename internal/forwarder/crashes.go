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
	conn, err := s.pool.Open(ctx, probeTimeout, nil)
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
	report := quarantiner.CrashReport{Server: x.server.Name, Incarnation: x.server.Incarnation, Request: t.digest(), Parts: t.sharedParts(),
		IsTrial: t.isTrial}
	t.f.deps.Telemetry.Counter("requests.crash-suspects").Inc(1)
	t.f.deps.Telemetry.Log.Warn("backend server went down under a request", "request", t.ID, "server", x.server.Name,
		"progress", x.progress(), "shared-parts", t.sharedPartIDs(), "error", probeErr)
	before := t.f.evidence.Verdicts()
	if added := t.f.evidence.Report(report, now); len(added) > 0 {
		t.f.logVerdict(before)
		t.f.deps.OnCrash(added)
	}
}

// recordSurvival tells the fleet that neither the request nor a part of its prompt crashes servers.
func (t *task) recordSurvival() {
	now := t.f.deps.Telemetry.Clock.Now()
	t.f.evidence.RecordAnswer(t.sharedParts(), now)
	if !t.f.evidence.HasReports() {
		return
	}
	before := t.f.evidence.Verdicts()
	if added := t.f.evidence.Acquit(t.digest(), t.sharedParts(), now); len(added) > 0 {
		t.f.logVerdict(before)
		t.f.deps.OnAcquittal(added)
	}
}

// isBlocked reports whether the request, or a part of its prompt, crashes the servers that run it. A request that is let through
// as a trial is sent to one server only.
func (t *task) isBlocked() bool {
	if !t.f.evidence.HasReports() || t.isTrial && t.attempts == 0 {
		return false
	}
	check := t.f.evidence.Check(t.digest(), t.sharedParts(), t.f.deps.Telemetry.Clock.Now())
	if check == quarantiner.Trial && t.attempts == 0 {
		t.isTrial = true
		t.f.deps.Telemetry.Counter("requests.crash-trials").Inc(1)
		t.f.deps.Telemetry.Log.Info("blocked request is sent as a trial", "request", t.ID, "shared-parts", t.sharedPartIDs())
		return false
	}
	return check != quarantiner.Allowed
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
	if !t.hasDigest {
		t.requestDigest, t.hasDigest = t.Digest(), true
	}
	return t.requestDigest
}

// sharedParts returns the digests of the prompt parts that other requests may share.
func (t *task) sharedParts() []uint64 {
	if t.partDigests == nil && len(t.PromptParts) > 1 {
		t.partDigests = t.sharedPartDigests()
	}
	return t.partDigests
}

// AddCrashReports adds crash reports of this or other instances and returns those that are new.
func (f *Forwarder) AddCrashReports(list []quarantiner.CrashReport) []quarantiner.CrashReport {
	before := f.evidence.Verdicts()
	added := f.evidence.AddReports(list, f.deps.Telemetry.Clock.Now())
	f.logVerdict(before)
	return added
}

// AddAcquittals adds acquittals of other instances.
func (f *Forwarder) AddAcquittals(list []quarantiner.Acquittal) {
	before := f.evidence.Verdicts()
	f.evidence.AddAcquittals(list, f.deps.Telemetry.Clock.Now())
	f.logVerdict(before)
}

// logVerdict logs what is blocked if that differs from before.
func (f *Forwarder) logVerdict(before []string) {
	if after := f.evidence.Verdicts(); !slices.Equal(before, after) {
		f.deps.Telemetry.Log.Warn("requests and prompt parts that crash backend servers", "blocked", after)
	}
}
