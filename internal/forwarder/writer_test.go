package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a connection that this instance wants to end with its answer and that stays, since the header of the server's answer
// wins, and against headers of the server's connection that are passed on.
func TestHeadersOfOneConnectionStayThere(t *testing.T) {
	rec := httptest.NewRecorder()
	rec.Header().Set("Connection", "close")
	w := &writer{w: rec}
	w.writeHead(&http.Response{StatusCode: 200, Header: http.Header{"Connection": {"keep-alive"}, "Keep-Alive": {"timeout=5"}, "A": {"b"}}}, 2, 0)
	for name, want := range map[string]string{"Connection": "close", "Keep-Alive": "", "A": "b", "Content-Length": "2"} {
		if got := rec.Header().Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
}
