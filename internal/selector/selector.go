package selector

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/pinner"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Deps holds the dependencies of a Selector.
type Deps struct {
	Telemetry observer.Telemetry
	Pins      *pinner.Pinner
	// EstimateQuality estimates the share of good answers, from 0 to 1, that a version gives to a request.
	EstimateQuality func(parser.Version, *receiver.Request) Estimate
	// ShouldExplore reports whether a request should try a version with an estimate below the target.
	ShouldExplore func() bool
	// IsHalted reports whether the roll-out of a version was halted because its answers were bad.
	IsHalted func(version string) bool
}

// Estimate is the expected share of good answers, from 0 to 1, with its lower confidence bound.
type Estimate struct {
	Mean       float64
	LowerBound float64
}

// Selector chooses the version for each request.
type Selector struct {
	deps           Deps
	exposureCounts sync.Map
}

// NewSelector returns a selector.
func NewSelector(deps Deps) *Selector {
	return &Selector{deps: deps}
}

// PriorQuality returns the quality of a version that the document states, without any ratings.
func PriorQuality(v parser.Version, _ *receiver.Request) Estimate {
	return Estimate{Mean: float64(v.Quality), LowerBound: float64(v.Quality)}
}

// Select chooses the version for a request; the error is a *receiver.Refusal of a request that did not run, or a
// failure to sign the session token.
func (s *Selector) Select(view *indexer.View, req *receiver.Request) (Selection, error) {
	if !slices.Contains(req.Workspace.Models, req.Model) {
		return Selection{}, receiver.NewRefusal(http.StatusForbidden, "model-not-allowed",
			"the workspace may not use model "+strconv.Quote(req.Model))
	}
	pinned, ok := s.deps.Pins.Lookup(req.Workspace.Name, req.Session, req.Model, req.SessionToken)
	if ok {
		return s.selectPinned(view, req, pinned)
	}
	return s.selectNew(view, req)
}

// Escalate returns the next costlier permitted version after the selected one gave faulty answers.
// It returns false if the request belongs to a session, because a session keeps its version, or if no costlier version
// is left.
func (s *Selector) Escalate(view *indexer.View, req *receiver.Request, from Selection) (Selection, bool) {
	if req.Session != "" {
		return Selection{}, false
	}
	sel := Selection{Model: req.Model}
	candidates := s.permittedCandidates(view, req, &sel)
	index := slices.IndexFunc(candidates, func(c candidate) bool { return c.version.Name == from.Version.Name })
	if index < 0 || index+1 == len(candidates) {
		return Selection{}, false
	}
	next := candidates[index+1]
	sel.Version, sel.IsRollOut = next.version, next.isRollOut
	sel.Options = append(sel.Options, Option{from.Version.Name, from.Quality(), "its answers were faulty"})
	return sel, true
}

// CheckPermitted returns a refusal if the view no longer permits the selected version.
func (s *Selector) CheckPermitted(view *indexer.View, req *receiver.Request, sel Selection) error {
	ws, ok := view.Document.Workspace(req.Workspace.Name)
	if !ok {
		return receiver.NewRefusal(http.StatusForbidden, "workspace-removed", "the workspace was removed")
	}
	v, ok := view.Version(sel.Version.Name)
	if !ok || v.Withdrawn {
		return refuseWithdrawn(sel.Version.Name)
	}
	if isBarredByCutOff(view, v, s.deps.Telemetry.Clock.Now()) {
		return refuseCutOff(v.Name)
	}
	if !ws.MayUse(v) {
		return refuseNotAllowed(v.Name)
	}
	return nil
}

func refuseWithdrawn(version string) *receiver.Refusal {
	return receiver.NewRefusal(http.StatusConflict, "version-withdrawn", "version "+version+" is withdrawn")
}

func refuseCutOff(version string) *receiver.Refusal {
	return receiver.NewRefusal(http.StatusServiceUnavailable, "cut-off", "version "+version+" is not served while this data centre is cut off")
}

func refuseNotAllowed(version string) *receiver.Refusal {
	return receiver.NewRefusal(http.StatusForbidden, "version-not-allowed", "the workspace may not use version "+version)
}

func (s *Selector) selectPinned(view *indexer.View, req *receiver.Request, name string) (Selection, error) {
	v, ok := view.Version(name)
	if ok && !v.Withdrawn {
		if !req.Workspace.MayUse(v) {
			return Selection{}, refuseNotAllowed(name)
		}
		if isBarredByCutOff(view, v, s.deps.Telemetry.Clock.Now()) {
			return Selection{}, refuseCutOff(name)
		}
		sel := Selection{Model: req.Model, Version: v, Pinned: true}
		sel.Options = []Option{{Version: name, Quality: s.deps.EstimateQuality(v, req).Mean, Reason: "the session is pinned to it"}}
		return s.withToken(req, sel)
	}
	if !ok || v.WhenWithdrawn != "move" {
		return Selection{}, refuseWithdrawn(name)
	}
	sel, err := s.choose(view, req)
	if err != nil {
		return Selection{}, err
	}
	sel.MovedFrom = name
	s.deps.Pins.Replace(s.newPin(req, sel))
	return s.withToken(req, sel)
}

func (s *Selector) selectNew(view *indexer.View, req *receiver.Request) (Selection, error) {
	sel, err := s.choose(view, req)
	if err != nil || req.Session == "" {
		return sel, err
	}
	if pinned := s.deps.Pins.Pin(s.newPin(req, sel)); pinned != sel.Version.Name {
		return s.selectPinned(view, req, pinned)
	}
	return s.withToken(req, sel)
}

func (s *Selector) newPin(req *receiver.Request, sel Selection) pinner.Pin {
	return pinner.Pin{Workspace: req.Workspace.Name, Session: req.Session, Model: req.Model, Version: sel.Version.Name}
}

func (s *Selector) withToken(req *receiver.Request, sel Selection) (Selection, error) {
	token, err := s.deps.Pins.SignToken(s.newPin(req, sel))
	sel.SessionToken = token
	return sel, err
}

// candidate is a version of the cascade that may serve the request.
type candidate struct {
	version   parser.Version
	isRollOut bool
	estimate  Estimate
}

// choose returns the cheapest permitted version that meets the quality target, or the best one if none meets it.
// If the version exceeds the target, a share of the requests goes to the next cheaper version.
func (s *Selector) choose(view *indexer.View, req *receiver.Request) (Selection, error) {
	target := float64(view.Document.QualityTarget(req.Workspace))
	sel := Selection{Model: req.Model}
	candidates := s.permittedCandidates(view, req, &sel)
	if len(candidates) == 0 {
		return Selection{}, s.refuseNoVersion(sel, req)
	}
	chosen, reason := s.pickCandidate(candidates, target, req)
	for _, c := range candidates {
		sel.Options = append(sel.Options, Option{c.version.Name, c.estimate.Mean, "considered"})
	}
	sel.Options = append(sel.Options, Option{chosen.version.Name, chosen.estimate.Mean, reason})
	sel.Version, sel.IsRollOut = chosen.version, chosen.isRollOut
	if sel.IsRollOut {
		s.exposureCounter(view, sel.Version.Name).Add(1)
	}
	return sel, nil
}

// permittedCandidates returns the versions that may serve the request, cheapest first. It adds the other versions to
// sel.Options with the reason for their exclusion.
func (s *Selector) permittedCandidates(view *indexer.View, req *receiver.Request, sel *Selection) []candidate {
	model, _ := view.Document.Model(req.Model)
	candidates := make([]candidate, 0, len(model.Cascade))
	for _, name := range model.Cascade {
		v, isRollOut := s.applyRollOut(view, req, name)
		estimate := s.deps.EstimateQuality(v, req)
		if reason := s.exclusionReason(view, req, v); reason != "" {
			sel.Options = append(sel.Options, Option{v.Name, estimate.Mean, reason})
			continue
		}
		candidates = append(candidates, candidate{version: v, isRollOut: isRollOut, estimate: estimate})
	}
	return candidates
}

// pickCandidate returns one of the candidates and the reason for the choice.
func (s *Selector) pickCandidate(candidates []candidate, target float64, req *receiver.Request) (candidate, string) {
	adequate := slices.IndexFunc(candidates, func(c candidate) bool { return c.estimate.Mean >= target })
	switch {
	case adequate == 0:
		return candidates[0], "cheapest that meets the target"
	case req.Session == "" && s.deps.ShouldExplore():
		return candidates[0], "tried to learn more"
	case adequate < 0:
		best := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.estimate.Mean, b.estimate.Mean) })
		return best, "best of those below the target"
	}
	cheaper := candidates[adequate-1]
	if hashFraction(cheaper.version.Name, req) <
		cheaperShare(cheaper.estimate.LowerBound, candidates[adequate].estimate.LowerBound, target) {
		return cheaper, "mixed in: the target is met on the average"
	}
	return candidates[adequate], "cheapest that meets the target"
}

// cheaperShare returns the share of requests that the cheaper version may serve while both versions together still meet
// the target.
func cheaperShare(cheap, costly, target float64) float64 {
	if costly <= target || cheap >= costly {
		return 0
	}
	return (costly - target) / (costly - cheap)
}

// hashFraction hashes a request and a version to a number in [0, 1). All requests of one session get the same number.
func hashFraction(version string, req *receiver.Request) float64 {
	key := req.Session
	if key == "" {
		key = req.ID
	}
	return float64(xxhash.Sum64String(version+"\x00"+req.Workspace.Name+"\x00"+key)%shareResolution) / shareResolution
}

// isBarredByCutOff reports whether this data centre is cut off and must not serve the version, or no longer may because
// the version's time limit for cut-offs has passed.
func isBarredByCutOff(view *indexer.View, v parser.Version, now timer.Millis) bool {
	if view.Mode != indexer.ModeCutOff {
		return false
	}
	_, isRollOut := view.Document.RollOutTo(v.Name)
	return isRollOut || v.WhenCutOff == "refuse" || now-view.ModeSince > v.CutOffLimit
}

// exclusionReason returns the reason why a version cannot serve the request now, or an empty string if it can.
func (s *Selector) exclusionReason(view *indexer.View, req *receiver.Request, v parser.Version) string {
	switch {
	case v.Withdrawn:
		return "withdrawn"
	case !req.Workspace.MayUse(v):
		return "not allowed"
	case s.deps.IsHalted(v.Name):
		return "found bad and halted"
	case isBarredByCutOff(view, v, s.deps.Telemetry.Clock.Now()):
		return "not served while this data centre is cut off"
	case len(view.EngineServers(v)) == 0:
		return "no backend server has it loaded"
	}
	return ""
}

func (s *Selector) refuseNoVersion(sel Selection, req *receiver.Request) error {
	detail := ""
	for _, o := range sel.Options {
		detail += "; " + o.Version + ": " + o.Reason
	}
	r := receiver.NewRefusal(http.StatusServiceUnavailable, "no-version", "no version of model "+req.Model+" can serve this now"+detail)
	r.RetryAfterSeconds = 1
	return r
}

// shareResolution is the number of distinct values of hashFraction.
const shareResolution = 1_000_000

// applyRollOut returns the version that replaces the named one for this request, and whether a roll-out replaced it.
func (s *Selector) applyRollOut(view *indexer.View, req *receiver.Request, name string) (parser.Version, bool) {
	old, _ := view.Version(name)
	r, ok := view.Document.RollOutReplacing(name)
	if !ok {
		return old, false
	}
	next, ok := view.Version(r.Version)
	if !ok || s.exclusionReason(view, req, next) != "" {
		return old, false
	}
	if hashFraction(r.Version, req) >= float64(r.Share) {
		return old, false
	}
	if s.exposureCounter(view, r.Version).Load() >= int64(r.MaxExposed) {
		return old, false
	}
	return next, true
}

type exposureKey struct {
	version  string
	revision int64
}

// exposureCounter returns the counter of requests exposed to a roll-out version under the view's document revision.
// The count restarts with each revision, because a revision sets each step of a roll-out.
func (s *Selector) exposureCounter(view *indexer.View, version string) *atomic.Int64 {
	n, _ := s.exposureCounts.LoadOrStore(exposureKey{version, view.Revision}, new(atomic.Int64))
	return n.(*atomic.Int64)
}
