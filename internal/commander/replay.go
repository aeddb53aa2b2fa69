package commander

import (
	"bufio"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/replayer"
)

func (c *Commander) addReplay() {
	cmd := c.app.Command("replay", "Run traces through the real decisions in virtual time, beside baselines.")
	runCmd := cmd.Command("run", "Replay traces and print a table of policies for each.\n\nExample: eelgrasshook replay run traces/tazy-fit-evening-peak.jsonl --plot peak.svg")
	tracePaths := runCmd.Arg("trace", "Trace files.").Required().Strings()
	policyNames := runCmd.Flag("policy", "Policy to run; may be repeated; all when it is left out.").Strings()
	seed := runCmd.Flag("seed", "Seed of the random choices.").Default("1").Uint64()
	plotPath := runCmd.Flag("plot", "File for an SVG of the last trace.").String()
	c.commands["replay run"] = func() error { return c.replay(*tracePaths, *policyNames, *seed, *plotPath) }

	makeCmd := cmd.Command("make", "Write the shipped traces of both example deployments again.\n\nExample: eelgrasshook replay make --examples examples --folder traces")
	examples := makeCmd.Flag("examples", "Folder with the example documents.").Default("examples").String()
	folder := makeCmd.Flag("folder", "Folder for the traces.").Default("traces").String()
	c.commands["replay make"] = func() error { return c.makeTraces(*examples, *folder, *seed) }
}

func (c *Commander) replay(tracePaths, policyNames []string, seed uint64, plotPath string) error {
	policies, err := findPolicies(policyNames)
	if err != nil {
		return err
	}
	var results []*replayer.Result
	for _, path := range tracePaths {
		if results, err = replayFile(path, policies, seed); err != nil {
			return trace.Wrap(err, "%s", path)
		}
		if err := replayer.WriteTable(c.out, results); err != nil {
			return err
		}
	}
	if plotPath == "" {
		return nil
	}
	f, err := os.Create(plotPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(replayer.WritePlot(f, results), f.Close())
}

func findPolicies(names []string) ([]replayer.Policy, error) {
	if len(names) == 0 {
		return replayer.Policies(), nil
	}
	var policies []replayer.Policy
	for _, name := range names {
		p, err := replayer.FindPolicy(name)
		if err != nil {
			return nil, err
		}
		policies = append(policies, p)
	}
	return policies, nil
}

func replayFile(path string, policies []replayer.Policy, seed uint64) ([]*replayer.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	t, err := replayer.ReadTrace(bufio.NewReader(f))
	if err != nil {
		return nil, err
	}
	var results []*replayer.Result
	for _, p := range policies {
		r, err := replayer.NewReplay(t, p, seed)
		if err != nil {
			return nil, err
		}
		result, err := r.Run()
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (c *Commander) makeTraces(examples, folder string, seed uint64) error {
	var documents []string
	for _, name := range []string{"tazy-fit.ini", "gulf-wake.ini"} {
		text, err := os.ReadFile(filepath.Join(examples, name))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		documents = append(documents, string(text))
	}
	for _, d := range replayer.ExampleDeployments(documents[0], documents[1]) {
		for _, scenario := range replayer.Scenarios() {
			if err := c.makeTrace(d, scenario, folder, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Commander) makeTrace(d replayer.Deployment, scenario, folder string, seed uint64) error {
	t, err := replayer.MakeTrace(d, scenario, seed)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, t.Head.Name+".jsonl")
	f, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := trace.NewAggregate(t.Write(f), f.Close()); err != nil {
		return err
	}
	return c.printf("%s: %d requests\n", path, len(t.Requests))
}
