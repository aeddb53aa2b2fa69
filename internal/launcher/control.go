package launcher

import (
	"context"
	"net/http"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/internal/steward"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
	"github.com/eelgrasshook/eelgrasshook/platform"
)

// controlStopTimeout bounds the wait for calls in flight when a control instance stops; the longest calls wait for a
// majority of the voters.
const controlStopTimeout = 2 * timer.Second

// Control is an instance that runs a member of the replicated record and serves operators and backend servers.
type Control struct {
	telemetry observer.Telemetry
	settings  configurer.Settings
	record    *recorder.Record
	steward   *steward.Steward
	control   *listener
	links     *listener
	metrics   *listener
}

// NewControl builds a control instance; an error names the invalid setting, folder or address.
func NewControl(telemetry observer.Telemetry, settings configurer.Settings) (*Control, error) {
	c := &Control{telemetry: telemetry, settings: settings}
	disk, err := recordDisk(settings.Data.Folder)
	if err != nil {
		return nil, err
	}
	self := string(settings.Listen.Links)
	seeds := linkAddresses(settings)
	var founders []string
	if settings.Record.Found && slices.Contains(seeds, self) {
		founders = slices.Sorted(slices.Values(seeds))
	}
	c.record, err = recorder.NewRecord(recorder.Deps{
		Telemetry: telemetry, Instance: self, Disk: disk, Founders: founders, WithoutLeases: true,
		Send:     func(m replicator.Message) { c.steward.SendRaft(m) },
		OnChange: func(s *applier.State) { c.steward.HandleStateChange(s) },
	})
	if err != nil {
		return nil, err
	}
	restored, save, err := openRosterStore(telemetry, settings.Data.Folder)
	if err != nil {
		return nil, err
	}
	c.steward = steward.NewSteward(steward.Deps{
		Telemetry: telemetry, Seeds: seeds, RegionOf: settings.Instance.RegionOf(), Record: c.record, RestoredRoster: restored, SaveRoster: save,
		Self: messenger.Greeting{
			Instance: settings.Instance.Name, DataCentre: settings.Instance.DataCentre, Address: self, Member: c.record.ID(),
		},
		Config: steward.Config{
			SilenceTimeout: settings.Servers.Silence, ForgetAfter: settings.Servers.Forget, ReplaceAfter: settings.Record.ReplaceAfter,
			Voters: max(settings.Record.Voters, 2*settings.Record.Losses+1),
		},
	})
	return c, c.listen()
}

func (c *Control) listen() error {
	var err error
	if c.control, err = listenOn(c.settings.Listen.Control, c.settings); err != nil {
		return err
	}
	limits := c.settings.Limits
	g := newGuard(c.telemetry, "orders", limits)
	g.watch(c.control, "control", limits.MaxConns, mainShare)
	c.control.server.Handler = platform.NewControlHandler(c.telemetry, c.steward, c.settings.Instance.RegionOf(), g.reader())
	if c.links, err = listenOn(c.settings.Listen.Links, c.settings); err != nil {
		return err
	}
	g.watch(c.links, "links", limits.MaxLinks, linkShare)
	c.links.server.Handler = c.steward.LinkHandler()
	if c.settings.Listen.Metrics == "" {
		return nil
	}
	if c.metrics, err = listenOn(c.settings.Listen.Metrics, c.settings); err != nil {
		return err
	}
	g.watch(c.metrics, "metrics", maxProbeConns, probeShare)
	c.metrics.server.Handler = observer.MetricsHandler(c.telemetry)
	return nil
}

// Start connects to the other instances and starts to serve the control address.
func (c *Control) Start() error {
	c.record.Start()
	c.steward.Start()
	for _, l := range []*listener{c.links, c.control, c.metrics} {
		if l != nil {
			l.start()
		}
	}
	c.telemetry.Log.Info("control instance started", "instance", c.settings.Instance.Name, "member", c.record.ID(),
		"voters", c.record.Status().Members.Voters, "seeds", linkAddresses(c.settings))
	return nil
}

// Reload applies the seeds of changed settings; changed listen addresses take effect at the next start.
func (c *Control) Reload(s configurer.Settings) {
	c.settings.Peers = s.Peers
	c.steward.SetSeeds(linkAddresses(c.settings))
}

// Failed returns a channel that is closed when the record has failed, for instance because its disk refuses writes.
func (c *Control) Failed() <-chan struct{} {
	return c.record.Done()
}

// Stop transfers leadership, waits for calls in flight and stops the instance.
func (c *Control) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTimeout.Duration())
	defer cancel()
	c.telemetry.Log.Info("control instance stops", "role", c.record.Status().Role)
	err := c.steward.Stop(ctx)
	// A link that is opened now would reach an instance that answers nothing.
	for _, l := range []*listener{c.links, c.control, c.metrics} {
		if l != nil {
			err = trace.NewAggregate(err, ignoreTimeout(l.stop(ctx)))
		}
	}
	c.steward.CloseLinks()
	err = trace.NewAggregate(err, c.record.Stop())
	c.telemetry.Log.Info("control instance stopped", "error", err)
	return err
}

// ignoreTimeout drops the error for calls that did not finish before the stop: their callers retry at another instance.
func ignoreTimeout(err error) error {
	if trace.IsConnectionProblem(err) || err == http.ErrServerClosed {
		return nil
	}
	return err
}
