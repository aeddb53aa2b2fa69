package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Section is one printed section of a document.
type Section struct {
	Header string
	Pairs  []decoder.Pair
}

// Sections returns the document in canonical order, without keys that hold their defaults.
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

// String prints the document in its canonical form, which Parse reads back to the same document.
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

// Difference is one key that two documents hold different values for.
type Difference struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// String prints the difference on one line.
func (x Difference) String() string {
	return fmt.Sprintf("[%s] %s: %s -> %s", x.Section, x.Key, orDefault(x.Before), orDefault(x.After))
}

func orDefault(value string) string {
	if value == "" {
		return "(default)"
	}
	return value
}

// sectionKey stands for the presence of a whole section in a difference.
const sectionKey = "section"

// Diff lists what differs between two documents in canonical order.
func Diff(before, after *Document) []Difference {
	old, next := flatten(before), flatten(after)
	var list []Difference
	for _, id := range union(old, next) {
		if old.values[id] != next.values[id] {
			list = append(list, Difference{Section: id[0], Key: id[1], Before: old.values[id], After: next.values[id]})
		}
	}
	return list
}

type flat struct {
	order  [][2]string
	values map[[2]string]string
}

func flatten(d *Document) flat {
	f := flat{values: map[[2]string]string{}}
	put := func(id [2]string, value string) {
		f.order = append(f.order, id)
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

func union(a, b flat) [][2]string {
	ids := slices.Clone(a.order)
	for _, id := range b.order {
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
