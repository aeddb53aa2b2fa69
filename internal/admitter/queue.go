package admitter

import (
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Verdict is the decision about a queued request.
type Verdict int

// The possible verdicts.
const (
	VerdictAdmitted Verdict = iota + 1
	VerdictShed
	VerdictWorkspaceFull
	VerdictExpired
	VerdictWaitTooLong
)

const (
	// maxWaitShare is the share of a request's remaining time that its expected wait may take. A request with a longer
	// expected wait is refused at once.
	maxWaitShare = 0.5
	// gapWindow is the time over which starts are counted; a shorter window would follow the bursts of load reports.
	gapWindow = 2 * timer.Second
)

// Entry is a request in the queue.
type Entry struct {
	workspace string
	priority  int
	expires   timer.Millis
	onVerdict func(Verdict)
	waiting   bool
}

// workspaceQueue is the queue of one workspace. virtualFinish is the virtual finish time of its last started request,
// in requests divided by weight.
type workspaceQueue struct {
	name          string
	weight        float64
	maxInFlight   int
	maxWaiting    int
	inFlight      int
	virtualFinish float64
	waiting       []*Entry
}

// NewEntry returns an entry that expires at the given time. onVerdict is called once at most, within a call of Push,
// SetLimit, Release, Finish or Expire.
func NewEntry(workspace string, priority int, expires timer.Millis, onVerdict func(Verdict)) *Entry {
	return &Entry{workspace: workspace, priority: priority, expires: expires, onVerdict: onVerdict}
}

// Queue is a weighted fair queue with limits and load shedding. It has no lock and no clock: callers serialize the
// calls and pass the time.
type Queue struct {
	maxInFlight int
	maxWaiting  int
	inFlight    int
	waiting     int
	virtualTime float64
	byWorkspace map[string]*workspaceQueue
	// sortedByName holds the queues of byWorkspace sorted by name, so that ties are broken the same way in every run.
	sortedByName []*workspaceQueue
	now          timer.Millis
	// startsCounted is the number of waiting requests started since countedSince; meanGap is the average time between
	// such starts, in milliseconds, over the last window.
	countedSince  timer.Millis
	startsCounted int
	meanGap       float64
}

// NewQueue returns an empty queue with the maximum number of running and of waiting requests.
func NewQueue(maxInFlight, maxWaiting int) *Queue {
	return &Queue{maxInFlight: maxInFlight, maxWaiting: maxWaiting, byWorkspace: map[string]*workspaceQueue{}}
}

// workspaceQueue returns the workspace's queue, with its weight and limits updated from w.
func (q *Queue) workspaceQueue(w parser.Workspace) *workspaceQueue {
	wq, ok := q.byWorkspace[w.Name]
	if !ok {
		wq = &workspaceQueue{name: w.Name}
		q.byWorkspace[w.Name] = wq
		index, _ := slices.BinarySearchFunc(q.sortedByName, w.Name,
			func(x *workspaceQueue, name string) int { return strings.Compare(x.name, name) })
		q.sortedByName = slices.Insert(q.sortedByName, index, wq)
	}
	wq.weight = float64(max(w.Weight, 1))
	wq.maxInFlight = w.MaxInFlight
	wq.maxWaiting = w.MaxWaiting
	return wq
}

// SetLimit changes the maximum number of running and of waiting requests, and starts the requests that may run now.
func (q *Queue) SetLimit(maxInFlight, maxWaiting int, now timer.Millis) {
	q.now = max(q.now, now)
	q.maxInFlight = maxInFlight
	q.maxWaiting = maxWaiting
	for q.inFlight < q.maxInFlight && q.startNext() {
	}
}

// InFlight returns the number of running requests.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Push starts, refuses or queues a request.
func (q *Queue) Push(w parser.Workspace, e *Entry, now timer.Millis) {
	q.now = max(q.now, now)
	wq := q.workspaceQueue(w)
	if len(wq.waiting) == 0 && q.inFlight < q.maxInFlight && wq.inFlight < wq.maxInFlight {
		q.start(wq, e)
		return
	}
	if len(wq.waiting) >= wq.maxWaiting {
		e.onVerdict(VerdictWorkspaceFull)
		return
	}
	if q.expectedWait(wq) > maxWaitShare*float64(e.expires-q.now) {
		e.onVerdict(VerdictWaitTooLong)
		return
	}
	if q.waiting >= q.maxWaiting && !q.shedBelow(e.priority) {
		e.onVerdict(VerdictShed)
		return
	}
	e.waiting = true
	wq.waiting = append(wq.waiting, e)
	q.waiting++
}

// expectedWait estimates how long a new request of a workspace would wait, in milliseconds, from the mean time between
// starts and the workspace's share of them.
func (q *Queue) expectedWait(wq *workspaceQueue) float64 {
	weights := wq.weight
	for _, other := range q.sortedByName {
		if other != wq && len(other.waiting) > 0 {
			weights += other.weight
		}
	}
	return float64(len(wq.waiting)+1) * q.meanGap * weights / wq.weight
}

// updateMeanGap averages the time between starts of waiting requests; the count restarts when the queue becomes empty.
func (q *Queue) updateMeanGap() {
	if q.startsCounted == 0 {
		q.countedSince = q.now
	}
	q.startsCounted++
	if elapsed := q.now - q.countedSince; elapsed >= gapWindow {
		q.meanGap = float64(elapsed) / float64(q.startsCounted)
		q.startsCounted = 0
	}
	if q.waiting == 0 {
		q.startsCounted = 0
	}
}

// start runs a request and advances its workspace's virtual finish time by one request divided by the weight.
func (q *Queue) start(wq *workspaceQueue, e *Entry) {
	wq.virtualFinish = max(wq.virtualFinish, q.virtualTime) + 1/wq.weight
	wq.inFlight++
	q.inFlight++
	e.onVerdict(VerdictAdmitted)
}

// Release ends a running request and starts the requests that may run now.
func (q *Queue) Release(workspace string, now timer.Millis) {
	q.Finish(workspace, now)
	for q.inFlight < q.maxInFlight && q.startNext() {
	}
	q.removeIfIdle(workspace)
}

// Finish ends a running request without starting another. It is for a pool, where SetLimit updates the limit before the
// next start.
func (q *Queue) Finish(workspace string, now timer.Millis) {
	q.byWorkspace[workspace].inFlight--
	q.inFlight--
	q.Expire(now)
}

// removeIfIdle removes the queue of a workspace that has no requests and is not ahead in virtual time, so that the
// queues do not outnumber the active workspaces.
func (q *Queue) removeIfIdle(workspace string) {
	wq := q.byWorkspace[workspace]
	if wq == nil {
		return
	}
	if wq.inFlight == 0 && len(wq.waiting) == 0 && wq.virtualFinish <= q.virtualTime {
		delete(q.byWorkspace, workspace)
		q.sortedByName = slices.DeleteFunc(q.sortedByName, func(x *workspaceQueue) bool { return x == wq })
	}
}

// startNext starts the oldest request of the workspace with the lowest virtual finish time, and reports whether there
// was one.
func (q *Queue) startNext() bool {
	var best *workspaceQueue
	for _, wq := range q.sortedByName {
		if len(wq.waiting) == 0 || wq.inFlight >= wq.maxInFlight {
			continue
		}
		if best == nil || wq.virtualFinish < best.virtualFinish {
			best = wq
		}
	}
	if best == nil {
		return false
	}
	q.virtualTime = max(q.virtualTime, best.virtualFinish)
	e := best.waiting[0]
	q.removeAt(best, 0)
	q.updateMeanGap()
	q.start(best, e)
	return true
}

// shedBelow sheds the newest waiting request of the lowest priority below the given one, and reports whether there was
// one.
func (q *Queue) shedBelow(priority int) bool {
	var victim *workspaceQueue
	index := -1
	lowest := priority
	for _, wq := range q.sortedByName {
		for i := len(wq.waiting) - 1; i >= 0; i-- {
			if wq.waiting[i].priority < lowest {
				lowest = wq.waiting[i].priority
				victim, index = wq, i
			}
		}
	}
	if victim == nil {
		return false
	}
	e := victim.waiting[index]
	q.removeAt(victim, index)
	e.onVerdict(VerdictShed)
	return true
}

// Expire gives VerdictExpired to each waiting request that has reached its expiry time.
func (q *Queue) Expire(now timer.Millis) {
	q.now = max(q.now, now)
	for _, wq := range q.sortedByName {
		for i := len(wq.waiting) - 1; i >= 0; i-- {
			if e := wq.waiting[i]; e.expires <= now {
				q.removeAt(wq, i)
				e.onVerdict(VerdictExpired)
			}
		}
	}
}

// Remove removes a request that its caller abandoned, without a verdict; it reports whether the request was waiting.
func (q *Queue) Remove(e *Entry) bool {
	if !e.waiting {
		return false
	}
	wq := q.byWorkspace[e.workspace]
	for i, x := range wq.waiting {
		if x == e {
			q.removeAt(wq, i)
			return true
		}
	}
	return false
}

func (q *Queue) removeAt(wq *workspaceQueue, i int) {
	wq.waiting[i].waiting = false
	wq.waiting = append(wq.waiting[:i], wq.waiting[i+1:]...)
	q.waiting--
}
