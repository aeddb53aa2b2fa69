package commander

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func (c *Commander) addStatus() {
	cmd := c.app.Command("status", "Show instances, backend servers and what is degraded since when.\n\nExample: eelgrasshook status --at 127.0.0.1:8090 --output json")
	addresses := addressFlag(cmd)
	output := outputFlag(cmd)
	c.commands["status"] = func() error { return c.status(*addresses, *output) }
}

func (c *Commander) status(addresses []string, output string) error {
	var statuses []operator.Status
	for _, address := range addresses {
		s, err := operator.NewClient(address).Status(context.Background())
		if err != nil {
			return err
		}
		statuses = append(statuses, s)
	}
	if output == outputJSON {
		return c.printJSON(statuses)
	}
	for _, s := range statuses {
		if err := c.printStatus(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *Commander) printStatus(s operator.Status) error {
	err := c.printf("instance %s in %s: %s, %d running, %d waiting\n", s.Instance, s.DataCentre, s.State, s.Running, s.Waiting)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(s.Revisions)) {
		if err := c.printf("  environment %s at revision %d\n", name, s.Revisions[name]); err != nil {
			return err
		}
	}
	if s.Record != nil {
		if err := c.printf("  record: leader %s, term %d, entry %d, voters %v, learners %v\n",
			s.Record.Leader, s.Record.Term, s.Record.CommitIndex, s.Record.Voters, s.Record.Learners); err != nil {
			return err
		}
	}
	for _, d := range s.Degraded {
		if err := c.printf("  degraded since %s: %s\n", formatTime(d.Since), d.Description); err != nil {
			return err
		}
	}
	for _, claim := range s.InDoubt {
		if err := c.printf("  in doubt since %s: workspace %s, key %s, request %s\n", formatTime(claim.At), claim.Workspace, claim.Key, claim.RequestID); err != nil {
			return err
		}
	}
	rows := [][]string{{"BACKEND SERVER", "DATA CENTRE", "RUNS", "STATE", "SINCE", "IN FLIGHT", "STARTED", "FAILED"}}
	for _, b := range s.BackendServers {
		rows = append(rows, []string{
			b.Name, b.DataCentre, strings.Join(b.Serves, ","), string(b.State), formatTime(b.Since),
			fmt.Sprintf("%d/%d", b.InFlight, b.Capacity), fmt.Sprint(b.Started), fmt.Sprint(b.Failed),
		})
	}
	return c.printTable(rows)
}

func formatTime(at timer.Millis) string {
	return time.UnixMilli(int64(at)).Format(time.DateTime)
}
