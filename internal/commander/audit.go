package commander

import (
	"context"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

func (c *Commander) addAudit() {
	cmd := c.app.Command("audit", "List who changed what, when, from which revision, with which effect and when it was in force.\n\nExample: eelgrasshook audit --verify --at 127.0.0.1:8090")
	verify := cmd.Flag("verify", "Fail when an entry was changed, dropped or reordered.").Bool()
	file := cmd.Flag("file", "Read the trail from a file that --output json wrote, in place of an instance.").String()
	changeID := cmd.Flag("change", "Only the entries of this change id and its revision.").String()
	addresses := addressFlag(cmd)
	output := outputFlag(cmd)
	c.commands["audit"] = func() error {
		entries, err := readAuditTrail(*file, (*addresses)[0])
		if err != nil {
			return err
		}
		if *verify {
			if err := auditor.Verify(entries); err != nil {
				return trace.CompareFailed("%v", err)
			}
		}
		return c.printAuditTrail(entriesOfChange(entries, *changeID), *output)
	}
}

func readAuditTrail(file, address string) ([]auditor.Entry, error) {
	if file == "" {
		return operator.NewClient(address).AuditTrail(context.Background())
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var entries []auditor.Entry
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	return entries, nil
}

// entriesOfChange returns the entries of one change: its acceptance, and where and when its revision came into force.
// An empty id selects all entries.
func entriesOfChange(entries []auditor.Entry, changeID string) []auditor.Entry {
	if changeID == "" {
		return entries
	}
	var matching []auditor.Entry
	var accepted auditor.Entry
	for _, e := range entries {
		if e.ChangeID == changeID {
			accepted = e
			matching = append(matching, e)
		}
		if accepted.ChangeID != "" && e.Kind == auditor.KindInForce && e.Environment == accepted.Environment && e.ToRevision == accepted.ToRevision {
			matching = append(matching, e)
		}
	}
	return matching
}

func (c *Commander) printAuditTrail(entries []auditor.Entry, output string) error {
	if output == outputJSON {
		return c.printJSON(entries)
	}
	for _, e := range entries {
		if err := c.printEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Commander) printEntry(e auditor.Entry) error {
	if e.Kind == auditor.KindInForce {
		return c.printf("%d  %s  revision %d of %s in force in %s\n", e.Sequence, formatTime(e.At), e.ToRevision, e.Environment, e.DataCentre)
	}
	err := c.printf("%d  %s  %s changed %s from revision %d to %d, change %s\n",
		e.Sequence, formatTime(e.At), e.Author, e.Environment, e.FromRevision, e.ToRevision, e.ChangeID)
	if err != nil {
		return err
	}
	for _, effect := range e.Effects {
		if err := c.printf("     %s\n", effect); err != nil {
			return err
		}
	}
	return nil
}
