package forwarder

import (
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request in decoded form.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is what routes are matched with.
	Target string
	Path   string
	// Header holds the headers that are passed on, without hop-by-hop headers, the API key and headers that only this
	// system sets.
	Header http.Header
	Body   []byte
	APIKey string
	// TimeLimit is the caller's time limit, in milliseconds; 0 if the caller sets none.
	TimeLimit timer.Millis
	Session   string
	// ChooseModel is true if the system chooses the model, and false if the caller has named it.
	ChooseModel bool
	PromptParts []PromptPart
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number of generated tokens.
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is the id of the last event that the caller received of a stream that it resumes; empty for a new
	// stream.
	LastEventID string
	ArrivedAt   timer.Millis
}

// Digest returns a hash of the method, host, target, API key, body and prompt parts.
func (r *Request) Digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.Target, "\x00", r.APIKey, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	for _, p := range r.PromptParts {
		_, _ = h.WriteString(p.ID)
	}
	return h.Sum64()
}

// sharedPartIDs returns the ids of the prompt parts that other requests may share: all but the last.
func (r *Request) sharedPartIDs() []string {
	var list []string
	for i := range len(r.PromptParts) - 1 {
		list = append(list, r.PromptParts[i].ID)
	}
	return list
}

// sharedPartDigests returns the digests of the prompt parts that other requests may share, in the order of the prompt.
func (r *Request) sharedPartDigests() []uint64 {
	var list []uint64
	for _, id := range r.sharedPartIDs() {
		list = append(list, xxhash.Sum64String(id))
	}
	return list
}

// AttemptInfo holds what the system adds to a request for one backend server.
type AttemptInfo struct {
	Server    string
	Workspace string
	// TimeLeft is the time until the deadline, in milliseconds.
	TimeLeft timer.Millis
	// Model is the model that the system chose, empty if the caller named it.
	Model       string
	Urgency     int
	LastEventID string
}

// Codec translates between requests and the headers of the platform's protocol.
type Codec struct {
	// RequestHeader returns the header of a request to a backend server.
	RequestHeader func(*Request, AttemptInfo) http.Header
	// ParseResponse decodes the header of a response.
	ParseResponse exchanger.Inspect
}

// Refusal is an error response that the system generates itself.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when the caller should retry, in milliseconds; 0 if it is not given.
	RetryAfter timer.Millis
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return r.Reason
}

const (
	// highestUrgency and lowestUrgency bound the urgency that is derived from a route's priority; engines use 5 by
	// default.
	highestUrgency = 3
	lowestUrgency  = 9
)

func urgencyOf(route *matcher.Route, w *matcher.Workspace) int {
	rank := route.Priority
	if w != nil && w.Priority != nil {
		rank += *w.Priority
	}
	return min(highestUrgency+rank, lowestUrgency)
}

// jitter returns a random time from half to one and a half times the given one, so that callers do not all retry at
// once.
func jitter(m timer.Millis) timer.Millis {
	return m/2 + timer.Millis(rand.Int64N(int64(m)))
}
