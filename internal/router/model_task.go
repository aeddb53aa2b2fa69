package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/sjson"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/dispatcher"
	"github.com/eelgrasshook/eelgrasshook/internal/placer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/selector"
	"github.com/eelgrasshook/eelgrasshook/internal/verifier"
)

// prefixChars is how much of a body counts as the prompt prefix that engines cache.
const prefixChars = 512

// charsPerToken estimates the prompt of an attempt that reported no usage.
const charsPerToken = 4

// modelTask serves one request to a model.
type modelTask struct {
	*task
	sel      selector.Selection
	progress *verifier.Progress
	body     []byte
	whole    []byte
	cost     float64
	// faulty counts the faulty answers of the selected version.
	faulty int
	lastAt time.Time
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
	m.deps.Budget.First()
	for {
		err := m.attempt(ctx)
		if err == nil {
			return m.finish()
		}
		if !m.mayRetry(ctx, err) || !m.mayResume() {
			return m.refusal(ctx, err)
		}
		m.escalate(err)
		if err := m.checkQuarantine(); err != nil {
			return err
		}
		if err := m.reselect(); err != nil {
			return m.refusal(ctx, err)
		}
	}
}

// checkKey refuses a key that was billed for another request.
func (m *modelTask) checkKey() error {
	if m.req.IdempotencyKey == "" {
		return nil
	}
	digest, ok := m.deps.Biller.Digest(m.req.Workspace.Name, m.req.IdempotencyKey)
	if ok && digest != m.req.Digest() {
		return receiver.Refuse(http.StatusUnprocessableEntity, "key-reused", "the idempotency key came before with another request")
	}
	return nil
}

func (m *modelTask) selectVersion() error {
	sel, err := m.deps.Selector.Select(m.view(), m.req)
	if err != nil {
		m.story.Note("selector", "refused: %v", err)
		return err
	}
	m.story.NoteOptions("selector", options(sel), "version %s, pinned %t, roll-out %t", sel.Version.Name, sel.Pinned, sel.RollOut)
	return m.take(sel)
}

// take begins anew on a version.
func (m *modelTask) take(sel selector.Selection) error {
	m.sel = sel
	m.faulty = 0
	m.progress = verifier.NewProgress(m.req.MaxTokens)
	var err error
	m.body, err = m.rewrite()
	return err
}

func options(sel selector.Selection) []string {
	lines := make([]string, len(sel.Options))
	for i, o := range sel.Options {
		lines[i] = fmt.Sprintf("%s: quality %.3f: %s", o.Version, o.Quality, o.Reason)
	}
	return lines
}

// rewrite puts the engine's name for the version into the body.
func (m *modelTask) rewrite() ([]byte, error) {
	body, err := sjson.SetBytes(m.req.Body, "model", m.sel.Version.EngineName)
	if err != nil || !m.req.Stream {
		return body, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// reselect checks that the version may still get work, and chooses again while nothing was passed on.
func (m *modelTask) reselect() error {
	err := m.deps.Selector.Recheck(m.view(), m.req, m.sel)
	if err == nil {
		return nil
	}
	if m.reply.Started() {
		return receiver.AsRefusal(err).WithRan(receiver.RanYes)
	}
	return m.selectVersion()
}

// faultsUntilEscalation is how many faulty answers of one version lead to the next costlier one.
const faultsUntilEscalation = 2

// escalate goes on to the next costlier version once this one's answers were faulty too often, before anything went out.
func (m *modelTask) escalate(err error) {
	var f *verifier.Fault
	if !errors.As(err, &f) || f.Kind == verifier.FaultCut || m.reply.Started() {
		return
	}
	m.faulty++
	if m.faulty < faultsUntilEscalation {
		return
	}
	sel, ok := m.deps.Selector.Escalate(m.view(), m.req, m.sel)
	if !ok {
		return
	}
	m.story.NoteOptions("selector", options(sel), "escalated from %s to %s", m.sel.Version.Name, sel.Version.Name)
	if err := m.take(sel); err != nil {
		m.story.Note("selector", "the body cannot be rewritten: %v", err)
	}
}

// mayResume reports whether another attempt can go on where the last one broke.
func (m *modelTask) mayResume() bool {
	if !m.reply.Started() || m.progress.Numbered {
		return true
	}
	m.story.Note("verifier", "the engine does not number its pieces, so the answer cannot be resumed")
	return false
}

func (m *modelTask) attempt(ctx context.Context) error {
	view := m.view()
	if err := m.deps.Selector.Recheck(view, m.req, m.sel); err != nil {
		return receiver.AsRefusal(err).WithRan(m.ranSoFar())
	}
	ticket, err := m.admitTo(ctx, m.req.Environment+"/"+m.sel.Version.Name, func() []registrar.BackendServer { return m.view().Engines(m.sel.Version) })
	if err != nil {
		return err
	}
	defer ticket.Release()
	p, err := m.place(m.view().Engines(m.sel.Version), m.affinity())
	if err != nil {
		return err
	}
	defer p.Release()
	if err := m.exchange(ctx, p); err != nil {
		m.noteFailure(ctx, p, err)
		m.noteFault(err)
		m.cost += m.attemptCost()
		return err
	}
	p.Server.Traffic.NoteSuccess()
	return nil
}

// noteFault holds a faulty answer against its version.
func (m *modelTask) noteFault(err error) {
	var f *verifier.Fault
	if errors.As(err, &f) && f.Kind != verifier.FaultCut {
		m.deps.Faulted(m.req, m.sel)
	}
}

// affinity names the session, or the workspace with the start of the prompt, whose cache an engine may still hold.
func (m *modelTask) affinity() string {
	if m.req.Session != "" {
		return m.req.Workspace.Name + "/" + m.req.Session
	}
	return m.req.Workspace.Name + "\x00" + string(m.req.Body[:min(len(m.req.Body), prefixChars)])
}

func (m *modelTask) exchange(ctx context.Context, p placer.Placement) error {
	sentAt := time.Now()
	res, err := m.deps.Send(ctx, m.call(p))
	if err != nil {
		return err
	}
	p.Server.Traffic.NoteFirst(time.Since(sentAt), m.deps.Common.Clock.Now())
	defer func() { _ = res.Body.Close() }()
	if err := m.checkStatus(res); err != nil {
		return err
	}
	if m.req.Stream {
		return m.relay(res)
	}
	return m.hold(res)
}

func (m *modelTask) call(p placer.Placement) dispatcher.Call {
	after := int64(0)
	if m.reply.Started() {
		after = m.progress.Last
		m.meter.resumed.Inc(1)
	}
	return dispatcher.Call{
		Address: p.Server.Address, RequestID: m.req.ID, Attempt: m.attempts, Method: http.MethodPost, Path: m.req.Path,
		Header: m.req.Header, Body: m.body, LastEventID: after, Priority: m.req.Priority(),
	}
}

// checkStatus tells a caller's mistake, which no other engine would take either, from an engine's failure.
func (m *modelTask) checkStatus(res *dispatcher.Response) error {
	if res.Status == http.StatusOK {
		return nil
	}
	body, err := m.readAll(res)
	if err != nil {
		return err
	}
	if res.Status == http.StatusBadRequest || res.Status == http.StatusUnprocessableEntity {
		return receiver.Refuse(res.Status, "engine-refused", fmt.Sprintf("%.500s", body)).WithRan(m.ranSoFar())
	}
	return &verifier.Fault{Kind: verifier.FaultEngine, Detail: fmt.Sprintf("status %d: %.200s", res.Status, body)}
}

// relay passes each verified piece on as it comes.
func (m *modelTask) relay(res *dispatcher.Response) error {
	dropped := m.progress.Dropped
	defer func() { m.meter.dropped.Inc(m.progress.Dropped - dropped) }()
	return m.progress.Read(flushingReader{reply: m.reply, body: res.Body}, m.deps.Limits.MaxEvent, m.pass)
}

// flushingReader flushes the reply before each read that may wait, so that no verified piece waits for the next one
// and pieces that came together go out together.
type flushingReader struct {
	reply *receiver.Reply
	body  io.Reader
}

// Read sends on what was written and reads more.
func (f flushingReader) Read(p []byte) (int, error) {
	if f.reply.Started() {
		if err := f.reply.Flush(); err != nil {
			return 0, errCallerLeft.WithRan(receiver.RanYes)
		}
	}
	return f.body.Read(p)
}

func (m *modelTask) pass(c verifier.Chunk) error {
	m.measure()
	if !m.reply.Started() {
		m.setHeaders()
		m.reply.BeginEvents()
	}
	if err := m.reply.Event(c.Number, "", c.Data); err != nil {
		return errCallerLeft.WithRan(receiver.RanYes)
	}
	return nil
}

func (m *modelTask) measure() {
	now := time.Now()
	m.meter.chunks.Inc(1)
	if m.lastAt.IsZero() {
		m.meter.first.Update(int64(m.deps.Common.Clock.Now() - m.req.Received))
	} else {
		m.meter.between.Update(now.Sub(m.lastAt).Microseconds())
	}
	m.lastAt = now
}

// hold reads an answer that is not streamed.
func (m *modelTask) hold(res *dispatcher.Response) error {
	body, err := m.readAll(res)
	if err != nil {
		return err
	}
	m.progress, err = verifier.ReadWhole(body, m.req.MaxTokens)
	if err != nil {
		m.progress = verifier.NewProgress(m.req.MaxTokens)
		return err
	}
	m.measure()
	m.whole = body
	return nil
}

// finish bills the whole answer before its end goes out.
func (m *modelTask) finish() error {
	if err := m.bill(); err != nil {
		return err
	}
	m.deps.Answered(m.req, m.sel)
	m.reply.Header().Set(receiver.HeaderBilled, "yes")
	if m.req.Stream {
		return m.sent(m.reply.Event(0, "", "[DONE]"))
	}
	m.setHeaders()
	m.reply.Header().Set("Content-Type", "application/json")
	return m.sent(m.reply.Whole(http.StatusOK, m.whole))
}

func (m *modelTask) sent(err error) error {
	if err == nil {
		return nil
	}
	return errCallerLeft.WithRan(receiver.RanYes)
}

func (m *modelTask) setHeaders() {
	h := m.reply.Header()
	h.Set(receiver.HeaderModel, m.sel.Model)
	h.Set(receiver.HeaderVersion, m.sel.Version.Name)
	if m.sel.Token != "" {
		h.Set(receiver.HeaderSessionToken, m.sel.Token)
	}
	if m.sel.MovedFrom != "" {
		h.Set(receiver.HeaderSessionMoved, m.sel.MovedFrom)
	}
}

func (m *modelTask) bill() error {
	price := m.price(m.progress.PromptTokens, m.progress.CompletionTokens)
	bill := biller.Bill{
		Workspace: m.req.Workspace.Name, Key: m.req.Key(), Digest: m.req.Digest(), RequestID: m.req.ID,
		Model: m.sel.Model, Version: m.sel.Version.Name,
		PromptTokens: m.progress.PromptTokens, CompletionTokens: m.progress.CompletionTokens,
		Price: price, Cost: m.cost + price, At: m.deps.Common.Clock.Now(),
	}
	return m.writeBill(bill)
}

// attemptCost estimates what a failed attempt cost us.
func (m *modelTask) attemptCost() float64 {
	return m.price(int64(m.req.PromptChars/charsPerToken), m.progress.Last)
}

const tokensPerPrice = 1000

func (m *modelTask) price(prompt, completion int64) float64 {
	v := m.sel.Version
	return (v.InputPrice*float64(prompt) + v.OutputPrice*float64(completion)) / tokensPerPrice
}

// writeBill makes the bill durable; without it the end of the answer does not go out.
func (t *task) writeBill(bill biller.Bill) error {
	first, err := t.deps.Biller.Bill(bill)
	if err != nil {
		refusal := receiver.Refuse(http.StatusInternalServerError, "bill-not-durable", err.Error())
		return errors.Join(refusal.WithRan(receiver.RanYes), err)
	}
	t.story.Note("biller", "price %s, first bill for the key %t", strconv.FormatFloat(bill.Price, 'f', -1, 64), first)
	return nil
}
