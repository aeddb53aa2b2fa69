package forwarder

import (
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// strainedGapPercent is the part of the target for pauses, in percent, that the reading of prompts may take up: the streams' own
	// tokens need the rest.
	strainedGapPercent = 80
	// strainPerStream is the cost of one millisecond by which prompts are read beyond that, for each stream at the server: the
	// streams there are late together, while the prompt would only begin later elsewhere.
	strainPerStream = 0.1
)

// strainOf returns the cost of the pauses that prompts bring to the streams at a server, in milliseconds. An engine reads prompts in
// chunks between the tokens of its streams. What it has to read in less than the target for pauses delays no event by more than that;
// what takes longer may, the more so the slower the machine is.
func strainOf(pendingPrefill float64, gapTarget timer.Millis, streams int) float64 {
	if gapTarget <= 0 {
		return 0
	}
	bearable := float64(gapTarget) * strainedGapPercent / 100
	return max(0, pendingPrefill-bearable) * float64(streams) * strainPerStream
}

// gapTargets returns the shortest target for pauses of the streams that each service serves.
func gapTargets(p *matcher.Policy) map[string]timer.Millis {
	targets := map[string]timer.Millis{}
	if p == nil {
		return targets
	}
	for _, r := range p.Routes {
		if r.Kind != matcher.KindStreaming || r.TargetGap <= 0 {
			continue
		}
		for _, share := range r.Shares {
			if old, known := targets[share.Service]; !known || r.TargetGap < old {
				targets[share.Service] = r.TargetGap
			}
		}
	}
	return targets
}
