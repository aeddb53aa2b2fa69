package router

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
)

func (m *modelTask) bill() error {
	price := m.price(m.progress.PromptTokens, m.progress.CompletionTokens)
	bill := biller.Bill{
		Workspace: m.req.Workspace.Name, Key: m.req.DeduplicationKey(), Digest: m.req.Fingerprint(), RequestID: m.req.ID,
		Model: m.sel.Model, Version: m.sel.Version.Name,
		PromptTokens: m.progress.PromptTokens, CompletionTokens: m.progress.CompletionTokens,
		Price: price, Cost: m.failedAttemptsCost + price, At: m.deps.Telemetry.Clock.Now(),
	}
	return m.writeBill(bill)
}

// attemptCost estimates the cost of a failed attempt, which is not billed to the caller.
func (m *modelTask) attemptCost() float64 {
	return m.price(int64(m.req.PromptBytes/bytesPerToken), m.progress.LastChunk)
}

// tokensPerPriceUnit is how many tokens a version's prices are for.
const tokensPerPriceUnit = 1000

func (m *modelTask) price(prompt, completion int64) float64 {
	v := m.sel.Version
	return (v.InputPrice*float64(prompt) + v.OutputPrice*float64(completion)) / tokensPerPriceUnit
}

// writeBill makes the bill durable. If that fails, the end of the answer is not sent.
func (t *task) writeBill(bill biller.Bill) error {
	first, err := t.deps.Biller.Add(bill)
	if err != nil {
		refusal := receiver.NewRefusal(http.StatusInternalServerError, "bill-not-durable", err.Error())
		return errors.Join(refusal.WithRan(receiver.RanYes), err)
	}
	t.decisions.Record("biller", "price %s, first bill for the key %t", strconv.FormatFloat(bill.Price, 'f', -1, 64), first)
	return nil
}
