package imitator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// ServiceConfig sets the speed and the injected faults of a fake plain service.
type ServiceConfig struct {
	Host  HostConfig
	Delay timer.Millis
	// CrashOn is a text that crashes the service when an order contains it; empty for none.
	CrashOn string
	// ActionForCall returns the action for a call; beforeWork is true before the call's work and false after it.
	// Nil means that no fault is injected.
	ActionForCall func(requestID string, beforeWork bool) Action
}

// Service is a fake plain service that accepts orders and answers look-ups.
type Service struct {
	*host
	cfg ServiceConfig
}

// NewService returns a service that is not started yet.
func NewService(telemetry observer.Telemetry, cfg ServiceConfig) *Service {
	return &Service{host: newHost(telemetry, cfg.Host), cfg: cfg}
}

// Start begins to listen and to announce the service; it fails when the address cannot be bound.
func (s *Service) Start() error {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/orders"), s.handleOrder)
	mux.HandleFunc(pat.Get("/catalogue/*"), s.handleLookUp)
	mux.HandleFunc(pat.Get("/delivery/*"), s.handleLookUp)
	return s.start(mux)
}

func (s *Service) actionFor(r *http.Request, beforeWork bool) Action {
	if s.cfg.ActionForCall == nil {
		return ActionProceed
	}
	return s.cfg.ActionForCall(r.Header.Get(receiver.HeaderRequestID), beforeWork)
}

// handleOrder executes an order, which is not idempotent and must not run twice.
func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch s.actionFor(r, true) {
	case ActionRefuse:
		refuse(w, r, "closing")
		return
	case ActionDisconnect, ActionCrash:
		breakConnection()
	}
	s.recordRun(r, "")
	if s.cfg.CrashOn != "" && strings.Contains(string(body), s.cfg.CrashOn) {
		s.crashInHandler()
	}
	if err := s.telemetry.Clock.Sleep(r.Context(), s.cfg.Delay); err != nil {
		return
	}
	if a := s.actionFor(r, false); a == ActionDisconnect || a == ActionCrash {
		breakConnection()
	}
	answer, err := json.Marshal(map[string]any{"order": r.Header.Get(receiver.HeaderRequestID), "received": len(body)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(answer)
}

func (s *Service) handleLookUp(w http.ResponseWriter, r *http.Request) {
	switch s.actionFor(r, true) {
	case ActionRefuse:
		refuse(w, r, "closing")
		return
	case ActionDisconnect, ActionCrash:
		breakConnection()
	case ActionEndEarly:
		return
	}
	s.recordRun(r, "")
	if err := s.telemetry.Clock.Sleep(r.Context(), s.cfg.Delay); err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"item":%q,"state":"in stock"}`, r.URL.Path)
}
