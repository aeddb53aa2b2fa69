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
	Common   observer.Common
	Announce func(context.Context, registrar.Announcement) (registrar.Outcome, error)
	Change   func(context.Context, changer.Change) (changer.Accepted, error)
	// Links accepts links from other instances; nil when links have a separate listen address.
	Links     http.Handler
	Bootstrap func(context.Context) error
	// Trail returns the audit trail.
	Trail func(context.Context) ([]auditor.Entry, error)
	// Text returns the text of an earlier or current revision of an environment's document.
	Text func(ctx context.Context, environment string, revision int64) (string, error)
	// Waiting lists the instances that do not have the revision in force yet.
	Waiting func(ctx context.Context, environment string, revision int64) ([]messenger.WaitingInstance, error)
	Ratings func([]messenger.Rating)
	Drain   func(ctx context.Context, server string) error
	Status  func(context.Context) Status
	// Document returns the document in force and its revision, 0 when the environment has none.
	Document func(environment string) (revision int64, text string)
	Explain  func(requestID string) ([]explainer.Step, bool)
	Bills    func() []biller.Bill
	// Ready returns why the instance is not ready to serve, nil when it is.
	Ready func() error
}

// Edge is the HTTP handler of the control API.
type Edge struct {
	deps Deps
	mux  *goji.Mux
}

// NewEdge returns the HTTP handler of the control API.
func NewEdge(deps Deps) *Edge {
	e := &Edge{deps: deps, mux: goji.NewMux()}
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
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// AnnouncementAnswer is the answer to an announcement of a backend server.
type AnnouncementAnswer struct {
	Outcome registrar.Outcome `json:"outcome"`
	Reason  string            `json:"reason,omitempty"`
}

func (e *Edge) announce(w http.ResponseWriter, r *http.Request) {
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

func (e *Edge) change(w http.ResponseWriter, r *http.Request) {
	var c changer.Change
	if err := e.decodeBody(w, r, &c); err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	accepted, err := e.deps.Change(r.Context(), c)
	if err != nil {
		e.writeChangeError(w, err)
		return
	}
	e.writeJSON(w, http.StatusOK, accepted)
}

// writeChangeError writes the status and the answer that match the error.
func (e *Edge) writeChangeError(w http.ResponseWriter, err error) {
	var conflict *changer.ConflictError
	var reused *changer.ReusedIDError
	var invalid *changer.InvalidError
	var problems decoder.Problems
	switch {
	case errors.As(err, &conflict):
		e.writeJSON(w, http.StatusConflict, Refused{Reason: err.Error(), Conflict: conflict})
	case errors.As(err, &reused), errors.As(err, &invalid):
		e.writeJSON(w, http.StatusUnprocessableEntity, Refused{Reason: err.Error()})
	case errors.As(err, &problems):
		e.writeJSON(w, http.StatusUnprocessableEntity, Refused{Reason: "the document has faults", Problems: problems})
	default:
		e.writeError(w, http.StatusServiceUnavailable, err)
	}
}

// Refused is the answer to a request that failed, and a plain acknowledgement of one that succeeded.
type Refused struct {
	Reason   string                 `json:"reason"`
	Conflict *changer.ConflictError `json:"conflict,omitempty"`
	Problems decoder.Problems       `json:"problems,omitempty"`
}

func (e *Edge) auditTrail(w http.ResponseWriter, r *http.Request) {
	entries, err := e.deps.Trail(r.Context())
	if err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, entries)
}

func (e *Edge) bootstrap(w http.ResponseWriter, r *http.Request) {
	err := e.deps.Bootstrap(r.Context())
	switch {
	case trace.IsAlreadyExists(err):
		e.writeError(w, http.StatusConflict, err)
	case err != nil:
		e.writeError(w, http.StatusUnprocessableEntity, err)
	default:
		e.writeJSON(w, http.StatusOK, Refused{Reason: "the record begins"})
	}
}

// Document is the document of an environment with its revision, 0 when the environment has none.
type Document struct {
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"`
	Text        string `json:"document"`
}

func (e *Edge) document(w http.ResponseWriter, r *http.Request) {
	environment := pat.Param(r, "environment")
	revision, text := e.deps.Document(environment)
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

func (e *Edge) documentRevision(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	environment := pat.Param(r, "environment")
	text, err := e.deps.Text(r.Context(), environment, revision)
	if err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Document{Environment: environment, Revision: revision, Text: text})
}

func (e *Edge) waitingInstances(w http.ResponseWriter, r *http.Request) {
	revision, err := pathRevision(r)
	if err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	instances, err := e.deps.Waiting(r.Context(), pat.Param(r, "environment"), revision)
	if err != nil {
		e.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	e.writeJSON(w, http.StatusOK, instances)
}

func (e *Edge) drain(w http.ResponseWriter, r *http.Request) {
	if err := e.deps.Drain(r.Context(), pat.Param(r, "server")); err != nil {
		e.writeError(w, http.StatusNotFound, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Refused{Reason: "draining"})
}

// maxRatingsPerCall is the largest number of ratings in one request.
const maxRatingsPerCall = 10_000

func (e *Edge) ratings(w http.ResponseWriter, r *http.Request) {
	var ratings []messenger.Rating
	if err := e.decodeBody(w, r, &ratings); err != nil {
		e.writeError(w, http.StatusBadRequest, err)
		return
	}
	if len(ratings) > maxRatingsPerCall {
		e.writeError(w, http.StatusRequestEntityTooLarge, trace.LimitExceeded("%d ratings in one call, at most %d", len(ratings), maxRatingsPerCall))
		return
	}
	e.deps.Ratings(ratings)
	e.writeJSON(w, http.StatusOK, Refused{Reason: "taken"})
}

func (e *Edge) status(w http.ResponseWriter, r *http.Request) {
	e.writeJSON(w, http.StatusOK, e.deps.Status(r.Context()))
}

func (e *Edge) explain(w http.ResponseWriter, r *http.Request) {
	steps, found := e.deps.Explain(pat.Param(r, "request"))
	if !found {
		e.writeJSON(w, http.StatusNotFound, Refused{Reason: "this instance does not remember the request"})
		return
	}
	e.writeJSON(w, http.StatusOK, steps)
}

func (e *Edge) bills(w http.ResponseWriter, _ *http.Request) {
	e.writeJSON(w, http.StatusOK, e.deps.Bills())
}

func (e *Edge) metrics(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Accept") == "application/json" || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(e.deps.Common.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(e.deps.Common.Metrics, w)
}

func (e *Edge) health(w http.ResponseWriter, _ *http.Request) {
	e.writeJSON(w, http.StatusOK, Refused{Reason: "ok"})
}

func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if err := e.deps.Ready(); err != nil {
		e.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	e.writeJSON(w, http.StatusOK, Refused{Reason: "ready"})
}

func (e *Edge) decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func (e *Edge) writeError(w http.ResponseWriter, status int, err error) {
	e.writeJSON(w, status, Refused{Reason: err.Error()})
}

func (e *Edge) writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.deps.Common.Log.Debug("answer not written; the client may have closed the connection", "error", err)
	}
}
