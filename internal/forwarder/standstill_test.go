package forwarder

import (
	"context"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Guards against requests whose callers left during a standstill of the process being placed again and again without a
// pause, which keeps the process from learning that it stood still.
func TestRequestOfCallerThatLeftDuringStandstillEnds(t *testing.T) {
	const maxChecks = 100
	kinds := map[string]matcher.RouteKind{"stream": matcher.KindStreaming, "plain": matcher.KindAtMostOnce}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, matcher.Route{Kind: kind}, map[string]*fakeServer{"s": {respond: replyDone}})
			ctx, cancel := context.WithCancel(context.Background())
			checks := 0
			// The first check comes before the request is placed, the following ones before it is sent.
			env.f.deps.AwaitCurrent = func(context.Context) bool {
				if checks++; checks == 2 {
					cancel()
				}
				return checks >= 2 && checks < maxChecks
			}
			env.serveContext(ctx, Request{})
			if checks > 2 {
				t.Fatalf("the request was placed %d times after its caller had left", checks-2)
			}
		})
	}
}
