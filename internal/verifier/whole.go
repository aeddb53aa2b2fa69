package verifier

import (
	"net/http"

	"github.com/tidwall/gjson"
)

// CheckResponse checks an answer that was not streamed; the error is a *Fault when the answer is defective.
func CheckResponse(body []byte, maxTokens int) (*Progress, error) {
	p := NewProgress(maxTokens)
	if len(body) == 0 {
		return p, newFault(FaultEmpty, "no body")
	}
	if !gjson.ValidBytes(body) {
		return p, newFault(FaultMalformed, "the body is not JSON")
	}
	choice := gjson.GetBytes(body, "choices.0")
	p.LastChunk = 1
	p.HasText = hasText(choice)
	p.FinishReason = choice.Get("finish_reason").Str
	p.recordUsage(gjson.GetBytes(body, "usage"))
	return p, p.checkEnd()
}

// CheckServiceResponse returns a *Fault when a plain service answers status 200 without a body, except to HEAD.
func CheckServiceResponse(method string, status, bodySize int) error {
	if method == http.MethodHead || status != http.StatusOK || bodySize > 0 {
		return nil
	}
	return newFault(FaultEmpty, "status 200 without a body")
}
