package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/sjson"

	"github.com/eelgrasshook/eelgrasshook/internal/admitter"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/internal/verifier"
)

// prefixBytes is the length of the start of a body that stands for the prompt prefix in an engine's cache.
const prefixBytes = 512

// bytesPerToken estimates the prompt tokens of an attempt that reported no usage.
const bytesPerToken = 4

// modelTask serves one request to a model.
type modelTask struct {
	*task
	sel                selector.Selection
	progress           *verifier.Progress
	requestBody        []byte
	answerBody         []byte
	failedAttemptsCost float64
	// faultyAnswers counts the faulty answers of the selected version to this request.
	faultyAnswers int
	lastChunkAt   time.Time
}

func (m *modelTask) run(ctx context.Context) error {
	if err := m.checkKey(); err != nil {
		return err
	}
	if err := m.checkQuarantine(); err != nil {
		return err
	}
	if err := m.selectVersion(); err != nil {
		return err
	}
	m.deps.RetryBudget.RecordFirstAttempt()
	defer m.releaseReserved()
	for {
		err := m.attempt(ctx)
		if err == nil {
			return m.finish()
		}
		if !m.canRetry(ctx, err) || !m.canResume() {
			return m.toRefusal(ctx, err)
		}
		m.escalate(err)
		if err := m.checkQuarantine(); err != nil {
			return err
		}
	}
}

// checkKey refuses an idempotency key that was billed for another request.
func (m *modelTask) checkKey() error {
	if m.req.IdempotencyKey == "" {
		return nil
	}
	digest, ok := m.deps.Biller.Digest(m.req.Workspace.Name, m.req.IdempotencyKey)
	if ok && digest != m.req.Fingerprint() {
		return receiver.NewRefusal(http.StatusUnprocessableEntity, "key-reused", "the idempotency key came before with another request")
	}
	return nil
}

func (m *modelTask) selectVersion() error {
	sel, err := m.deps.Selector.Select(m.view(), m.req)
	if err != nil {
		m.decisions.Record("selector", "refused: %v", err)
		return err
	}
	m.decisions.RecordWithOptions("selector", describeOptions(sel), "version %s, pinned %t, roll-out %t", sel.Version.Name, sel.Pinned, sel.IsRollOut)
	return m.startVersion(sel)
}

// startVersion selects a version and resets the progress and the fault count.
func (m *modelTask) startVersion(sel selector.Selection) error {
	m.sel = sel
	m.faultyAnswers = 0
	m.progress = verifier.NewProgress(m.req.MaxTokens)
	var err error
	m.requestBody, err = m.rewriteBody()
	return err
}

func describeOptions(sel selector.Selection) []string {
	lines := make([]string, len(sel.Options))
	for i, o := range sel.Options {
		lines[i] = fmt.Sprintf("%s: quality %.3f: %s", o.Version, o.Quality, o.Reason)
	}
	return lines
}

// rewriteBody replaces the model in the body by the engine's name for the version, and asks for usage in a stream.
func (m *modelTask) rewriteBody() ([]byte, error) {
	body, err := sjson.SetBytes(m.req.Body, "model", m.sel.Version.EngineName)
	if err != nil || !m.req.Stream {
		return body, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// reselect checks that the version is still allowed. If it is not, reselect selects another one, or returns a refusal
// if the reply has started.
func (m *modelTask) reselect() error {
	err := m.deps.Selector.CheckPermitted(m.view(), m.req, m.sel)
	if err == nil {
		return nil
	}
	if m.reply.Started() {
		return receiver.AsRefusal(err).WithRan(receiver.RanYes)
	}
	return m.selectVersion()
}

// faultsUntilEscalation is how many faulty answers of one version cause escalation to the next costlier one.
const faultsUntilEscalation = 2

// escalate selects the next costlier version after faultsUntilEscalation faulty answers, unless the reply has started.
func (m *modelTask) escalate(err error) {
	var f *verifier.Fault
	if !errors.As(err, &f) || f.Kind == verifier.FaultTruncated || m.reply.Started() {
		return
	}
	m.faultyAnswers++
	if m.faultyAnswers < faultsUntilEscalation || m.reserved != nil {
		return
	}
	sel, ok := m.deps.Selector.Escalate(m.view(), m.req, m.sel)
	if !ok {
		return
	}
	m.decisions.RecordWithOptions("selector", describeOptions(sel), "escalated from %s to %s", m.sel.Version.Name, sel.Version.Name)
	if err := m.startVersion(sel); err != nil {
		m.decisions.Record("selector", "the body cannot be rewritten: %v", err)
	}
}

// canResume reports whether another attempt can continue the answer after the last chunk that was relayed.
func (m *modelTask) canResume() bool {
	if !m.reply.Started() || m.progress.HasChunkIDs {
		return true
	}
	m.decisions.Record("verifier", "the engine does not number its pieces, so the answer cannot be resumed")
	return false
}

func (m *modelTask) attempt(ctx context.Context) error {
	p, release, err := m.takePlace(ctx)
	if err != nil {
		return err
	}
	defer release()
	if err := m.exchange(ctx, p); err != nil {
		m.recordFailure(ctx, p, err)
		m.reportFault(err)
		m.failedAttemptsCost += m.attemptCost()
		return err
	}
	p.Server.Traffic.RecordSuccess()
	return nil
}

// takePlace takes the reserved place if its version is still permitted, or waits until the selected version's servers have room.
// The caller must call release once the attempt has ended.
func (m *modelTask) takePlace(ctx context.Context) (p placer.Placement, release func(), err error) {
	if m.reserved != nil && m.deps.Selector.CheckPermitted(m.view(), m.req, m.sel) != nil {
		m.releaseReserved()
	}
	if p, ok := m.takeReserved(); ok {
		return p, p.Release, nil
	}
	ticket, view, err := m.admitPermitted(ctx)
	if err != nil {
		return p, nil, err
	}
	if p, err = m.place(view, view.EngineServers(m.sel.Version), m.affinityKey()); err != nil {
		ticket.Release()
		return p, nil, err
	}
	return p, func() { p.Release(); ticket.Release() }, nil
}

// mayLeave reports whether a stalled answer of the version may be left: another server has room, and can continue the answer.
func (m *modelTask) mayLeave() bool {
	view := m.view()
	if m.deps.Selector.CheckPermitted(view, m.req, m.sel) != nil || m.reply.Started() && !m.progress.HasChunkIDs {
		return false
	}
	return m.reserve(view, view.EngineServers(m.sel.Version), m.affinityKey())
}

// admitPermitted waits until the selected version's servers have room. A version that was withdrawn meanwhile is replaced
// by another one; the returned view permits the version.
func (m *modelTask) admitPermitted(ctx context.Context) (*admitter.Ticket, *indexer.View, error) {
	for {
		if err := m.reselect(); err != nil {
			return nil, nil, receiver.AsRefusal(err).WithRan(m.ranSoFar())
		}
		version := m.sel.Version
		ticket, err := m.admitToPool(ctx, m.req.Environment+"/"+version.Name, func() []registrar.BackendServer { return m.view().EngineServers(version) })
		if err != nil {
			return nil, nil, err
		}
		view := m.view()
		if m.deps.Selector.CheckPermitted(view, m.req, m.sel) == nil {
			return ticket, view, nil
		}
		ticket.Release()
	}
}

// reportFault reports a faulty answer of the version; an answer that was cut off is not the version's fault.
func (m *modelTask) reportFault(err error) {
	var f *verifier.Fault
	if errors.As(err, &f) && f.Kind != verifier.FaultTruncated {
		m.deps.OnFault(m.req, m.sel)
	}
}

// affinityKey returns the key by which requests that can share an engine's cache are placed together: the session, or
// the start of the prompt, within the workspace.
func (m *modelTask) affinityKey() string {
	if m.req.Session != "" {
		return m.req.Workspace.Name + "/" + m.req.Session
	}
	return m.req.Workspace.Name + "\x00" + string(m.req.Body[:min(len(m.req.Body), prefixBytes)])
}

func (m *modelTask) exchange(ctx context.Context, p placer.Placement) error {
	sentAt := time.Now()
	res, err := m.deps.Send(ctx, m.newCall(p))
	if err != nil {
		return err
	}
	p.Server.Traffic.RecordFirstByte(time.Since(sentAt), m.deps.Telemetry.Clock.Now())
	defer func() { _ = res.Body.Close() }()
	if err := m.checkStatus(res); err != nil {
		return err
	}
	if m.req.Stream {
		return m.relayStream(res)
	}
	return m.readAnswer(res)
}

func (m *modelTask) newCall(p placer.Placement) dispatcher.Call {
	lastEventID := int64(0)
	if m.reply.Started() {
		lastEventID = m.progress.LastChunk
		m.metrics.attemptsResumed.Inc(1)
	}
	return dispatcher.Call{
		Address: p.Server.Address, RequestID: m.req.ID, Attempt: m.attempts, Method: http.MethodPost, Path: m.req.Path,
		Header: m.req.Header, Body: m.requestBody, LastEventID: lastEventID, Priority: m.req.Priority(),
		MayLeave: m.mayLeave,
	}
}

// checkStatus returns a refusal for a caller's mistake, which no other engine would accept either, and a fault for an
// engine's failure.
func (m *modelTask) checkStatus(res *dispatcher.Response) error {
	if res.Status == http.StatusOK {
		return nil
	}
	body, err := m.readAll(res)
	if err != nil {
		return err
	}
	if res.Status == http.StatusBadRequest || res.Status == http.StatusUnprocessableEntity {
		return receiver.NewRefusal(res.Status, "engine-refused", fmt.Sprintf("%.500s", body)).WithRan(m.ranSoFar())
	}
	return &verifier.Fault{Kind: verifier.FaultEngineError, Detail: fmt.Sprintf("status %d: %.200s", res.Status, body)}
}

// relayStream verifies each chunk of a streamed answer and relays it to the caller.
func (m *modelTask) relayStream(res *dispatcher.Response) error {
	droppedBefore := m.progress.DroppedChunks
	defer func() { m.metrics.chunksDropped.Inc(m.progress.DroppedChunks - droppedBefore) }()
	relay := func(c verifier.Chunk) error {
		if res.RecordProgress != nil {
			res.RecordProgress()
		}
		return m.relayChunk(c)
	}
	return m.progress.ReadStream(flushingReader{reply: m.reply, body: res.Body}, m.deps.Limits.MaxEventBytes, relay)
}

// flushingReader flushes the reply before each read. Thus no verified chunk waits for the next one, and chunks that
// arrive together are sent together.
type flushingReader struct {
	reply *receiver.Reply
	body  io.Reader
}

// Read flushes the reply, if it has started, and then reads from the body.
func (f flushingReader) Read(p []byte) (int, error) {
	if f.reply.Started() {
		if err := f.reply.Flush(); err != nil {
			return 0, errCallerLeft.WithRan(receiver.RanYes)
		}
	}
	return f.body.Read(p)
}

// relayChunk writes one verified chunk to the reply, after the headers if it is the first.
func (m *modelTask) relayChunk(c verifier.Chunk) error {
	m.recordLatency()
	if !m.reply.Started() {
		m.setHeaders()
		m.reply.StartStream()
	}
	if err := m.reply.WriteEvent(c.Number, "", c.Data); err != nil {
		return errCallerLeft.WithRan(receiver.RanYes)
	}
	return nil
}

// recordLatency records the time to the first chunk, or the time since the last one.
func (m *modelTask) recordLatency() {
	now := time.Now()
	m.metrics.chunksRelayed.Inc(1)
	if m.lastChunkAt.IsZero() {
		m.metrics.firstTokenMillis.Update(int64(m.deps.Telemetry.Clock.Now() - m.req.ReceivedAt))
	} else {
		m.metrics.betweenTokensMicros.Update(now.Sub(m.lastChunkAt).Microseconds())
	}
	m.lastChunkAt = now
}

// readAnswer reads and verifies an answer that is not streamed.
func (m *modelTask) readAnswer(res *dispatcher.Response) error {
	body, err := m.readAll(res)
	if err != nil {
		return err
	}
	m.progress, err = verifier.CheckResponse(body, m.req.MaxTokens)
	if err != nil {
		m.progress = verifier.NewProgress(m.req.MaxTokens)
		return err
	}
	m.recordLatency()
	m.answerBody = body
	return nil
}

// finish bills the answer and then sends the end of the stream, or the whole answer if it is not streamed.
func (m *modelTask) finish() error {
	if err := m.bill(); err != nil {
		return err
	}
	m.deps.OnAnswer(m.req, m.sel)
	m.reply.Header().Set(receiver.HeaderBilled, "yes")
	if m.req.Stream {
		return m.asCallerLeft(m.reply.WriteEvent(0, "", "[DONE]"))
	}
	m.setHeaders()
	m.reply.Header().Set("Content-Type", "application/json")
	return m.asCallerLeft(m.reply.WriteAll(http.StatusOK, m.answerBody))
}

// asCallerLeft turns an error of a write to the caller into errCallerLeft.
func (m *modelTask) asCallerLeft(err error) error {
	if err == nil {
		return nil
	}
	return errCallerLeft.WithRan(receiver.RanYes)
}

func (m *modelTask) setHeaders() {
	h := m.reply.Header()
	h.Set(receiver.HeaderModel, m.sel.Model)
	h.Set(receiver.HeaderVersion, m.sel.Version.Name)
	if m.sel.SessionToken != "" {
		h.Set(receiver.HeaderSessionToken, m.sel.SessionToken)
	}
	if m.sel.MovedFrom != "" {
		h.Set(receiver.HeaderSessionMoved, m.sel.MovedFrom)
	}
}
