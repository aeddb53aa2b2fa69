package forwarder

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestStrain(t *testing.T) {
	tests := map[string]struct {
		pending float64
		gap     timer.Millis
		streams int
		want    float64
	}{
		"prompts that no event waits for too long": {900, 1200, 10, 0},
		"at the bound":         {960, 1200, 10, 0},
		"beyond it":            {1160, 1200, 10, 200},
		"nobody to hold up":    {5000, 1200, 0, 0},
		"no target for pauses": {5000, 0, 10, 0},
		"a tighter target":     {960, 600, 10, 480},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := strainOf(tt.pending, tt.gap, tt.streams); got != tt.want {
				t.Fatalf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Load: long prompts beside streams. Guards against a long prompt that is read where it holds up the streams of a slow machine, though
// it could wait a little for one where it does not; short prompts go where they are answered first.
func TestLongPromptsKeepAwayFromStreamsTheyWouldHoldUp(t *testing.T) {
	tests := map[string]struct {
		tokens int
		// streams are those at the slow server, queued is the prefill that waits at the quick one, in milliseconds.
		streams int
		queued  float64
		want    string
	}{
		"long prompt beside streams":      {8_000, 4, 740, "quick"},
		"long prompt, nobody to hold up":  {8_000, 0, 740, "slow"},
		"short prompt beside streams":     {300, 4, 740, "slow"},
		"long prompt, the wait is longer": {8_000, 4, 4000, "slow"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			route := streamRoute(true)
			route.TargetGap = 600
			env := newTestEnv(t, route, map[string]*fakeServer{"quick": {respond: pausingStream(0)}, "slow": {respond: pausingStream(0)}})
			env.f.SetGauges([]gauger.Gauge{{Server: "quick", Incarnation: 1, Percent: 60}, {Server: "slow", Incarnation: 1, Percent: 160}})
			env.f.prefillEstimator.msPerToken[""] = 0.06
			env.f.serversByName["quick"].prefillQueue.add(0, tt.queued)
			for range tt.streams {
				env.f.serversByName["slow"].places.TakeFreely()
			}
			env.serve(Request{PromptTokens: tt.tokens})
			if n := len(env.servers[tt.want].requests()); n != 1 {
				t.Fatalf("the %s server got %d requests, want 1", tt.want, n)
			}
		})
	}
}

func TestGapTargetsAreThoseOfStreams(t *testing.T) {
	p := &matcher.Policy{Routes: []matcher.Route{
		{Kind: matcher.KindStreaming, TargetGap: 1200, Shares: []matcher.Share{{Service: "a"}, {Service: "b"}}},
		{Kind: matcher.KindStreaming, TargetGap: 800, Shares: []matcher.Share{{Service: "b"}}},
		{Kind: matcher.KindIdempotent, TargetGap: 100, Shares: []matcher.Share{{Service: "c"}}},
		{Kind: matcher.KindStreaming, Shares: []matcher.Share{{Service: "d"}}},
	}}
	got := gapTargets(p)
	if len(got) != 2 || got["a"] != 1200 || got["b"] != 800 || len(gapTargets(nil)) != 0 {
		t.Fatalf("got %v", got)
	}
}
