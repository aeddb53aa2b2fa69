package launcher

import (
	"crypto/rand"
	"crypto/tls"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/certifier"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/controller"
	"github.com/eelgrasshook/eelgrasshook/internal/coordinator"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pinner"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rater"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/internal/retrier"
	"github.com/eelgrasshook/eelgrasshook/internal/router"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/internal/watcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Instance is an instance with all roles: it serves callers, operators and backend servers.
type Instance struct {
	telemetry     observer.Telemetry
	settings      configurer.Settings
	networkFaults coordinator.NetworkFaults
	incarnation   int64
	billStore     *billStore
	record        *recorder.Record
	controller    *controller.Controller
	coordinator   *coordinator.Coordinator
	admitter      *admitter.Admitter
	dispatcher    *dispatcher.Dispatcher
	explainer     *explainer.Explainer
	estimator     *rater.Estimator
	localDetector *watcher.Detector
	fleetDetector *watcher.Detector
	quarantine    *quarantiner.Quarantine
	router        *router.Router
	certifier     *certifier.Certifier
	guard         guard
	callers       *listener
	control       *listener
	// links is the listener for links from other instances; nil if they use the control address.
	links         *listener
	linkTLS       *tls.Config
	stopping      atomic.Bool
	stopStart     atomic.Int64
	stopped       chan struct{}
	stopErr       error
	stopRequested atomic.Bool
}

// NewInstance builds an instance; an error names the invalid setting, document or file.
func NewInstance(telemetry observer.Telemetry, settings configurer.Settings) (*Instance, error) {
	return NewInstanceWithNetworkFaults(telemetry, settings, coordinator.NetworkFaults{})
}

// NewInstanceWithNetworkFaults builds an instance on a network that drops and delays messages, for tests and
// measurements.
func NewInstanceWithNetworkFaults(telemetry observer.Telemetry, settings configurer.Settings, networkFaults coordinator.NetworkFaults) (*Instance, error) {
	i := &Instance{
		telemetry: telemetry, settings: settings, networkFaults: networkFaults, stopped: make(chan struct{}), incarnation: int64(telemetry.Clock.Now()),
	}
	steps := []func() error{i.buildListeners, i.buildControlPlane, i.buildRequestPath, i.buildHandlers}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, trace.NewAggregate(err, i.closeSockets())
		}
	}
	return i, nil
}

// isStandalone reports whether the instance has no peers.
func (i *Instance) isStandalone() bool {
	return len(i.settings.Peers.Seeds) == 0
}

// buildControlPlane builds the components that hold state and share it with other instances.
func (i *Instance) buildControlPlane() error {
	s := i.settings
	var err error
	if i.billStore, err = openBillStore(s.Data.Folder); err != nil {
		return err
	}
	i.controller = controller.NewController(controller.Deps{
		Telemetry: i.telemetry,
		Timeouts:  registrar.Timeouts{SilentAfter: s.Servers.Silence, RemoveAfter: s.Servers.Forget},
		Mode:      indexer.ModeIsolated,
	})
	i.controller.Start()
	if err := i.buildQualityTracking(); err != nil {
		return err
	}
	if i.record, err = i.newRecord(); err != nil {
		return err
	}
	i.coordinator = i.newCoordinator()
	return nil
}

// newRecord opens this instance's member of the replicated record; nil for an instance with peers but no data folder.
func (i *Instance) newRecord() (*recorder.Record, error) {
	if !i.isStandalone() && i.settings.Data.Folder == "" {
		return nil, nil
	}
	disk, err := recordDisk(i.settings.Data.Folder)
	if err != nil {
		return nil, err
	}
	return recorder.NewRecord(recorder.Deps{
		Telemetry: i.telemetry,
		Instance:  i.settings.Instance.Name,
		Disk:      disk,
		Send:      func(m replicator.Message) { i.coordinator.SendRaft(m) },
		OnChange:  func(s *applier.State) { i.coordinator.DistributeDocuments(s) },
	})
}

// linkAddress returns the address that other instances connect to.
func (i *Instance) linkAddress() string {
	if i.links != nil {
		return i.links.address()
	}
	return i.control.address()
}

func (i *Instance) newCoordinator() *coordinator.Coordinator {
	s := i.settings
	self := messenger.Peer{
		Name: s.Instance.Name, DataCentre: s.Instance.DataCentre, Address: i.linkAddress(), Incarnation: i.incarnation,
	}
	if i.record != nil {
		self.Member = i.record.ID()
	}
	var seeds []string
	for _, a := range s.Peers.Seeds {
		seeds = append(seeds, string(a))
	}
	return coordinator.NewCoordinator(coordinator.Deps{
		Telemetry: i.telemetry, Self: self, Seeds: seeds, Controller: i.controller, Biller: i.billStore.bills, Record: i.record, TLS: i.linkTLS,
		Quarantine: i.quarantine, ApplyRatings: i.applyRatings, HandleRatedAnswer: i.recordFleetOutcome, NetworkFaults: i.networkFaults,
		Config: coordinator.Config{
			SilenceTimeout: s.Peers.Silence, ForgetAfter: s.Peers.Forget, VoterCount: s.Record.Voters, ReplaceAfter: s.Record.ReplaceAfter,
		},
	})
}

// buildRequestPath builds the router and the components that a request passes through.
func (i *Instance) buildRequestPath() error {
	s := i.settings
	pins, err := i.newPinner()
	if err != nil {
		return err
	}
	if i.explainer, err = explainer.NewExplainer(i.telemetry.Clock.Now, s.Limits.MaxExplained); err != nil {
		return err
	}
	i.billStore.bills.SetReplicate(i.coordinator.ReplicateBill)
	i.quarantine.SetShare(i.coordinator.ShareCrash)
	i.admitter = admitter.NewAdmitter(i.telemetry, admitter.Limits{MaxInFlight: s.Limits.MaxInFlight, MaxWait: s.Limits.MaxWait})
	i.dispatcher = dispatcher.NewDispatcher(s.Limits.EngineStall)
	claims := claimer.NewClaimer(claimer.Deps{
		Telemetry: i.telemetry, Owner: s.Instance.Name, Incarnation: i.incarnation,
		Acquire: i.coordinator.AcquireClaim, Settle: i.coordinator.SettleClaim, Release: i.coordinator.ReleaseClaim,
	})
	i.router = router.NewRouter(router.Deps{
		Telemetry: i.telemetry,
		View:      i.controller.View,
		Admitter:  i.admitter,
		Selector: selector.NewSelector(selector.Deps{
			Telemetry: i.telemetry, Pins: pins, EstimateQuality: i.estimator.Quality, ShouldExplore: i.estimator.ShouldExplore, IsHalted: i.localDetector.IsHalted,
		}),
		Claimer: claims,
		Placer: placer.NewPlacer(placer.Deps{
			DataCentre: s.Instance.DataCentre, Now: i.telemetry.Clock.Now, Seed: uint64(i.incarnation), OwnsServer: i.coordinator.OwnsServer,
		}),
		Send:              i.dispatcher.Send,
		Biller:            i.billStore.bills,
		RetryBudget:       retrier.NewBudget(float64(s.Limits.RetryShare)),
		Explainer:         i.explainer,
		OnAnswer:          i.recordAnswer,
		OnFault:           i.recordFault,
		Quarantine:        i.quarantine,
		RefusesConnection: i.dispatcher.RefusesConnection,
		Limits: router.Limits{
			MaxAttempts: s.Limits.MaxAttempts, MaxEventBytes: int(s.Limits.MaxEvent), MaxAnswerBytes: int64(s.Limits.MaxAnswer),
		},
	})
	return nil
}

const minSecretBytes = 32

func (i *Instance) newPinner() (*pinner.Pinner, error) {
	path := i.settings.Session.SecretFile
	if path == "" {
		secret := make([]byte, minSecretBytes)
		if _, err := rand.Read(secret); err != nil {
			return nil, trace.Wrap(err)
		}
		i.telemetry.Log.Warn("no session secret is set: session tokens are valid on this instance only, until it stops")
		return pinner.NewPinner(secret)
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(secret) < minSecretBytes {
		return nil, trace.BadParameter("the session secret in %s has %d bytes, at least %d are needed", path, len(secret), minSecretBytes)
	}
	return pinner.NewPinner(secret)
}

// checkReady returns nil if the balancer may send requests, otherwise the reason against it.
func (i *Instance) checkReady() error {
	if i.stopping.Load() {
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
	return i.checkAccepting()
}

// checkAccepting returns nil if the instance accepts new requests, otherwise the reason against it.
func (i *Instance) checkAccepting() error {
	viewSet := i.controller.ViewSet()
	if len(viewSet.Views) == 0 {
		return trace.ConnectionProblem(nil, "no document is in force here: the record was not reached yet, or holds none")
	}
	if viewSet.Mode == indexer.ModeIsolated {
		return trace.ConnectionProblem(nil, "neither the record nor a majority of data centre %s can be reached", i.settings.Instance.DataCentre)
	}
	return nil
}

// stopStartTime returns the time at which the stop began, in milliseconds; 0 while the instance is not stopping.
func (i *Instance) stopStartTime() timer.Millis {
	return timer.Millis(i.stopStart.Load())
}
