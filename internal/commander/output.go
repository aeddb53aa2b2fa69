package commander

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
)

const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Form of the output: text or json.").Default(outputText).Enum(outputText, outputJSON)
}

func addressFlag(cmd *kingpin.CmdClause) *[]string {
	return cmd.Flag("at", "Control address of an instance, IP:PORT; may be repeated.").Default("127.0.0.1:8090").Strings()
}

func (c *Commander) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows in aligned columns.
func (c *Commander) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			if _, err := fmt.Fprint(w, cell, "\t"); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return w.Flush()
}
