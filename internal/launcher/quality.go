package launcher

import (
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/quarantiner"
	"github.com/eelgrasshook/eelgrasshook/internal/rater"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/internal/watcher"
)

// exploreShare is the share of requests without a session that explore a version with an estimate below the target.
const exploreShare = 0.01

// buildQualityTracking builds the components that learn the quality of versions and the requests that crash servers.
func (i *Instance) buildQualityTracking() error {
	var err error
	i.localDetector = watcher.NewDetector()
	i.fleetDetector = watcher.NewDetector()
	deps := rater.Deps{Now: i.telemetry.Clock.Now, ExploreShare: exploreShare, Seed: uint64(i.incarnation)}
	if i.estimator, err = rater.NewEstimator(deps); err != nil {
		return err
	}
	i.quarantine, err = quarantiner.NewQuarantine()
	return err
}

// recordAnswer stores which version gave a complete answer, for the rating that may follow.
func (i *Instance) recordAnswer(req *receiver.Request, sel selector.Selection) {
	i.estimator.AddServed(req.ID, rater.ServedRequest{Environment: req.Environment, Class: rater.ClassOf(req), Version: sel.Version.Name})
}

// recordFault records a faulty answer as a bad outcome.
func (i *Instance) recordFault(req *receiver.Request, sel selector.Selection) {
	i.recordOutcome(rater.ServedRequest{Environment: req.Environment, Class: rater.ClassOf(req), Version: sel.Version.Name}, false)
}

// applyRatings applies ratings and returns those for answers that this instance does not remember.
func (i *Instance) applyRatings(list []messenger.Rating) (unknown []messenger.Rating) {
	for _, r := range list {
		served, ok := i.estimator.Rate(r.RequestID, r.Good)
		if !ok {
			unknown = append(unknown, r)
			continue
		}
		i.recordOutcome(served, r.Good)
	}
	return unknown
}

// recordOutcome compares a version on roll-out with the one that it replaces, on this instance at once and on the
// leader for the whole fleet.
func (i *Instance) recordOutcome(s rater.ServedRequest, good bool) {
	view := i.controller.View(s.Environment)
	if view == nil {
		return
	}
	r, ok := view.Document.RollOutTo(s.Version)
	if !ok {
		return
	}
	old, _ := view.Version(r.Replaces)
	mean, _ := i.estimator.Estimate(old, s.Class)
	rated := messenger.RatedAnswer{
		Environment: s.Environment, Version: s.Version, Class: s.Class, DataCentre: i.settings.Instance.DataCentre, ExpectedBad: 1 - mean, Good: good,
	}
	i.evaluate(i.localDetector, rated)
	i.coordinator.ReportRatedAnswer(rated)
}

// recordFleetOutcome compares a version on roll-out with the one that it replaces on the outcomes of all instances.
func (i *Instance) recordFleetOutcome(rated messenger.RatedAnswer) {
	i.evaluate(i.fleetDetector, rated)
}

// evaluate adds an outcome to the detector and halts the roll-out if it returns a verdict against the version.
func (i *Instance) evaluate(d *watcher.Detector, rated messenger.RatedAnswer) {
	verdict, halt := d.Observe(rated.Version, rated.Class, rated.DataCentre, rated.ExpectedBad, rated.Good)
	if !halt {
		return
	}
	i.telemetry.Counter("roll-outs.halted").Inc(1)
	i.telemetry.Log.Error("roll-out halted", "version", verdict.Version, "part", verdict.Segment, "bad", verdict.Bad, "answers", verdict.Answers)
	i.coordinator.WithdrawVersion(rated.Environment, verdict)
}
