package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Patch applies the differences that Diff returns to a document; the error is that of Parse if the result is invalid.
func Patch(before *Document, differences []Difference) (*Document, error) {
	sections := before.Sections()
	for _, d := range differences {
		sections = patchSection(sections, d)
	}
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "[%s]\n", s.Header)
		for _, p := range s.Pairs {
			fmt.Fprintf(&b, "%s = %s\n", p.Key, p.Value)
		}
	}
	return Parse(before.Environment.Name, b.String())
}

func patchSection(sections []Section, d Difference) []Section {
	i := slices.IndexFunc(sections, func(s Section) bool { return s.Header == d.Section })
	if d.Key == sectionKey {
		switch {
		case i >= 0 && d.After == "":
			return slices.Delete(sections, i, i+1)
		case i < 0 && d.After != "":
			return append(sections, Section{Header: d.Section})
		}
		return sections
	}
	if i >= 0 {
		sections[i].Pairs = patchPairs(sections[i].Pairs, d)
	}
	return sections
}

func patchPairs(pairs []decoder.Pair, d Difference) []decoder.Pair {
	i := slices.IndexFunc(pairs, func(p decoder.Pair) bool { return p.Key == d.Key })
	switch {
	case i >= 0 && d.After == "":
		return slices.Delete(pairs, i, i+1)
	case i >= 0:
		pairs[i].Value = d.After
		return pairs
	case d.After != "":
		return append(pairs, decoder.Pair{Key: d.Key, Value: d.After})
	}
	return pairs
}
