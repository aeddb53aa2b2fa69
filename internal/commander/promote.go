package commander

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

func (c *Commander) addPromote() {
	cmd := c.app.Command("promote", "Put the trial environment's document in force in another environment, after showing what changes.\n\nExample: eelgrasshook promote --to production --trial 7 --base 12 --at 127.0.0.1:8090")
	environment := cmd.Flag("to", "Environment to change.").Default("production").String()
	trialRevision := cmd.Flag("trial", "Revision of the trial environment that was tested.").Required().Int64()
	previewOnly := cmd.Flag("preview", "Only show what would change.").Bool()
	a := addChangeFlags(cmd)
	c.commands["promote"] = func() error { return c.promote(*environment, *trialRevision, *previewOnly, a) }
}

// promote copies everything except the environment's section and the workspaces, because API keys belong to one
// environment.
func (c *Commander) promote(environment string, trialRevision int64, previewOnly bool, a *changeArgs) error {
	ctx := context.Background()
	client := operator.NewClient((*a.addresses)[0])
	trialDocument, err := readRevision(ctx, client, applier.TrialEnvironment, trialRevision)
	if err != nil {
		return err
	}
	current, err := client.Document(ctx, environment)
	if err != nil {
		return err
	}
	if current.Revision == 0 {
		return trace.NotFound("environment %s has no document yet; hand in its first one with apply", environment)
	}
	before, err := parser.Parse(environment, current.Text)
	if err != nil {
		return err
	}
	after := trialDocument.WithEnvironmentAndWorkspacesOf(before)
	for _, d := range parser.Diff(before, after) {
		if err := c.printf("%s\n", d); err != nil {
			return err
		}
	}
	if previewOnly {
		return nil
	}
	if a.baseRevision < 0 {
		a.baseRevision = current.Revision
	}
	return c.submitChange(operator.Change{Environment: environment, Text: after.String(), TrialRevision: trialRevision}, a)
}

func readRevision(ctx context.Context, client *operator.Client, environment string, revision int64) (*parser.Document, error) {
	d, err := client.DocumentAt(ctx, environment, revision)
	if err != nil {
		return nil, err
	}
	return parser.Parse(environment, d.Text)
}

func (c *Commander) addRollback() {
	cmd := c.app.Command("rollback", "Put an earlier revision in force again, as a new revision.\n\nExample: eelgrasshook rollback --environment production --revision 11 --at 127.0.0.1:8090")
	environment := cmd.Flag("environment", "Environment to change.").Default("production").String()
	revision := cmd.Flag("revision", "Revision to go back to.").Required().Int64()
	a := addChangeFlags(cmd)
	c.commands["rollback"] = func() error { return c.rollback(*environment, *revision, a) }
}

func (c *Commander) rollback(environment string, revision int64, a *changeArgs) error {
	d, err := operator.NewClient((*a.addresses)[0]).DocumentAt(context.Background(), environment, revision)
	if err != nil {
		return err
	}
	return c.submitChange(operator.Change{Environment: environment, Text: d.Text}, a)
}

func (c *Commander) addBootstrap() {
	cmd := c.app.Command("bootstrap", "Make the record of a new fleet on one instance with a data folder; the others join by themselves.\n\nExample: eelgrasshook bootstrap --at 127.0.0.1:8090")
	addresses := addressFlag(cmd)
	c.commands["bootstrap"] = func() error {
		if err := operator.NewClient((*addresses)[0]).Bootstrap(context.Background()); err != nil {
			return err
		}
		return c.printf("%s: the record begins here\n", (*addresses)[0])
	}
}
