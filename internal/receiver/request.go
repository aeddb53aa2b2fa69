package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Kind says which API a request uses.
type Kind string

// The values of Kind.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindService    Kind = "service"
)

// Request is one validated request of a caller; it is immutable.
type Request struct {
	ID          string
	Environment string
	Workspace   parser.Workspace
	Kind        Kind
	Method      string
	Path        string
	Query       string
	Header      http.Header
	Body        []byte
	Model       string
	Stream      bool
	MaxTokens   int
	// PromptBytes is the length of the prompt's JSON text, in bytes.
	PromptBytes    int
	Service        string
	Route          parser.Route
	Idempotent     bool
	IdempotencyKey string
	Session        string
	SessionToken   string
	// ReceivedAt is when the request arrived and Deadline is when its answer must be complete, both in milliseconds.
	ReceivedAt timer.Millis
	Deadline   timer.Millis
}

// DeduplicationKey returns the key that identifies the request in bills and claims: the idempotency key, or else the
// request ID.
func (r *Request) DeduplicationKey() string {
	if r.IdempotencyKey != "" {
		return r.IdempotencyKey
	}
	return r.ID
}

// Fingerprint returns the SHA-256 of method, path, query and body in hexadecimal; requests with the same key are
// repeats of one request only if their fingerprints are equal.
func (r *Request) Fingerprint() string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Path, r.Query, string(r.Body)} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Priority returns the shedding priority of the request; requests with priority 0 are shed first.
func (r *Request) Priority() int {
	if r.Kind == KindService {
		return r.Route.Priority
	}
	return r.Workspace.Priority
}
