package decoder

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in an INI text, with its position, its reason and the accepted values.
type Problem struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Section  string `json:"section"`
	Key      string `json:"key,omitempty"`
	Reason   string `json:"reason"`
	Accepted string `json:"accepted,omitempty"`
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: [%s]", p.File, p.Line, p.Section)
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// Problems lists every error found in one INI text.
type Problems []Problem

// Error formats each problem on a separate line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by line and returns them as an error, or returns nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	return ps
}
