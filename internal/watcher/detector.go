package watcher

import (
	"math"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/rater"
)

const (
	// minAddedBadShare is the smallest increase in the share of bad answers that the test is designed to detect.
	minAddedBadShare = 0.15
	// maxFalseHaltShare is the largest share of healthy roll-outs that may be halted within falseHaltAnswers answers.
	maxFalseHaltShare = 0.01
	falseHaltAnswers  = 10_000
	// cusumsPerAnswer is the number of sums that each answer updates: all requests, its workspace, its prompt length,
	// its data centre.
	cusumsPerAnswer = 4
	// minBadShare is the least expected share of bad answers, and 1-minBadShare is the largest share of a harmful version;
	// beyond these bounds, the log-likelihood ratio can become infinite.
	minBadShare = 0.02
)

// cusumKey identifies one version and one segment of the traffic, such as a workspace or a data centre.
type cusumKey struct {
	version string
	segment string
}

// Verdict reports a bad version and the segment of the traffic in which it is bad.
type Verdict struct {
	Version string
	Segment string
	Answers int
	Bad     int
}

// cusum is the cumulative log-likelihood ratio (CUSUM) of one version in one segment. It never falls below 0, so the
// test also detects a version that becomes bad late.
type cusum struct {
	value   float64
	answers int
	bad     int
}

// Detector tests the versions that are being rolled out; it is safe for concurrent use.
type Detector struct {
	mu     sync.Mutex
	cusums map[cusumKey]*cusum
	halted map[string]bool
}

// NewDetector returns a detector without any answers.
func NewDetector() *Detector {
	return &Detector{cusums: map[cusumKey]*cusum{}, halted: map[string]bool{}}
}

// Observe adds one answer of a version that is being rolled out; expectedBad is the share of bad answers (0 to 1) of
// the version that it replaces. It returns a verdict and true only when the test first finds the version bad.
func (d *Detector) Observe(version string, class rater.Class, dataCentre string, expectedBad float64, good bool) (Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.halted[version] {
		return Verdict{}, false
	}
	promptLength := "short prompts"
	if class.Long {
		promptLength = "long prompts"
	}
	logRatio := logLikelihoodRatio(max(expectedBad, minBadShare), good)
	for _, segment := range []string{"all requests", "workspace " + class.Workspace, promptLength, "data centre " + dataCentre} {
		s := d.cusum(cusumKey{version, segment})
		s.add(logRatio, good)
		if s.value >= threshold() {
			d.halted[version] = true
			return Verdict{Version: version, Segment: segment, Answers: s.answers, Bad: s.bad}, true
		}
	}
	return Verdict{}, false
}

func (d *Detector) cusum(key cusumKey) *cusum {
	s := d.cusums[key]
	if s == nil {
		s = &cusum{}
		d.cusums[key] = s
	}
	return s
}

func (s *cusum) add(logRatio float64, good bool) {
	s.answers++
	if !good {
		s.bad++
	}
	s.value = max(0, s.value+logRatio)
}

// logLikelihoodRatio returns the logarithm of how much likelier one answer is from a harmful version than from a
// version that is as good as the replaced one.
func logLikelihoodRatio(expectedBad float64, good bool) float64 {
	harmfulBadShare := min(expectedBad+minAddedBadShare, 1-minBadShare)
	if good {
		return math.Log((1 - harmfulBadShare) / (1 - expectedBad))
	}
	return math.Log(harmfulBadShare / expectedBad)
}

// threshold returns the sum at which a version is halted. After each answer, the sum of a healthy version is above h
// with a probability of at most exp(-h), which limits the false halts.
func threshold() float64 {
	return math.Log(falseHaltAnswers * cusumsPerAnswer / maxFalseHaltShare)
}

// IsHalted reports whether this detector has found the version bad.
func (d *Detector) IsHalted(version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.halted[version]
}

// Reset resets the test of a version, for a roll-out that operators restart.
func (d *Detector) Reset(version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.halted, version)
	for key := range d.cusums {
		if key.version == version {
			delete(d.cusums, key)
		}
	}
}
