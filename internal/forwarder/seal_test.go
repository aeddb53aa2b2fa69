package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Load: a server whose answers bear a seal spoils the header of one. Guards against a success without the seal that is passed on, and
// against answers of services that know no seals.
func TestSuccessWithoutItsSealIsNotTaken(t *testing.T) {
	const seal = "Stamp: s\r\n"
	tests := map[string]struct {
		kind          matcher.RouteKind
		before, lines string
		status        int
		want          int
	}{
		"sealed":                        {matcher.KindAtMostOnce, seal, seal, 200, 200},
		"a service without seals":       {matcher.KindAtMostOnce, "", "", 200, 200},
		"spoiled":                       {matcher.KindAtMostOnce, seal, "Stxmp: s\r\n", 200, http.StatusBadGateway},
		"spoiled, may be repeated":      {matcher.KindIdempotent, seal, "Stxmp: s\r\n", 200, 200},
		"a failure needs none":          {matcher.KindAtMostOnce, seal, "", 404, 404},
		"the first one that has a seal": {matcher.KindAtMostOnce, "", seal, 200, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answers := 0
			server := &fakeServer{respond: func(_ int, r *http.Request, w io.Writer) bool {
				answers++
				status, lines := 200, tt.before
				if answers == 2 {
					status, lines = tt.status, tt.lines
				}
				return write(w, fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nhi", status, r.Header.Get("Id"), lines))
			}}
			route := matcher.Route{Kind: tt.kind}
			env := newTestEnv(t, route, map[string]*fakeServer{"first": server, "second": {respond: server.respond}})
			if rec, _ := env.serve(Request{}); rec.Code != 200 {
				t.Fatalf("the first answer is %d", rec.Code)
			}
			if rec, _ := env.serve(Request{}); rec.Code != tt.want {
				t.Fatalf("got %d, want %d", rec.Code, tt.want)
			}
		})
	}
}
