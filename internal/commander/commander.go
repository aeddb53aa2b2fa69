package commander

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

const help = `Model-aware router for versions and cascades.

Exit codes: 0 done, 1 failed, 2 bad arguments, settings or document, 3 another change won, 4 an instance cannot be reached.

Examples:
  eelgrasshook demo
  eelgrasshook check document examples/tazy-fit.ini
  eelgrasshook serve --settings instance.ini
  eelgrasshook status --at 127.0.0.1:8090`

// Version is the version of the program and of the links between instances.
const Version = "0.1.0"

// Commander parses the command line and runs the command.
type Commander struct {
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
	app      *kingpin.Application
	commands map[string]func() error
}

// NewCommander returns a commander that uses the given standard streams.
func NewCommander(in io.Reader, out, errOut io.Writer) *Commander {
	c := &Commander{in: in, out: out, errOut: errOut, commands: map[string]func() error{}}
	c.app = kingpin.New("eelgrasshook", help)
	c.app.UsageWriter(out)
	c.app.ErrorWriter(errOut)
	c.app.HelpFlag.Short('h')
	c.addServe()
	c.addDemo()
	c.addCheck()
	c.addBootstrap()
	c.addApply()
	c.addPromote()
	c.addRollback()
	c.addStatus()
	c.addAudit()
	c.addExplain()
	c.addBills()
	c.addDrain()
	c.addBench()
	c.addImitate()
	c.addReplay()
	c.addVersion()
	return c
}

// Run parses the arguments, runs the command and returns the exit code.
func (c *Commander) Run(args []string) int {
	terminated := false
	c.app.Terminate(func(int) { terminated = true })
	name, err := c.app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		c.printError(err)
		return ExitBadInput
	}
	if err := c.commands[name](); err != nil {
		c.printError(err)
		return exitCode(err)
	}
	return ExitOK
}

func (c *Commander) printError(err error) {
	if _, werr := fmt.Fprintln(c.errOut, "eelgrasshook:", trace.UserMessage(err)); werr != nil {
		return
	}
}

func exitCode(err error) int {
	var problems decoder.Problems
	var refused *operator.Error
	switch {
	case errors.As(err, &problems), trace.IsBadParameter(err), trace.IsNotFound(err):
		return ExitBadInput
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		return ExitConflict
	case errors.As(err, &refused) && refused.Status == http.StatusUnprocessableEntity:
		return ExitBadInput
	case trace.IsConnectionProblem(err):
		return ExitUnreachable
	}
	return ExitFailed
}

// printf writes to the standard output; a command ends at the first write error.
func (c *Commander) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.out, format, args...)
	return err
}
