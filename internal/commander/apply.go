package commander

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

const (
	waitAccepted     = "accepted"
	waitInForce      = "in-force"
	waitPollInterval = 50 * time.Millisecond
)

// changeArgs holds the flags of all commands that submit a change.
type changeArgs struct {
	addresses    *[]string
	baseRevision int64
	id           string
	author       string
	waitFor      string
	waitLimit    time.Duration
	output       *string
}

func addChangeFlags(cmd *kingpin.CmdClause) *changeArgs {
	a := &changeArgs{}
	cmd.Flag("base", "Revision that the change was made from; the current one when it is left out.").Default("-1").Int64Var(&a.baseRevision)
	cmd.Flag("id", "Change id; give the same one to resend a change whose answer was lost.").StringVar(&a.id)
	cmd.Flag("author", "Who makes the change.").Default(os.Getenv("USER")).StringVar(&a.author)
	cmd.Flag("wait", "What to wait for: accepted or in-force.").Default(waitInForce).EnumVar(&a.waitFor, waitAccepted, waitInForce)
	cmd.Flag("limit", "Longest wait for in-force.").Default("15s").DurationVar(&a.waitLimit)
	a.addresses = addressFlag(cmd)
	a.output = outputFlag(cmd)
	return a
}

func (c *Commander) addApply() {
	cmd := c.app.Command("apply", "Put a document in force in the whole fleet.\n\nExample: eelgrasshook apply document.ini --base 3 --author aigul --at 127.0.0.1:8090")
	path := cmd.Arg("file", "The document.").Required().String()
	a := addChangeFlags(cmd)
	c.commands["apply"] = func() error { return c.apply(*path, a) }
}

func (c *Commander) apply(path string, a *changeArgs) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	doc, err := parser.Parse(path, string(text))
	if err != nil {
		return err
	}
	return c.submitChange(operator.Change{Environment: doc.Environment.Name, Text: string(text)}, a)
}

// submitChange fills in the change's id, base revision and author, submits it, and waits as the flags say.
func (c *Commander) submitChange(change operator.Change, a *changeArgs) error {
	ctx := context.Background()
	client := operator.NewClient((*a.addresses)[0])
	change.ID, change.BaseRevision, change.Author = a.id, a.baseRevision, a.author
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.BaseRevision < 0 {
		currentDocument, err := client.Document(ctx, change.Environment)
		if err != nil {
			return err
		}
		change.BaseRevision = currentDocument.Revision
	}
	accepted, err := client.Apply(ctx, change)
	if err != nil {
		return trace.Wrap(err, "change %s", change.ID)
	}
	if err := c.printAccepted(accepted, *a.output); err != nil {
		return err
	}
	if a.waitFor == waitAccepted {
		return nil
	}
	return c.waitInForce(ctx, client, accepted, a.waitLimit)
}

func (c *Commander) printAccepted(accepted operator.Accepted, output string) error {
	if output == outputJSON {
		return c.printJSON(accepted)
	}
	err := c.printf("change %s accepted as revision %d of %s\n", accepted.ID, accepted.Revision, accepted.Environment)
	if err != nil {
		return err
	}
	for _, effect := range accepted.Effects {
		if err := c.printf("  %s\n", effect); err != nil {
			return err
		}
	}
	return nil
}

// waitInForce polls until all instances have the revision in force. When the limit passes, it prints the instances that
// do not; the change stays accepted.
func (c *Commander) waitInForce(ctx context.Context, client *operator.Client, accepted operator.Accepted, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		waiting, err := client.WaitingInstances(ctx, accepted.Environment, accepted.Revision)
		if err != nil {
			return err
		}
		if len(waiting) == 0 {
			return c.printf("in force everywhere\n")
		}
		if time.Now().After(deadline) {
			return c.printWaiting(accepted, waiting)
		}
		time.Sleep(waitPollInterval)
	}
}

func (c *Commander) printWaiting(accepted operator.Accepted, waiting []operator.WaitingInstance) error {
	for _, w := range waiting {
		if err := c.printf("accepted, not in force in %s: instance %s %s\n", w.DataCentre, w.Instance, w.Reason); err != nil {
			return err
		}
	}
	return trace.LimitExceeded("revision %d is accepted, but not in force everywhere yet", accepted.Revision)
}
