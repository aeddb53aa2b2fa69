package receiver

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Ran says whether a request ran on a backend server.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is an error that is sent to a caller and says whether the request ran.
type Refusal struct {
	Status  int
	Type    string
	Message string
	Ran     Ran
	// RetryAfterSeconds is the value of the Retry-After header in seconds; 0 omits the header.
	RetryAfterSeconds int
}

// Error returns the type and the message.
func (r *Refusal) Error() string {
	return r.Type + ": " + r.Message
}

// NewRefusal returns a Refusal of a request that did not run.
func NewRefusal(status int, kind, message string) *Refusal {
	return &Refusal{Status: status, Type: kind, Message: message, Ran: RanNo}
}

// WithRan returns a copy with the given value of Ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	c := *r
	c.Ran = ran
	return &c
}

// AsRefusal returns the Refusal that err wraps, or else a Refusal of type internal with RanUnknown.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Status: http.StatusInternalServerError, Type: "internal", Message: err.Error(), Ran: RanUnknown}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type      string `json:"type"`
	Message   string `json:"message"`
	RequestID string `json:"request-id"`
	Ran       Ran    `json:"ran"`
}

// Body returns the JSON body that is sent to the caller.
func (r *Refusal) Body(requestID string) []byte {
	body, err := json.Marshal(errorBody{errorFields{Type: r.Type, Message: r.Message, RequestID: requestID, Ran: r.Ran}})
	if err != nil {
		return []byte(`{"error":{"type":"internal","message":"unprintable error","ran":"unknown"}}`)
	}
	return body
}
