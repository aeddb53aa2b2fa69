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
	i.localWatch = watcher.NewDetector()
	i.fleetWatch = watcher.NewDetector()
	deps := rater.Deps{Now: i.common.Clock.Now, ExploreShare: exploreShare, Seed: uint64(i.incarnation)}
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
	j := messenger.RatedAnswer{
		Environment: s.Environment, Version: s.Version, Class: s.Class, DataCentre: i.settings.Instance.DataCentre, ExpectedBad: 1 - mean, Good: good,
	}
	i.evaluate(i.localWatch, j)
	i.coordinator.ReportRatedAnswer(j)
}

// recordFleetOutcome compares a version on roll-out with the one that it replaces on the outcomes of all instances.
func (i *Instance) recordFleetOutcome(j messenger.RatedAnswer) {
	i.evaluate(i.fleetWatch, j)
}

// evaluate adds an outcome to the watch and halts the roll-out if the watch returns a verdict against the version.
func (i *Instance) evaluate(w *watcher.Detector, j messenger.RatedAnswer) {
	verdict, halt := w.Observe(j.Version, j.Class, j.DataCentre, j.ExpectedBad, j.Good)
	if !halt {
		return
	}
	i.common.Counter("roll-outs.halted").Inc(1)
	i.common.Log.Error("roll-out halted", "version", verdict.Version, "part", verdict.Segment, "bad", verdict.Bad, "answers", verdict.Answers)
	i.coordinator.WithdrawVersion(j.Environment, verdict)
}
