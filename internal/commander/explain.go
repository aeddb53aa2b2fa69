package commander

import (
	"context"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

func (c *Commander) addExplain() {
	cmd := c.app.Command("explain", "Print each decision about a request and the options passed over.\n\nExample: eelgrasshook explain REQUEST-ID --at 127.0.0.1:8090")
	requestID := cmd.Arg("request-id", "The X-Request-Id of the answer.").String()
	changeID := cmd.Flag("change", "Explain a change by its id in place of a request.").String()
	addresses := addressFlag(cmd)
	output := outputFlag(cmd)
	c.commands["explain"] = func() error {
		switch {
		case (*requestID == "") == (*changeID == ""):
			return trace.BadParameter("name either a request id or --change ID")
		case *changeID != "":
			return c.explainChange(*changeID, (*addresses)[0], *output)
		}
		return c.explain(*requestID, *addresses, *output)
	}
}

// explainChange prints the effects of a change, and where and when it came into force.
func (c *Commander) explainChange(changeID, address, output string) error {
	entries, err := readAuditTrail("", address)
	if err != nil {
		return err
	}
	matching := entriesOfChange(entries, changeID)
	if len(matching) == 0 {
		return trace.NotFound("the audit trail does not know change %s", changeID)
	}
	return c.printAuditTrail(matching, output)
}

func (c *Commander) explain(requestID string, addresses []string, output string) error {
	steps, err := findSteps(requestID, addresses)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return c.printJSON(steps)
	}
	for _, s := range steps {
		if err := c.printf("%s  %-10s  %s\n", formatTime(s.At), s.Filter, s.Decision); err != nil {
			return err
		}
		for _, o := range s.Options {
			if err := c.printf("%33s  %s\n", "", o); err != nil {
				return err
			}
		}
	}
	return nil
}

// findSteps queries the instances in turn, since only the one that served a request keeps the decisions about it.
func findSteps(requestID string, addresses []string) ([]operator.Step, error) {
	for _, address := range addresses {
		steps, err := operator.NewClient(address).Explain(context.Background(), requestID)
		if err == nil {
			return steps, nil
		}
		var refused *operator.Error
		if !errors.As(err, &refused) || refused.Status != http.StatusNotFound {
			return nil, err
		}
	}
	return nil, trace.NotFound("no given instance remembers request %s", requestID)
}
