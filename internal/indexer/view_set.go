package indexer

import (
	"maps"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Mode says which part of the fleet an instance reaches, which determines the work that it accepts.
type Mode string

// The modes of an instance.
const (
	// ModeConnected means that the instance reaches the record's quorum and does all work.
	ModeConnected Mode = "connected"
	// ModeCutOff means that the instance reaches only a majority of its own data centre and serves what was in force
	// in the whole fleet.
	ModeCutOff Mode = "cut-off"
	// ModeIsolated means that the instance reaches neither and accepts no new work.
	ModeIsolated Mode = "alone"
)

// ViewSet is an immutable set of views, one for each environment; ModeSince is when Mode began, in milliseconds.
type ViewSet struct {
	Views     map[string]*View
	Mode      Mode
	ModeSince timer.Millis
}

// NewViewSet returns a ViewSet without views, in the given mode since now, in milliseconds.
func NewViewSet(mode Mode, now timer.Millis) *ViewSet {
	return &ViewSet{Views: map[string]*View{}, Mode: mode, ModeSince: now}
}

// Environments returns the names of all environments in alphabetical order.
func (s *ViewSet) Environments() []string {
	return slices.Sorted(maps.Keys(s.Views))
}

// Workspace returns the workspace of an API key and the view of its environment, or false when no workspace has the
// key.
func (s *ViewSet) Workspace(key string) (*View, parser.Workspace, bool) {
	for _, v := range s.Views {
		if w, ok := v.Workspace(key); ok {
			return v, w, true
		}
	}
	return nil, parser.Workspace{}, false
}

// WithView returns a copy with the view of one environment added or replaced. It sets Environment, Mode and ModeSince
// of v, so v must not be shared before the call.
func (s *ViewSet) WithView(environment string, v *View) *ViewSet {
	next := *s
	next.Views = maps.Clone(s.Views)
	v.Environment, v.Mode, v.ModeSince = environment, s.Mode, s.ModeSince
	next.Views[environment] = v
	return &next
}

// WithServers returns a copy with the given backend servers in every view; now is in milliseconds.
func (s *ViewSet) WithServers(servers []registrar.BackendServer, now timer.Millis) *ViewSet {
	next := NewViewSet(s.Mode, s.ModeSince)
	for name, v := range s.Views {
		next.Views[name] = v.WithServers(servers, now)
	}
	return next
}

// WithMode returns a copy in the given mode since now, in milliseconds.
func (s *ViewSet) WithMode(mode Mode, now timer.Millis) *ViewSet {
	next := NewViewSet(mode, now)
	for name, v := range s.Views {
		clone := *v
		next = next.WithView(name, &clone)
	}
	return next
}
