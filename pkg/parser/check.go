package parser

import (
	"fmt"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// checker validates the document beyond single keys, mainly the references between sections.
type checker struct {
	src      *decoder.Source
	doc      *Document
	problems decoder.Problems
}

func (c *checker) addProblem(section, key, reason, accepted string) {
	c.problems = append(c.problems, c.src.NewProblem(section, key, reason, accepted))
}

func (c *checker) check() decoder.Problems {
	c.checkEnvironment()
	c.checkPaths()
	c.checkModels()
	c.checkVersions()
	c.checkRollOuts()
	c.checkRoutes()
	c.checkWorkspaces()
	return c.problems
}

func (c *checker) checkEnvironment() {
	if c.src.Line("environment", "") == 0 {
		c.addProblem("environment", "", "the section is missing", "[environment] with a name")
		return
	}
	name := c.doc.Environment.Name
	if name != "" && !namePattern.MatchString(name) {
		c.addProblem("environment", "name", "malformed name "+name, "lower-case letters, digits, dots and hyphens")
	}
}

func (c *checker) checkPaths() {
	regions := map[string]bool{}
	for _, dc := range c.doc.DataCentres {
		regions[dc.Region] = true
	}
	seen := map[[2]string]bool{}
	for _, p := range c.doc.Paths {
		section := "path " + p.From + " " + p.To
		for _, region := range []string{p.From, p.To} {
			if !regions[region] {
				c.addProblem(section, "", "no data centre lies in region "+region, joinSorted(regions))
			}
		}
		if p.From == p.To {
			c.addProblem(section, "", "the path ends where it starts", "two different regions")
		}
		if seen[[2]string{p.To, p.From}] {
			c.addProblem(section, "", "the same path stands already the other way round", "each pair of regions once")
		}
		seen[[2]string{p.From, p.To}] = true
	}
}

func (c *checker) checkModels() {
	for _, m := range c.doc.Models {
		section := "model " + m.Name
		activeVersions := 0
		var previous *Version
		for _, name := range m.Cascade {
			v, ok := c.doc.Version(name)
			if !ok || v.Model != m.Name {
				c.addProblem(section, "cascade", "the model has no version "+name, c.versionNamesOf(m.Name))
				continue
			}
			if !v.Withdrawn {
				activeVersions++
			}
			if previous != nil && cascadePrice(v) < cascadePrice(*previous) {
				reason := fmt.Sprintf("%s costs less than %s, which stands before it", v.Name, previous.Name)
				c.addProblem(section, "cascade", reason, "versions from cheap to costly")
			}
			previous = &v
		}
		if activeVersions == 0 && len(m.Cascade) > 0 {
			c.addProblem(section, "cascade", "every version in it is withdrawn", "at least one version in force")
		}
	}
}

// cascadePrice returns the price by which a cascade is ordered, an approximation of the cost of an answer of ordinary
// length: the price of 1,000 prompt tokens plus that of 1,000 generated tokens.
func cascadePrice(v Version) float64 {
	return v.InputPrice + v.OutputPrice
}

func (c *checker) versionNamesOf(model string) string {
	var names []string
	for _, v := range c.doc.Versions {
		if v.Model == model {
			names = append(names, v.Name)
		}
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkVersions() {
	versionByEngineName := map[string]string{}
	for _, v := range c.doc.Versions {
		section := "version " + v.Name
		if _, ok := c.doc.Model(v.Model); !ok && v.Model != "" {
			c.addProblem(section, "model", "unknown model "+v.Model, c.modelNames())
		}
		if other, ok := versionByEngineName[v.EngineName]; ok && v.EngineName != "" {
			c.addProblem(section, "engine-name", "version "+other+" has the same engine name", "a name of its own")
		}
		versionByEngineName[v.EngineName] = v.Name
	}
}

func (c *checker) modelNames() string {
	names := make([]string, len(c.doc.Models))
	for i, m := range c.doc.Models {
		names[i] = m.Name
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkRollOuts() {
	replacementOf := map[string]string{}
	for _, r := range c.doc.RollOuts {
		section := "roll-out " + r.Version
		newVersion, ok := c.doc.Version(r.Version)
		if !ok {
			c.addProblem(section, "", "unknown version "+r.Version, "a version of this document")
			continue
		}
		oldVersion, ok := c.doc.Version(r.Replaces)
		if !ok || oldVersion.Model != newVersion.Model || oldVersion.Name == newVersion.Name {
			c.addProblem(section, "replaces", "cannot replace "+r.Replaces, "another version of model "+newVersion.Model)
			continue
		}
		if newVersion.Withdrawn && r.Share > 0 {
			c.addProblem(section, "share", r.Version+" is withdrawn", "0%, or a version in force")
		}
		if other, ok := replacementOf[r.Replaces]; ok {
			c.addProblem(section, "replaces", other+" replaces "+r.Replaces+" already", "one roll-out for each version")
		}
		replacementOf[r.Replaces] = r.Version
	}
}

func (c *checker) checkRoutes() {
	routeByID := map[string]string{}
	for _, r := range c.doc.Routes {
		section := "route " + r.Service + " " + r.Name
		if _, ok := c.doc.Service(r.Service); !ok {
			c.addProblem(section, "", "unknown service "+r.Service, "a service of this document")
		}
		if r.Path != "" && (!strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "..")) {
			c.addProblem(section, "path", "malformed path "+r.Path, "a path that starts with / and has no ..")
		}
		id := r.Service + " " + r.Method + " " + strings.TrimSuffix(r.Path, "/")
		if other, ok := routeByID[id]; ok {
			c.addProblem(section, "path", "route "+other+" has the same method and path", "each method and path once")
		}
		routeByID[id] = r.Name
	}
}

func (c *checker) checkWorkspaces() {
	workspaceByKey := map[decoder.Digest]string{}
	for _, w := range c.doc.Workspaces {
		section := "workspace " + w.Name
		for _, digest := range w.KeyDigests {
			if other, ok := workspaceByKey[digest]; ok {
				c.addProblem(section, "key-digests", "workspace "+other+" has the same key", "a key of its own")
			}
			workspaceByKey[digest] = w.Name
		}
		c.checkPermissions(section, w)
	}
}

func (c *checker) checkPermissions(section string, w Workspace) {
	for _, name := range w.Models {
		if _, ok := c.doc.Model(name); !ok {
			c.addProblem(section, "models", "unknown model "+name, c.modelNames())
		}
	}
	for _, name := range w.Versions {
		v, ok := c.doc.Version(name)
		if !ok {
			c.addProblem(section, "versions", "unknown version "+name, "versions of this document")
			continue
		}
		if !w.MayUse(v) {
			c.addProblem(section, "versions", "the workspace may not use model "+v.Model,
				"versions of "+strings.Join(w.Models, ", "))
		}
	}
	for _, name := range w.Services {
		if _, ok := c.doc.Service(name); !ok {
			c.addProblem(section, "services", "unknown service "+name, "services of this document")
		}
	}
}

func joinSorted(set map[string]bool) string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	return strings.Join(sorted(names), ", ")
}
