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

// Instance is one process of the system.
type Instance struct {
	common      observer.Common
	settings    configurer.Settings
	network     coordinator.Network
	incarnation int64
	store       *store
	record      *recorder.Record
	controller  *controller.Controller
	coordinator *coordinator.Coordinator
	admitter    *admitter.Admitter
	dispatcher  *dispatcher.Dispatcher
	explainer   *explainer.Explainer
	estimator   *rater.Estimator
	watch       *watcher.Watch
	fleetWatch  *watcher.Watch
	quarantine  *quarantiner.Quarantine
	router      *router.Router
	certifier   *certifier.Certifier
	callers     *listener
	control     *listener
	// links is the listener of other instances, nil when they come to the control address.
	links     *listener
	linkTLS   *tls.Config
	stopping  atomic.Bool
	stopSince atomic.Int64
	stopped   chan struct{}
	stopErr   error
	stopBegun atomic.Bool
}

// NewInstance builds an instance; the error names the setting, document or file at fault.
func NewInstance(common observer.Common, settings configurer.Settings) (*Instance, error) {
	return NewInstanceOn(common, settings, coordinator.Network{})
}

// NewInstanceOn builds an instance on a network that loses and delays messages, for tests and measurements.
func NewInstanceOn(common observer.Common, settings configurer.Settings, network coordinator.Network) (*Instance, error) {
	i := &Instance{
		common: common, settings: settings, network: network, stopped: make(chan struct{}), incarnation: int64(common.Clock.Now()),
	}
	steps := []func() error{i.buildListeners, i.buildControl, i.buildFilters, i.buildEdges}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, trace.NewAggregate(err, i.closeSockets())
		}
	}
	return i, nil
}

// alone reports whether the instance is a fleet of its own.
func (i *Instance) alone() bool {
	return len(i.settings.Peers.Seeds) == 0
}

// buildControl builds what the instance knows and shares with others.
func (i *Instance) buildControl() error {
	s := i.settings
	var err error
	if i.store, err = openStore(s.Data.Folder); err != nil {
		return err
	}
	i.controller = controller.NewController(controller.Deps{
		Common: i.common,
		Rules:  registrar.Rules{Silence: s.Servers.Silence, Forget: s.Servers.Forget},
		Mode:   indexer.ModeAlone,
	})
	i.controller.Start()
	if err := i.buildJudges(); err != nil {
		return err
	}
	if i.record, err = i.newRecord(); err != nil {
		return err
	}
	i.coordinator = i.newCoordinator()
	return nil
}

// newRecord opens this instance's member of the record; an instance of a fleet without a disk has none.
func (i *Instance) newRecord() (*recorder.Record, error) {
	if !i.alone() && i.settings.Data.Folder == "" {
		return nil, nil
	}
	disk, err := recordDisk(i.settings.Data.Folder)
	if err != nil {
		return nil, err
	}
	return recorder.NewRecord(recorder.Deps{
		Common:   i.common,
		Instance: i.settings.Instance.Name,
		Disk:     disk,
		Send:     func(m replicator.Message) { i.coordinator.SendRaft(m) },
		Changed:  func(s *applier.State) { i.coordinator.Changed(s) },
	})
}

// linkAddress returns where other instances link to.
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
		Common: i.common, Self: self, Seeds: seeds, Controller: i.controller, Bills: i.store.bills, Record: i.record, TLS: i.linkTLS,
		Quarantine: i.quarantine, Rate: i.rate, Judge: i.judgeFleet, Network: i.network,
		Rules: coordinator.Rules{
			Silence: s.Peers.Silence, Forget: s.Peers.Forget, Voters: s.Record.Voters, ReplaceAfter: s.Record.ReplaceAfter,
		},
	})
}

func (i *Instance) buildFilters() error {
	s := i.settings
	pins, err := i.newPinner()
	if err != nil {
		return err
	}
	if i.explainer, err = explainer.NewExplainer(i.common.Clock.Now, s.Limits.MaxExplained); err != nil {
		return err
	}
	i.store.bills.UseShare(i.coordinator.ShareBill)
	i.quarantine.UseShare(i.coordinator.ShareStrike)
	i.admitter = admitter.NewAdmitter(i.common, admitter.Limits{MaxInFlight: s.Limits.MaxInFlight, MaxWait: s.Limits.MaxWait})
	i.dispatcher = dispatcher.NewDispatcher(s.Limits.EngineStall)
	claims := claimer.NewClaimer(claimer.Deps{
		Common: i.common, Owner: s.Instance.Name, Incarnation: i.incarnation,
		Take: i.coordinator.TakeClaim, Finish: i.coordinator.FinishClaim, Free: i.coordinator.FreeClaim,
	})
	i.router = router.NewRouter(router.Deps{
		Common:   i.common,
		View:     i.controller.View,
		Admitter: i.admitter,
		Selector: selector.NewSelector(selector.Deps{
			Common: i.common, Pins: pins, Quality: i.estimator.Quality, Explore: i.estimator.Explore, Halted: i.watch.Halted,
		}),
		Claimer: claims,
		Placer: placer.NewPlacer(placer.Deps{
			DataCentre: s.Instance.DataCentre, Now: i.common.Clock.Now, Seed: uint64(i.incarnation), Owns: i.coordinator.Owns,
		}),
		Send:       i.dispatcher.Send,
		Biller:     i.store.bills,
		Budget:     retrier.NewBudget(float64(s.Limits.RetryShare)),
		Explainer:  i.explainer,
		Answered:   i.answered,
		Faulted:    i.faulted,
		Quarantine: i.quarantine,
		Crashed:    i.dispatcher.Down,
		Limits: router.Limits{
			MaxAttempts: s.Limits.MaxAttempts, MaxEvent: int(s.Limits.MaxEvent), MaxAnswer: int64(s.Limits.MaxAnswer),
		},
	})
	return nil
}

const secretBytes = 32

func (i *Instance) newPinner() (*pinner.Pinner, error) {
	path := i.settings.Session.SecretFile
	if path == "" {
		secret := make([]byte, secretBytes)
		if _, err := rand.Read(secret); err != nil {
			return nil, trace.Wrap(err)
		}
		i.common.Log.Warn("no session secret is set: session tokens hold on this instance only, until it stops")
		return pinner.NewPinner(secret)
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(secret) < secretBytes {
		return nil, trace.BadParameter("the session secret in %s has %d bytes, at least %d are needed", path, len(secret), secretBytes)
	}
	return pinner.NewPinner(secret)
}

// notReady returns why the balancer should send nothing more.
func (i *Instance) notReady() error {
	if i.stopping.Load() {
		return trace.ConnectionProblem(nil, "the instance is stopping")
	}
	return i.notAccepting()
}

// notAccepting returns why the instance takes no new work.
func (i *Instance) notAccepting() error {
	set := i.controller.Set()
	if len(set.Views) == 0 {
		return trace.ConnectionProblem(nil, "no document is in force here: the record was not reached yet, or holds none")
	}
	if set.Mode == indexer.ModeAlone {
		return trace.ConnectionProblem(nil, "neither the record nor a majority of data centre %s can be reached", i.settings.Instance.DataCentre)
	}
	return nil
}

// stoppingSince returns when the stop began, in milliseconds, 0 before.
func (i *Instance) stoppingSince() timer.Millis {
	return timer.Millis(i.stopSince.Load())
}
