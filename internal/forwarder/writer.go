package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// writer sends one answer to a caller.
type writer struct {
	w       http.ResponseWriter
	status  int
	firstAt timer.Millis
}

// HopHeaders returns the headers that concern one connection only.
func HopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length",
	}
}

// begin sends the head of a backend server's answer; a negative length is not known yet.
func (w *writer) begin(res *http.Response, length int, now timer.Millis) {
	h := w.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	for _, name := range HopHeaders() {
		h.Del(name)
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the library from guessing a type that the server did not name.
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	w.status = res.StatusCode
	w.firstAt = now
	w.w.WriteHeader(res.StatusCode)
}

// piece sends the next piece of a stream at once.
func (w *writer) piece(b []byte) error {
	if _, err := w.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(w.w).Flush()
}

// whole sends a complete answer.
func (w *writer) whole(res *http.Response, body []byte, now timer.Millis) error {
	w.begin(res, len(body), now)
	_, err := w.w.Write(body)
	return err
}

// refuse sends an answer of the system's own.
func (w *writer) refuse(r *Refusal) {
	h := w.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(r.RetryAfter)/float64(timer.Second), 'f', 2, 64))
	}
	body := r.Reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.w.WriteHeader(r.Status)
	// A caller that has left cannot be told.
	_, _ = io.WriteString(w.w, body)
}
