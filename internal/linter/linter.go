package linter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Kind says what a finding is about.
type Kind string

// The kinds of findings.
const (
	// KindUnmatched is an entry that no request can match.
	KindUnmatched Kind = "never-matches"
	// KindContradiction is a limit that another one makes useless.
	KindContradiction Kind = "contradiction"
)

// Finding is one thing that is probably not meant.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the route, service or workspace.
	Entry string `json:"entry"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// Fleet is what is known of the fleet that the policy is for; the zero value leaves the checks out that need it.
type Fleet struct {
	// RegionOf is the region of each data centre.
	RegionOf map[string]string
	// Instances is the number of entry instances.
	Instances int
}

// check collects the findings on one policy.
type check struct {
	policy *matcher.Policy
	fleet  Fleet
	list   []Finding
}

// Lint returns the findings on a policy, sorted by entry.
func Lint(p *matcher.Policy, fleet Fleet) []Finding {
	c := &check{policy: p, fleet: fleet}
	for _, r := range p.Routes {
		c.checkRoute(r)
	}
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		c.checkService(p.Services[name])
	}
	for _, w := range p.Workspaces {
		c.checkWorkspace(w)
	}
	slices.SortStableFunc(c.list, func(a, b Finding) int { return cmp.Compare(a.Entry, b.Entry) })
	return c.list
}

func (c *check) add(kind Kind, entry, format string, args ...any) {
	c.list = append(c.list, Finding{Kind: kind, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

func (c *check) checkRoute(r matcher.Route) {
	entry := "route " + r.Name
	c.checkMatching(entry, r)
	c.checkTimes(entry, r)
	c.checkAttempts(entry, r)
	c.checkRegions(entry, r.Regions)
}

// checkMatching finds what no request of a route can match.
func (c *check) checkMatching(entry string, r matcher.Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(KindUnmatched, entry, "the prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Host == "" {
		c.add(KindUnmatched, entry, "it has no host")
	}
	for _, share := range r.Shares {
		if share.Weight == 0 {
			c.add(KindUnmatched, entry, "the service %s has the weight 0", share.Service)
		}
		c.checkModels(entry, r, c.policy.Services[share.Service])
	}
}

// checkTimes finds times that contradict each other.
func (c *check) checkTimes(entry string, r matcher.Route) {
	if r.TargetLatency > r.Timeout {
		c.add(KindContradiction, entry, "the target of %v is longer than the time limit of %v", r.TargetLatency, r.Timeout)
	}
	if r.TargetGap > r.Timeout {
		c.add(KindContradiction, entry, "the target for pauses of %v is longer than the time limit of %v", r.TargetGap, r.Timeout)
	}
	if r.TargetGap > 0 && r.Kind != matcher.KindStreaming {
		c.add(KindContradiction, entry, "it has a target for pauses and is no stream")
	}
}

// checkAttempts finds what needs more attempts than the route allows.
func (c *check) checkAttempts(entry string, r matcher.Route) {
	if r.Resumable && r.Kind != matcher.KindStreaming {
		c.add(KindContradiction, entry, "it is resumable and no stream")
	}
	if r.Resumable && r.MaxAttempts < 2 {
		c.add(KindContradiction, entry, "its streams may be resumed, but not by a second attempt: max_attempts is %d", r.MaxAttempts)
	}
	if len(r.Models) > 1 && (!r.IsRetryable() || r.MaxAttempts < 2) {
		c.add(KindContradiction, entry, "it names %d models, but no second attempt may ask a larger one", len(r.Models))
	}
}

// checkModels finds models that a service does not have.
func (c *check) checkModels(entry string, r matcher.Route, s matcher.Service) {
	for _, name := range r.Models {
		if !slices.ContainsFunc(s.Models, func(m matcher.Model) bool { return m.Name == name }) {
			c.add(KindUnmatched, entry, "the service %s has no model %s", s.Name, name)
		}
	}
}

func (c *check) checkRegions(entry string, regions []string) {
	if len(c.fleet.RegionOf) == 0 {
		return
	}
	known := slices.Collect(maps.Values(c.fleet.RegionOf))
	for _, region := range regions {
		if !slices.Contains(known, region) {
			c.add(KindUnmatched, entry, "no data centre lies in the region %s", region)
		}
	}
}

func (c *check) checkService(s matcher.Service) {
	entry := "service " + s.Name
	isNamed := func(r matcher.Route) bool {
		return slices.ContainsFunc(r.Shares, func(share matcher.Share) bool { return share.Service == s.Name })
	}
	if !slices.ContainsFunc(c.policy.Routes, isNamed) {
		c.add(KindUnmatched, entry, "no route names it")
	}
	if c.fleet.Instances > 0 && s.MaxConns > 0 && s.MaxConns < c.fleet.Instances {
		c.add(KindContradiction, entry, "a server takes %d connections from %d instances", s.MaxConns, c.fleet.Instances)
	}
	if s.ColdRate > 0 && s.ColdStart == 0 {
		c.add(KindContradiction, entry, "it has a rate for cold servers, which are cold for no time")
	}
	if s.ColdStart > 0 && s.ColdRate > 0 && s.ColdRate < 1 {
		c.add(KindContradiction, entry, "a cold server bears %g requests a second: it gets its first one after %.1f s", s.ColdRate, 1/s.ColdRate)
	}
	for _, m := range s.Models {
		if !slices.ContainsFunc(c.policy.Routes, func(r matcher.Route) bool { return len(r.Models) == 0 || slices.Contains(r.Models, m.Name) }) {
			c.add(KindUnmatched, entry, "no route names its model %s", m.Name)
		}
	}
}

func (c *check) checkWorkspace(w matcher.Workspace) {
	entry := "workspace " + w.Name
	if len(w.APIKeys) == 0 {
		c.add(KindUnmatched, entry, "it has no key")
	}
	c.checkRegions(entry, w.Regions)
	if len(w.Regions) == 0 {
		return
	}
	for _, r := range c.policy.Routes {
		isShared := slices.ContainsFunc(r.Regions, func(region string) bool { return slices.Contains(w.Regions, region) })
		if len(r.Regions) > 0 && !isShared && !r.AuthExempt {
			c.add(KindContradiction, entry, "it shares no region with route %s, which refuses all of its requests", r.Name)
		}
	}
}
