package controller

import (
	"context"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// expiryInterval is the time between checks for silent backend servers.
	expiryInterval = 100 * timer.Millisecond
	// loadPublishInterval is the longest delay until a load report is published; reports are a second old on arrival.
	loadPublishInterval = 500 * timer.Millisecond
)

// maxQueuedTasks bounds the tasks that wait for the control goroutine.
const maxQueuedTasks = 1024

// Deps holds the dependencies of a Controller.
type Deps struct {
	Telemetry observer.Telemetry
	Timeouts  registrar.Timeouts
	// Mode is the initial mode of the instance.
	Mode indexer.Mode
}

// Controller owns the control state; only its goroutine changes it.
type Controller struct {
	deps                Deps
	table               *registrar.Table
	tasks               chan task
	hasUnpublishedLoads bool
	// publishedAt is when the backend servers were last published, in milliseconds.
	publishedAt timer.Millis
	viewSet     atomic.Pointer[indexer.ViewSet]
	tomb        tomb.Tomb
}

// task is a function that runs on the control goroutine; done is closed when it returns.
type task struct {
	run  func()
	done chan struct{}
}

// NewController returns a Controller without documents that is not started.
func NewController(deps Deps) *Controller {
	c := &Controller{deps: deps, table: registrar.NewTable(deps.Timeouts), tasks: make(chan task, maxQueuedTasks)}
	c.viewSet.Store(indexer.NewViewSet(deps.Mode, deps.Telemetry.Clock.Now()))
	return c
}

// Start starts the control goroutine.
func (c *Controller) Start() {
	c.tomb.Go(c.loop)
}

// Stop stops the control goroutine, waits until it has ended, and returns its error.
func (c *Controller) Stop() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// ViewSet returns the current immutable views of all environments.
func (c *Controller) ViewSet() *indexer.ViewSet {
	return c.viewSet.Load()
}

// View returns the current immutable view of an environment, or nil when there is none.
func (c *Controller) View(environment string) *indexer.View {
	return c.viewSet.Load().Views[environment]
}

// Announce updates the server table from an announcement; the error says why it was refused or not processed.
func (c *Controller) Announce(ctx context.Context, a registrar.Announcement) (registrar.Outcome, error) {
	var outcome registrar.Outcome
	var announceErr error
	err := c.runInLoop(ctx, func() { outcome, announceErr = c.announce(a) })
	if err != nil {
		return "", err
	}
	return outcome, announceErr
}

// Adopt puts an accepted document in force on this instance, or does nothing when the revision in force is the same or
// newer; it returns an error when the document cannot be parsed.
func (c *Controller) Adopt(ctx context.Context, environment string, revision int64, text string) error {
	var adoptErr error
	err := c.runInLoop(ctx, func() { adoptErr = c.adopt(environment, revision, text) })
	return trace.NewAggregate(err, adoptErr)
}

// SetMode sets the mode, which says which part of the fleet the instance reaches.
func (c *Controller) SetMode(ctx context.Context, mode indexer.Mode) error {
	return c.runInLoop(ctx, func() {
		if now := c.deps.Telemetry.Clock.Now(); c.viewSet.Load().Mode != mode {
			c.deps.Telemetry.Log.Warn("mode changed", "mode", mode)
			c.viewSet.Store(c.viewSet.Load().WithMode(mode, now))
		}
	})
}

// Drain stops new work to a backend server; it returns a NotFound error when no backend server has the name.
func (c *Controller) Drain(ctx context.Context, server string) error {
	found := false
	err := c.runInLoop(ctx, func() {
		found = c.table.Drain(c.deps.Telemetry.Clock.Now(), server)
		c.publishServers()
	})
	if err == nil && !found {
		return trace.NotFound("no backend server has the name %s", server)
	}
	return err
}

// runInLoop runs f on the control goroutine and waits for it. It returns an error when the context ends before f is
// queued, or when the controller stops.
func (c *Controller) runInLoop(ctx context.Context, f func()) error {
	t := task{run: f, done: make(chan struct{})}
	select {
	case c.tasks <- t:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-c.tomb.Dying():
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
	select {
	case <-t.done:
		return nil
	case <-c.tomb.Dead():
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
}

func (c *Controller) loop() error {
	for {
		tick := c.deps.Telemetry.Clock.After(expiryInterval)
		if !c.runUntil(tick) {
			return nil
		}
		c.expire()
	}
}

// runUntil runs tasks until the tick; it returns false when the controller stops.
func (c *Controller) runUntil(tick <-chan timer.Tick) bool {
	for {
		select {
		case t := <-c.tasks:
			t.run()
			close(t.done)
		case <-tick:
			return true
		case <-c.tomb.Dying():
			return false
		}
	}
}

func (c *Controller) announce(a registrar.Announcement) (registrar.Outcome, error) {
	now := c.deps.Telemetry.Clock.Now()
	outcome, err := c.table.Announce(now, a)
	c.deps.Telemetry.Counter("announcements." + string(outcome)).Inc(1)
	if err != nil {
		c.deps.Telemetry.Log.Warn("announcement refused", "server", a.Name, "address", a.Address, "error", err)
		return outcome, err
	}
	if outcome != registrar.OutcomeAccepted {
		return outcome, nil
	}
	c.hasUnpublishedLoads = true
	if row, ok := c.table.Row(a.Name); ok && row.StateSince == now {
		c.deps.Telemetry.Log.Info("backend server changed", "server", a.Name, "state", row.State, "address", a.Address)
		c.publishServers()
	}
	return outcome, nil
}

func (c *Controller) expire() {
	changed := c.table.Expire(c.deps.Telemetry.Clock.Now())
	for _, name := range changed {
		c.deps.Telemetry.Log.Warn("backend server is silent", "server", name)
	}
	isDue := c.hasUnpublishedLoads && c.deps.Telemetry.Clock.Now()-c.publishedAt >= loadPublishInterval
	if isDue || len(changed) > 0 {
		c.publishServers()
	}
}

func (c *Controller) adopt(environment string, revision int64, text string) error {
	viewSet := c.viewSet.Load()
	if current := viewSet.Views[environment]; current != nil && current.Revision >= revision {
		return nil
	}
	doc, err := parser.Parse(environment, text)
	if err != nil {
		return trace.Wrap(err, "accepted revision %d of %s", revision, environment)
	}
	view := indexer.NewView(revision, doc, c.table.Rows(), c.deps.Telemetry.Clock.Now())
	c.viewSet.Store(viewSet.WithView(environment, view))
	c.deps.Telemetry.Gauge("revision." + environment).Update(revision)
	c.deps.Telemetry.Log.Info("revision in force here", "environment", environment, "revision", revision)
	return nil
}

func (c *Controller) publishServers() {
	c.hasUnpublishedLoads = false
	c.publishedAt = c.deps.Telemetry.Clock.Now()
	servers := c.table.Rows()
	registrar.MarkSlowOutliers(servers, c.publishedAt)
	c.viewSet.Store(c.viewSet.Load().WithServers(servers, c.deps.Telemetry.Clock.Now()))
	c.deps.Telemetry.Gauge("backend-servers").Update(int64(len(servers)))
}

// Servers returns every known backend server, sorted by name.
func (c *Controller) Servers(ctx context.Context) ([]registrar.BackendServer, error) {
	var servers []registrar.BackendServer
	err := c.runInLoop(ctx, func() { servers = c.table.Rows() })
	return servers, err
}
