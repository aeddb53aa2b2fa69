package selector

import (
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

// Option is a version that the selector considered, with the reason for choosing or rejecting it.
type Option struct {
	Version string  `json:"version"`
	Quality float64 `json:"quality"`
	Reason  string  `json:"reason"`
}

// Selection is the version chosen for a request, with the options considered.
type Selection struct {
	Model        string
	Version      parser.Version
	Pinned       bool
	MovedFrom    string
	IsRollOut    bool
	SessionToken string
	Options      []Option
}

// Quality returns the expected quality of the selected version from its options, or 0 if no option names that version.
func (s Selection) Quality() float64 {
	for _, o := range s.Options {
		if o.Version == s.Version.Name {
			return o.Quality
		}
	}
	return 0
}
