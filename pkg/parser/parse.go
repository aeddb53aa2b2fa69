package parser

import (
	"regexp"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// acceptedSections lists the forms of section headers, for error messages.
const acceptedSections = "environment, data-centre NAME, path REGION REGION, model NAME, version NAME, " +
	"roll-out VERSION, service NAME, route SERVICE NAME, workspace NAME"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Parse parses and validates a document; the error has type decoder.Problems. It lists every problem, except that a
// text with malformed or repeated lines is rejected with only those.
func Parse(name, text string) (*Document, error) {
	src, err := decoder.Load(name, text)
	if err != nil {
		return nil, err
	}
	b := &builder{src: src}
	for _, section := range src.Sections() {
		b.addSection(section)
	}
	c := &checker{src: src, doc: &b.doc, problems: b.problems}
	if err := c.check().Err(); err != nil {
		return nil, err
	}
	return &b.doc, nil
}

// builder decodes the sections of a text into a Document.
type builder struct {
	src      *decoder.Source
	doc      Document
	problems decoder.Problems
}

func (b *builder) addSection(section string) {
	words := strings.Fields(section)
	for _, w := range words[1:] {
		if !namePattern.MatchString(w) {
			b.addProblem(section, "malformed name "+w, "lower-case letters, digits, dots and hyphens, 63 at most")
			return
		}
	}
	if expectedNames := nameCount(words[0]); expectedNames != len(words)-1 {
		b.addProblem(section, "unknown section", acceptedSections)
		return
	}
	b.decodeSection(section, words)
}

// nameCount returns the number of names that follow the given kind in a section header, or -1 for an unknown kind.
func nameCount(kind string) int {
	switch kind {
	case "environment":
		return 0
	case "data-centre", "model", "version", "roll-out", "service", "workspace":
		return 1
	case "path", "route":
		return 2
	}
	return -1
}

func (b *builder) decodeSection(section string, words []string) {
	switch words[0] {
	case "environment":
		b.problems = append(b.problems, b.src.Decode(section, &b.doc.Environment)...)
	case "data-centre":
		appendDecoded(b, section, &b.doc.DataCentres, DataCentre{Name: words[1]})
	case "path":
		appendDecoded(b, section, &b.doc.Paths, Path{From: words[1], To: words[2]})
	case "model":
		appendDecoded(b, section, &b.doc.Models, Model{Name: words[1]})
	case "version":
		appendDecoded(b, section, &b.doc.Versions, Version{Name: words[1]})
	case "roll-out":
		appendDecoded(b, section, &b.doc.RollOuts, RollOut{Version: words[1]})
	case "service":
		appendDecoded(b, section, &b.doc.Services, Service{Name: words[1]})
	case "route":
		appendDecoded(b, section, &b.doc.Routes, Route{Service: words[1], Name: words[2]})
	case "workspace":
		appendDecoded(b, section, &b.doc.Workspaces, Workspace{Name: words[1]})
	}
}

func (b *builder) addProblem(section, reason, accepted string) {
	b.problems = append(b.problems, b.src.NewProblem(section, "", reason, accepted))
}

func appendDecoded[T any](b *builder, section string, list *[]T, item T) {
	b.problems = append(b.problems, b.src.Decode(section, &item)...)
	*list = append(*list, item)
}
