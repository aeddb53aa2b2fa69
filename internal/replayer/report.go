package replayer

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes one line for each policy of a trace.
func WriteTable(w io.Writer, results []*Result) error {
	if len(results) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s: %d requests, target quality %.3f\n%-14s %8s %9s %8s %9s %9s %8s %8s %5s %9s\n", results[0].Trace, results[0].Requests,
		results[0].Target(), "policy", "quality", "cost", "refused", "p50 ms", "p95 ms", "retries", "exposed", "bad", "in time/s")
	if err != nil {
		return err
	}
	for _, r := range results {
		_, err := fmt.Fprintf(w, "%-14s %8.3f %9.2f %8d %9d %9d %8d %8d %5d %9.2f  %s%s\n", r.Policy, r.Quality(), r.Cost, r.Refused,
			r.FirstTokenQuantile(0.5), r.FirstTokenQuantile(0.95), r.Retries, r.Exposed, r.BadExposed, r.Goodput(), belowTargetText(r), strings.Join(r.Halted, ", "))
		if err != nil {
			return err
		}
	}
	return nil
}

func belowTargetText(r *Result) string {
	if names := r.BelowTarget(); len(names) > 0 {
		return "below target: " + strings.Join(names, ", ") + " "
	}
	return ""
}

const (
	plotWidth  = 480
	plotHeight = 300
	plotMargin = 50
)

// WritePlot writes an SVG with cost against quality on the left and cost against latency on the right.
func WritePlot(w io.Writer, results []*Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, 2*plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`)
	plotPanel(&b, 0, "cost against share of good answers", results, func(r *Result) float64 { return r.Quality() }, "%.3f")
	plotPanel(&b, plotWidth, "cost against p95 of the first token, ms", results, func(r *Result) float64 { return float64(r.FirstTokenQuantile(0.95)) }, "%.0f")
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func plotPanel(b *strings.Builder, left int, title string, results []*Result, value func(*Result) float64, format string) {
	maxCost, low, high := 0.0, value(results[0]), value(results[0])
	for _, r := range results {
		maxCost = max(maxCost, r.Cost)
		low, high = min(low, value(r)), max(high, value(r))
	}
	valueRange := max(high-low, 1e-9)
	fmt.Fprintf(b, `<text x="%d" y="20">%s</text>`, left+plotMargin, title)
	fmt.Fprintf(b, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`, left+plotMargin, plotMargin, plotHeight-plotMargin, left+plotWidth-plotMargin)
	fmt.Fprintf(b, `<text x="%d" y="%d">`+format+`</text><text x="%d" y="%d">`+format+`</text>`, left+4, plotMargin, high, left+4, plotHeight-plotMargin, low)
	fmt.Fprintf(b, `<text x="%d" y="%d">cost %.0f</text>`, left+plotWidth-2*plotMargin, plotHeight-plotMargin+16, maxCost)
	for i, r := range results {
		x := float64(left+plotMargin) + r.Cost/max(maxCost, 1e-9)*(plotWidth-2*plotMargin)
		y := float64(plotHeight-plotMargin) - (value(r)-low)/valueRange*(plotHeight-2*plotMargin)
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="4" fill="%s"/><text x="%.1f" y="%.1f">%s</text>`, x, y, colour(i), x+6, y+4-float64(i%3)*11+11, r.Policy)
	}
}

func colour(i int) string {
	return []string{"#c02020", "#808080", "#a06000", "#2060c0", "#208040", "#8040a0", "#000000"}[i%7]
}
