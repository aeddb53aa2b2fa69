package launcher

import (
	"context"
	"errors"
	"os"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Start starts the instance. It serves the control address first, so that backend servers are known before callers
// connect.
func (i *Instance) Start() error {
	if i.certifier != nil {
		i.certifier.Start()
	}
	if i.record != nil {
		i.record.Start()
	}
	i.control.start()
	if i.links != nil {
		i.links.start()
	}
	i.coordinator.Start()
	if err := i.bootstrap(); err != nil {
		return err
	}
	i.callers.start()
	i.telemetry.Log.Info("instance started", "instance", i.settings.Instance.Name, "data-centre", i.settings.Instance.DataCentre,
		"callers", i.CallersAddress(), "control", i.ControlAddress())
	return nil
}

// bootstrapTimeout bounds bootstrap, the wait for readiness included.
const bootstrapTimeout = 20 * timer.Second

// bootstrap creates the record of an instance without peers and proposes the document file as its first change.
func (i *Instance) bootstrap() error {
	if !i.isStandalone() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout.Duration())
	defer cancel()
	if err := i.coordinator.Bootstrap(ctx); err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	text, err := os.ReadFile(i.settings.Document.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	doc, err := parser.Parse(i.settings.Document.File, string(text))
	if err != nil {
		return err
	}
	return i.applyDocumentFile(ctx, doc.Environment.Name, string(text))
}

// applyDocumentFile proposes the document file as the first revision and waits until the instance accepts requests. If
// the record already has a revision, the file is ignored.
func (i *Instance) applyDocumentFile(ctx context.Context, environment, text string) error {
	first := changer.Change{ID: "document-file", Environment: environment, Author: "settings", Text: text}
	_, err := i.coordinator.Change(ctx, first)
	var conflict *changer.ConflictError
	var reusedID *changer.ReusedIDError
	if errors.As(err, &conflict) || errors.As(err, &reusedID) {
		i.telemetry.Log.Warn("the document file differs from the accepted revision, which stays in force", "file", i.settings.Document.File)
		err = nil
	}
	if err != nil {
		return err
	}
	for i.checkAccepting() != nil {
		i.coordinator.Wake()
		if err := i.telemetry.Clock.Sleep(ctx, readyPollInterval); err != nil {
			return trace.Wrap(i.checkAccepting(), "the instance did not become ready")
		}
	}
	return nil
}

// readyPollInterval is the time between two checks for readiness during bootstrap.
const readyPollInterval = 20 * timer.Millisecond

// CallersAddress returns the listen address for callers.
func (i *Instance) CallersAddress() string {
	return i.callers.address()
}

// ControlAddress returns the listen address for backend servers and operators.
func (i *Instance) ControlAddress() string {
	return i.control.address()
}

// ViewSet returns the current immutable views of documents and backend servers.
func (i *Instance) ViewSet() *indexer.ViewSet {
	return i.controller.ViewSet()
}

// LinkBytesSent returns the number of bytes sent to other instances.
func (i *Instance) LinkBytesSent() int64 {
	return i.telemetry.Counter("links.bytes-out").Count()
}

// Reload logs a warning: an instance with all roles applies changed settings only at its next start.
func (i *Instance) Reload(configurer.Settings) {
	i.telemetry.Log.Warn("changed settings take effect at the next start", "instance", i.settings.Instance.Name)
}

// Failed returns nil: the record of an instance with all roles runs until the instance stops.
func (i *Instance) Failed() <-chan struct{} {
	return nil
}

// Stop fails the readiness check, waits until the balancer has noticed, drains requests in flight and stops the
// instance. Further calls wait for the first one and return its error.
func (i *Instance) Stop() error {
	if !i.stopRequested.CompareAndSwap(false, true) {
		<-i.stopped
		return i.stopErr
	}
	i.stopErr = i.stop()
	close(i.stopped)
	return i.stopErr
}

func (i *Instance) stop() error {
	i.stopStart.Store(int64(i.telemetry.Clock.Now()))
	i.stopping.Store(true)
	i.telemetry.Log.Info("instance stops", "instance", i.settings.Instance.Name, "limit", i.settings.Stop.Limit)
	if err := i.telemetry.Clock.Sleep(context.Background(), i.settings.Stop.ReadinessWait); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Stop.Limit.Duration())
	defer cancel()
	err := i.callers.stop(ctx)
	err = trace.NewAggregate(err, i.coordinator.BeginStop(ctx), i.coordinator.Stop(), i.control.stop(ctx), i.stopLinks(ctx), i.close())
	i.telemetry.Log.Info("instance stopped", "instance", i.settings.Instance.Name, "error", err)
	return err
}

// Kill aborts all requests and links at once, as the loss of the machine would.
func (i *Instance) Kill() error {
	if !i.stopRequested.CompareAndSwap(false, true) {
		<-i.stopped
		return i.stopErr
	}
	defer close(i.stopped)
	i.stopErr = trace.NewAggregate(i.callers.kill(), i.control.kill(), i.coordinator.Stop(), i.killLinks(), i.close())
	return i.stopErr
}

// Stopped returns a channel that is closed once the instance has stopped.
func (i *Instance) Stopped() <-chan struct{} {
	return i.stopped
}

func (i *Instance) stopLinks(ctx context.Context) error {
	if i.links == nil {
		return nil
	}
	return i.links.stop(ctx)
}

func (i *Instance) killLinks() error {
	if i.links == nil {
		return nil
	}
	return i.links.kill()
}

func (i *Instance) close() error {
	i.dispatcher.Close()
	var errs []error
	if i.record != nil {
		errs = append(errs, i.record.Stop())
	}
	errs = append(errs, i.controller.Stop(), i.billStore.stop())
	if i.certifier != nil {
		errs = append(errs, i.certifier.Stop())
	}
	return trace.NewAggregate(errs...)
}
