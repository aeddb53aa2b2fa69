package commander

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

func (c *Commander) addBills() {
	cmd := c.app.Command("bills", "Total the bills of the given instances by workspace.\n\nExample: eelgrasshook bills --at 127.0.0.1:8090 --verify")
	failOnConflict := cmd.Flag("verify", "Fail when one key was billed for two different requests.").Bool()
	listAll := cmd.Flag("list", "List every bill.").Bool()
	addresses := addressFlag(cmd)
	output := outputFlag(cmd)
	c.commands["bills"] = func() error { return c.bills(*addresses, *output, *listAll, *failOnConflict) }
}

func (c *Commander) bills(addresses []string, output string, listAll, failOnConflict bool) error {
	var all []operator.Bill
	for _, address := range addresses {
		bills, err := operator.NewClient(address).Bills(context.Background())
		if err != nil {
			return err
		}
		all = append(all, bills...)
	}
	totals, conflicts := biller.Totals(all)
	if err := c.printBills(all, totals, output, listAll); err != nil {
		return err
	}
	if failOnConflict && conflicts > 0 {
		return trace.CompareFailed("%d keys were billed for different requests", conflicts)
	}
	return nil
}

func (c *Commander) printBills(all []operator.Bill, totals []biller.Total, output string, listAll bool) error {
	switch {
	case output == outputJSON && listAll:
		return c.printJSON(all)
	case output == outputJSON:
		return c.printJSON(totals)
	case listAll:
		rows := [][]string{{"AT", "WORKSPACE", "KEY", "RAN ON", "PRICE"}}
		for _, b := range all {
			rows = append(rows, []string{formatTime(b.At), b.Workspace, b.Key, b.Version + b.Service, formatMoney(b.Price)})
		}
		return c.printTable(rows)
	}
	rows := [][]string{{"WORKSPACE", "REQUESTS", "PRICE", "COST"}}
	for _, t := range totals {
		rows = append(rows, []string{t.Workspace, fmt.Sprint(t.Requests), formatMoney(t.Price), formatMoney(t.Cost)})
	}
	return c.printTable(rows)
}

func formatMoney(amount float64) string {
	return fmt.Sprintf("%.4f", amount)
}
