package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/subscriber"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestSlowLimit(t *testing.T) {
	tests := map[string]struct {
		samples []float64
		age     timer.Millis
		want    float64
		known   bool
	}{
		"too few samples":              {[]float64{20, 20, 20}, 0, 0, false},
		"the last sample is too old":   {[]float64{20, 20, 20, 20, 20, 20, 20, 20}, paceMaxAge + 1, 0, false},
		"a narrow range has a margin":  {[]float64{20, 20, 20, 20, 20, 20, 20, 21}, 0, 25, true},
		"a wide range has a quantile":  {[]float64{10, 20, 20, 30, 40, 50, 60, 70, 80, 90, 100}, 0, 90, true},
		"one outlier changes no limit": {[]float64{20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 900}, 0, 25, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &paceWindow{}
			for _, v := range tt.samples {
				w.add(v, 1000)
			}
			if got, known := w.slowLimit(1000 + tt.age); got != tt.want || known != tt.known {
				t.Fatalf("got %v, %t; want %v, %t", got, known, tt.want, tt.known)
			}
		})
	}
}

// pacedStream returns a stream with the given gap between its events.
func pacedStream(gap time.Duration) func(int, *http.Request, io.Writer) bool {
	const events = 5
	return func(_ int, r *http.Request, w io.Writer) bool {
		write(w, streamHead(r.Header.Get("Id"), ""))
		for n := 1; n <= events; n++ {
			write(w, chunk(event(n)))
			time.Sleep(gap)
		}
		return write(w, streamEnd)
	}
}

// delayedReply answers after the given time.
func delayedReply(delay time.Duration) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		time.Sleep(delay)
		return write(w, reply(r.Header.Get("Id"), "ok"))
	}
}

// Guards against slow answers of a roll-out's target that nobody counts: the time to the first byte does not show them.
func TestSlowAnswersOfTargetVersionAreCounted(t *testing.T) {
	const (
		usual  = 4 * time.Millisecond
		slow   = 40 * time.Millisecond
		perRun = 8
	)
	tests := map[string]struct {
		route  matcher.Route
		warmUp timer.Millis
		answer func(time.Duration) func(int, *http.Request, io.Writer) bool
		// minSlow and maxSlow bound the slow answers of the target among perRun.
		minSlow, maxSlow int
	}{
		"streams":                    {streamRoute(true), 0, pacedStream, perRun, perRun},
		"other answers":              {matcher.Route{Kind: matcher.KindAtMostOnce}, 0, delayedReply, perRun, perRun},
		"servers that still warm up": {streamRoute(true), timer.Minute, pacedStream, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, tt.route, map[string]*fakeServer{"old": {respond: tt.answer(usual)}, "new": {respond: tt.answer(slow)}})
			for i := range env.members {
				if env.members[i].Name == "new" {
					env.members[i].Version, env.members[i].WarmUp, env.members[i].Incarnation = "v2", tt.warmUp, 2
				}
			}
			env.publishView()
			env.serveInTurn("before", perRun)
			// Only the target serves: its sessions have moved.
			env.members = withoutMember(env.members, "old")
			env.f.SetView(subscriber.View{Policy: env.policy, Members: env.members, RollOuts: []subscriber.RollOut{{
				RollOut:        applier.RollOut{Service: "s", TargetVersion: "v2", State: applier.RollOutRunning, StartedAt: 1, MaxDuration: timer.Hour},
				LocalStartedAt: env.f.deps.Telemetry.Clock.Now(),
			}}})
			env.serveInTurn("during", perRun)
			slowCount, isSpread := slowAnswers(env.f.VersionOutcomes(), "v2")
			if slowCount < tt.minSlow || slowCount > tt.maxSlow || isSpread != (tt.minSlow > 0) {
				t.Fatalf("%d of %d answers of the target are slow, spread %t; want %d to %d", slowCount, perRun, isSpread, tt.minSlow, tt.maxSlow)
			}
		})
	}
}

// serveInTurn sends a number of requests, one after the other.
func (e *testEnv) serveInTurn(prefix string, count int) {
	e.t.Helper()
	for i := range count {
		if _, broken := e.serve(Request{ID: fmt.Sprint(prefix, i), PromptTokens: 300}); broken {
			e.t.Fatal("the answer was broken off")
		}
	}
}

// slowAnswers returns the slow answers of a version, and whether they are spread over its servers.
func slowAnswers(outcomes []messenger.Outcomes, version string) (count int, isSpread bool) {
	for _, o := range outcomes {
		if o.Version != version {
			continue
		}
		count += o.OffPace
		if o.Route == "" {
			isSpread = o.PaceByServer.IsSpread()
		}
	}
	return count, isSpread
}

func withoutMember(members []registrar.Member, name string) []registrar.Member {
	var list []registrar.Member
	for _, m := range members {
		if m.Name != name {
			list = append(list, m)
		}
	}
	return list
}

func TestSlownessIsSpread(t *testing.T) {
	tests := map[string]struct {
		counts messenger.PaceByServer
		want   bool
	}{
		"no answers":                    {messenger.PaceByServer{}, false},
		"all servers":                   {messenger.PaceByServer{1: {Off: 1}, 2: {Off: 2}, 9: {Off: 1}}, true},
		"half of the answers of each":   {messenger.PaceByServer{1: {On: 2, Off: 2}, 2: {On: 3, Off: 2}, 9: {On: 2, Off: 3}}, true},
		"one of three":                  {messenger.PaceByServer{1: {Off: 9}, 2: {On: 9}, 3: {On: 9}}, false},
		"two of nine, chance at others": {messenger.PaceByServer{1: {Off: 9}, 2: {Off: 9}, 3: {On: 9, Off: 1}, 4: {On: 9}, 5: {On: 9}, 6: {On: 9, Off: 1}, 7: {On: 9}, 8: {On: 9}, 9: {On: 9}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.counts.IsSpread(); got != tt.want {
				t.Fatalf("got %t, want %t", got, tt.want)
			}
		})
	}
}
