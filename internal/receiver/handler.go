package receiver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/limiter"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Limits bounds the memory and time that a caller's request can take.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64
	// MaxDuration is the default and the longest time that a request may take, in milliseconds.
	MaxDuration timer.Millis
	// CallerStallTimeout is how long writing a part of the answer may block on the caller, in milliseconds.
	CallerStallTimeout timer.Millis
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	Telemetry observer.Telemetry
	Limits    Limits
	// Reader reads the bodies of requests within the memory of the process.
	Reader limiter.Reader
	// ViewSet returns the current views of all environments.
	ViewSet func() *indexer.ViewSet
	// Serve processes a validated request and writes its answer.
	Serve func(context.Context, *Request, *Reply) error
	// CheckReady returns an error that says why the load balancer should send no more work, or nil.
	CheckReady func() error
	// CheckAccepting returns an error that says why the instance accepts no new work, or nil.
	CheckAccepting func() error
}

// Handler is the HTTP handler of the callers' API.
type Handler struct {
	deps Deps
	mux  *goji.Mux
}

// NewHandler returns a Handler with all routes of the callers' API.
func NewHandler(deps Deps) *Handler {
	h := &Handler{deps: deps, mux: goji.NewMux()}
	h.mux.HandleFunc(pat.Post("/v1/chat/completions"), h.handlerFor(h.readChat))
	h.mux.HandleFunc(pat.Post("/v1/completions"), h.handlerFor(h.readCompletion))
	h.mux.HandleFunc(pat.Get("/v1/models"), h.serveModelList)
	h.mux.HandleFunc(pat.New("/services/:service/*"), h.handlerFor(h.readService))
	h.mux.HandleFunc(pat.Get("/healthz"), h.serveHealth)
	h.mux.HandleFunc(pat.Get("/readyz"), h.serveReadiness)
	h.mux.HandleFunc(pat.New("/*"), h.refuseUnknownPath)
	return h
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// requestReader fills in and validates the fields of a request that are specific to one API.
type requestReader func(*http.Request, *indexer.View, *Request) error

// handlerFor returns a handler that reads requests of one API and serves them.
func (h *Handler) handlerFor(read requestReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		reply := NewReply(w, h.deps.Limits.CallerStallTimeout)
		lease, err := h.deps.Reader.Open(r)
		if err != nil {
			h.writeRefusal(reply, id, bodyRefusal(err))
			return
		}
		defer lease.Close()
		req, err := h.readRequest(w, r, id, lease, read)
		if err == nil {
			defer limiter.Serving(r.Context())()
			err = h.deps.Serve(r.Context(), req, reply)
		}
		if err != nil {
			h.writeRefusal(reply, id, err)
		}
	}
}

func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, id string, lease *limiter.Lease, read requestReader) (*Request, error) {
	if err := h.deps.CheckAccepting(); err != nil {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Type: "not-ready", Message: err.Error(), Ran: RanNo, RetryAfterSeconds: 1}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, NewRefusal(http.StatusUnauthorized, "no-api-key", "send the workspace's key as Authorization: Bearer KEY")
	}
	view, ws, ok := h.deps.ViewSet().Workspace(key)
	if !ok {
		return nil, NewRefusal(http.StatusUnauthorized, "unknown-api-key", "no workspace has this key")
	}
	now := h.deps.Telemetry.Clock.Now()
	req := &Request{ID: id, Environment: view.Environment, Workspace: ws, Method: r.Method, Header: r.Header, ReceivedAt: now, Idempotent: true}
	if err := h.readHeaders(r, req); err != nil {
		return nil, err
	}
	body, err := h.deps.Reader.ReadBody(w, r, lease, h.deps.Limits.MaxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyRefusal(err)
	}
	req.Body = body
	if err := read(r, view, req); err != nil {
		return nil, err
	}
	return req, nil
}

const (
	maxIdempotencyKeyBytes = 255
	maxSessionBytes        = 255
)

func (h *Handler) readHeaders(r *http.Request, req *Request) error {
	req.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	req.Session = r.Header.Get(HeaderSession)
	req.SessionToken = r.Header.Get(HeaderSessionToken)
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return NewRefusal(http.StatusBadRequest, "bad-header", "Idempotency-Key has more than 255 characters")
	}
	if len(req.Session) > maxSessionBytes {
		return NewRefusal(http.StatusBadRequest, "bad-header", "X-Session-Id has more than 255 characters")
	}
	timeout := h.deps.Limits.MaxDuration
	if value := r.Header.Get(HeaderDeadline); value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n <= 0 {
			return NewRefusal(http.StatusBadRequest, "bad-header", "X-Deadline-Ms is not a whole number of milliseconds above 0")
		}
		timeout = min(timeout, timer.Millis(n))
	}
	req.Deadline = req.ReceivedAt + timeout
	return nil
}

// bodyRefusal returns the refusal of a request that could not be read.
func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return NewRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body has more than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.Is(err, limiter.ErrTooSlow):
		return NewRefusal(http.StatusRequestTimeout, "body-too-slow", err.Error())
	case errors.Is(err, limiter.ErrExhausted):
		return &Refusal{Status: http.StatusServiceUnavailable, Type: "overloaded", Message: err.Error(), Ran: RanNo, RetryAfterSeconds: 1}
	}
	return NewRefusal(http.StatusBadRequest, "unreadable-body", err.Error())
}

func (h *Handler) readChat(_ *http.Request, view *indexer.View, req *Request) error {
	req.Kind = KindChat
	req.Path = "/v1/chat/completions"
	return readModelBody(view, req, "messages")
}

func (h *Handler) readCompletion(_ *http.Request, view *indexer.View, req *Request) error {
	req.Kind = KindCompletion
	req.Path = "/v1/completions"
	return readModelBody(view, req, "prompt")
}

// readModelBody validates the fields of a model request that routing depends on.
func readModelBody(view *indexer.View, req *Request, promptField string) error {
	if !gjson.ValidBytes(req.Body) {
		return NewRefusal(http.StatusBadRequest, "bad-body", "the body is not JSON")
	}
	body := gjson.ParseBytes(req.Body)
	if !body.IsObject() {
		return NewRefusal(http.StatusBadRequest, "bad-body", "the body is not a JSON object")
	}
	req.Model = body.Get("model").String()
	if _, ok := view.Document.Model(req.Model); !ok {
		return NewRefusal(http.StatusNotFound, "unknown-model", "field model: no model has the name "+strconv.Quote(req.Model))
	}
	if n := body.Get("n"); n.Exists() && n.Int() != 1 {
		return NewRefusal(http.StatusBadRequest, "bad-body", "field n: only 1 is served")
	}
	if stream := body.Get("stream"); stream.Exists() && !stream.IsBool() {
		return NewRefusal(http.StatusBadRequest, "bad-body", "field stream: neither true nor false")
	}
	req.Stream = body.Get("stream").Bool()
	tokens := body.Get("max_tokens")
	if tokens.Exists() && (tokens.Type != gjson.Number || tokens.Int() <= 0) {
		return NewRefusal(http.StatusBadRequest, "bad-body", "field max_tokens: not a whole number above 0")
	}
	req.MaxTokens = int(tokens.Int())
	prompt := body.Get(promptField)
	if !prompt.Exists() || len(prompt.Raw) <= len(`""`) {
		return NewRefusal(http.StatusBadRequest, "bad-body", "field "+promptField+": missing or empty")
	}
	req.PromptBytes = len(prompt.Raw)
	return nil
}

func (h *Handler) readService(r *http.Request, view *indexer.View, req *Request) error {
	req.Kind = KindService
	req.Service = pat.Param(r, "service")
	req.Path = strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+req.Service)
	req.Query = r.URL.RawQuery
	if !req.Workspace.MayUseService(req.Service) {
		return NewRefusal(http.StatusForbidden, "service-not-allowed", "the workspace may not use service "+strconv.Quote(req.Service))
	}
	if strings.Contains(r.URL.Path, "/../") || strings.HasSuffix(r.URL.Path, "/..") {
		return NewRefusal(http.StatusBadRequest, "bad-path", "the path has ..")
	}
	route, ok := view.Route(req.Service, req.Method, req.Path)
	if !ok {
		return NewRefusal(http.StatusNotFound, "unknown-route", "service "+req.Service+" has no route for "+req.Method+" "+req.Path)
	}
	if route.RequireKey && req.IdempotencyKey == "" {
		return NewRefusal(http.StatusBadRequest, "key-required", "send an Idempotency-Key header: route "+route.Name+" requires one")
	}
	req.Route = route
	req.Idempotent = route.Idempotent
	return nil
}

// writeRefusal sends the error to the caller, as an event of the stream when the answer has started.
func (h *Handler) writeRefusal(reply *Reply, id string, err error) {
	refusal := AsRefusal(err)
	h.deps.Telemetry.Counter("refusals." + refusal.Type).Inc(1)
	h.deps.Telemetry.Log.Warn("request refused", "request", id, "type", refusal.Type, "ran", refusal.Ran, "error", refusal.Message)
	body := refusal.Body(id)
	var writeErr error
	if reply.Started() {
		writeErr = reply.WriteEvent(0, "error", string(body))
	} else {
		reply.Header().Set("Content-Type", "application/json")
		reply.Header().Set(HeaderBilled, "no")
		if refusal.RetryAfterSeconds > 0 {
			reply.Header().Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
		}
		writeErr = reply.WriteAll(refusal.Status, body)
	}
	if writeErr != nil {
		h.deps.Telemetry.Log.Debug("caller left before the error was sent", "request", id, "error", writeErr)
	}
}
