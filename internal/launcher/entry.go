package launcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/forwarder"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pathfinder"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/internal/tunneler"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
	"github.com/eelgrasshook/eelgrasshook/platform"
)

// Process is an instance of any role as the serve command runs it.
type Process interface {
	Start() error
	Reload(configurer.Settings)
	// Failed returns a channel that is closed when the process cannot continue; nil if that cannot happen.
	Failed() <-chan struct{}
	Stop() error
}

// NewProcess builds an instance with the role that the settings name.
func NewProcess(telemetry observer.Telemetry, settings configurer.Settings) (Process, error) {
	switch settings.Instance.Role {
	case configurer.RoleEntry:
		return NewEntry(telemetry, settings)
	case configurer.RoleControl:
		return NewControl(telemetry, settings)
	}
	return NewInstance(telemetry, settings)
}

const (
	// percent converts a share from 0 to 1 to a confidence from 0 to 100.
	percent = 100
	// stopReserve is the part of the stop limit that is reserved for aborting requests that are still in flight.
	stopReserve = 300 * timer.Millisecond
	// arrivalsShare is the part of the remaining time of a stop in which requests may still arrive, as a divisor. The
	// longest streams need most of that time: one that was taken halfway through a stop of 8 s was cut off at its end.
	arrivalsShare = 8
	// entryIdleTimeout closes a caller's idle connection; callers reuse idle connections for less than half of that time.
	entryIdleTimeout = 90 * timer.Second
)

// Entry is an instance that forwards callers' requests and stores nothing.
type Entry struct {
	telemetry  observer.Telemetry
	settings   configurer.Settings
	subscriber *subscriber.Subscriber
	forwarder  *forwarder.Forwarder
	paths      *pathfinder.Pathfinder
	pathMu     sync.Mutex
	// tunnels relays the connections of other entry instances; tunnelListener is nil if this one relays none.
	tunnels        *tunneler.Handler
	tunnelListener *listener
	guard          guard
	callers        *listener
	arrivals       *arrivals
	ready          *listener
	metrics        *listener
	stopping       atomic.Bool
	// stopsAt is when requests in flight are aborted, in milliseconds; 0 before a stop.
	stopsAt atomic.Int64
}

// NewEntry builds an entry instance; an error names the invalid setting or address.
func NewEntry(telemetry observer.Telemetry, settings configurer.Settings) (*Entry, error) {
	return newEntry(telemetry, settings, exchanger.NewDial())
}

// newEntry builds an entry instance that opens its connections to backend servers with dial.
func newEntry(telemetry observer.Telemetry, settings configurer.Settings, dial func(context.Context, string) (net.Conn, error)) (*Entry, error) {
	e := &Entry{telemetry: telemetry, settings: settings, guard: newGuard(telemetry, "requests", settings.Limits), arrivals: newArrivals(telemetry.Clock)}
	regions := settings.Instance.RegionOf()
	e.paths = pathfinder.NewPathfinder(pathfinder.Deps{
		Telemetry: telemetry, DataCentre: settings.Instance.DataCentre, Dial: dial, OnChange: e.handlePathChange,
		Distance: func(from, to string) float64 { return forwarder.DistanceCost(regions, from, to) },
	})
	e.forwarder = forwarder.NewForwarder(forwarder.Deps{
		Telemetry: telemetry, DataCentre: settings.Instance.DataCentre, RegionOf: regions, Codec: platform.NewCodec(), Paths: e.paths,
		Config: forwarder.Config{
			RetryRatio: float64(settings.Retries.Share), RetryBurst: float64(settings.Retries.Slack),
			RetryWindow: settings.Retries.Window, SessionTTL: settings.Session.Span,
			MinConfidence: int(float64(settings.Cascade.Confidence) * percent), ConfidenceGain: int(float64(settings.Cascade.Lift) * percent),
			Answers: answerLimits(settings), MaxBufferedBytes: int64(settings.Answers.MaxBuffered),
		},
		OnCrash:       func(list []quarantiner.CrashReport) { e.subscriber.ReportCrashes(list) },
		OnAcquittal:   func(list []quarantiner.Acquittal) { e.subscriber.ReportAcquittals(list) },
		AwaitCurrent:  func(ctx context.Context) bool { return e.subscriber.AwaitCurrent(ctx) },
		OnServerAlarm: func(a messenger.ServerAlarm) { e.subscriber.ReportServerAlarm(a) },
		OnLongPrefill: func() { e.subscriber.SendPrefillNow() }, OnPlacesChanged: func() { e.subscriber.ClaimPlaces() },
		StopsAt:         func() timer.Millis { return timer.Millis(e.stopsAt.Load()) },
		OnServerRests:   func(address string) { e.tunnels.DrainServer(address) },
		OnServerLeaving: func(w registrar.Withdrawal) { e.subscriber.ReportLeaving(w) },
	})
	e.subscriber = subscriber.NewSubscriber(subscriber.Deps{
		Telemetry: telemetry, Self: messenger.Greeting{
			Instance: settings.Instance.Name, DataCentre: settings.Instance.DataCentre, Incarnation: int64(telemetry.Clock.Now()),
			Gateway: string(settings.Listen.Tunnels),
		},
		RegionOf: regions, Seeds: linkAddresses(settings), DecodePolicy: platform.DecodeStoredPolicy, Publish: e.forwarder.SetView, Outcomes: e.forwarder.VersionOutcomes,
		PendingPrefill: e.forwarder.PendingPrefill, SetOthersPrefill: e.forwarder.SetOthersPrefill,
		NewOldVersionSessions: e.forwarder.NewOldVersionSessions, AddOldVersionSessions: e.forwarder.AddOldVersionSessions,
		SuspendServers: e.forwarder.SuspendServers, AddCrashReports: e.forwarder.AddCrashReports, AddAcquittals: e.forwarder.AddAcquittals,
		RateReports: e.forwarder.RateReports, SetOthersRates: e.forwarder.SetOthersRates,
		PlaceClaims: e.forwarder.PlaceClaims, SetPlaces: e.forwarder.SetPlaces,
		StartClaims: e.forwarder.StartClaims, SetStarts: e.forwarder.SetStarts,
		Readings: e.forwarder.Readings, SetGauges: e.forwarder.SetGauges, SetLoads: e.forwarder.SetLoads,
		SetGateways: e.paths.SetGateways,
	})
	handler := platform.RequestHandler{
		Telemetry: telemetry, Limits: e.forwarder.Limits, ClosesConnections: e.stopping.Load,
		Reader: e.guard.reader(), Check: e.forwarder.Check,
		Forward: func(r *http.Request, req *forwarder.Request, w http.ResponseWriter) {
			e.forwarder.Serve(r.Context(), req, w)
		},
	}
	if err := e.buildListeners(handler); err != nil {
		return nil, err
	}
	if err := e.buildTunnels(dial); err != nil {
		return nil, err
	}
	return e, nil
}

// buildListeners binds the addresses for callers, probes and metrics.
func (e *Entry) buildListeners(callers http.Handler) error {
	settings := e.settings
	var err error
	if e.callers, err = e.listen(settings.Listen.Callers, callers); err != nil {
		return err
	}
	e.guard.watch(e.callers, "callers", settings.Limits.MaxConns, mainShare)
	e.callers.server.IdleTimeout = entryIdleTimeout.Duration()
	e.callers.server.ConnState = e.arrivals.recordState
	if e.ready, err = e.listen(settings.Listen.Ready, platform.ReadinessHandler(e.checkReady)); err != nil {
		return err
	}
	e.guard.watch(e.ready, "readiness", maxProbeConns, probeShare)
	if settings.Listen.Metrics == "" {
		return nil
	}
	if e.metrics, err = e.listen(settings.Listen.Metrics, observer.MetricsHandler(e.telemetry)); err != nil {
		return err
	}
	e.guard.watch(e.metrics, "metrics", maxProbeConns, probeShare)
	return nil
}

// buildTunnels builds the handler that relays connections of other instances, and its listener if the settings name an address.
func (e *Entry) buildTunnels(dial func(context.Context, string) (net.Conn, error)) error {
	e.tunnels = tunneler.NewHandler(tunneler.HandlerDeps{Telemetry: e.telemetry, Dial: dial, IsServer: e.forwarder.IsServer, ReachesAnother: e.paths.ReachesAnother,
		IsCutOff: e.paths.IsCutOff, RestLeft: e.forwarder.RestLeft, OnRest: e.forwarder.RestServer})
	if e.settings.Listen.Tunnels == "" {
		return nil
	}
	var err error
	if e.tunnelListener, err = e.listen(e.settings.Listen.Tunnels, e.tunnels); err != nil {
		return err
	}
	e.guard.watch(e.tunnelListener, "tunnels", tunneler.MaxTunnels, relayShare)
	return nil
}

// answerLimits returns the limits of what one backend server may send.
func answerLimits(s configurer.Settings) exchanger.Limits {
	return exchanger.Limits{
		MaxHeadBytes: int64(s.Answers.MaxHead), HeadTimeout: s.Answers.HeadTimeout, MaxSkippedBytes: int64(s.Answers.MaxSkipped),
		MaxBodyBytes: int64(s.Limits.MaxAnswer), MaxEventBytes: int(s.Limits.MaxEvent),
		MinBodyRate: int64(s.Answers.MinRate), BodyGrace: s.Answers.Grace,
	}
}

func (e *Entry) listen(address decoder.Address, h http.Handler) (*listener, error) {
	l, err := listenOn(address, e.settings)
	if err != nil {
		return nil, err
	}
	l.server.Handler = h
	return l, nil
}

// linkAddresses returns the link addresses of the control instances that the seeds name; all instances use the same
// link port.
func linkAddresses(s configurer.Settings) []string {
	_, port, err := net.SplitHostPort(string(s.Listen.Links))
	if err != nil {
		return nil
	}
	var list []string
	for _, seed := range s.Peers.Seeds {
		host, _, err := net.SplitHostPort(string(seed))
		if err == nil {
			list = append(list, net.JoinHostPort(host, port))
		}
	}
	return list
}

// checkReady returns nil if the balancer may send requests, otherwise the reason against it.
func (e *Entry) checkReady() error {
	if e.stopping.Load() {
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
	if !e.forwarder.Ready() {
		return trace.ConnectionProblem(nil, "no policy is known here yet")
	}
	return nil
}

// Start connects to the control instances and starts to serve callers.
func (e *Entry) Start() error {
	e.forwarder.Start()
	e.paths.Start()
	e.subscriber.Start()
	if e.tunnelListener != nil {
		e.tunnelListener.start()
	}
	e.callers.start()
	e.ready.start()
	if e.metrics != nil {
		e.metrics.start()
	}
	e.telemetry.Log.Info("entry instance started", "instance", e.settings.Instance.Name, "data-centre", e.settings.Instance.DataCentre,
		"seeds", linkAddresses(e.settings))
	return nil
}

// Reload applies the seeds of changed settings; changed listen addresses take effect at the next start.
func (e *Entry) Reload(s configurer.Settings) {
	e.settings.Peers = s.Peers
	e.subscriber.SetSeeds(linkAddresses(e.settings))
}

// Failed returns nil: no failure forces an entry instance to stop.
func (e *Entry) Failed() <-chan struct{} {
	return nil
}

// Stop fails the readiness check, serves until the balancer has noticed and nothing arrives any more, drains requests in
// flight and stops the instance.
func (e *Entry) Stop() error {
	stopStart := e.telemetry.Clock.Now()
	e.stopsAt.Store(int64(stopStart + e.settings.Stop.Limit - stopReserve))
	e.stopping.Store(true)
	e.subscriber.SetGateway("")
	e.telemetry.Log.Info("entry instance stops", "running", e.forwarder.InFlight(), "limit", e.settings.Stop.Limit)
	err := e.telemetry.Clock.Sleep(context.Background(), e.settings.Stop.ReadinessWait)
	remaining := max(0, e.settings.Stop.Limit-stopReserve-(e.telemetry.Clock.Now()-stopStart))
	ctx, cancel := context.WithTimeout(context.Background(), remaining.Duration())
	defer cancel()
	arrivalsCtx, stopWaiting := context.WithTimeout(ctx, (remaining / arrivalsShare).Duration())
	e.arrivals.awaitQuiet(arrivalsCtx)
	stopWaiting()
	drained := make(chan struct{})
	go e.runTunnelDrain(ctx, drained)
	err = trace.NewAggregate(err, e.callers.stop(ctx))
	<-drained
	e.telemetry.Log.Info("entry instance stopped", "cut-off", e.forwarder.InFlight(), "error", err)
	errs := []error{e.ready.kill(), e.subscriber.Stop(), e.forwarder.Stop(), e.paths.Stop()}
	if e.tunnelListener != nil {
		errs = append(errs, e.tunnelListener.kill())
	}
	return trace.NewAggregate(errs...)
}

// runTunnelDrain lets the connections that this instance relays end.
func (e *Entry) runTunnelDrain(ctx context.Context, drained chan<- struct{}) {
	defer close(drained)
	e.tunnels.Drain(ctx)
}

// handlePathChange offers to relay the connections of others only while this instance reaches servers itself.
func (e *Entry) handlePathChange() {
	e.forwarder.HandlePathChange()
	// The last of several changes at once decides.
	e.pathMu.Lock()
	defer e.pathMu.Unlock()
	if e.paths.IsCutOff() || e.stopping.Load() {
		e.subscriber.SetGateway("")
		return
	}
	e.subscriber.SetGateway(string(e.settings.Listen.Tunnels))
}
