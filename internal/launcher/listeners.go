package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/administrator"
	"github.com/eelgrasshook/eelgrasshook/internal/certifier"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/limiter"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// callerIdleTimeout closes connections without a request in flight.
const callerIdleTimeout = 2 * time.Minute

// listener is an HTTP server with its socket and the goroutine that runs it.
type listener struct {
	server *http.Server
	socket net.Listener
	tomb   tomb.Tomb
}

// newListener binds the address at once, so that it can be announced to others; the listener serves after start.
func (i *Instance) newListener(address decoder.Address) (*listener, error) {
	return listenOn(address, i.settings)
}

func listenOn(address decoder.Address, s configurer.Settings) (*listener, error) {
	socket, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: s.Limits.HeaderWait.Duration(),
		MaxHeaderBytes:    int(s.Limits.MaxHeader),
		IdleTimeout:       callerIdleTimeout,
	}
	return &listener{server: server, socket: socket}, nil
}

const (
	// maxProbeConns is the number of connections for probes and metrics that are open at once: few programs ask for them.
	maxProbeConns = 64
	// The listeners of a process share its descriptors; these are the divisors of their parts.
	mainShare  = 2
	linkShare  = 4
	relayShare = 8
	probeShare = 16
)

// guard bounds what the callers of a process hold, at all of its addresses together.
type guard struct {
	telemetry observer.Telemetry
	limits    configurer.Limits
	budget    *limiter.Budget
}

// newGuard returns the guard of a process; name tells in metrics and logs what its budget is for.
func newGuard(telemetry observer.Telemetry, name string, limits configurer.Limits) guard {
	pressure := limiter.NewPressure(telemetry, name)
	return guard{telemetry: telemetry, limits: limits, budget: limiter.NewBudget(telemetry.Clock, int64(limits.MaxHeld), paceOf(limits), pressure)}
}

// paceOf returns how slowly requests may arrive before they give way.
func paceOf(limits configurer.Limits) limiter.Pace {
	return limiter.Pace{Grace: limits.SlowAfter, Rate: int64(limits.SlowRate)}
}

// reader returns the reader of request bodies.
func (g guard) reader() limiter.Reader {
	return limiter.Reader{Budget: g.budget, Wait: g.limits.BodyWait}
}

// watch bounds the connections of a listener that are open at once, and what the heads of its requests hold; name tells in metrics and
// logs where they came.
func (g guard) watch(l *listener, name string, max, descriptorShare int) {
	l.socket = limiter.NewListener(l.socket, g.telemetry.Clock, limiter.Bounds{
		MaxConns: max, DescriptorShare: descriptorShare, Stall: g.limits.CallerStall, Budget: g.budget, Pace: paceOf(g.limits),
	}, limiter.NewPressure(g.telemetry, name))
}

func (l *listener) address() string {
	return l.socket.Addr().String()
}

func (l *listener) start() {
	limiter.Attach(l.server)
	socket := l.socket
	if l.server.TLSConfig != nil {
		socket = tls.NewListener(socket, limiter.WithHandshakes(l.server.TLSConfig))
	}
	l.tomb.Go(func() error { return l.run(socket) })
}

func (l *listener) run(socket net.Listener) error {
	if err := l.server.Serve(socket); err != nil && err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

// stop drains requests in flight and aborts those that are left when the context ends.
func (l *listener) stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return trace.NewAggregate(err, l.server.Close())
	}
	return l.tomb.Wait()
}

// kill aborts requests in flight.
func (l *listener) kill() error {
	return trace.NewAggregate(l.server.Close(), l.tomb.Wait())
}

func (i *Instance) buildListeners() error {
	var err error
	limits := i.settings.Limits
	i.guard = newGuard(i.telemetry, "requests", limits)
	if i.control, err = i.newListener(i.settings.Listen.Control); err != nil {
		return err
	}
	i.guard.watch(i.control, "control", limits.MaxConns, linkShare)
	if i.callers, err = i.newListener(i.settings.Listen.Callers); err != nil {
		return err
	}
	i.guard.watch(i.callers, "callers", limits.MaxConns, mainShare)
	return i.buildLinkListener()
}

func (i *Instance) buildLinkListener() error {
	s := i.settings
	if s.Listen.Links == "" {
		return nil
	}
	var err error
	if i.links, err = i.newListener(s.Listen.Links); err != nil {
		return err
	}
	i.guard.watch(i.links, "links", s.Limits.MaxLinks, relayShare)
	if s.Links.Certificate == "" {
		return nil
	}
	i.linkTLS, err = certifier.LinkTLSConfig(s.Links.Certificate, s.Links.Key, s.Links.Authority)
	i.links.server.TLSConfig = i.linkTLS
	return err
}

func (i *Instance) closeSockets() error {
	var errs []error
	for _, l := range []*listener{i.control, i.callers, i.links} {
		if l != nil {
			errs = append(errs, l.socket.Close())
		}
	}
	return trace.NewAggregate(errs...)
}

func (i *Instance) buildHandlers() error {
	s := i.settings
	i.callers.server.Handler = receiver.NewHandler(receiver.Deps{
		Telemetry:      i.telemetry,
		Reader:         i.guard.reader(),
		Limits:         receiver.Limits{MaxBodyBytes: int64(s.Limits.MaxBody), MaxDuration: s.Limits.Deadline, CallerStallTimeout: s.Limits.CallerStall},
		ViewSet:        i.controller.ViewSet,
		Serve:          i.router.Serve,
		CheckReady:     i.checkReady,
		CheckAccepting: i.checkAccepting,
	})
	i.control.server.Handler = i.newAdministrator()
	if i.links != nil {
		i.links.server.Handler = i.coordinator.Mesh()
	}
	if s.TLS.Certificate == "" {
		return nil
	}
	files := certifier.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CheckEvery: s.TLS.CheckEvery}
	c, err := certifier.NewCertifier(i.telemetry, files)
	if err != nil {
		return err
	}
	i.certifier = c
	i.callers.server.TLSConfig = c.ServerConfig()
	return nil
}

func (i *Instance) newAdministrator() *administrator.Handler {
	return administrator.NewHandler(administrator.Deps{
		Telemetry:        i.telemetry,
		Reader:           i.guard.reader(),
		Links:            i.linkHandlerAtControl(),
		Announce:         i.coordinator.Announce,
		SubmitChange:     i.coordinator.Change,
		Bootstrap:        i.coordinator.Bootstrap,
		AuditTrail:       i.coordinator.AuditTrail,
		DocumentText:     i.coordinator.DocumentText,
		WaitingInstances: i.coordinator.PendingInstances,
		AddRatings:       i.coordinator.ApplyRatings,
		Drain:            i.controller.Drain,
		Status:           i.Status,
		CurrentDocument:  i.document,
		Explain:          i.explainer.Explain,
		Bills:            i.billStore.bills.Bills,
		CheckReady:       i.checkReady,
	})
}

// linkHandlerAtControl returns the handler for links at the control address; nil if links have a separate address.
func (i *Instance) linkHandlerAtControl() http.Handler {
	if i.links != nil {
		return nil
	}
	return i.coordinator.Mesh()
}

func (i *Instance) document(environment string) (int64, string) {
	view := i.controller.View(environment)
	if view == nil {
		return 0, ""
	}
	return view.Revision, view.Document.String()
}

// Status describes the instance for operators.
func (i *Instance) Status(ctx context.Context) administrator.Status {
	viewSet := i.controller.ViewSet()
	running, waiting := i.admitter.InFlight()
	s := administrator.Status{
		Instance: i.settings.Instance.Name, DataCentre: i.settings.Instance.DataCentre, Revisions: map[string]int64{},
		State: "serving", Mode: viewSet.Mode, Running: running, Waiting: waiting, Peers: i.coordinator.Peers(),
		BackendServers: []administrator.ServerStatus{}, Degraded: []administrator.Degradation{}, InDoubt: i.coordinator.ClaimsInDoubt(ctx),
	}
	if record, ok := i.coordinator.RecordStatus(); ok {
		s.Record = administrator.NewRecordStatus(record)
	}
	servers, err := i.controller.Servers(ctx)
	if err != nil {
		i.telemetry.Log.Warn("cannot list backend servers for the status", "error", err)
	}
	for _, b := range servers {
		s.BackendServers = append(s.BackendServers, administrator.NewServerStatus(b))
	}
	for name, view := range viewSet.Views {
		s.Revisions[name] = view.Revision
	}
	return i.withState(s, viewSet)
}

// withState returns the status with the instance's state and its degraded conditions, each with the time of its start.
func (i *Instance) withState(s administrator.Status, viewSet *indexer.ViewSet) administrator.Status {
	addDegraded := func(since timer.Millis, format string, args ...any) {
		s.Degraded = append(s.Degraded, administrator.Degradation{Description: fmt.Sprintf(format, args...), Since: since})
	}
	if viewSet.Mode != indexer.ModeConnected {
		s.State = string(viewSet.Mode)
		addDegraded(viewSet.ModeSince, "the record's quorum cannot be reached")
	}
	if i.stopping.Load() {
		s.State = "stopping"
		addDegraded(i.stopStartTime(), "the instance is stopping")
	}
	for _, p := range s.Peers {
		isMonitored := p.DataCentre == s.DataCentre || s.Record != nil && s.Record.IsLeader
		if silence := i.telemetry.Clock.Now() - p.LastSeenAt; isMonitored && silence > i.settings.Peers.Silence && !p.Stopping {
			addDegraded(p.LastSeenAt, "instance %s in %s is not heard of", p.Name, p.DataCentre)
		}
	}
	for name, view := range viewSet.Views {
		for _, v := range view.Document.Versions {
			if !v.Withdrawn && len(view.EngineServers(v)) == 0 {
				addDegraded(view.BuiltAt, "no backend server runs version %s of environment %s", v.Name, name)
			}
		}
	}
	return s
}
