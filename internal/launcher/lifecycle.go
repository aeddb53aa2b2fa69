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

// Start opens the control address first, so that backend servers are known before callers come.
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
	if err := i.begin(); err != nil {
		return err
	}
	i.callers.start()
	i.common.Log.Info("instance started", "instance", i.settings.Instance.Name, "data-centre", i.settings.Instance.DataCentre,
		"callers", i.CallersAddress(), "control", i.ControlAddress())
	return nil
}

// startLimit bounds the start of an instance that is a fleet of its own.
const startLimit = 20 * timer.Second

// begin makes the record of an instance that is a fleet of its own, with the document file as its first change.
func (i *Instance) begin() error {
	if !i.alone() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit.Duration())
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
	return i.adoptFile(ctx, doc.Environment.Name, string(text))
}

// adoptFile hands the document file in as the first revision; once a revision is accepted, the file no longer counts.
func (i *Instance) adoptFile(ctx context.Context, environment, text string) error {
	first := changer.Change{ID: "document-file", Environment: environment, Author: "settings", Text: text}
	_, err := i.coordinator.Change(ctx, first)
	var conflict *changer.ConflictError
	var reused *changer.ReusedIDError
	if errors.As(err, &conflict) || errors.As(err, &reused) {
		i.common.Log.Warn("the document file differs from the accepted revision, which stays in force", "file", i.settings.Document.File)
		err = nil
	}
	if err != nil {
		return err
	}
	for i.notAccepting() != nil {
		i.coordinator.Wake()
		if err := i.common.Clock.Sleep(ctx, startPoll); err != nil {
			return trace.Wrap(i.notAccepting(), "the instance did not become ready")
		}
	}
	return nil
}

const startPoll = 20 * timer.Millisecond

// CallersAddress returns where callers are served.
func (i *Instance) CallersAddress() string {
	return i.callers.address()
}

// ControlAddress returns where backend servers and operators are served.
func (i *Instance) ControlAddress() string {
	return i.control.address()
}

// Set returns the current immutable views of documents and backend servers.
func (i *Instance) Set() *indexer.Set {
	return i.controller.Set()
}

// LinkBytes returns how many bytes were sent to other instances.
func (i *Instance) LinkBytes() int64 {
	return i.common.Counter("links.bytes-out").Count()
}

// Reload notes that the settings changed; an instance with all roles takes them at its next start.
func (i *Instance) Reload(configurer.Settings) {
	i.common.Log.Warn("changed settings take effect at the next start", "instance", i.settings.Instance.Name)
}

// Failed returns nil: the record of an instance with all roles ends with the instance.
func (i *Instance) Failed() <-chan struct{} {
	return nil
}

// Stop fails readiness, waits for the balancer, lets requests finish and ends; a second call waits for the first.
func (i *Instance) Stop() error {
	if !i.stopBegun.CompareAndSwap(false, true) {
		<-i.stopped
		return i.stopErr
	}
	i.stopErr = i.stop()
	close(i.stopped)
	return i.stopErr
}

func (i *Instance) stop() error {
	i.stopSince.Store(int64(i.common.Clock.Now()))
	i.stopping.Store(true)
	i.common.Log.Info("instance stops", "instance", i.settings.Instance.Name, "limit", i.settings.Stop.Limit)
	if err := i.common.Clock.Sleep(context.Background(), i.settings.Stop.ReadinessWait); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Stop.Limit.Duration())
	defer cancel()
	err := i.callers.stop(ctx)
	err = trace.NewAggregate(err, i.coordinator.BeginStop(ctx), i.coordinator.Stop(), i.control.stop(ctx), i.stopLinks(ctx), i.close())
	i.common.Log.Info("instance stopped", "instance", i.settings.Instance.Name, "error", err)
	return err
}

// Kill breaks everything off, as a lost machine would.
func (i *Instance) Kill() error {
	if !i.stopBegun.CompareAndSwap(false, true) {
		<-i.stopped
		return i.stopErr
	}
	defer close(i.stopped)
	i.stopErr = trace.NewAggregate(i.callers.kill(), i.control.kill(), i.coordinator.Stop(), i.killLinks(), i.close())
	return i.stopErr
}

// Stopped is closed once the instance has ended.
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
	errs = append(errs, i.controller.Stop(), i.store.stop())
	if i.certifier != nil {
		errs = append(errs, i.certifier.Stop())
	}
	return trace.NewAggregate(errs...)
}
