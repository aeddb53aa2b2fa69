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
	announceEvery   = timer.Second
	announceTimeout = 2 * time.Second
	headerTimeout   = 10 * time.Second
)

// HostConfig says how a stand-in listens and announces itself.
type HostConfig struct {
	Listen       string
	AnnounceTo   []string
	Announcement registrar.Announcement
}

// Action is what a stand-in does in place of its ordinary next step.
type Action int

// The actions that tests bring about.
const (
	ActionGo Action = iota
	ActionCrash
	ActionCut
	ActionRepeat
	ActionSkip
	ActionStall
	ActionRefuse
	ActionEmpty
)

// host listens, announces and counts for one stand-in.
type host struct {
	common   observer.Common
	cfg      HostConfig
	server   *http.Server
	listener net.Listener
	client   *http.Client
	tomb     tomb.Tomb
	running  atomic.Int64
	sequence atomic.Int64
	leaving  atomic.Bool
	crashed  atomic.Bool
	kick     chan struct{}
	mu       sync.Mutex
	runs     []Run
}

// Run is one piece of work that a stand-in really began.
type Run struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key,omitempty"`
	Engine    string `json:"engine-name,omitempty"`
	Path      string `json:"path"`
	Attempt   string `json:"attempt"`
	At        int64  `json:"at"`
}

func newHost(common observer.Common, cfg HostConfig) *host {
	return &host{common: common, cfg: cfg, client: &http.Client{Timeout: announceTimeout}, kick: make(chan struct{}, 1)}
}

func (h *host) start(handler http.Handler) error {
	listener, err := net.Listen("tcp", h.cfg.Listen)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	h.listener = listener
	h.cfg.Announcement.Address = listener.Addr().String()
	h.server = &http.Server{Handler: h.count(handler), ReadHeaderTimeout: headerTimeout}
	h.tomb.Go(h.run)
	h.tomb.Go(h.loop)
	return nil
}

// Address returns where the stand-in listens.
func (h *host) Address() string {
	return h.listener.Addr().String()
}

// Name returns the name that the stand-in announces.
func (h *host) Name() string {
	return h.cfg.Announcement.Name
}

// Runs returns the work that was begun so far.
func (h *host) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// serveOn is how long a leaving server still takes requests: the 3 s within which every instance must have stopped sending.
const serveOn = 3 * timer.Second

// Leave announces that the stand-in leaves, serves on until every instance has heard, waits for its work to end and stops.
func (h *host) Leave(ctx context.Context) error {
	h.leaving.Store(true)
	h.announce()
	if err := h.common.Clock.Sleep(ctx, serveOn); err != nil {
		return trace.Wrap(err)
	}
	if err := h.server.Shutdown(ctx); err != nil {
		return trace.Wrap(err)
	}
	return h.stop()
}

// Crash breaks every connection at once and falls silent.
func (h *host) Crash() error {
	h.crashed.Store(true)
	if err := h.server.Close(); err != nil {
		return trace.Wrap(err)
	}
	return h.stop()
}

// Crashed reports whether the stand-in went down.
func (h *host) Crashed() bool {
	return h.crashed.Load()
}

// goDown breaks every connection from within a request, and falls silent.
func (h *host) goDown() {
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
		case <-h.common.Clock.After(announceEvery):
		case <-h.kick:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

// announce tells every given instance; one that cannot be reached hears it a second later.
func (h *host) announce() {
	a := h.cfg.Announcement
	a.Sequence = h.sequence.Add(1)
	a.Load = registrar.Load{Running: int(h.running.Load())}
	a.Leaving = h.leaving.Load()
	body, err := json.Marshal(a)
	if err != nil {
		h.common.Log.Error("announcement unprintable", "error", err)
		return
	}
	for _, address := range h.cfg.AnnounceTo {
		if err := h.post(address, body); err != nil {
			h.common.Log.Debug("announcement not taken", "instance", address, "error", err)
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

// count keeps the number of running requests that the load report gives.
func (h *host) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.running.Add(1)
		defer h.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (h *host) note(r *http.Request, engine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, Run{
		RequestID: r.Header.Get(receiver.HeaderRequestID), Key: r.Header.Get(receiver.HeaderIdempotency),
		Engine: engine, Path: r.Method + " " + r.URL.Path, Attempt: r.Header.Get("X-Attempt"), At: time.Now().UnixMilli(),
	})
}

// breakConnection drops the caller's connection in the middle.
func breakConnection() {
	panic(http.ErrAbortHandler)
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(receiver.HeaderRan, string(receiver.RanNo))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
