package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/limiter"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// maxBodyBytes is the largest request body that is accepted from an operator or a backend server.
const maxBodyBytes = 2 * decoder.MaxTextBytes

// Deps holds the dependencies of the control API. Each function field serves one endpoint.
type Deps struct {
	Telemetry observer.Telemetry
	// Reader reads the bodies of requests within the memory of the process.
	Reader       limiter.Reader
	Announce     func(context.Context, registrar.Announcement) (registrar.Outcome, error)
	SubmitChange func(context.Context, changer.Change) (changer.Accepted, error)
	// Links accepts links from other instances; nil when links have a separate listen address.
	Links     http.Handler
	Bootstrap func(context.Context) error
	// AuditTrail returns the audit trail.
	AuditTrail func(context.Context) ([]auditor.Entry, error)
	// DocumentText returns the text of an earlier or current revision of an environment's document.
	DocumentText func(ctx context.Context, environment string, revision int64) (string, error)
	// WaitingInstances lists the instances that do not have the revision in force yet.
	WaitingInstances func(ctx context.Context, environment string, revision int64) ([]messenger.WaitingInstance, error)
	AddRatings       func([]messenger.Rating)
	Drain            func(ctx context.Context, server string) error
	Status           func(context.Context) Status
	// CurrentDocument returns the document in force and its revision, 0 when the environment has none.
	CurrentDocument func(environment string) (revision int64, text string)
	Explain         func(requestID string) ([]explainer.Step, bool)
	Bills           func() []biller.Bill
	// CheckReady returns why the instance is not ready to serve, nil when it is.
	CheckReady func() error
}

// Handler is the HTTP handler of the control API.
type Handler struct {
	deps Deps
	mux  *goji.Mux
}

// NewHandler returns the HTTP handler of the control API.
func NewHandler(deps Deps) *Handler {
	h := &Handler{deps: deps, mux: goji.NewMux()}
	h.mux.HandleFunc(pat.Post("/announce"), h.announce)
	h.mux.HandleFunc(pat.Post("/changes"), h.change)
	h.mux.HandleFunc(pat.Get("/audit"), h.auditTrail)
	h.mux.HandleFunc(pat.Post("/bootstrap"), h.bootstrap)
	h.mux.HandleFunc(pat.Get("/documents/:environment"), h.document)
	h.mux.HandleFunc(pat.Get("/documents/:environment/:revision"), h.documentRevision)
	h.mux.HandleFunc(pat.Get("/waiting/:environment/:revision"), h.waitingInstances)
	if deps.Links != nil {
		h.mux.Handle(pat.Get("/link"), deps.Links)
	}
	h.mux.HandleFunc(pat.Post("/drain/:server"), h.drain)
	h.mux.HandleFunc(pat.Post("/ratings"), h.ratings)
	h.mux.HandleFunc(pat.Get("/status"), h.status)
	h.mux.HandleFunc(pat.Get("/explain/:request"), h.explain)
	h.mux.HandleFunc(pat.Get("/bills"), h.bills)
	h.mux.HandleFunc(pat.Get("/metrics"), h.metrics)
	h.mux.HandleFunc(pat.Get("/healthz"), h.health)
	h.mux.HandleFunc(pat.Get("/readyz"), h.ready)
	return h
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lease, err := h.deps.Reader.Open(r)
	if err != nil {
		limiter.Refuse(w, err)
		return
	}
	defer lease.Close()
	h.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), leaseKey{}, lease)))
}

// leaseKey is the key of what a request holds in its context.
type leaseKey struct{}

// AnnouncementAnswer is the answer to an announcement of a backend server.
type AnnouncementAnswer struct {
	Outcome registrar.Outcome `json:"outcome"`
	Reason  string            `json:"reason,omitempty"`
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var a registrar.Announcement
	if err := h.decodeBody(w, r, &a); err != nil {
		h.writeJSON(w, http.StatusBadRequest, AnnouncementAnswer{Outcome: registrar.OutcomeRefused, Reason: err.Error()})
		return
	}
	outcome, err := h.deps.Announce(r.Context(), a)
	var fields registrar.FieldErrors
	switch {
	case errors.As(err, &fields):
		h.writeJSON(w, http.StatusUnprocessableEntity, AnnouncementAnswer{Outcome: outcome, Reason: err.Error()})
	case err != nil:
		h.writeError(w, http.StatusServiceUnavailable, err)
	default:
		h.writeJSON(w, http.StatusOK, AnnouncementAnswer{Outcome: outcome})
	}
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var c changer.Change
	if err := h.decodeBody(w, r, &c); err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	accepted, err := h.deps.SubmitChange(r.Context(), c)
	if err != nil {
		h.writeChangeError(w, err)
		return
	}
	h.writeJSON(w, http.StatusOK, accepted)
}

// writeChangeError writes the status and the answer that match the error.
func (h *Handler) writeChangeError(w http.ResponseWriter, err error) {
	var conflict *changer.ConflictError
	var reused *changer.ReusedIDError
	var invalid *changer.InvalidError
	var problems decoder.Problems
	switch {
	case errors.As(err, &conflict):
		h.writeJSON(w, http.StatusConflict, Result{Reason: err.Error(), Conflict: conflict})
	case errors.As(err, &reused), errors.As(err, &invalid):
		h.writeJSON(w, http.StatusUnprocessableEntity, Result{Reason: err.Error()})
	case errors.As(err, &problems):
		h.writeJSON(w, http.StatusUnprocessableEntity, Result{Reason: "the document has faults", Problems: problems})
	default:
		h.writeError(w, http.StatusServiceUnavailable, err)
	}
}

// Result is the answer to a request that failed, and a plain acknowledgement of one that succeeded.
type Result struct {
	Reason   string                 `json:"reason"`
	Conflict *changer.ConflictError `json:"conflict,omitempty"`
	Problems decoder.Problems       `json:"problems,omitempty"`
}

func (h *Handler) auditTrail(w http.ResponseWriter, r *http.Request) {
	entries, err := h.deps.AuditTrail(r.Context())
	if err != nil {
		h.writeError(w, http.StatusNotFound, err)
		return
	}
	h.writeJSON(w, http.StatusOK, entries)
}

func (h *Handler) bootstrap(w http.ResponseWriter, r *http.Request) {
	err := h.deps.Bootstrap(r.Context())
	switch {
	case trace.IsAlreadyExists(err):
		h.writeError(w, http.StatusConflict, err)
	case err != nil:
		h.writeError(w, http.StatusUnprocessableEntity, err)
	default:
		h.writeJSON(w, http.StatusOK, Result{Reason: "the record begins"})
	}
}

// Document is the document of an environment with its revision, 0 when the environment has none.
type Document struct {
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"`
	Text        string `json:"document"`
}

func (h *Handler) document(w http.ResponseWriter, r *http.Request) {
	environment := pat.Param(r, "environment")
	revision, text := h.deps.CurrentDocument(environment)
	h.writeJSON(w, http.StatusOK, Document{Environment: environment, Revision: revision, Text: text})
}

// pathRevision returns the revision in the request's path.
func pathRevision(r *http.Request) (int64, error) {
	n, err := strconv.ParseInt(pat.Param(r, "revision"), 10, 64)
	if err != nil || n < 1 {
		return 0, trace.BadParameter("revision %q is not a whole number above 0", pat.Param(r, "revision"))
	}
	return n, nil
}

func (h *Handler) documentRevision(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	environment := pat.Param(r, "environment")
	text, err := h.deps.DocumentText(r.Context(), environment, revision)
	if err != nil {
		h.writeError(w, http.StatusNotFound, err)
		return
	}
	h.writeJSON(w, http.StatusOK, Document{Environment: environment, Revision: revision, Text: text})
}

func (h *Handler) waitingInstances(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	instances, err := h.deps.WaitingInstances(r.Context(), pat.Param(r, "environment"), revision)
	if err != nil {
		h.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	h.writeJSON(w, http.StatusOK, instances)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if err := h.deps.Drain(r.Context(), pat.Param(r, "server")); err != nil {
		h.writeError(w, http.StatusNotFound, err)
		return
	}
	h.writeJSON(w, http.StatusOK, Result{Reason: "draining"})
}

// maxRatingsPerCall is the largest number of ratings in one request.
const maxRatingsPerCall = 10_000

func (h *Handler) ratings(w http.ResponseWriter, r *http.Request) {
	var ratings []messenger.Rating
	if err := h.decodeBody(w, r, &ratings); err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	if len(ratings) > maxRatingsPerCall {
		h.writeError(w, http.StatusRequestEntityTooLarge, trace.LimitExceeded("%d ratings in one call, at most %d", len(ratings), maxRatingsPerCall))
		return
	}
	h.deps.AddRatings(ratings)
	h.writeJSON(w, http.StatusOK, Result{Reason: "taken"})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	h.writeJSON(w, http.StatusOK, h.deps.Status(r.Context()))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	steps, found := h.deps.Explain(pat.Param(r, "request"))
	if !found {
		h.writeJSON(w, http.StatusNotFound, Result{Reason: "this instance does not remember the request"})
		return
	}
	h.writeJSON(w, http.StatusOK, steps)
}

func (h *Handler) bills(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, http.StatusOK, h.deps.Bills())
}

func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Accept") == "application/json" || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.deps.Telemetry.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(h.deps.Telemetry.Metrics, w)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, http.StatusOK, Result{Reason: "ok"})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.deps.CheckReady(); err != nil {
		h.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	h.writeJSON(w, http.StatusOK, Result{Reason: "ready"})
}

func (h *Handler) decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	lease, _ := r.Context().Value(leaseKey{}).(*limiter.Lease)
	body, err := h.deps.Reader.ReadBody(w, r, lease, maxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		return err
	}
	// The request is served until the handler returns.
	limiter.Serving(r.Context())
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func (h *Handler) writeError(w http.ResponseWriter, status int, err error) {
	h.writeJSON(w, status, Result{Reason: err.Error()})
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		h.deps.Telemetry.Log.Debug("answer not written; the client may have closed the connection", "error", err)
	}
}
