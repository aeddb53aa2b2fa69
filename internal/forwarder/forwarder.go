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

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Rules are the spans and numbers that the settings give.
type Rules struct {
	// RetryShare is how many further attempts the own first attempts earn, RetrySlack how many more there may be, both
	// within RetryWindow milliseconds.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow timer.Millis
	// SessionSpan is how long a session keeps its version without a request, in milliseconds.
	SessionSpan timer.Millis
	// Confidence is the least confidence, from 0 to 100, with which a smaller model's answer is taken.
	Confidence int
	// Lift is by how much the next larger model is more confident, in the same points.
	Lift int
}

// Deps is what a forwarder needs.
type Deps struct {
	Common     observer.Common
	DataCentre string
	Codec      Codec
	Dial       Dial
	Rules      Rules
	// Crashed is told of a request that crashed several backend servers.
	Crashed func(digest uint64)
	// WorkGrown is told of a long prompt that was sent to a server.
	WorkGrown func()
}

// Forwarder is the traffic side of an entry instance.
type Forwarder struct {
	deps     Deps
	picture  atomic.Pointer[picture]
	known    map[string]*server
	budget   *budget
	sessions *sessions
	outcomes *outcomes
	firsts   sync.Map
	strikes  *strikes
	paces    *paces
	// arrived is closed once the first policy is known.
	arrived   chan struct{}
	prefixes  *prefixes
	holdovers *holdovers
	running   atomic.Int64
	latency   metrics.Histogram
	tomb      tomb.Tomb
}

// NewForwarder returns a forwarder that knows no policy yet.
func NewForwarder(deps Deps) *Forwarder {
	f := &Forwarder{
		deps: deps, known: map[string]*server{}, budget: newBudget(deps.Rules, deps.Common.Clock.Now),
		sessions: newSessions(deps.Rules.SessionSpan), outcomes: newOutcomes(), strikes: newStrikes(),
		paces: newPaces(), arrived: make(chan struct{}), prefixes: newPrefixes(), holdovers: newHoldovers(),
		latency: deps.Common.Histogram("requests.first-byte-ms"),
	}
	f.picture.Store(&picture{})
	return f
}

// cleanEvery is the time between looks at idle connections and old sessions; both live for seconds.
const cleanEvery = 2 * timer.Second

// Start begins the housekeeping.
func (f *Forwarder) Start() {
	f.tomb.Go(f.loop)
}

// Stop ends the housekeeping.
func (f *Forwarder) Stop() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Forwarder) loop() error {
	for {
		select {
		case <-f.deps.Common.Clock.After(cleanEvery):
		case <-f.tomb.Dying():
			return nil
		}
		f.sessions.clean(f.deps.Common.Clock.Now())
		for _, list := range f.picture.Load().servers {
			for _, s := range list {
				s.pool.expire()
			}
		}
	}
}

// resetTables drops what was learned of routes that a new policy may have changed.
func (f *Forwarder) resetTables() {
	f.firsts.Clear()
}

// Ready reports whether requests can be served.
func (f *Forwarder) Ready() bool {
	return f.picture.Load().Policy != nil
}

// Running returns how many requests are in progress.
func (f *Forwarder) Running() int {
	return int(f.running.Load())
}

// Limits returns what callers may send, and false before the first policy is known.
func (f *Forwarder) Limits() (matcher.Limits, bool) {
	p := f.picture.Load().Policy
	if p == nil {
		return matcher.Limits{}, false
	}
	return p.Limits, true
}

// task is one request on its way.
type task struct {
	*Request
	f         *Forwarder
	pic       *picture
	route     *matcher.Route
	workspace *matcher.Workspace
	service   string
	// deadline is when the caller or the route gives up, in milliseconds.
	deadline timer.Millis
	tried    map[string]bool
	attempts int
	// ran says that some backend server may have run the request.
	ran   bool
	model string
	// confidence is the model's opinion of its answer from 0 to 100, -1 when it said nothing.
	confidence int
	// version binds a stream that has begun to the version that began it.
	version string
	// bound says that the session runs on the target of a roll-out; shunned is a target that has failed the request.
	bound   bool
	shunned string
	last    *server
	writer  *writer
	// key names the shared parts of the prompt in the cache of keyModel; 0 before it is needed.
	key      uint64
	keyModel string
}

// Serve answers one request.
func (f *Forwarder) Serve(ctx context.Context, req *Request, w http.ResponseWriter) {
	f.running.Add(1)
	defer f.running.Add(-1)
	f.awaitPolicy(ctx)
	t, refusal := f.newTask(req, w)
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (t.deadline - f.deps.Common.Clock.Now()).Duration())
		defer cancel()
		f.budget.earn()
		refusal = t.run(ctx)
	}
	f.finish(ctx, t, refusal)
}

const (
	// policySpan is how long a request waits for the first policy of an instance that has just started: an election and a
	// line take about a second.
	policySpan = 2 * timer.Second
	// maxAwaiting bounds the requests that wait for the first policy.
	maxAwaiting = 400
)

// awaitPolicy holds the requests that arrive before the first policy is known.
func (f *Forwarder) awaitPolicy(ctx context.Context) {
	if f.picture.Load().Policy != nil || f.running.Load() > maxAwaiting {
		return
	}
	select {
	case <-f.arrived:
	case <-f.deps.Common.Clock.After(policySpan):
	case <-ctx.Done():
	}
}

// newTask finds the route and the workspace; the refusal says why there are none.
func (f *Forwarder) newTask(req *Request, w http.ResponseWriter) (*task, *Refusal) {
	t := &task{Request: req, f: f, pic: f.picture.Load(), tried: map[string]bool{}, writer: &writer{w: w}, confidence: -1}
	p := t.pic.Policy
	if p == nil {
		return t, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no policy is known here yet", RetryAfter: shortReturn}
	}
	t.route = p.Match(req.Host, req.Path)
	if t.route == nil {
		return t, &Refusal{Status: http.StatusNotFound, Reason: "no route matches"}
	}
	if len(p.Workspaces) > 0 && !t.route.Open {
		if t.workspace = p.Workspace(req.Key); t.workspace == nil {
			return t, &Refusal{Status: http.StatusUnauthorized, Reason: "the key is unknown"}
		}
	}
	if t.pic.Crashers[req.Digest()] {
		return t, &Refusal{Status: http.StatusServiceUnavailable, Reason: "this request has crashed backend servers", RetryAfter: longReturn}
	}
	t.service = t.route.Pick(rand.Float64())
	span := t.route.Timeout
	if req.Patience > 0 {
		span = min(span, req.Patience)
	}
	t.deadline = req.ArrivedAt + span
	if req.AnyModel {
		t.model = t.chooseModel()
	}
	return t, nil
}

const (
	// shortReturn is when a caller may come back where room is expected soon, and longReturn where it is not.
	shortReturn = 400 * timer.Millisecond
	longReturn  = 3 * timer.Second
)

func (t *task) run(ctx context.Context) *Refusal {
	if t.route.Kind == matcher.KindStream {
		return t.runStream(ctx)
	}
	return t.runPlain(ctx)
}

// finish sends the refusal, if any, and logs what became of the request.
func (f *Forwarder) finish(ctx context.Context, t *task, refusal *Refusal) {
	status := t.writer.status
	if refusal != nil {
		status = refusal.Status
		if errors.Is(ctx.Err(), context.Canceled) {
			f.deps.Common.Counter("requests.caller-left").Inc(1)
			f.log(t, "caller left", t.writer.status, "the caller closed its connection, or this instance reached the limit of its stop")
			panic(http.ErrAbortHandler)
		}
		if t.writer.status != 0 {
			// Part of an answer went out: breaking the connection off is the only way to say that it is not whole.
			f.log(t, "answer broken off", status, refusal.Reason)
			f.deps.Common.Counter("requests.broken-off").Inc(1)
			panic(http.ErrAbortHandler)
		}
		t.writer.refuse(refusal)
	}
	f.deps.Common.Counter("requests." + statusClass(status)).Inc(1)
	if refusal != nil {
		f.log(t, "request refused", status, refusal.Reason)
		return
	}
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
	args := []any{"request", t.ID, "status", status, "attempts", t.attempts, "took-ms", int64(f.deps.Common.Clock.Now() - t.ArrivedAt)}
	if t.route != nil {
		args = append(args, "route", t.route.Name, "policy", t.pic.Policy.Version)
	}
	if t.workspace != nil {
		args = append(args, "workspace", t.workspace.Name)
	}
	if t.last != nil {
		args = append(args, "server", t.last.Name, "version", t.last.Version)
	}
	if t.TokensIn > 0 {
		args = append(args, "tokens-in", t.TokensIn, "tokens-out", t.TokensOut)
	}
	if t.model != "" {
		args = append(args, "model", t.model)
	}
	if t.confidence >= 0 {
		args = append(args, "confidence", t.confidence)
	}
	if t.writer.firstAt > 0 {
		args = append(args, "first-ms", int64(t.writer.firstAt-t.ArrivedAt))
	}
	if reason != "" {
		args = append(args, "reason", reason, "ran", t.ran)
	}
	f.deps.Common.Log.Info(message, args...)
}
