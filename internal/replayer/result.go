package replayer

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Result holds the figures of one trace under one policy.
type Result struct {
	Trace    string `json:"trace"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	Retries  int    `json:"retries"`
	Exposed  int    `json:"exposed"`
	// BadExposed counts the bad answers of a version on roll-out after the trace lowers its quality.
	BadExposed int      `json:"bad-exposed"`
	Cost       float64  `json:"cost"`
	Halted     []string `json:"halted,omitempty"`

	good     int
	answered int
	// targetSum is the sum of the target shares over all answered requests.
	targetSum       float64
	firstTokenTimes []timer.Millis
	inTime          int
	workspaces      map[string]*workspaceCounts
}

// goodputDeadline is the longest time to the first token of an answer that counts as goodput.
const goodputDeadline = 10 * timer.Second

// workspaceCounts counts the requests and answers of one workspace.
type workspaceCounts struct {
	good     int
	answered int
	requests int
	inTime   int
	target   float64
}

// countsOf returns the counts of one workspace and adds them when missing.
func (r *Result) countsOf(name string) *workspaceCounts {
	w := r.workspaces[name]
	if w == nil {
		w = &workspaceCounts{}
		r.workspaces[name] = w
	}
	return w
}

// countRequest counts a request, answered or not.
func (r *Result) countRequest(c *call) {
	r.countsOf(c.spec.Workspace).requests++
}

// Goodput returns the answers within goodputDeadline per second of the trace.
func (r *Result) Goodput() float64 {
	return float64(r.inTime) / traceDuration.Duration().Seconds()
}

// InTimeShare returns the share of a workspace's requests that were answered within goodputDeadline.
func (r *Result) InTimeShare(workspace string) float64 {
	w := r.countsOf(workspace)
	return float64(w.inTime) / float64(max(w.requests, 1))
}

func newResult(trace, policy string) *Result {
	return &Result{Trace: trace, Policy: policy, workspaces: map[string]*workspaceCounts{}}
}

func (r *Result) countAnswer(c *call, good bool, target float64) {
	w := r.countsOf(c.spec.Workspace)
	w.target = target
	if c.firstTokenAt-c.spec.At <= goodputDeadline {
		r.inTime++
		w.inTime++
	}
	r.answered++
	w.answered++
	r.targetSum += target
	if good {
		r.good++
		w.good++
	}
}

// BelowTarget returns the workspaces with a share of good answers below their target.
func (r *Result) BelowTarget() []string {
	var names []string
	for name, w := range r.workspaces {
		if float64(w.good) < w.target*float64(w.answered) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Quality returns the share of good answers.
func (r *Result) Quality() float64 {
	return float64(r.good) / float64(max(r.answered, 1))
}

// Target returns the average target share of good answers over all answered requests.
func (r *Result) Target() float64 {
	return r.targetSum / float64(max(r.answered, 1))
}

// FirstTokenQuantile returns a quantile (0 to 1) of the time to the first token in milliseconds.
func (r *Result) FirstTokenQuantile(q float64) timer.Millis {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firstTokenTimes))
	return sorted[int(q*float64(len(sorted)-1))]
}
