package linter

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Diff returns what differs in a policy from another one, a line each. Keys of workspaces are counted, not shown.
func Diff(from, to *matcher.Policy) []string {
	var lines []string
	if from.Version != to.Version {
		lines = append(lines, fmt.Sprintf("version: %d -> %d", from.Version, to.Version))
	}
	lines = append(lines, diffEntries("limits", map[string]any{"": from.Limits}, map[string]any{"": to.Limits})...)
	lines = append(lines, diffEntries("route", routesByName(from), routesByName(to))...)
	lines = append(lines, diffEntries("service", servicesByName(from), servicesByName(to))...)
	return append(lines, diffEntries("workspace", workspacesByName(from), workspacesByName(to))...)
}

func routesByName(p *matcher.Policy) map[string]any {
	entries := map[string]any{}
	for _, r := range p.Routes {
		entries[r.Name] = r
	}
	return entries
}

func servicesByName(p *matcher.Policy) map[string]any {
	entries := map[string]any{}
	for name, s := range p.Services {
		entries[name] = s
	}
	return entries
}

func workspacesByName(p *matcher.Policy) map[string]any {
	entries := map[string]any{}
	for _, w := range p.Workspaces {
		entries[w.Name] = w
	}
	return entries
}

// diffEntries compares the entries of one kind by name.
func diffEntries(kind string, from, to map[string]any) []string {
	names := map[string]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		label := strings.TrimSpace(kind + " " + name)
		before, isOld := from[name]
		after, isNew := to[name]
		switch {
		case !isOld:
			lines = append(lines, label+": added")
		case !isNew:
			lines = append(lines, label+": removed")
		default:
			lines = append(lines, diffFields(label, before, after)...)
		}
	}
	return lines
}

// diffFields compares the fields of two values of one type.
func diffFields(label string, before, after any) []string {
	var lines []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		if name == "APIKeys" {
			lines = append(lines, diffKeys(label, before.(matcher.Workspace).APIKeys, after.(matcher.Workspace).APIKeys))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %v -> %v", label, name, show(a.Field(i)), show(b.Field(i))))
	}
	return lines
}

// show returns the value that a pointer leads to, so that no address is printed.
func show(v reflect.Value) any {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		return v.Elem().Interface()
	}
	return v.Interface()
}

func diffKeys(label string, before, after []string) string {
	count := func(list, other []string) int {
		n := 0
		for _, key := range list {
			if !slices.Contains(other, key) {
				n++
			}
		}
		return n
	}
	return fmt.Sprintf("%s: keys: %d added, %d removed", label, count(after, before), count(before, after))
}
