package replayer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/rater"
	"github.com/eelgrasshook/eelgrasshook/internal/watcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func addressOf(names []string, name string) string {
	return fmt.Sprintf("127.0.0.1:%d", 10_000+slices.Index(names, name))
}

func (r *Replay) handleArrival(spec *Request) {
	c := &call{spec: spec, site: r.sites[spec.DataCentre]}
	c.site.budget.RecordFirstAttempt()
	r.startAttempt(c)
}

// startAttempt selects a version and queues the call in its pool; it fails the call when no version can serve it.
func (r *Replay) startAttempt(c *call) {
	v, ok := r.policy.selectVersion(c.site, c)
	if !ok {
		r.finishCall(c, false)
		return
	}
	c.version = &v
	if r.policy.skipsQueue {
		r.dispatch(c)
		return
	}
	r.enqueue(c)
}

// enqueue puts the call into the pool's fair queue, as an instance does.
func (r *Replay) enqueue(c *call) {
	s := c.site
	w := workspaceOf(r.doc, c.spec.Workspace)
	q := s.pool(c.version.Name)
	s.updateLimit(c.version.Name)
	q.Push(w, admitter.NewEntry(w.Name, w.Priority, c.spec.At+maxQueueWait, func(verdict admitter.Verdict) {
		if verdict != admitter.VerdictAdmitted {
			r.finishCall(c, false)
			return
		}
		c.holdsPoolSlot = true
		r.dispatch(c)
	}), r.now)
}

// releasePoolSlot frees the call's slot in its pool for the next waiting call.
func (r *Replay) releasePoolSlot(c *call) {
	if !c.holdsPoolSlot {
		return
	}
	c.holdsPoolSlot = false
	c.site.pool(c.version.Name).Finish(c.spec.Workspace, r.now)
	c.site.updateLimit(c.version.Name)
}

func (s *site) pool(version string) *admitter.Queue {
	q := s.pools[version]
	if q == nil {
		q = admitter.NewQueue(0, 0)
		s.pools[version] = q
	}
	return q
}

// updateLimit sets the limit of a pool to the calls in flight and the free slots of its servers.
func (s *site) updateLimit(version string) {
	v, _ := s.view().Version(version)
	free, capacity := placer.FreeSlots(s.view().EngineServers(v), s.replay.now)
	q := s.pool(version)
	q.SetLimit(q.InFlight()+free, waitingPerSlot*max(capacity, 1), s.replay.now)
}

// refreshPools admits waiting calls to slots that other sites have freed, and drops calls that waited too long.
func (r *Replay) refreshPools() {
	for _, dc := range r.doc.DataCentres {
		s := r.sites[dc.Name]
		for _, version := range slices.Sorted(maps.Keys(s.pools)) {
			if s.pools[version].Waiting() > 0 {
				s.pools[version].Expire(r.now)
				s.updateLimit(version)
			}
		}
	}
	r.scheduleAfter(poolRefreshInterval, r.refreshPools)
}

// dispatch sends a call to one engine.
func (r *Replay) dispatch(c *call) {
	c.attempts++
	placement, ok := r.policy.place(c.site, c)
	if !ok {
		r.releasePoolSlot(c)
		r.finishCall(c, false)
		return
	}
	c.triedServers = append(c.triedServers, placement.Server.Name)
	e := r.engines[placement.Server.Name]
	a := &attempt{call: c, engine: e, version: c.version.Name, release: placement.Release, traffic: placement.Server.Traffic, sentAt: r.now}
	r.scheduleAfter(r.networkDelay(c.site.dataCentre, e.spec.DataCentre), func() { r.deliver(a) })
}

func (r *Replay) networkDelay(from, to string) timer.Millis {
	if from == to {
		return 1
	}
	return 1 + r.sites[from].view().Path(from, to).Delay
}

// deliver starts or queues the attempt at its engine; it fails the attempt when the engine is down.
func (r *Replay) deliver(a *attempt) {
	if a.engine.down {
		r.handleFailure(a)
		return
	}
	if a.engine.running >= a.engine.spec.Capacity {
		a.engine.waiting = append(a.engine.waiting, a)
		return
	}
	r.start(a)
}

func (r *Replay) start(a *attempt) {
	e := a.engine
	e.running++
	e.active = append(e.active, a)
	a.startedAt = r.now
	firstTokenDelay := e.prefill(a.call.spec, a.call.affinity())
	if a.call.attempts > 1 && a.call.firstTokenAt > 0 {
		firstTokenDelay = e.spec.FirstToken
	}
	r.scheduleAfter(firstTokenDelay, func() { r.handleFirstToken(a) })
	r.scheduleAfter(firstTokenDelay+e.generationTime(a.call.spec.Tokens), func() { r.handleCompletion(a) })
}

func (r *Replay) handleFirstToken(a *attempt) {
	if a.aborted {
		return
	}
	a.traffic.RecordFirstByte((r.now - a.sentAt).Duration(), r.now)
	if a.call.firstTokenAt == 0 {
		a.call.firstTokenAt = r.now + r.networkDelay(a.engine.spec.DataCentre, a.call.site.dataCentre)
		r.result.firstTokenTimes = append(r.result.firstTokenTimes, a.call.firstTokenAt-a.call.spec.At)
	}
}

func (r *Replay) handleCompletion(a *attempt) {
	if a.aborted {
		return
	}
	r.releaseEngineSlot(a)
	a.traffic.RecordSuccess()
	a.call.cost += priceOf(*a.call.version, a.call.spec)
	r.releasePoolSlot(a.call)
	r.finishCall(a.call, true)
}

func priceOf(v parser.Version, spec *Request) float64 {
	return (v.InputPrice*float64(spec.PromptTokens) + v.OutputPrice*float64(spec.Tokens)) / tokensPerPriceUnit
}

func (r *Replay) releaseEngineSlot(a *attempt) {
	a.release()
	a.engine.running--
	a.engine.removeActive(a)
	if len(a.engine.waiting) > 0 && !a.engine.down {
		next := a.engine.waiting[0]
		a.engine.waiting = a.engine.waiting[1:]
		r.start(next)
	}
}

// handleFailure ends one attempt and starts another one within the retry budget.
// An attempt that the engine has not started is repeated regardless of maxAttempts and the budget.
func (r *Replay) handleFailure(a *attempt) {
	a.release()
	a.traffic.RecordFailure(r.now)
	c := a.call
	r.releasePoolSlot(c)
	notStarted := a.startedAt == 0
	if c.attempts >= maxAttempts && !notStarted || !notStarted && !c.site.budget.TryRetry() {
		r.finishCall(c, false)
		return
	}
	r.result.Retries++
	r.startAttempt(c)
}

// finishCall records the outcome of a call; only a share of the answers (ratedShare) is rated, after ratingDelay.
func (r *Replay) finishCall(c *call, answered bool) {
	r.unfinished--
	r.result.Requests++
	r.result.Cost += c.cost
	r.result.countRequest(c)
	if !answered {
		r.result.Refused++
		return
	}
	good := r.isGood(c, c.version.Name)
	r.result.countAnswer(c, good, float64(r.doc.QualityTarget(workspaceOf(r.doc, c.spec.Workspace))))
	served := rater.ServedRequest{Class: rater.ClassOf(c.receiverRequest(c.site)), Version: c.version.Name}
	if _, ok := c.site.view().Document.RollOutTo(c.version.Name); ok {
		r.result.Exposed++
		if !good && r.badSince > 0 {
			r.result.BadExposed++
		}
	}
	if r.rand.Float64() >= ratedShare {
		return
	}
	c.site.estimator.AddServed(c.spec.ID, served)
	r.scheduleAfter(ratingDelay, func() { r.submitRating(c, served, good) })
}

func workspaceOf(doc *parser.Document, name string) parser.Workspace {
	w, _ := doc.Workspace(name)
	return w
}

func (r *Replay) submitRating(c *call, served rater.ServedRequest, good bool) {
	s := c.site
	s.estimator.Rate(c.spec.ID, good)
	rollOut, ok := s.view().Document.RollOutTo(served.Version)
	if !ok || r.policy.chooseVersion != nil {
		return
	}
	previous, _ := s.view().Version(rollOut.Replaces)
	mean, _ := s.estimator.Estimate(previous, served.Class)
	r.updateDetector(s.detector, s, served, 1-mean, good)
	r.scheduleAfter(r.networkDelay(s.dataCentre, r.doc.DataCentres[0].Name), func() { r.updateDetector(r.fleetDetector, s, served, 1-mean, good) })
}

// updateDetector adds an answer to a detector and withdraws the version when the detector halts it.
func (r *Replay) updateDetector(d *watcher.Detector, s *site, served rater.ServedRequest, expectedBad float64, good bool) {
	if _, halt := d.Observe(served.Version, served.Class, s.dataCentre, expectedBad, good); halt {
		r.result.Halted = append(r.result.Halted, fmt.Sprintf("%s at %s", served.Version, r.now))
		r.scheduleAfter(haltDelay, func() { r.withdraw(served.Version) })
	}
}

func (r *Replay) withdraw(version string) {
	v, ok := r.doc.Version(version)
	if ok && !v.Withdrawn {
		v.Withdrawn = true
		r.applyDocument(r.doc.WithVersion(v))
	}
}

func (r *Replay) applyDocument(doc *parser.Document) {
	r.doc = doc
	for _, s := range r.sites {
		s.currentView = indexer.NewView(s.currentView.Revision+1, doc, s.table.Rows(), r.now)
		s.currentView.Mode = indexer.ModeConnected
	}
}

// injectFault applies a fault of the trace.
func (r *Replay) injectFault(f *Fault) {
	e := r.engines[f.Server]
	switch f.Kind {
	case FaultCrash:
		r.crash(e)
	case FaultLeave:
		e.leaving = true
		r.announce(e)
	case FaultReturn:
		e.down, e.leaving, e.cachedPrefixes = false, false, nil
		e.incarnation++
		r.announce(e)
	case FaultQuality:
		r.badSince = r.now
		for k := range r.trueQuality {
			if k[0] == f.Version {
				r.trueQuality[k] = f.Quality
			}
		}
	case FaultDocument:
		doc, err := parser.Parse("trace", f.Document)
		if err != nil {
			panic("invalid document in the trace: " + err.Error())
		}
		r.applyDocument(doc)
	}
	for _, s := range r.sites {
		s.rebuildView()
	}
}

func (r *Replay) crash(e *engine) {
	e.down = true
	aborted := append(slices.Clone(e.active), e.waiting...)
	e.active, e.waiting, e.running = nil, nil, 0
	for _, a := range aborted {
		a.aborted = true
		a.call.cost += priceOf(*a.call.version, a.call.spec) / 2
		r.handleFailure(a)
	}
}
