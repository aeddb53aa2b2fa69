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
	// ModeAlone means that the instance reaches neither and accepts no new work.
	ModeAlone Mode = "alone"
)

// Set is an immutable set of views, one for each environment; Since is when Mode began, in milliseconds.
type Set struct {
	Views map[string]*View
	Mode  Mode
	Since timer.Millis
}

// NewSet returns a Set without views, in the given mode since now, in milliseconds.
func NewSet(mode Mode, now timer.Millis) *Set {
	return &Set{Views: map[string]*View{}, Mode: mode, Since: now}
}

// Environments returns the names of all environments in alphabetical order.
func (s *Set) Environments() []string {
	return slices.Sorted(maps.Keys(s.Views))
}

// Workspace returns the workspace of an API key and the view of its environment, or false when no workspace has the
// key.
func (s *Set) Workspace(key string) (*View, parser.Workspace, bool) {
	for _, v := range s.Views {
		if w, ok := v.Workspace(key); ok {
			return v, w, true
		}
	}
	return nil, parser.Workspace{}, false
}

// WithView returns a copy with the view of one environment added or replaced. It sets Environment, Mode and ModeSince
// of v, so v must not be shared before the call.
func (s *Set) WithView(environment string, v *View) *Set {
	next := *s
	next.Views = maps.Clone(s.Views)
	v.Environment, v.Mode, v.ModeSince = environment, s.Mode, s.Since
	next.Views[environment] = v
	return &next
}

// WithServers returns a copy with the given backend servers in every view; now is in milliseconds.
func (s *Set) WithServers(servers []registrar.BackendServer, now timer.Millis) *Set {
	next := NewSet(s.Mode, s.Since)
	for name, v := range s.Views {
		next.Views[name] = v.WithServers(servers, now)
	}
	return next
}

// WithMode returns a copy in the given mode since now, in milliseconds.
func (s *Set) WithMode(mode Mode, now timer.Millis) *Set {
	next := NewSet(mode, now)
	for name, v := range s.Views {
		clone := *v
		next = next.WithView(name, &clone)
	}
	return next
}
