package forwarder

import (
	"context"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// chooseFirstModel returns the model for the first attempt: the smallest one if the route allows a second attempt at a
// larger one, otherwise the largest.
func (t *task) chooseFirstModel() string {
	models := t.route.Models
	if len(models) == 0 {
		return ""
	}
	if !t.route.IsRetryable() || t.route.MaxAttempts < 2 {
		return models[len(models)-1]
	}
	return models[0]
}

// escalate asks a larger model if the model that responded reports low confidence; it returns true once a server has taken that
// request, and the current response is to be dropped. The longer the prefill queue, the lower the required confidence: a late response is worth
// less than a possibly wrong one, and each escalation delays other requests.
func (t *task) escalate(ctx context.Context, x *exchange) bool {
	models := t.route.Models
	if t.model == "" || t.writer.status != 0 || t.model == models[len(models)-1] {
		return false
	}
	cfg := t.f.deps.Config
	confidence := x.res.Info.Confidence
	if confidence < 0 || confidence >= cfg.MinConfidence {
		return false
	}
	if t.attempts >= t.route.MaxAttempts {
		t.logSkippedEscalation(x, "the attempt limit is reached", escalationEstimate{})
		return false
	}
	if !t.takeRetry(escalationSpare) {
		t.logSkippedEscalation(x, "the retry budget is exhausted", escalationEstimate{})
		return false
	}
	current, tried := t.model, t.tried
	t.model = models[len(models)-1]
	if next := slices.Index(models, current) + 1; next < len(models)-1 && t.attempts+1 < t.route.MaxAttempts &&
		confidence+cfg.ConfidenceGain >= cfg.MinConfidence {
		t.model = models[next]
	}
	t.tried = map[string]bool{}
	now := t.f.deps.Telemetry.Clock.Now()
	best := t.admittedServer(t.candidates(now), now, false)
	var estimate escalationEstimate
	reason := "no server of the larger model has room"
	if best != nil {
		reason = "the delay at the larger model outweighs the low confidence"
		estimate = escalationEstimate{
			queueWait: best.prefillQueue.waitFor(t.urgency(best), now), prefill: t.prefillTime(best),
			// The load includes this request, which has its place there already.
			slotShare: float64(best.load(now)-1) / float64(max(1, best.Slots)),
		}
		if t.isWorthEscalating(estimate, confidence, now) {
			if t.sendEscalation(ctx, best) {
				return true
			}
			reason = "the server of the larger model refused"
		} else {
			best.ration.Refund()
			t.returnPlace(best)
		}
	}
	t.giveBackRetry()
	t.model, t.tried = current, tried
	t.logSkippedEscalation(x, reason, estimate)
	return false
}

// escalationTakeoverTime is how long the response of a smaller model is kept while a larger one may refuse the request.
const escalationTakeoverTime = 50 * timer.Millisecond

// sendEscalation sends the request to a server of a larger model, and reports whether it was not refused: the response of the
// smaller model is better than none.
func (t *task) sendEscalation(ctx context.Context, s *server) bool {
	t.tried[s.Name] = true
	n, outcome := t.transmit(ctx, s)
	if outcome != attemptPending {
		t.recordRefusedTakeover(ctx, n, outcome, t.f.deps.Telemetry.Clock.Now())
		return false
	}
	if t.awaitTakeover(ctx, n, n.sentAt+escalationTakeoverTime) == takeoverRefused {
		return false
	}
	t.next = n
	return true
}

// escalationEstimate is the expected delay of a larger model's response at one server: queue wait and prefill time in
// milliseconds, and the share of slots in use.
type escalationEstimate struct {
	queueWait, prefill, slotShare float64
}

// logSkippedEscalation logs why a response with low confidence is passed on to the caller.
func (t *task) logSkippedEscalation(x *exchange, reason string, estimate escalationEstimate) {
	t.f.deps.Telemetry.Counter("requests.doubtful-kept").Inc(1)
	t.f.deps.Telemetry.Log.Info("doubtful answer kept", "request", t.ID, "server", x.server.Name, "model", t.model,
		"confidence", x.res.Info.Confidence, "attempts", t.attempts, "reason", reason,
		"wait-ms", int64(estimate.queueWait), "reading-ms", int64(estimate.prefill),
		"load-percent", int(estimate.slotShare*100))
}

const (
	// loadPenalty is by how many points the required confidence falls between a server with a share of lowLoad of its
	// slots in use and a full one: each additional stream slows all others.
	loadPenalty = 140.0
	lowLoad     = 0.35
)

const (
	// delayPenalty is by how many points the required confidence falls if a larger model would use up the whole time
	// target.
	delayPenalty = 50.0
	// maxPrefillPenalty caps the part of delayPenalty that is due to prefill: a late correct response is still worth
	// more than one that is probably wrong.
	maxPrefillPenalty = 20.0
)

// isWorthEscalating reports whether the larger model's response justifies its delay.
func (t *task) isWorthEscalating(estimate escalationEstimate, confidence int, now timer.Millis) bool {
	if now+timer.Millis(estimate.queueWait+estimate.prefill) >= t.deadline {
		return false
	}
	target := float64(max(1, t.route.TargetLatency))
	required := float64(t.f.deps.Config.MinConfidence) - loadPenalty*max(0, estimate.slotShare-lowLoad)
	required -= delayPenalty*estimate.queueWait/target + min(maxPrefillPenalty, delayPenalty*estimate.prefill/target)
	return float64(confidence) < required
}
