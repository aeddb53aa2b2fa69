package rater

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// priorRatings is the number of ratings that the quality stated in the document counts as.
	priorRatings = 50
	// boundWidth is the distance of the lower bound from the mean, in standard deviations.
	boundWidth = 1.0
	// ratingHalfLife is the age at which a rating has half its weight, so that the bound widens while no ratings arrive.
	ratingHalfLife = 2 * timer.Hour
	// maxUnrated is the maximum number of served requests kept while they wait for a rating.
	maxUnrated = 100_000
	// longPromptBytes is the length in bytes from which a prompt counts as long.
	longPromptBytes = 4000
)

// Class groups requests that share one quality estimate.
type Class struct {
	Workspace string
	Kind      receiver.Kind
	Long      bool
}

// ClassOf returns the class of a request.
func ClassOf(req *receiver.Request) Class {
	return Class{Workspace: req.Workspace.Name, Kind: req.Kind, Long: req.PromptBytes >= longPromptBytes}
}

// ServedRequest is an answered request that may still be rated.
type ServedRequest struct {
	Environment string
	Class       Class
	Version     string
}

type ratingKey struct {
	class   Class
	version string
}

// ratingCounts holds exponentially decayed counts of ratings.
type ratingCounts struct {
	good      float64
	bad       float64
	updatedAt timer.Millis
}

// Deps holds the dependencies and settings of an Estimator.
type Deps struct {
	// Now returns the current time in milliseconds.
	Now func() timer.Millis
	// ExploreShare is the share of requests, from 0 to 1, that try a cheaper version although its estimate is below the
	// target.
	ExploreShare float64
	Seed         uint64
}

// Estimator estimates the quality of versions from ratings.
type Estimator struct {
	deps         Deps
	mu           sync.Mutex
	ratings      map[ratingKey]*ratingCounts
	unrated      *lru.Cache[string, ServedRequest]
	rand         *rand.Rand
	lastRatingAt timer.Millis
}

// NewEstimator returns an estimator without ratings, which starts from the quality stated in the document.
func NewEstimator(deps Deps) (*Estimator, error) {
	unrated, err := lru.New[string, ServedRequest](maxUnrated)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Estimator{
		deps: deps, ratings: map[ratingKey]*ratingCounts{}, unrated: unrated,
		rand: rand.New(rand.NewPCG(deps.Seed, 29)), lastRatingAt: deps.Now(),
	}, nil
}

// Quality returns the expected share of good answers of a version for the class of a request, with its lower bound.
func (e *Estimator) Quality(v parser.Version, req *receiver.Request) selector.Estimate {
	mean, sd := e.Estimate(v, ClassOf(req))
	return selector.Estimate{Mean: mean, LowerBound: mean - boundWidth*sd}
}

// Estimate returns the mean and the standard deviation of the share of good answers, from 0 to 1.
func (e *Estimator) Estimate(v parser.Version, class Class) (mean, sd float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	good, bad := priorRatings*float64(v.Quality), priorRatings*(1-float64(v.Quality))
	if c := e.ratings[ratingKey{class, v.Name}]; c != nil {
		weight := decayFactor(e.deps.Now() - c.updatedAt)
		good += c.good * weight
		bad += c.bad * weight
	}
	n := good + bad
	mean = good / n
	return mean, math.Sqrt(mean * (1 - mean) / (n + 1))
}

func decayFactor(age timer.Millis) float64 {
	return math.Exp2(-float64(age) / float64(ratingHalfLife))
}

// ShouldExplore reports, at random, whether a request should try a cheaper version whose estimate is below the target.
func (e *Estimator) ShouldExplore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rand.Float64() < e.deps.ExploreShare
}

// AddServed stores a served request until it is rated; the oldest ones are dropped when there are too many.
func (e *Estimator) AddServed(requestID string, s ServedRequest) {
	e.unrated.Add(requestID, s)
}

// Rate adds a rating and returns the served request, or false if the request is unknown, dropped or already rated.
func (e *Estimator) Rate(requestID string, good bool) (ServedRequest, bool) {
	s, ok := e.unrated.Peek(requestID)
	if !ok || !e.unrated.Remove(requestID) {
		return ServedRequest{}, false
	}
	e.addRating(ratingKey{s.Class, s.Version}, good)
	return s, true
}

func (e *Estimator) addRating(k ratingKey, good bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Now()
	e.lastRatingAt = now
	c := e.ratings[k]
	if c == nil {
		c = &ratingCounts{updatedAt: now}
		e.ratings[k] = c
	}
	weight := decayFactor(now - c.updatedAt)
	c.good *= weight
	c.bad *= weight
	c.updatedAt = now
	if good {
		c.good++
	} else {
		c.bad++
	}
}

// SinceLastRating returns the time since the last rating, or since the start if there was none, in milliseconds.
func (e *Estimator) SinceLastRating() timer.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deps.Now() - e.lastRatingAt
}
