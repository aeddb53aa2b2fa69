package forwarder

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
	"github.com/eelgrasshook/eelgrasshook/internal/gauger"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Load: long prompts, while the machines of the servers differ in speed. Guards against work that is spread evenly over them: a
// prompt takes longer on a slow machine, and holds up the streams there for longer.
func TestLongPromptsGoWhereTheyAreReadSoonest(t *testing.T) {
	tests := map[string]struct {
		quick, slow int
		// queued is the prefill that waits at the quick server, in milliseconds.
		queued float64
		want   string
	}{
		"both are idle":                  {60, 160, 0, "quick"},
		"the quick one has some work":    {60, 160, 150, "quick"},
		"the quick one has a long queue": {60, 160, 1000, "slow"},
		"the reverse":                    {160, 60, 0, "slow"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"quick": {respond: replyDone}, "slow": {respond: replyDone}})
			env.f.SetGauges([]gauger.Gauge{{Server: "quick", Incarnation: 1, Percent: tt.quick}, {Server: "slow", Incarnation: 1, Percent: tt.slow},
				{Server: "gone", Incarnation: 1, Percent: 10}})
			env.f.prefillEstimator.msPerToken[""] = 0.02
			env.f.serversByName["quick"].prefillQueue.add(0, tt.queued)
			env.serve(Request{PromptTokens: 12_000})
			if n := len(env.servers[tt.want].requests()); n != 1 {
				t.Fatalf("the %s server got %d requests, want 1", tt.want, n)
			}
		})
	}
}

// Guards against a usual prefill time that is taken from the quickest machine and expected of all, and against estimates that come
// before the server and are lost.
func TestPrefillTimeIsThatOfTheMachine(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s": {respond: replyDone}})
	env.f.SetGauges([]gauger.Gauge{{Server: "later", Incarnation: 1, Percent: 160}})
	m := env.members[0]
	m.Name, m.Address = "later", "later"
	env.members = append(env.members, m)
	env.publishView()
	s := env.f.serversByName["later"]
	if s.meter.Factor() != 1.6 {
		t.Fatalf("the factor is %v", s.meter.Factor())
	}
	// A prompt of 1,000 tokens took 32 ms there, so it takes 20 on a usual machine.
	env.f.prefillEstimator.observe("", 1000, 32/s.meter.Factor())
	task := &task{Request: &Request{PromptTokens: 1000}, f: env.f, route: &env.policy.Routes[0]}
	if got := task.prefillTime(s); got != 32 {
		t.Errorf("%v ms expected on the slow machine", got)
	}
	if got := task.prefillTime(env.f.serversByName["s"]); got != 20 {
		t.Errorf("%v ms expected on a usual machine", got)
	}
}

// Guards against readings that are reported twice, or under another incarnation.
func TestReadingsAreReportedOnce(t *testing.T) {
	env := newTestEnv(t, matcher.Route{Kind: matcher.KindIdempotent}, map[string]*fakeServer{"s": {respond: replyDone}})
	s := env.f.serversByName["s"]
	for _, percent := range []int{100, 250} {
		s.updateLoad(exchanger.Info{Running: 1, Slots: 8, WorkPercent: percent}, 1)
	}
	list := env.f.Readings()["a"]
	if len(list) != 1 || list[0].Server != "s" || list[0].Incarnation != 1 || len(list[0].Percents) != 2 {
		t.Fatalf("reported %v", list)
	}
	if list := env.f.Readings(); len(list) != 0 {
		t.Fatalf("reported again: %v", list)
	}
	if list[0].Load != 1 {
		t.Fatalf("reported a load of %d", list[0].Load)
	}
}
