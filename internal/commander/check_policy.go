package commander

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/linter"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/platform"
)

const (
	// policyReadTimeout bounds the read of the policy in force.
	policyReadTimeout = 10 * time.Second
	// maxPolicyBytes bounds the policy that is read.
	maxPolicyBytes = 64 << 20
)

// policyReport is what is found in a policy, as JSON.
type policyReport struct {
	Version     int64            `json:"version"`
	Findings    []linter.Finding `json:"findings"`
	Differences []string         `json:"differences,omitempty"`
}

func (c *Commander) addCheckPolicy(cmd *kingpin.CmdClause) {
	path := cmd.Arg("file", "The policy, as it would be sent.").Required().String()
	against := cmd.Flag("against", "What is in force: a file, or the address of a control instance.").String()
	regions := cmd.Flag("region", "Region of a data centre, as DATA-CENTRE:REGION; may be repeated.").Strings()
	instances := cmd.Flag("instances", "Number of entry instances.").Int()
	output := outputFlag(cmd)
	c.commands["check policy"] = func() error {
		return c.checkPolicy(*path, *against, linter.Fleet{RegionOf: regionsOf(*regions), Instances: *instances}, *output)
	}
}

func regionsOf(list []string) map[string]string {
	regions := map[string]string{}
	for _, entry := range list {
		dataCentre, region, _ := strings.Cut(entry, ":")
		regions[dataCentre] = region
	}
	return regions
}

func (c *Commander) checkPolicy(path, against string, fleet linter.Fleet, output string) error {
	policy, err := readPolicy(path)
	if err != nil {
		return err
	}
	report := policyReport{Version: policy.Version, Findings: linter.Lint(policy, fleet)}
	if against != "" {
		inForce, err := readPolicy(against)
		if err != nil {
			return err
		}
		report.Differences = linter.Diff(inForce, policy)
	}
	if err := c.printPolicyReport(path, report, output); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return trace.CompareFailed("%d findings", len(report.Findings))
	}
	return nil
}

func (c *Commander) printPolicyReport(path string, report policyReport, output string) error {
	if output == outputJSON {
		return c.printJSON(report)
	}
	for _, f := range report.Findings {
		if err := c.printf("%s: %s: %s\n", f.Entry, f.Kind, f.Text); err != nil {
			return err
		}
	}
	for _, line := range report.Differences {
		if err := c.printf("differs: %s\n", line); err != nil {
			return err
		}
	}
	return c.printf("%s: version %d, %d findings\n", path, report.Version, len(report.Findings))
}

// readPolicy reads a policy from a file, or from a control instance if there is no such file.
func readPolicy(source string) (*matcher.Policy, error) {
	text, err := os.ReadFile(source)
	if _, _, splitErr := net.SplitHostPort(source); os.IsNotExist(err) && splitErr == nil {
		text, err = fetchPolicy(source)
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p, err := platform.DecodePolicy(text)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", source, err)
	}
	return p, nil
}

func fetchPolicy(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), policyReadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/config", http.NoBody)
	if err != nil {
		return nil, trace.BadParameter("%s is neither a file nor an address", address)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s is no file, and no control instance answers there: %v", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the control instance %s answers %d", address, res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxPolicyBytes))
}
