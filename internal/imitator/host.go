package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	announceInterval = timer.Second
	announceTimeout  = 2 * time.Second
	headerTimeout    = 10 * time.Second
)

// HostConfig sets where a fake backend server listens and how it announces itself.
type HostConfig struct {
	Listen       string
	AnnounceTo   []string
	Announcement registrar.Announcement
}

// Action is a fault that a fake backend server injects in place of its normal next step.
type Action int

// The actions; an engine injects all of them, a service only ActionCrash, ActionDisconnect, ActionRefuse and
// ActionEndEarly.
const (
	// ActionProceed injects no fault.
	ActionProceed Action = iota
	// ActionCrash crashes an engine that streams; otherwise it aborts the connection.
	ActionCrash
	// ActionDisconnect aborts the connection.
	ActionDisconnect
	// ActionRepeat sends the previous chunk again before the next one.
	ActionRepeat
	// ActionSkip leaves out a chunk.
	ActionSkip
	// ActionStall sends nothing more until the caller disconnects.
	ActionStall
	// ActionRefuse refuses the request before it runs.
	ActionRefuse
	// ActionEndEarly ends the answer without further text.
	ActionEndEarly
)

// host runs the HTTP server and the announcements of one fake backend server and records its runs.
type host struct {
	telemetry   observer.Telemetry
	cfg         HostConfig
	server      *http.Server
	listener    net.Listener
	client      *http.Client
	tomb        tomb.Tomb
	inFlight    atomic.Int64
	sequence    atomic.Int64
	leaving     atomic.Bool
	crashed     atomic.Bool
	announceNow chan struct{}
	mu          sync.Mutex
	runs        []Run
}

// Run records a request that a fake backend server started to execute.
type Run struct {
	RequestID       string `json:"request-id"`
	IdempotencyKey  string `json:"key,omitempty"`
	EngineName      string `json:"engine-name,omitempty"`
	Path            string `json:"path"`
	Attempt         string `json:"attempt"`
	StartedAtMillis int64  `json:"at"`
}

func newHost(telemetry observer.Telemetry, cfg HostConfig) *host {
	return &host{telemetry: telemetry, cfg: cfg, client: &http.Client{Timeout: announceTimeout}, announceNow: make(chan struct{}, 1)}
}

func (h *host) start(handler http.Handler) error {
	listener, err := net.Listen("tcp", h.cfg.Listen)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	h.listener = listener
	h.cfg.Announcement.Address = listener.Addr().String()
	h.server = &http.Server{Handler: h.countInFlight(handler), ReadHeaderTimeout: headerTimeout}
	h.tomb.Go(h.run)
	h.tomb.Go(h.loop)
	return nil
}

// Address returns the host and port on which the server listens.
func (h *host) Address() string {
	return h.listener.Addr().String()
}

// Name returns the announced name of the backend server.
func (h *host) Name() string {
	return h.cfg.Announcement.Name
}

// Runs returns a copy of the runs that have started so far.
func (h *host) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// leaveGrace is how long a leaving server still accepts requests.
// Every instance must stop sending within 3 s of the announcement.
const leaveGrace = 3 * timer.Second

// Leave announces that the server leaves, serves requests for another 3 s, waits for the requests in flight and stops.
// It returns the error of ctx when ctx ends first.
func (h *host) Leave(ctx context.Context) error {
	h.leaving.Store(true)
	h.announce()
	if err := h.telemetry.Clock.Sleep(ctx, leaveGrace); err != nil {
		return trace.Wrap(err)
	}
	if err := h.server.Shutdown(ctx); err != nil {
		return trace.Wrap(err)
	}
	return h.stop()
}

// Crash closes every connection at once and stops the announcements.
func (h *host) Crash() error {
	h.crashed.Store(true)
	if err := h.server.Close(); err != nil {
		return trace.Wrap(err)
	}
	return h.stop()
}

// Crashed reports whether the server has crashed.
func (h *host) Crashed() bool {
	return h.crashed.Load()
}

// crashInHandler crashes the server from within a request handler and aborts that handler.
func (h *host) crashInHandler() {
	h.crashed.Store(true)
	_ = h.server.Close()
	h.tomb.Kill(nil)
	breakConnection()
}

func (h *host) stop() error {
	h.tomb.Kill(nil)
	return trace.Wrap(h.tomb.Wait())
}

func (h *host) run() error {
	if err := h.server.Serve(h.listener); err != nil && err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

func (h *host) loop() error {
	for {
		h.announce()
		select {
		case <-h.telemetry.Clock.After(announceInterval):
		case <-h.announceNow:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

// announce posts an announcement to each configured instance; an instance that it cannot reach gets the next one.
func (h *host) announce() {
	a := h.cfg.Announcement
	a.Sequence = h.sequence.Add(1)
	a.Load = registrar.Load{Running: int(h.inFlight.Load())}
	a.Leaving = h.leaving.Load()
	body, err := json.Marshal(a)
	if err != nil {
		h.telemetry.Log.Error("announcement cannot be encoded", "error", err)
		return
	}
	for _, address := range h.cfg.AnnounceTo {
		if err := h.post(address, body); err != nil {
			h.telemetry.Log.Debug("announcement failed", "instance", address, "error", err)
		}
	}
}

func (h *host) post(address string, body []byte) error {
	res, err := h.client.Post("http://"+address+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// countInFlight counts the requests in flight for the load in the announcements.
func (h *host) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (h *host) recordRun(r *http.Request, engineName string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, Run{
		RequestID: r.Header.Get(receiver.HeaderRequestID), IdempotencyKey: r.Header.Get(receiver.HeaderIdempotencyKey),
		EngineName: engineName, Path: r.Method + " " + r.URL.Path, Attempt: r.Header.Get("X-Attempt"), StartedAtMillis: time.Now().UnixMilli(),
	})
}

// breakConnection aborts the handler, which closes the caller's connection without a complete answer.
func breakConnection() {
	panic(http.ErrAbortHandler)
}

// refuse answers 503 and reports in the header that the request did not run. The id shows that this is no copy of an earlier
// refusal.
func refuse(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set(receiver.HeaderRequestID, r.Header.Get(receiver.HeaderRequestID))
	w.Header().Set(receiver.HeaderRan, string(receiver.RanNo))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
