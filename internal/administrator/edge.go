package administrator

import (
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
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// maxBodyBytes is the largest request body that is accepted from an operator or a backend server.
const maxBodyBytes = 2 * decoder.MaxTextBytes

// Deps holds the dependencies of the control API. Each function field serves one endpoint.
type Deps struct {
	Common       observer.Telemetry
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
	e := &Handler{deps: deps, mux: goji.NewMux()}
	e.mux.HandleFunc(pat.Post("/announce"), e.announce)
	e.mux.HandleFunc(pat.Post("/changes"), e.change)
	e.mux.HandleFunc(pat.Get("/audit"), e.auditTrail)
	e.mux.HandleFunc(pat.Post("/bootstrap"), e.bootstrap)
	e.mux.HandleFunc(pat.Get("/documents/:environment"), e.document)
	e.mux.HandleFunc(pat.Get("/documents/:environment/:revision"), e.documentRevision)
	e.mux.HandleFunc(pat.Get("/waiting/:environment/:revision"), e.waitingInstances)
	if deps.Links != nil {
		e.mux.Handle(pat.Get("/link"), deps.Links)
	}
	e.mux.HandleFunc(pat.Post("/drain/:server"), e.drain)
	e.mux.HandleFunc(pat.Post("/ratings"), e.ratings)
	e.mux.HandleFunc(pat.Get("/status"), e.status)
	e.mux.HandleFunc(pat.Get("/explain/:request"), e.explain)
	e.mux.HandleFunc(pat.Get("/bills"), e.bills)
	e.mux.HandleFunc(pat.Get("/metrics"), e.metrics)
	e.mux.HandleFunc(pat.Get("/healthz"), e.health)
	e.mux.HandleFunc(pat.Get("/readyz"), e.ready)
	return e
}

// ServeHTTP handles one request.
func (e *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// AnnouncementAnswer is the answer to an announcement of a backend server.
type AnnouncementAnswer struct {
	Outcome registrar.Outcome `json:"outcome"`
	Reason  string            `json:"reason,omitempty"`
}

func (e *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var a registrar.Announcement
	if err := e.decodeBody(w, r, &a); err != nil {
		e.writeJSON(w, http.StatusBadRequest, AnnouncementAnswer{Outcome: registrar.OutcomeRefused, Reason: err.Error()})
		return
	}
	outcome, err := e.deps.Announce(r.Context(), a)
	var fields registrar.FieldErrors
	switch {
	case errors.As(err, &fields):
		e.writeJSON(w, http.StatusUnprocessableEntity, AnnouncementAnswer{Outcome: outcome, Reason: err.Error()})
	case err != nil:
		e.writeError(w, http.StatusServiceUnavailable, err)
	default:
		e.writeJSON(w, http.StatusOK, AnnouncementAnswer{Outcome: outcome})
	}
}

func (e *Handler) change(w http.ResponseWriter, r *http.Request) {
	var c changer.Change
	if err := e.decodeBody(w, r, &c); err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	accepted, err := e.deps.SubmitChange(r.Context(), c)
	if err != nil {
		e.writeChangeError(w, err)
		return
	}
	e.writeJSON(w, http.StatusOK, accepted)
}

// writeChangeError writes the status and the answer that match the error.
func (e *Handler) writeChangeError(w http.ResponseWriter, err error) {
	var conflict *changer.ConflictError
	var reused *changer.ReusedIDError
	var invalid *changer.InvalidError
	var problems decoder.Problems
	switch {
	case errors.As(err, &conflict):
		e.writeJSON(w, http.StatusConflict, Result{Reason: err.Error(), Conflict: conflict})
	case errors.As(err, &reused), errors.As(err, &invalid):
		e.writeJSON(w, http.StatusUnprocessableEntity, Result{Reason: err.Error()})
	case errors.As(err, &problems):
		e.writeJSON(w, http.StatusUnprocessableEntity, Result{Reason: "the document has faults", Problems: problems})
	default:
		e.writeError(w, http.StatusServiceUnavailable, err)
	}
}

// Result is the answer to a request that failed, and a plain acknowledgement of one that succeeded.
type Result struct {
	Reason   string                 `json:"reason"`
	Conflict *changer.ConflictError `json:"conflict,omitempty"`
	Problems decoder.Problems       `json:"problems,omitempty"`
}

func (e *Handler) auditTrail(w http.ResponseWriter, r *http.Request) {
	entries, err := e.deps.AuditTrail(r.Context())
	if err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, entries)
}

func (e *Handler) bootstrap(w http.ResponseWriter, r *http.Request) {
	err := e.deps.Bootstrap(r.Context())
	switch {
	case trace.IsAlreadyExists(err):
		e.writeError(w, http.StatusConflict, err)
	case err != nil:
		e.writeError(w, http.StatusUnprocessableEntity, err)
	default:
		e.writeJSON(w, http.StatusOK, Result{Reason: "the record begins"})
	}
}

// Document is the document of an environment with its revision, 0 when the environment has none.
type Document struct {
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"`
	Text        string `json:"document"`
}

func (e *Handler) document(w http.ResponseWriter, r *http.Request) {
	environment := pat.Param(r, "environment")
	revision, text := e.deps.CurrentDocument(environment)
	e.writeJSON(w, http.StatusOK, Document{Environment: environment, Revision: revision, Text: text})
}

// pathRevision returns the revision in the request's path.
func pathRevision(r *http.Request) (int64, error) {
	n, err := strconv.ParseInt(pat.Param(r, "revision"), 10, 64)
	if err != nil || n < 1 {
		return 0, trace.BadParameter("revision %q is not a whole number above 0", pat.Param(r, "revision"))
	}
	return n, nil
}

func (e *Handler) documentRevision(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	environment := pat.Param(r, "environment")
	text, err := e.deps.DocumentText(r.Context(), environment, revision)
	if err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Document{Environment: environment, Revision: revision, Text: text})
}

func (e *Handler) waitingInstances(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	instances, err := e.deps.WaitingInstances(r.Context(), pat.Param(r, "environment"), revision)
	if err != nil {
		e.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	e.writeJSON(w, http.StatusOK, instances)
}

func (e *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if err := e.deps.Drain(r.Context(), pat.Param(r, "server")); err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Result{Reason: "draining"})
}

// maxRatingsPerCall is the largest number of ratings in one request.
const maxRatingsPerCall = 10_000

func (e *Handler) ratings(w http.ResponseWriter, r *http.Request) {
	var ratings []messenger.Rating
	if err := e.decodeBody(w, r, &ratings); err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	if len(ratings) > maxRatingsPerCall {
		e.writeError(w, http.StatusRequestEntityTooLarge, trace.LimitExceeded("%d ratings in one call, at most %d", len(ratings), maxRatingsPerCall))
		return
	}
	e.deps.AddRatings(ratings)
	e.writeJSON(w, http.StatusOK, Result{Reason: "taken"})
}

func (e *Handler) status(w http.ResponseWriter, r *http.Request) {
	e.writeJSON(w, http.StatusOK, e.deps.Status(r.Context()))
}

func (e *Handler) explain(w http.ResponseWriter, r *http.Request) {
	steps, found := e.deps.Explain(pat.Param(r, "request"))
	if !found {
		e.writeJSON(w, http.StatusNotFound, Result{Reason: "this instance does not remember the request"})
		return
	}
	e.writeJSON(w, http.StatusOK, steps)
}

func (e *Handler) bills(w http.ResponseWriter, _ *http.Request) {
	e.writeJSON(w, http.StatusOK, e.deps.Bills())
}

func (e *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Accept") == "application/json" || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(e.deps.Common.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(e.deps.Common.Metrics, w)
}

func (e *Handler) health(w http.ResponseWriter, _ *http.Request) {
	e.writeJSON(w, http.StatusOK, Result{Reason: "ok"})
}

func (e *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := e.deps.CheckReady(); err != nil {
		e.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Result{Reason: "ready"})
}

func (e *Handler) decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func (e *Handler) writeError(w http.ResponseWriter, status int, err error) {
	e.writeJSON(w, status, Result{Reason: err.Error()})
}

func (e *Handler) writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.deps.Common.Log.Debug("answer not written; the client may have closed the connection", "error", err)
	}
}
