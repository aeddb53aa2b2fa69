package forwarder

import (
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a caller, decoded once.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is the part that routes are matched with.
	Target string
	Path   string
	// Header holds what is passed on: nothing that concerns one connection only, no key, nothing that only this system sets.
	Header http.Header
	Body   []byte
	Key    string
	// Patience is how long the caller waits, in milliseconds; 0 when it does not say.
	Patience timer.Millis
	Session  string
	// AnyModel says that the system chooses the model; otherwise the caller has named it.
	AnyModel bool
	Parts    []Part
	// TokensIn and TokensOut are the prompt's tokens and the most that may be generated.
	TokensIn  int
	TokensOut int
	// LastEvent is the last event that the caller has of a stream that it resumes; empty for a fresh one.
	LastEvent string
	ArrivedAt timer.Millis
}

// Digest tells requests with the same path, caller and body from others.
func (r *Request) Digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.Target, "\x00", r.Key, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	for _, p := range r.Parts {
		_, _ = h.WriteString(p.ID)
	}
	return h.Sum64()
}

// Attempt is what the system adds to a request for one backend server.
type Attempt struct {
	Server    string
	Workspace string
	// TimeLeft is what the caller still waits, in milliseconds.
	TimeLeft timer.Millis
	// Model is the size that the system chose, empty where the caller named it.
	Model     string
	Urgency   int
	LastEvent string
}

// Verdict is what a backend server's answer says besides its body.
type Verdict struct {
	// ID is the request that the answer belongs to, empty when it does not say.
	ID string
	// Refused says that the server did not run the request.
	Refused bool
	// Running, Waiting and Slots are the server's load; Slots is 0 when it does not say.
	Running, Waiting, Slots int
	// Confidence is the model's own opinion of the answer from 0 to 100, -1 when it does not say.
	Confidence int
	// IdleSpan is how long the server keeps an idle connection, in milliseconds; 0 when it does not say.
	IdleSpan timer.Millis
}

// Codec translates between the product and the wire.
type Codec struct {
	// Prepare returns the header of a request towards a backend server.
	Prepare func(*Request, Attempt) http.Header
	// Inspect reads what an answer's header says.
	Inspect func(*http.Response) Verdict
}

// Refusal is an answer of the system's own.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when the caller should come back, in milliseconds; 0 says nothing.
	RetryAfter timer.Millis
}

// Error prints the reason.
func (r *Refusal) Error() string {
	return r.Reason
}

// urgencies map the rank of a route to the urgency that engines understand; 5 is their default.
const (
	firstUrgency = 3
	lastUrgency  = 9
)

func urgencyOf(route *matcher.Route, w *matcher.Workspace) int {
	rank := route.Priority
	if w != nil && w.Priority != nil {
		rank += *w.Priority
	}
	return min(firstUrgency+rank, lastUrgency)
}

// spread draws a span around the given one, so that callers do not come back all at once.
func spread(m timer.Millis) timer.Millis {
	return m/2 + timer.Millis(rand.Int64N(int64(m)))
}
