package forwarder

import (
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// chooseModel returns the size that is asked first: the smallest, whose answer may turn out to be enough, where another
// one can be asked after it.
func (t *task) chooseModel() string {
	models := t.route.Models
	if len(models) == 0 {
		return ""
	}
	if !t.route.Repeatable() || t.route.MaxAttempts < 2 {
		return models[len(models)-1]
	}
	return models[0]
}

// escalate moves the request to a larger size where the model that answers doubts its answer; it reports whether the
// answer at hand is to be dropped. The longer the prompts wait already, the more doubt is accepted: an answer that comes
// too late is worth less than one that may be wrong, and each escalation makes others wait.
func (t *task) escalate(x *exchange) bool {
	models := t.route.Models
	if t.model == "" || t.writer.status != 0 || t.model == models[len(models)-1] {
		return false
	}
	rules := t.f.deps.Rules
	c := x.verdict.Confidence
	if c < 0 || c >= rules.Confidence {
		return false
	}
	if t.attempts >= t.route.MaxAttempts {
		t.keptDoubtful(x, "no attempt is left", ask{})
		return false
	}
	if !t.f.budget.left() {
		t.keptDoubtful(x, "the budget for repeats is spent", ask{})
		return false
	}
	small, tried := t.model, t.tried
	t.model = models[len(models)-1]
	if next := slices.Index(models, small) + 1; next < len(models)-1 && t.attempts+1 < t.route.MaxAttempts && c+rules.Lift >= rules.Confidence {
		t.model = models[next]
	}
	t.tried = map[string]bool{}
	now := t.f.deps.Common.Clock.Now()
	best := t.cheapest(t.candidates(now), now, false)
	var a ask
	if best != nil {
		a = ask{
			queue: best.work.before(t.urgency(best), now), reading: t.promptWork(best),
			load: float64(best.load(now)) / float64(max(1, best.Slots)),
		}
		if t.worthAsking(a, c, now) {
			return true
		}
	}
	t.model, t.tried = small, tried
	t.keptDoubtful(x, "the wait at the larger model outweighs the doubt", a)
	return false
}

// ask is what asking a larger model at a server means: the work that waits there and the reading of the prompt, in
// milliseconds, and the share of slots taken.
type ask struct {
	queue, reading, load float64
}

// keptDoubtful logs why an answer of little confidence is passed on.
func (t *task) keptDoubtful(x *exchange, reason string, a ask) {
	t.f.deps.Common.Counter("requests.doubtful-kept").Inc(1)
	t.f.deps.Common.Log.Info("doubtful answer kept", "request", t.ID, "server", x.server.Name, "model", t.model,
		"confidence", x.verdict.Confidence, "attempts", t.attempts, "reason", reason, "wait-ms", int64(a.queue), "reading-ms", int64(a.reading), "load-percent", int(a.load*100))
}

// busyWeight is how many points less confidence is asked for at a server whose slots are all taken, against one with
// easyLoad of them taken: each further stream slows all others.
const (
	busyWeight = 140.0
	easyLoad   = 0.35
)

const (
	// pressureWeight is how many points less confidence is asked for when a larger model would take the whole time target.
	pressureWeight = 50.0
	// maxReadingPressure bounds that for the reading of the prompt: a late answer that is right is still worth more than one
	// that is most likely wrong.
	maxReadingPressure = 20.0
)

// worthAsking reports whether the larger model's answer is worth its wait.
func (t *task) worthAsking(a ask, confidence int, now timer.Millis) bool {
	if now+timer.Millis(a.queue+a.reading) >= t.deadline {
		return false
	}
	target := float64(max(1, t.route.Target))
	asked := float64(t.f.deps.Rules.Confidence) - busyWeight*max(0, a.load-easyLoad)
	asked -= pressureWeight*a.queue/target + min(maxReadingPressure, pressureWeight*a.reading/target)
	return float64(confidence) < asked
}
