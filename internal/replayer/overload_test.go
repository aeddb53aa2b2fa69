package replayer

import (
	"fmt"
	"os"
	"testing"
)

func exampleDeployment(t *testing.T, n int) Deployment {
	t.Helper()
	var texts []string
	for _, name := range []string{"tazy-fit.ini", "gulf-wake.ini"} {
		text, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(text))
	}
	return ExampleDeployments(texts[0], texts[1])[n]
}

func runOverload(t *testing.T, d Deployment, factor float64, policy string) *Result {
	t.Helper()
	tr, err := MakeTrace(d, fmt.Sprintf("overload-%g", factor), 1)
	if err != nil {
		t.Fatal(err)
	}
	return runPolicy(t, tr, policy)
}

// TestGoodputHoldsUnderOverload sends 0.5 to 10 times the full load; goodput must not collapse above full load.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for n := range 2 {
		d := exampleDeployment(t, n)
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			highestGoodput := 0.0
			results := map[float64]*Result{}
			for _, factor := range []float64{0.5, 1, 2, 5, 10} {
				results[factor] = runOverload(t, d, factor, "eelgrasshook")
				highestGoodput = max(highestGoodput, results[factor].Goodput())
			}
			for _, factor := range []float64{0.5, 1, 2, 5, 10} {
				r := results[factor]
				t.Logf("%4.1f times the full load: goodput %.1f/s, refused %d of %d, p95 %d ms", factor, r.Goodput(), r.Refused, r.Requests, r.FirstTokenQuantile(0.95))
				if factor >= 2 && r.Goodput() < 0.9*highestGoodput {
					t.Errorf("goodput %.1f/s at %g times the full load, less than 0.9 of the highest (%.1f)", r.Goodput(), factor, highestGoodput)
				}
			}
		})
	}
}

// TestSmallWorkspacesKeepTheirShare compares two workspaces that share a pool at five times its load:
// the one of weight 1 must get at least 0.9 of a quarter of the answers in time of the one of weight 4.
func TestSmallWorkspacesKeepTheirShare(t *testing.T) {
	r := runOverload(t, exampleDeployment(t, 0), 5, "eelgrasshook")
	large, small := r.countsOf("fit-questions").inTime, r.countsOf("volunteers").inTime
	t.Logf("in time: fit-questions (weight 4) %d, volunteers (weight 1) %d", large, small)
	if float64(small) < 0.9*float64(large)/4 {
		t.Errorf("the small workspace got %d answers in time; beside %d of the large one its fair share is %d", small, large, large/4)
	}
}

// TestOneSlowServerDoesNotRaiseLatency makes one engine of each kind ten times slower without a change in
// its announcements, so that only measured latency can reveal it; p95 must not exceed that of least-load.
func TestOneSlowServerDoesNotRaiseLatency(t *testing.T) {
	tr, err := MakeTrace(exampleDeployment(t, 0), "slow-server", 1)
	if err != nil {
		t.Fatal(err)
	}
	ours, leastLoad := runPolicy(t, tr, "eelgrasshook"), runPolicy(t, tr, "least-load")
	t.Logf("p95 %d ms, p99 %d ms; least-load: p95 %d ms, p99 %d ms", ours.FirstTokenQuantile(0.95), ours.FirstTokenQuantile(0.99), leastLoad.FirstTokenQuantile(0.95), leastLoad.FirstTokenQuantile(0.99))
	if ours.FirstTokenQuantile(0.95) > leastLoad.FirstTokenQuantile(0.95) || ours.Refused > 0 {
		t.Errorf("p95 %d ms, least-load has %d ms; refused %d", ours.FirstTokenQuantile(0.95), leastLoad.FirstTokenQuantile(0.95), ours.Refused)
	}
}
