package decoder

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxTextBytes is the maximum size of an INI text in bytes.
const MaxTextBytes = 4 << 20

// Source is a loaded INI text with the line number of each section and key.
type Source struct {
	name     string
	file     *ini.File
	sections []string
	lines    map[location]int
}

// location identifies a key, or a section if key is empty.
type location struct {
	section string
	key     string
}

// Load parses an INI text; the error has type Problems and lists each malformed or repeated line.
func Load(name, text string) (*Source, error) {
	s := &Source{name: name, lines: map[location]int{}}
	if len(text) > MaxTextBytes {
		reason := fmt.Sprintf("the text has %d bytes", len(text))
		return nil, Problems{{File: name, Line: 1, Reason: reason, Accepted: fmt.Sprintf("at most %d bytes", MaxTextBytes)}}
	}
	if ps := s.indexLines(text); len(ps) > 0 {
		return nil, ps
	}
	file, err := ini.LoadSources(loadOptions(), []byte(text))
	if err != nil {
		return nil, Problems{{File: name, Line: findQuotedLine(text, err.Error()), Reason: err.Error()}}
	}
	s.file = file
	return s, nil
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
		IgnoreContinuation:         true,
		PreserveSurroundedQuote:    true,
		UnescapeValueDoubleQuotes:  false,
		AllowPythonMultilineValues: false,
	}
}

// Sections returns the section names in the order in which the text has them.
func (s *Source) Sections() []string {
	return s.sections
}

// Line returns the line number of a key, of its section if the key is missing, or 0 if the section is missing too.
func (s *Source) Line(section, key string) int {
	if n, ok := s.lines[location{section, key}]; ok {
		return n
	}
	return s.lines[location{section, ""}]
}

// HasKey reports whether the text sets the key.
func (s *Source) HasKey(section, key string) bool {
	_, ok := s.lines[location{section, key}]
	return ok
}

// NewProblem returns a problem at the line of the key, or at the line of its section if the key is missing.
func (s *Source) NewProblem(section, key, reason, accepted string) Problem {
	return Problem{File: s.name, Line: s.Line(section, key), Section: section, Key: key, Reason: reason, Accepted: accepted}
}

var headerPattern = regexp.MustCompile(`^\[([a-z][a-z0-9. -]*)\]\s*([;#].*)?$`)

var keyPattern = regexp.MustCompile(`^([a-z][a-z0-9-]*)\s*=`)

// indexLines records the line of each section and key, because the INI library does not keep line numbers.
// It also reports malformed and repeated lines.
func (s *Source) indexLines(text string) Problems {
	var ps Problems
	section := ""
	for i, rawLine := range strings.Split(text, "\n") {
		line := strings.TrimSpace(rawLine)
		n := i + 1
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		addProblem := func(key, reason, accepted string) {
			ps = append(ps, Problem{File: s.name, Line: n, Section: section, Key: key, Reason: reason, Accepted: accepted})
		}
		if m := headerPattern.FindStringSubmatch(line); m != nil {
			section = strings.Join(strings.Fields(m[1]), " ")
			if section != m[1] {
				addProblem("", "the section name has doubled or outer spaces", "["+section+"]")
			}
			if first, ok := s.lines[location{section, ""}]; ok {
				addProblem("", fmt.Sprintf("the section stands already on line %d", first), "each section once")
				continue
			}
			s.lines[location{section, ""}] = n
			s.sections = append(s.sections, section)
			continue
		}
		if line[0] == '[' {
			addProblem("", "malformed section header "+quoteTruncated(line), "[kind name] in lower case")
			continue
		}
		m := keyPattern.FindStringSubmatch(line)
		if m == nil {
			addProblem("", "malformed line "+quoteTruncated(line), "key = value, with the key in kebab case")
			continue
		}
		if section == "" {
			addProblem(m[1], "the key stands before the first section", "a [section] header above it")
			continue
		}
		if first, ok := s.lines[location{section, m[1]}]; ok {
			addProblem(m[1], fmt.Sprintf("the key stands already on line %d", first), "each key once")
			continue
		}
		s.lines[location{section, m[1]}] = n
	}
	return ps
}

// maxQuotedBytes limits how much of a malformed line an error quotes.
const maxQuotedBytes = 40

func quoteTruncated(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "…"
	}
	return fmt.Sprintf("%q", s)
}

// findQuotedLine returns the number of the first line that the library's error message quotes, or 1 if it quotes none.
func findQuotedLine(text, message string) int {
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed != "" && strings.Contains(message, trimmed) {
			return i + 1
		}
	}
	return 1
}
