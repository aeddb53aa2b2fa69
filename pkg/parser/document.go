package parser

import (
	"cmp"
	"slices"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Environment is the name of the environment and the defaults of its workspaces.
type Environment struct {
	Name          string        `ini:"name" required:"yes" doc:"Name of the environment, such as trial or production."`
	QualityTarget decoder.Share `ini:"quality-target" default:"80%" doc:"Share of answers that must be good, for workspaces that set none."`
}

// DataCentre is a data centre where instances and backend servers run.
type DataCentre struct {
	Name   string `doc:"Second word of the section header."`
	Region string `ini:"region" required:"yes" doc:"Region that the data centre lies in."`
}

// Path is the network path between two regions, in both directions.
type Path struct {
	From             string       `doc:"Second word of the section header."`
	To               string       `doc:"Third word of the section header."`
	Delay            timer.Millis `ini:"delay" required:"yes" max:"10s" doc:"One-way delay between the regions."`
	PricePerGigabyte float64      `ini:"price-per-gigabyte" default:"0" min:"0" doc:"Price of a gigabyte of traffic, in the unit of the prices."`
}

// Model is a model name of the API and the versions that serve it.
type Model struct {
	Name    string   `doc:"Second word of the section header."`
	Cascade []string `ini:"cascade" required:"yes" doc:"Versions that serve the model, from cheap to costly."`
}

// Version is a version of a model, with its name on the engines, its prices and its expected quality.
type Version struct {
	Name          string        `doc:"Second word of the section header."`
	Model         string        `ini:"model" required:"yes" doc:"Model that the version belongs to."`
	EngineName    string        `ini:"engine-name" required:"yes" doc:"Name that the engines know the version by."`
	InputPrice    float64       `ini:"input-price" required:"yes" min:"0" doc:"Price of 1,000 prompt tokens."`
	OutputPrice   float64       `ini:"output-price" required:"yes" min:"0" doc:"Price of 1,000 generated tokens."`
	Quality       decoder.Share `ini:"quality" required:"yes" doc:"Share of answers expected to be good before ratings arrive."`
	Withdrawn     bool          `ini:"withdrawn" default:"no" doc:"Whether the version receives no new work."`
	WhenWithdrawn string        `ini:"when-withdrawn" default:"refuse" accept:"refuse|move" doc:"What happens to sessions that are pinned to the version once it is withdrawn."`
	WhenCutOff    string        `ini:"when-cut-off" default:"serve" accept:"serve|refuse" doc:"Whether a data centre that is cut off serves the version."`
	CutOffLimit   timer.Millis  `ini:"cut-off-limit" default:"30m" doc:"Longest time that a data centre which is cut off serves the version."`
}

// RollOut sends a share of the sessions of one version to a new version that is to replace it.
type RollOut struct {
	Version    string        `doc:"Second word of the section header: the version that is brought in."`
	Replaces   string        `ini:"replaces" required:"yes" doc:"Version in the cascade whose requests it takes over."`
	Share      decoder.Share `ini:"share" required:"yes" doc:"Share of sessions that start on the new version."`
	MaxExposed int           `ini:"max-exposed" default:"1000" min:"1" doc:"Most requests that may run on the new version at this step."`
}

// Service is a plain HTTP service; the router routes requests to it as well as to model engines.
type Service struct {
	Name    string       `doc:"Second word of the section header."`
	Timeout timer.Millis `ini:"timeout" default:"10s" min:"10ms" doc:"Longest time that one call may take."`
}

// Route is one method and path prefix of a plain service.
type Route struct {
	Service    string  `doc:"Second word of the section header."`
	Name       string  `doc:"Third word of the section header."`
	Method     string  `ini:"method" required:"yes" accept:"GET|HEAD|POST|PUT|PATCH|DELETE" doc:"HTTP method that the route takes."`
	Path       string  `ini:"path" required:"yes" doc:"Path prefix below the service, ending at a slash or at the end of the path."`
	Idempotent bool    `ini:"idempotent" required:"yes" doc:"Whether a call may be repeated without effect."`
	RequireKey bool    `ini:"require-key" default:"no" doc:"Whether callers must send an Idempotency-Key, so that a resend is known as one."`
	Price      float64 `ini:"price" default:"0" min:"0" doc:"Price of one call."`
	Priority   int     `ini:"priority" default:"5" min:"0" max:"9" doc:"Place in the order of shedding under overload; 0 is shed first."`
}

// Workspace is one customer with its API keys, permissions and limits.
type Workspace struct {
	Name          string           `doc:"Second word of the section header."`
	KeyDigests    []decoder.Digest `ini:"key-digests" required:"yes" doc:"SHA-256 digests of the workspace's API keys."`
	Models        []string         `ini:"models" doc:"Models that the workspace may use."`
	Versions      []string         `ini:"versions" doc:"Versions that the workspace may use; every version of its models when empty."`
	Services      []string         `ini:"services" doc:"Plain services that the workspace may use."`
	QualityTarget decoder.Share    `ini:"quality-target" doc:"Share of answers that must be good; the environment's when empty."`
	Weight        int              `ini:"weight" default:"1" min:"1" max:"1000" doc:"Weight of the workspace when capacity is short."`
	MaxInFlight   int              `ini:"max-in-flight" default:"64" min:"1" max:"100000" doc:"Most requests of the workspace that run at once on one instance."`
	MaxWaiting    int              `ini:"max-waiting" default:"64" min:"0" max:"100000" doc:"Most requests of the workspace that wait at once on one instance."`
	Priority      int              `ini:"priority" default:"5" min:"0" max:"9" doc:"Place in the order of shedding under overload; 0 is shed first."`
}

// Document is an immutable, validated environment document.
type Document struct {
	Environment Environment
	DataCentres []DataCentre
	Paths       []Path
	Models      []Model
	Versions    []Version
	RollOuts    []RollOut
	Services    []Service
	Routes      []Route
	Workspaces  []Workspace
}

// Version returns the version with the given name.
func (d *Document) Version(name string) (Version, bool) {
	return find(d.Versions, func(v Version) bool { return v.Name == name })
}

// Model returns the model with the given name.
func (d *Document) Model(name string) (Model, bool) {
	return find(d.Models, func(m Model) bool { return m.Name == name })
}

// Service returns the plain service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// Workspace returns the workspace with the given name.
func (d *Document) Workspace(name string) (Workspace, bool) {
	return find(d.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// RollOutReplacing returns the roll-out that replaces the given version.
func (d *Document) RollOutReplacing(replaces string) (RollOut, bool) {
	return find(d.RollOuts, func(r RollOut) bool { return r.Replaces == replaces })
}

// RollOutTo returns the roll-out that introduces the given version.
func (d *Document) RollOutTo(version string) (RollOut, bool) {
	return find(d.RollOuts, func(r RollOut) bool { return r.Version == version })
}

// RegionOf returns the region of a data centre, or an empty string if the document has no such data centre.
func (d *Document) RegionOf(dataCentre string) string {
	dc, _ := find(d.DataCentres, func(x DataCentre) bool { return x.Name == dataCentre })
	return dc.Region
}

// Path returns the path between two regions in either direction.
func (d *Document) Path(a, b string) (Path, bool) {
	return find(d.Paths, func(p Path) bool {
		return p.From == a && p.To == b || p.From == b && p.To == a
	})
}

// QualityTarget returns the quality target of a workspace, which defaults to that of the environment.
func (d *Document) QualityTarget(w Workspace) decoder.Share {
	return cmp.Or(w.QualityTarget, d.Environment.QualityTarget)
}

// WithVersion returns a copy of the document in which v replaces the version with the same name.
func (d *Document) WithVersion(v Version) *Document {
	c := *d
	c.Versions = slices.Clone(d.Versions)
	for i := range c.Versions {
		if c.Versions[i].Name == v.Name {
			c.Versions[i] = v
		}
	}
	return &c
}

// WithRollOut returns a copy of the document with the roll-out added; it replaces any roll-out of the same version.
func (d *Document) WithRollOut(r RollOut) *Document {
	c := *d
	c.RollOuts = slices.DeleteFunc(slices.Clone(d.RollOuts), func(x RollOut) bool { return x.Version == r.Version })
	c.RollOuts = append(c.RollOuts, r)
	return &c
}

// WithEnvironmentAndWorkspacesOf returns a copy of the document with the environment section and the workspaces of
// another document.
func (d *Document) WithEnvironmentAndWorkspacesOf(other *Document) *Document {
	c := *d
	c.Environment = other.Environment
	c.Workspaces = other.Workspaces
	return &c
}

// WithWorkspace returns a copy of the document in which w replaces the workspace with the same name.
func (d *Document) WithWorkspace(w Workspace) *Document {
	c := *d
	c.Workspaces = slices.Clone(d.Workspaces)
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == w.Name {
			c.Workspaces[i] = w
		}
	}
	return &c
}

// MayUse reports whether the workspace may use the version.
func (w Workspace) MayUse(v Version) bool {
	if !slices.Contains(w.Models, v.Model) {
		return false
	}
	return len(w.Versions) == 0 || slices.Contains(w.Versions, v.Name)
}

// MayUseService reports whether the workspace may use the plain service.
func (w Workspace) MayUseService(service string) bool {
	return slices.Contains(w.Services, service)
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}
