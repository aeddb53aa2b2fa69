package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/caller"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
)

// maxPrintedLines is the maximum number of broken promises that are printed.
const maxPrintedLines = 10

// checkAndReport prints the results and returns an error when a promise was broken.
func (d *Demo) checkAndReport() error {
	bills, err := d.fetchBills()
	if err != nil {
		return err
	}
	outcomes := d.outcomes.all()
	d.printCounts(outcomes)
	d.printCost(bills)
	broken := d.brokenPromises(outcomes, bills)
	for _, line := range broken[:min(len(broken), maxPrintedLines)] {
		d.printLine("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		return trace.CompareFailed("%d promises were broken", len(broken))
	}
	d.printLine("every promise was kept")
	return nil
}

func (d *Demo) fetchBills() ([]biller.Bill, error) {
	var all []biller.Bill
	// The third instance has stopped; no worker sent requests to it.
	for n := range 2 {
		list, err := d.fleet.NewOperatorClient(n).Bills(context.Background())
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

func (d *Demo) printCounts(outcomes []outcome) {
	answered := map[string]int{}
	refused := map[string]int{}
	var kinds []string
	for _, o := range outcomes {
		if !slices.Contains(kinds, o.kind) {
			kinds = append(kinds, o.kind)
		}
		if o.err != nil {
			refused[o.kind]++
			continue
		}
		answered[o.kind]++
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		d.printLine("%-13s %5d answered, %d refused", k, answered[k], refused[k])
	}
}

// printCost compares the billed cost with the cost of the same tokens on the costly version.
func (d *Demo) printCost(bills []biller.Bill) {
	costly, _ := d.doc.Version(costlyVersion)
	cost, costlyTotal := 0.0, 0.0
	seen := map[string]bool{}
	for _, b := range bills {
		if seen[b.RequestID] {
			continue
		}
		seen[b.RequestID] = true
		cost += b.Cost
		if b.Version != "" {
			costlyTotal += (costly.InputPrice*float64(b.PromptTokens) + costly.OutputPrice*float64(b.CompletionTokens)) / 1000
		}
	}
	d.printLine("cost %.2f, compared with %.2f if every answer came from %s: %.0f%%", cost, costlyTotal, costlyVersion, 100*cost/costlyTotal)
}

// brokenPromises describes each broken promise. It compares what the callers saw with the bills and the runs that the
// fake backend servers recorded.
func (d *Demo) brokenPromises(outcomes []outcome, bills []biller.Bill) []string {
	runs := d.collectRuns()
	checks := []func() []string{
		func() []string { return checkAnswers(outcomes) },
		func() []string { return d.checkVersions(outcomes) },
		func() []string { return checkSessions(outcomes) },
		func() []string { return checkBills(outcomes, bills) },
		func() []string { return checkOrders(outcomes, runs) },
		func() []string { return checkRefusals(outcomes, runs) },
		func() []string { return d.checkWithdrawal(runs) },
	}
	var lines []string
	for _, check := range checks {
		lines = append(lines, check()...)
	}
	return lines
}

func (d *Demo) collectRuns() []imitator.Run {
	var all []imitator.Run
	for _, e := range d.fleet.Engines {
		all = append(all, e.Runs()...)
	}
	for _, s := range d.fleet.Services {
		all = append(all, s.Runs()...)
	}
	return all
}

// checkAnswers finds requests without an answer, answers of the wrong length and text of another request's answer.
func checkAnswers(outcomes []outcome) []string {
	var lines []string
	for _, o := range outcomes {
		if o.err != nil {
			lines = append(lines, fmt.Sprintf("%s %s got no answer: %v", o.kind, o.marker, o.err))
			continue
		}
		if o.answer.Version == "" {
			continue
		}
		words := strings.Fields(o.answer.Text)
		for _, w := range words {
			if !strings.HasPrefix(w, o.marker+":") {
				lines = append(lines, fmt.Sprintf("%s %s got text of another answer: %q", o.kind, o.marker, w))
			}
		}
		if want := expectedTokens(o.kind); len(words) != want {
			lines = append(lines, fmt.Sprintf("%s %s got %d of %d words", o.kind, o.marker, len(words), want))
		}
	}
	return lines
}

func expectedTokens(kind string) int {
	switch kind {
	case "consultation":
		return consultationTokens
	case "question":
		return questionTokens
	}
	return labelTokens
}

func (d *Demo) checkVersions(outcomes []outcome) []string {
	var lines []string
	for _, o := range outcomes {
		if o.err != nil || o.answer.Version == "" {
			continue
		}
		w, _ := d.doc.Workspace(o.workspace)
		v, _ := d.doc.Version(o.answer.Version)
		if !w.MayUse(v) {
			lines = append(lines, fmt.Sprintf("workspace %s was served by version %s", w.Name, v.Name))
		}
	}
	return lines
}

// checkSessions finds sessions that moved to another version although the answer did not report the move.
func checkSessions(outcomes []outcome) []string {
	var lines []string
	last := map[string]string{}
	for _, o := range outcomes {
		if o.session == "" || o.err != nil {
			continue
		}
		id := o.workspace + "/" + o.session
		previous, ok := last[id]
		if ok && previous != o.answer.Version && o.answer.PreviousVersion != previous {
			lines = append(lines, fmt.Sprintf("session %s moved from %s to %s without notice", id, previous, o.answer.Version))
		}
		last[id] = o.answer.Version
	}
	return lines
}

func checkBills(outcomes []outcome, bills []biller.Bill) []string {
	var lines []string
	count := map[string]int{}
	seen := map[string]bool{}
	for _, b := range bills {
		// Each bill is stored on two instances; both copies have the same request id.
		id := b.Workspace + "/" + b.Key
		if !seen[id+b.RequestID] {
			count[id]++
		}
		seen[id+b.RequestID] = true
	}
	for _, o := range outcomes {
		if o.err != nil {
			continue
		}
		key := o.idempotencyKey
		if key == "" {
			key = o.answer.RequestID
		}
		if n := count[o.workspace+"/"+key]; n != 1 || !o.answer.Billed {
			lines = append(lines, fmt.Sprintf("%s %s has %d bills; the answer's billed flag is %t", o.kind, key, n, o.answer.Billed))
		}
	}
	return lines
}

func checkOrders(outcomes []outcome, runs []imitator.Run) []string {
	var lines []string
	count := map[string]int{}
	for _, r := range runs {
		if r.IdempotencyKey != "" {
			count[r.IdempotencyKey]++
		}
	}
	for _, o := range outcomes {
		if o.kind == "order" && count[o.idempotencyKey] != 1 {
			lines = append(lines, fmt.Sprintf("order %s ran %d times", o.idempotencyKey, count[o.idempotencyKey]))
		}
	}
	return lines
}

// checkRefusals finds requests that ran although the refusal said that they did not.
func checkRefusals(outcomes []outcome, runs []imitator.Run) []string {
	var lines []string
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.RequestID] = true
	}
	for _, o := range outcomes {
		var refused *caller.Error
		if errors.As(o.err, &refused) && refused.Ran == receiver.RanNo && ran[o.requestID()] {
			lines = append(lines, fmt.Sprintf("request %s ran, but its refusal said that it did not", o.requestID()))
		}
	}
	return lines
}

// checkWithdrawal finds requests that started on the withdrawn version after the withdrawal was in force.
func (d *Demo) checkWithdrawal(runs []imitator.Run) []string {
	var lines []string
	old, _ := d.doc.Version(oldVersion)
	for _, r := range runs {
		if r.EngineName == old.EngineName && r.StartedAtMillis > d.withdrawnAt.UnixMilli() {
			lines = append(lines, fmt.Sprintf("request %s started on the withdrawn version %s", r.RequestID, oldVersion))
		}
	}
	return lines
}
