package limiter

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// requestCost is what a request takes besides its header and body, in bytes: its goroutine and buffers.
	requestCost = 16 << 10
	// fieldCost is what a header field takes besides its text, in bytes: its entries in the header as it was read and as it is sent on.
	fieldCost = 256
	// firstPiece is the size of the first buffer for a body, in bytes.
	firstPiece = 16 << 10
)

// ErrTooSlow is returned for a body of which no byte comes for too long.
var ErrTooSlow = errors.New("the body comes too slowly")

// Reader reads the bodies of requests within a budget.
type Reader struct {
	Budget *Budget
	// Wait is the longest time without a byte of a body.
	Wait timer.Millis
}

// Open takes what the head of a request holds, unless its connection has done so. The lease must be closed once the request is answered.
func (rd Reader) Open(r *http.Request) (*Lease, error) {
	ctx := r.Context()
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.lease != nil {
		return c.lease, nil
	}
	l := rd.Budget.Open(func() { CloseConn(ctx) })
	if err := l.Take(headCost(r.Header)); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func headCost(h http.Header) int64 {
	cost := int64(requestCost)
	for name, values := range h {
		for _, v := range values {
			cost += int64(len(name)+len(v)) + fieldCost
		}
	}
	return cost
}

// ReadBody reads the body of a request of at most max bytes, 0 for no limit; memory is taken from the lease before it is allocated. It
// fails with http.MaxBytesError, ErrTooSlow, ErrExhausted, ErrEvicted, or the error of the connection.
func (rd Reader) ReadBody(w http.ResponseWriter, r *http.Request, l *Lease, max int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, l.Complete()
	}
	if max > 0 {
		if r.ContentLength > max {
			return nil, &http.MaxBytesError{Limit: max}
		}
		r.Body = http.MaxBytesReader(w, r.Body, max)
	}
	control := http.NewResponseController(w)
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(body, r.ContentLength, l)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		// Without a deadline, a caller that stops short keeps its memory for ever. Not every writer supports one.
		_ = control.SetReadDeadline(deadlineAfter(rd.Wait))
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			l.Progress(n)
		}
		if err == io.EOF {
			// The server goes on to watch the connection for the departure of the caller.
			_ = control.SetReadDeadline(time.Time{})
			return body, l.Complete()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, ErrTooSlow
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a body with room for more bytes. A body with a length gets all its memory once its first piece has come.
func grow(body []byte, length int64, l *Lease) ([]byte, error) {
	size := int64(firstPiece)
	switch {
	case len(body) == 0 && length > 0:
		size = min(size, length+1)
	case length > 0:
		// One byte more than the body, so that its end is seen.
		size = max(length+1, int64(len(body))+1)
	case len(body) > 0:
		size = 2 * int64(len(body))
	}
	if err := l.Take(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	l.Give(int64(cap(body)))
	return grown, nil
}

// deadlineAfter returns the time after the given duration. Deadlines of connections are in the time of the operating system.
func deadlineAfter(d timer.Millis) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d.Duration())
}
