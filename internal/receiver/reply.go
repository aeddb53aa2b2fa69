package receiver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Reply writes one answer to a caller.
type Reply struct {
	w                  http.ResponseWriter
	responseController *http.ResponseController
	stallTimeout       timer.Millis
	started            bool
	deadlineRenewedAt  time.Time
	idLine             []byte
}

// deadlineRenewInterval is the minimum time between two extensions of the write deadline; a write may time out that
// much early.
const deadlineRenewInterval = 500 * time.Millisecond

// NewReply returns a Reply whose writes fail when the caller does not read for stallTimeout, in milliseconds.
func NewReply(w http.ResponseWriter, stallTimeout timer.Millis) *Reply {
	return &Reply{w: w, responseController: http.NewResponseController(w), stallTimeout: stallTimeout}
}

// Header returns the header that is sent with the first byte of the answer.
func (r *Reply) Header() http.Header {
	return r.w.Header()
}

// Started reports whether the answer has started, after which its status and header can no longer change.
func (r *Reply) Started() bool {
	return r.started
}

// WriteAll writes a complete answer with a Content-Length header.
func (r *Reply) WriteAll(status int, body []byte) error {
	r.started = true
	r.renewDeadline()
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	_, err := r.w.Write(body)
	return err
}

// StartStream starts an event stream with a trailer that says whether the answer was billed.
func (r *Reply) StartStream() {
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderBilled)
	r.w.WriteHeader(http.StatusOK)
	r.started = true
}

// Flush sends all buffered data to the caller.
func (r *Reply) Flush() error {
	return r.responseController.Flush()
}

// WriteEvent writes one event of the stream, which is sent with the next Flush; it omits the id field when id is 0 and
// the event field when name is empty.
func (r *Reply) WriteEvent(id int64, name, data string) error {
	r.renewDeadline()
	if id > 0 {
		r.idLine = strconv.AppendInt(append(r.idLine[:0], "id: "...), id, 10)
		r.idLine = append(r.idLine, '\n')
		if _, err := r.w.Write(r.idLine); err != nil {
			return err
		}
	}
	if name != "" {
		if err := r.writeField("event: ", name); err != nil {
			return err
		}
	}
	for line := range strings.SplitSeq(data, "\n") {
		if err := r.writeField("data: ", line); err != nil {
			return err
		}
	}
	_, err := io.WriteString(r.w, "\n")
	return err
}

// writeField writes one line of an event; field includes the colon and the space.
func (r *Reply) writeField(field, value string) error {
	if _, err := io.WriteString(r.w, field); err != nil {
		return err
	}
	if _, err := io.WriteString(r.w, value); err != nil {
		return err
	}
	_, err := io.WriteString(r.w, "\n")
	return err
}

// renewDeadline limits how long a write can block on a slow caller.
func (r *Reply) renewDeadline() {
	now := time.Now()
	if now.Sub(r.deadlineRenewedAt) < min(deadlineRenewInterval, r.stallTimeout.Duration()/4) {
		return
	}
	r.deadlineRenewedAt = now
	// Writers without deadline support, such as those in tests, return an error that does not matter.
	_ = r.responseController.SetWriteDeadline(now.Add(r.stallTimeout.Duration()))
}
