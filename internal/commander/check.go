package commander

import (
	"github.com/alecthomas/kingpin/v2"
	"os"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

func (c *Commander) addCheck() {
	cmd := c.app.Command("check", "Check a document or a settings file and print every fault with its line.")
	c.addCheckDocument(cmd.Command("document", "Check an environment document.\n\nExample: eelgrasshook check document examples/tazy-fit.ini"))
	c.addCheckPolicy(cmd.Command("policy", "Check a policy before it is sent: what can never match, what contradicts, what differs from the one in force.\n\nExit codes: 0 sound, 1 findings, 2 invalid.\n\nExample: eelgrasshook check policy policy.json --against 127.0.0.1:8090"))
	c.addCheckSettings(cmd.Command("settings", "Check a settings file.\n\nExample: eelgrasshook check settings instance.ini"))
}

func (c *Commander) addCheckDocument(cmd *kingpin.CmdClause) {
	path := cmd.Arg("file", "The document.").Required().String()
	printCanonical := cmd.Flag("print", "Print the document in its canonical form.").Bool()
	otherPath := cmd.Flag("against", "Another document: print what differs from it.").String()
	c.commands["check document"] = func() error { return c.checkDocument(*path, *otherPath, *printCanonical) }
}

func (c *Commander) checkDocument(path, otherPath string, printCanonical bool) error {
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	if printCanonical {
		return c.printf("%s", doc)
	}
	if otherPath == "" {
		return c.printf("%s: sound: %d models, %d versions, %d services, %d workspaces\n",
			path, len(doc.Models), len(doc.Versions), len(doc.Services), len(doc.Workspaces))
	}
	other, err := readDocument(otherPath)
	if err != nil {
		return err
	}
	for _, d := range parser.Diff(other, doc) {
		if err := c.printf("%s\n", d); err != nil {
			return err
		}
	}
	return nil
}

func readDocument(path string) (*parser.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return parser.Parse(path, string(text))
}

func (c *Commander) addCheckSettings(cmd *kingpin.CmdClause) {
	path := cmd.Arg("file", "The settings.").String()
	describe := cmd.Flag("describe", "Print the reference page of all settings.").Bool()
	c.commands["check settings"] = func() error { return c.checkSettings(*path, *describe) }
}

func (c *Commander) checkSettings(path string, describe bool) error {
	if describe {
		return c.printf("%s", configurer.Describe())
	}
	if path == "" {
		return trace.BadParameter("name a settings file, or give --describe")
	}
	settings, err := configurer.Load(path)
	if err != nil {
		return err
	}
	return c.printf("%s: sound: instance %s in data centre %s\n", path, settings.Instance.Name, settings.Instance.DataCentre)
}
