package configurer

import (
	"fmt"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Describe returns the reference page of all settings in Markdown.
func Describe() string {
	var b strings.Builder
	b.WriteString("# Settings of an instance\n\n")
	b.WriteString("One INI file for each instance, given to `eelgrasshook serve --settings FILE`.\n")
	b.WriteString("Every key is checked at start; `eelgrasshook check settings FILE` checks without starting.\n")
	b.WriteString("Relative file names are taken from the folder of the settings file.\n")
	b.WriteString("This page is printed by `eelgrasshook check settings --describe` from the settings' own types.\n")
	for _, sec := range new(Settings).sections() {
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n", sec.name, sec.doc)
		b.WriteString("| key | default | accepted | meaning |\n| --- | --- | --- | --- |\n")
		for _, f := range decoder.Fields(sec.target) {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Key, defaultText(f), f.Accepted, f.Doc)
		}
	}
	return b.String()
}

func defaultText(f decoder.Field) string {
	switch {
	case f.Required:
		return "required"
	case f.Default == "":
		return "empty"
	}
	return "`" + f.Default + "`"
}
