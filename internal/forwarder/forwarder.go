package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pathfinder"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rationer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Config are the limits and times from the settings.
type Config struct {
	// RetryRatio is the number of repeats to a service that each first attempt of this instance allows, and RetryBurst is
	// the number of repeats allowed on top, both in any RetryWindow milliseconds.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow timer.Millis
	// SessionTTL is how long a session keeps its version after its last request, in milliseconds.
	SessionTTL timer.Millis
	// MinConfidence is the minimum confidence, from 0 to 100, at which a smaller model's response is accepted.
	MinConfidence int
	// ConfidenceGain is the expected gain in confidence from the next larger model, in the same points.
	ConfidenceGain int
	// Answers bounds what one backend server may send, and MaxBufferedBytes what all of them together may make this
	// instance hold, in bytes.
	Answers          exchanger.Limits
	MaxBufferedBytes int64
}

// Deps are the dependencies of a forwarder.
type Deps struct {
	Telemetry  observer.Telemetry
	DataCentre string
	// RegionOf is the region of each data centre; one that is missing is a region of its own.
	RegionOf map[string]string
	Codec    Codec
	// Paths opens the connections to backend servers.
	Paths  *pathfinder.Pathfinder
	Config Config
	// OnCrash and OnAcquittal are called with what this instance found out about requests that crash backend servers.
	OnCrash     func([]quarantiner.CrashReport)
	OnAcquittal func([]quarantiner.Acquittal)
	// AwaitCurrent waits after a standstill of the process until the view is current, and reports whether the process had
	// stood still.
	AwaitCurrent func(context.Context) bool
	// OnServerAlarm is called when a server fails in a way that concerns all instances; it must not block.
	OnServerAlarm func(messenger.ServerAlarm)
	// StopsAt returns the time at which this instance stops and cuts off what is not answered; 0 if it does not stop.
	StopsAt func() timer.Millis
	// OnServerRests is called with the address of a server that asks to be left alone; it must not block.
	OnServerRests func(address string)
	// OnServerLeaving is called when a response says that its server is leaving; the next view must not list it.
	OnServerLeaving func(registrar.Withdrawal)
	// OnPlacesChanged is called when the claims for places of brittle servers have changed; it must not block.
	OnPlacesChanged func()
	// OnLongPrefill is called when a prompt with a long prefill is sent to a server.
	OnLongPrefill func()
}

// Forwarder places and forwards the requests of an entry instance.
type Forwarder struct {
	deps          Deps
	exchange      exchanger.Deps
	fleetView     atomic.Pointer[fleetView]
	serversByName map[string]*server
	services      map[string]*rationer.Service
	othersRates   othersRates
	// gauges are the estimates of the servers' machines, by server.
	gauges map[string]gauger.Gauge
	// budgets holds the *budgets of each service.
	budgets         sync.Map
	sessions        *sessions
	versionOutcomes *versionOutcomes
	// firstByteTimes and answerTimes hold a *movingAverage for each routeKey.
	firstByteTimes, answerTimes sync.Map
	// slowness holds the *slownessWindow of each service.
	slowness sync.Map
	seals    seals
	// restWaiters holds, for each service, the *atomic.Int64 of awaitingRest.
	restWaiters sync.Map
	// choiceMu is held while a server is chosen for a request.
	choiceMu sync.Mutex
	// placeGranted is closed and replaced when places at brittle servers are granted.
	placeMu      sync.Mutex
	placeGranted chan struct{}
	// paces holds the paceWindow of each paceKey.
	paces            sync.Map
	evidence         *quarantiner.Evidence
	prefillEstimator *prefillEstimator
	// policyReady is closed when the first policy arrives.
	policyReady        chan struct{}
	prefixTracker      *prefixTracker
	oldVersionSessions *oldVersionSessions
	inFlight           atomic.Int64
	firstByteLatency   metrics.Histogram
	tomb               tomb.Tomb
}

// NewForwarder returns a forwarder without a policy.
func NewForwarder(deps Deps) *Forwarder {
	f := &Forwarder{
		deps: deps, serversByName: map[string]*server{}, services: map[string]*rationer.Service{}, gauges: map[string]gauger.Gauge{},
		sessions: newSessions(deps.Config.SessionTTL), versionOutcomes: newVersionOutcomes(), evidence: quarantiner.NewEvidence(),
		prefillEstimator: newPrefillEstimator(), policyReady: make(chan struct{}), placeGranted: make(chan struct{}), prefixTracker: newPrefixTracker(),
		oldVersionSessions: newOldVersionSessions(),
		firstByteLatency:   deps.Telemetry.Histogram("requests.first-byte-ms"),
		exchange: exchanger.Deps{Now: deps.Telemetry.Clock.Now, Dial: deps.Paths.Dial, Limits: deps.Config.Answers,
			Memory: exchanger.NewMemory(deps.Config.MaxBufferedBytes)},
	}
	f.fleetView.Store(&fleetView{})
	return f
}

// cleanupInterval is the time between cleanups of idle connections and old sessions, which are kept for seconds.
const cleanupInterval = 2 * timer.Second

// Start starts the periodic cleanup.
func (f *Forwarder) Start() {
	f.tomb.Go(f.loop)
}

// Stop ends the periodic cleanup.
func (f *Forwarder) Stop() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Forwarder) loop() error {
	for {
		select {
		case <-f.deps.Telemetry.Clock.After(cleanupInterval):
		case <-f.tomb.Dying():
			return nil
		}
		f.sessions.removeExpired(f.deps.Telemetry.Clock.Now())
		f.evidence.Expire(f.deps.Telemetry.Clock.Now())
		f.updateEvacuatedGauge()
		for _, list := range f.fleetView.Load().servers {
			for _, s := range list {
				s.pool.Expire()
			}
		}
	}
}

// Ready reports whether requests can be served.
func (f *Forwarder) Ready() bool {
	return f.fleetView.Load().Policy != nil
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int {
	return int(f.inFlight.Load())
}

// Limits returns the size limits for callers' requests, and false before the first policy arrives.
func (f *Forwarder) Limits() (matcher.Limits, bool) {
	p := f.fleetView.Load().Policy
	if p == nil {
		return matcher.Limits{}, false
	}
	return p.Limits, true
}

// task is the processing of one request.
type task struct {
	*Request
	f         *Forwarder
	view      *fleetView
	route     *matcher.Route
	workspace *matcher.Workspace
	// regions are those in which the request may be served.
	regions regionSet
	service string
	// allowedServers is the result of allowed for the last view.
	allowedServers allowedServers
	// deadline is the earlier of the caller's and the route's time limit, in milliseconds.
	deadline timer.Millis
	tried    map[string]bool
	// declined are the servers that had no place for the request within their request limit, the last one at declinedAt.
	declined   map[string]bool
	declinedAt timer.Millis
	// awaitsRest is true while the request counts in awaitingRest. awaitsRestUntil is the end of the rest that it waits or has
	// waited for.
	awaitsRest      bool
	awaitsRestUntil timer.Millis
	// claimed are the brittle servers at which the request waits for a place.
	claimed map[*server]bool
	// next is an attempt that was started while the last one is in progress.
	next *exchange
	// attempts counts the servers that got the request, refusals those of them that did not run it, and failedDials those that
	// accepted no connection.
	attempts, refusals, failedDials int
	// mayHaveRun is true if some backend server may have run the request.
	mayHaveRun bool
	// hasRetryToken is true if the next attempt has its token of the retry budget.
	hasRetryToken bool
	model         string
	// confidence is the model's confidence in its response, from 0 to 100; -1 if unknown.
	confidence int
	// version is the version that serves the request; it stays the same for a stream that has begun.
	version string
	// sessionOnTarget is true if the session already runs on the roll-out's target; avoidedTarget is a target version
	// that has failed the request.
	sessionOnTarget bool
	avoidedTarget   string
	lastServer      *server
	// usedConns are the connections that have carried an attempt.
	usedConns []*exchanger.Conn
	writer    *writer
	// hasMoreEvents is true if the stream broke off within an event, so that its rest is not empty.
	hasMoreEvents bool
	// cachedPrefixKey is the result of prefixKey for cachedPrefixModel; 0 until it is computed.
	cachedPrefixKey   uint64
	cachedPrefixModel string
	// pace is the lower quartile of the gaps between the events of the last attempt, in milliseconds; 0 if it is not known.
	pace float64
	// requestDigest is valid once hasDigest is true.
	requestDigest uint64
	hasDigest     bool
	partDigests   []uint64
	// isTrial is true if the request is blocked and sent all the same, to find out whether it still crashes servers.
	isTrial bool
}

// Serve forwards one request and writes its response.
func (f *Forwarder) Serve(ctx context.Context, req *Request, w http.ResponseWriter) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.awaitPolicy(ctx)
	f.deps.AwaitCurrent(ctx)
	t, refusal := f.newTask(req, w)
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (t.deadline - f.deps.Telemetry.Clock.Now()).Duration())
		defer cancel()
		t.recordFirstAttempt()
		refusal = t.run(ctx)
		t.dropNext()
		t.giveBackRetry()
	}
	f.finish(ctx, t, refusal)
}

const (
	// policyTimeout is how long a request waits for the first policy of an instance that has just started: an election
	// and a link take about a second.
	policyTimeout = 2 * timer.Second
	// maxAwaitingPolicy bounds the requests that wait for the first policy.
	maxAwaitingPolicy = 400
)

// awaitPolicy delays requests that arrive before the first policy.
func (f *Forwarder) awaitPolicy(ctx context.Context) {
	if f.fleetView.Load().Policy != nil || f.inFlight.Load() > maxAwaitingPolicy {
		return
	}
	select {
	case <-f.policyReady:
	case <-f.deps.Telemetry.Clock.After(policyTimeout):
	case <-ctx.Done():
	}
}

// newTask finds the route and the workspace of a request; the refusal gives the reason if it cannot be served.
func (f *Forwarder) newTask(req *Request, w http.ResponseWriter) (*task, *Refusal) {
	t := &task{Request: req, f: f, view: f.fleetView.Load(), tried: map[string]bool{}, writer: &writer{w: w},
		confidence: -1}
	p := t.view.Policy
	if p == nil {
		return t, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no policy is known here yet",
			RetryAfter: shortRetryAfter}
	}
	var refusal *Refusal
	if t.route, t.workspace, refusal = matchRequest(p, req); refusal != nil {
		return t, refusal
	}
	if t.isBlocked() {
		return t, t.crashRefusal()
	}
	t.regions = newRegionSet(t.route, t.workspace)
	t.service = t.route.PickService(rand.Float64())
	timeout := t.route.Timeout
	if req.TimeLimit > 0 {
		timeout = min(timeout, req.TimeLimit)
	}
	t.deadline = req.ArrivedAt + timeout
	if now := f.deps.Telemetry.Clock.Now(); !t.canFinish(now) {
		return t, &Refusal{Status: http.StatusServiceUnavailable, Reason: stoppingReason, RetryAfter: jitter(shortRetryAfter)}
	}
	if req.ChooseModel {
		t.model = t.chooseFirstModel()
	}
	return t, nil
}

const (
	// shortRetryAfter is the Retry-After time if capacity is expected soon, longRetryAfter if it is not.
	shortRetryAfter = 400 * timer.Millisecond
	longRetryAfter  = 3 * timer.Second
)

func (t *task) run(ctx context.Context) *Refusal {
	if t.route.Kind == matcher.KindStreaming {
		return t.runStream(ctx)
	}
	return t.runPlain(ctx)
}

// finish writes the refusal, if any, and logs the outcome of the request.
func (f *Forwarder) finish(ctx context.Context, t *task, refusal *Refusal) {
	status := t.writer.status
	if refusal != nil {
		status = refusal.Status
		if errors.Is(ctx.Err(), context.Canceled) {
			f.deps.Telemetry.Counter("requests.caller-left").Inc(1)
			f.log(t, "caller left", t.writer.status,
				"the caller closed its connection, or the time limit of the instance's stop was reached")
			panic(http.ErrAbortHandler)
		}
		if t.writer.status != 0 {
			// Part of the response was sent: closing the connection is the only way to signal that it is incomplete.
			f.log(t, "answer broken off", status, refusal.Reason)
			f.deps.Telemetry.Counter("requests.broken-off").Inc(1)
			panic(http.ErrAbortHandler)
		}
		t.writer.writeRefusal(refusal)
	}
	f.deps.Telemetry.Counter("requests." + statusClass(status)).Inc(1)
	if refusal != nil {
		f.log(t, "request refused", status, refusal.Reason)
		return
	}
	f.answerTime(t).add(float64(f.deps.Telemetry.Clock.Now() - t.ArrivedAt))
	f.log(t, "request answered", status, "")
}

func statusClass(status int) string {
	switch {
	case status >= 500:
		return "server-errors"
	case status >= 400:
		return "caller-errors"
	}
	return "answered"
}

func (f *Forwarder) log(t *task, message string, status int, reason string) {
	args := []any{"request", t.ID, "status", status, "attempts", t.attempts,
		"took-ms", int64(f.deps.Telemetry.Clock.Now() - t.ArrivedAt)}
	if t.route != nil {
		args = append(args, "route", t.route.Name, "policy", t.view.Policy.Version)
	}
	if t.workspace != nil {
		args = append(args, "workspace", t.workspace.Name)
	}
	if t.lastServer != nil {
		args = append(args, "server", t.lastServer.Name, "version", t.lastServer.Version)
	}
	if t.PromptTokens > 0 {
		args = append(args, "tokens-in", t.PromptTokens, "tokens-out", t.MaxOutputTokens)
	}
	if t.model != "" {
		args = append(args, "model", t.model)
	}
	if t.confidence >= 0 {
		args = append(args, "confidence", t.confidence)
	}
	if t.writer.headSentAt > 0 {
		args = append(args, "first-ms", int64(t.writer.headSentAt-t.ArrivedAt))
	}
	if t.pace > 0 {
		args = append(args, "pace-ms", t.pace)
	}
	if reason != "" {
		args = append(args, "reason", reason, "ran", t.mayHaveRun)
	}
	f.deps.Telemetry.Log.Info(message, args...)
}
