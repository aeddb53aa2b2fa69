package receiver

// The headers of the callers' API.
const (
	HeaderBilled         = "X-Billed"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderModel          = "X-Model"
	HeaderRan            = "X-Ran"
	HeaderReplayed       = "X-Replayed"
	HeaderRequestID      = "X-Request-Id"
	HeaderSession        = "X-Session-Id"
	HeaderSessionMoved   = "X-Session-Moved"
	HeaderSessionToken   = "X-Session-Token"
	HeaderVersion        = "X-Version"
)
