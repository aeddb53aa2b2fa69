package coordinator

import (
	"context"
	"fmt"

	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/watcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// haltRetryDelay is the time before a halt is proposed again after a conflict with another change.
const haltRetryDelay = 100 * timer.Millisecond

// WithdrawVersion withdraws a version on roll-out in the whole fleet, as a separate change in the audit trail. It
// returns before the change is committed.
func (c *Coordinator) WithdrawVersion(environment string, v watcher.Verdict) {
	c.tomb.Go(func() error { return c.runHalt(environment, v) })
}

// runHalt retries until the version is withdrawn, even if others change the document meanwhile.
func (c *Coordinator) runHalt(environment string, v watcher.Verdict) error {
	ctx := c.tomb.Context(context.Background())
	for {
		view := c.deps.Controller.View(environment)
		version, ok := view.Version(v.Version)
		if !ok || version.Withdrawn {
			return nil
		}
		_, err := c.Change(ctx, newHaltChange(environment, view.Revision, view.Document, version, v))
		if err != nil {
			c.deps.Telemetry.Log.Warn("halt not accepted yet; retrying", "version", v.Version, "error", err)
		}
		if err := c.deps.Telemetry.Clock.Sleep(ctx, haltRetryDelay); err != nil {
			return nil
		}
	}
}

// newHaltChange returns the change that withdraws a version and sets the share of its roll-out to 0.
func newHaltChange(environment string, revision int64, doc *parser.Document, version parser.Version, v watcher.Verdict) changer.Change {
	version.Withdrawn = true
	doc = doc.WithVersion(version)
	if r, ok := doc.RollOutTo(version.Name); ok {
		r.Share = 0
		doc = doc.WithRollOut(r)
	}
	return changer.Change{
		ID:           fmt.Sprintf("halt-%s-%d", version.Name, revision),
		Environment:  environment,
		BaseRevision: revision,
		Author:       fmt.Sprintf("watcher: %d of %d answers bad in %s", v.Bad, v.Answers, v.Segment),
		Text:         doc.String(),
	}
}
