package forwarder

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// writer sends one response to a caller.
type writer struct {
	w          http.ResponseWriter
	status     int
	headSentAt timer.Millis
}

// HopByHopHeaders returns the hop-by-hop headers and Content-Length, which are not passed on.
func HopByHopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding",
		"Upgrade", "Content-Length",
	}
}

// writeHead sends the status and header of a backend server's response; a negative length means that it is unknown.
func (w *writer) writeHead(res *http.Response, length int, now timer.Millis) {
	h := w.w.Header()
	for name, values := range res.Header {
		// Those of one connection that are set here concern the caller's.
		if !slices.Contains(HopByHopHeaders(), name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from guessing a content type that the server did not send.
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	w.status = res.StatusCode
	w.headSentAt = now
	w.w.WriteHeader(res.StatusCode)
}

// writeChunk sends and flushes a part of a stream.
func (w *writer) writeChunk(b []byte) error {
	if _, err := w.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(w.w).Flush()
}

// writeWhole sends a complete response.
func (w *writer) writeWhole(res *http.Response, body []byte, now timer.Millis) error {
	w.writeHead(res, len(body), now)
	_, err := w.w.Write(body)
	return err
}

// writeRefusal sends an error response of this system.
func (w *writer) writeRefusal(r *Refusal) {
	h := w.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(r.RetryAfter)/float64(timer.Second), 'f', 2, 64))
	}
	body := r.Reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.w.WriteHeader(r.Status)
	// The write fails only if the caller has left, so there is nobody to report the error to.
	_, _ = io.WriteString(w.w, body)
}
