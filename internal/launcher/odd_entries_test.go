package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against an odd entry of another writer among the announcements of backend servers that breaks the links between the
// instances, again and again, or takes the place of the sound servers.
func TestFleetWorksOnBesideOddEntries(t *testing.T) {
	const sound = `{"service":"desk","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`
	replace := func(old, replacement string) string { return strings.Replace(sound, old, replacement, 1) }
	tests := map[string]struct{ id, body string }{
		"an id that is no text":    {"i-%ff%fe", replace(`"address":"127.0.0.1:9"`, `"address":"127.0.0.1:8"`)},
		"very deeply nested":       {"i-x", replace(`"seq"`, `"models":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)+`,"seq"`)},
		"a number that overflows":  {"i-x", replace(`"slots":4`, `"slots":9223372036854775807`)},
		"a warm-up that overflows": {"i-x", replace(`"cold_left_ms":0`, `"cold_left_ms":1e300`)},
		"a port out of range":      {"i-x", replace(`:9"`, `:99999"`)},
		"port 0":                   {"i-x", replace(`:9"`, `:0"`)},
		"no version":               {"i-x", replace(`"version":"v1",`, ``)},
		"start that overflows":     {"i-x", replace(`"born":1`, `"born":9223372036854775807`)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, "ok")
			}))
			defer backend.Close()
			d := newDeployment(t)
			defer d.stop()
			d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+d.controlAddrs[1]+"/config", fmt.Sprintf(policyFormat, 3))
			body := strings.Replace(strings.Replace(tt.body, `"address":"127.0.0.1:9"`, `"address":"127.0.0.1:7"`, 1), `"seq":1`, `"seq":2`, 1)
			for _, text := range []string{tt.body, body} {
				if status, answer := call(http.MethodPut, "http://"+d.controlAddrs[0]+"/instances/"+tt.id, text); status != http.StatusBadRequest {
					t.Errorf("the entry was answered with %d %q, want 400", status, answer)
				}
			}
			defer d.announceNewer("i-1", backend.Listener.Addr().String())()
			d.waitForStatus(http.StatusOK, http.MethodGet, "http://"+d.callersAddr+"/a/x", "")
			for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
				if status, answer := call(http.MethodGet, "http://"+d.callersAddr+"/a/x", ""); status != http.StatusOK {
					t.Fatalf("a caller got %d %q", status, answer)
				}
			}
			for n, addr := range d.controlAddrs {
				d.waitForStatus(http.StatusOK, http.MethodPut, "http://"+addr+"/config", fmt.Sprintf(policyFormat, 8+n))
			}
		})
	}
}
