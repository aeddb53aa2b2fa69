package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Section is one section of a document, with its values formatted as text.
type Section struct {
	Header string
	Pairs  []decoder.Pair
}

// Sections returns the sections of the document in canonical order; optional keys with default values are left out.
func (d *Document) Sections() []Section {
	sections := []Section{{Header: "environment", Pairs: decoder.NonDefaultPairs(d.Environment)}}
	sections = appendSections(sections, d.DataCentres, func(x DataCentre) string { return "data-centre " + x.Name })
	sections = appendSections(sections, d.Paths, func(x Path) string { return "path " + x.From + " " + x.To })
	sections = appendSections(sections, d.Models, func(x Model) string { return "model " + x.Name })
	sections = appendSections(sections, d.Versions, func(x Version) string { return "version " + x.Name })
	sections = appendSections(sections, d.RollOuts, func(x RollOut) string { return "roll-out " + x.Version })
	sections = appendSections(sections, d.Services, func(x Service) string { return "service " + x.Name })
	sections = appendSections(sections, d.Routes, func(x Route) string { return "route " + x.Service + " " + x.Name })
	return appendSections(sections, d.Workspaces, func(x Workspace) string { return "workspace " + x.Name })
}

func appendSections[T any](sections []Section, list []T, header func(T) string) []Section {
	var added []Section
	for _, x := range list {
		added = append(added, Section{Header: header(x), Pairs: decoder.NonDefaultPairs(x)})
	}
	slices.SortFunc(added, func(a, b Section) int { return strings.Compare(a.Header, b.Header) })
	return append(sections, added...)
}

// String formats the document in its canonical form; Parse turns this form into an equal document.
func (d *Document) String() string {
	var b strings.Builder
	for i, s := range d.Sections() {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s]\n", s.Header)
		for _, p := range s.Pairs {
			fmt.Fprintf(&b, "%s = %s\n", p.Key, p.Value)
		}
	}
	return b.String()
}

// Difference is one key with different values in two documents, or a section that only one of them has. An empty value
// means that the key has its default, or that the section is missing.
type Difference struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("[%s] %s: %s -> %s", d.Section, d.Key, orDefault(d.Before), orDefault(d.After))
}

func orDefault(value string) string {
	if value == "" {
		return "(default)"
	}
	return value
}

// sectionKey is the key of a difference that adds or removes a whole section.
const sectionKey = "section"

// Diff returns the differences between two documents, in the canonical order of before; additions come last.
func Diff(before, after *Document) []Difference {
	from, to := flatten(before), flatten(after)
	var diffs []Difference
	for _, id := range unionIDs(from, to) {
		if from.values[id] != to.values[id] {
			diffs = append(diffs, Difference{Section: id[0], Key: id[1], Before: from.values[id], After: to.values[id]})
		}
	}
	return diffs
}

// flatDocument maps pairs of a section header and a key to values; orderedIDs lists the pairs in canonical order.
type flatDocument struct {
	orderedIDs [][2]string
	values     map[[2]string]string
}

func flatten(d *Document) flatDocument {
	f := flatDocument{values: map[[2]string]string{}}
	put := func(id [2]string, value string) {
		f.orderedIDs = append(f.orderedIDs, id)
		f.values[id] = value
	}
	for _, s := range d.Sections() {
		put([2]string{s.Header, sectionKey}, "present")
		for _, p := range s.Pairs {
			put([2]string{s.Header, p.Key}, p.Value)
		}
	}
	return f
}

func unionIDs(a, b flatDocument) [][2]string {
	ids := slices.Clone(a.orderedIDs)
	for _, id := range b.orderedIDs {
		if _, ok := a.values[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}
