package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/detector"
	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 60 * time.Second
	maxIdleConnsPerServer  = 256
	maxResponseHeaderBytes = 64 << 10
	// Small buffers reduce the memory of each open stream; reads larger than the buffer bypass it.
	readBufferBytes  = 1 << 10
	writeBufferBytes = 1 << 10
	// statusEnd is the first number behind those that a status can have.
	statusEnd = 600
	// HeaderAttempt carries the number of the attempt to the backend server.
	HeaderAttempt = "X-Attempt"
	// HeaderLastEventID asks an engine to resume a stream after the event with this id.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderPriority carries the priority of the request to the engine; 9 is the most urgent.
	HeaderPriority = "X-Priority"
)

// Call describes one attempt to run a request on a backend server.
type Call struct {
	Address     string
	RequestID   string
	Attempt     int
	Method      string
	Path        string
	Query       string
	Header      http.Header
	Body        []byte
	LastEventID int64
	Priority    int
	// NoTransportRetry keeps the HTTP transport from retrying the call; the call uses a new connection.
	NoTransportRetry bool
	// MayLeave is called when the answer has stalled, and again until it makes progress. It reports whether the request
	// continues elsewhere, which ends the call with ErrStalled; nil keeps the call until its context ends.
	MayLeave func() bool
}

// SendError is a failed attempt; Ran says whether the backend server may have run it.
type SendError struct {
	Ran receiver.Ran
	Err error
}

// Error returns the cause and whether the attempt may have run.
func (e *SendError) Error() string {
	return fmt.Sprintf("backend server failed (ran: %s): %v", e.Ran, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Response is an answer with an unread body; the caller must close the body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// RecordProgress is called for each complete event of a stream; an answer without progress has stalled after the stall
	// timeout. Nil records nothing.
	RecordProgress func()
}

// Dispatcher sends calls to backend servers and pools the connections.
type Dispatcher struct {
	pooled       *http.Transport
	unpooled     *http.Transport
	stallTimeout timer.Millis
}

// NewDispatcher returns a dispatcher that asks whether a call may be left when the answer makes no progress for stallTimeout
// milliseconds.
func NewDispatcher(stallTimeout timer.Millis) *Dispatcher {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:            dialWith(dialer),
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}
	// The transport retries calls by itself when a reused connection breaks; without keep-alives it cannot.
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Dispatcher{pooled: pooled, unpooled: unpooled, stallTimeout: stallTimeout}
}

// probeTimeout bounds the test connection to a backend server after a broken answer.
const probeTimeout = 250 * time.Millisecond

// RefusesConnection reports whether the backend server at the address refuses a connection now; a timeout does not
// count as refused.
func (d *Dispatcher) RefusesConnection(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return conn.Close() != nil
}

// dialWith returns a function that opens connections with a dialer. The transport writes a request while it reads the answer.
func dialWith(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return detector.NewConn(conn), nil
	}
}

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// Send makes one attempt; it fails with a *SendError.
func (d *Dispatcher) Send(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected, reused atomic.Bool
	req, err := newRequest(withConnectionTrace(ctx, &connected, &reused), call)
	if err != nil {
		cancel(err)
		return nil, &SendError{Ran: receiver.RanNo, Err: err}
	}
	transport := d.pooled
	if call.NoTransportRetry {
		transport = d.unpooled
	}
	watch := newStallWatch(d.stallTimeout, call.MayLeave, cancel)
	watch.beginWait()
	res, err := transport.RoundTrip(req)
	watch.endWait()
	if err != nil {
		cancel(err)
		return nil, &SendError{Ran: ranIfFailed(connected.Load()), Err: err}
	}
	body := &stallBody{body: res.Body, watch: watch}
	if res.StatusCode < http.StatusOK || res.StatusCode >= statusEnd {
		err := fmt.Errorf("the answer has the status %q", res.Status)
		return nil, errors.Join(&SendError{Ran: receiver.RanUnknown, Err: err}, body.Close())
	}
	id := res.Header.Get(receiver.HeaderRequestID)
	if id != "" && id != call.RequestID {
		// The transport takes whatever comes first on a reused connection for the answer.
		err := fmt.Errorf("the answer belongs to request %s", id)
		return nil, errors.Join(&SendError{Ran: receiver.RanUnknown, Err: err}, body.Close())
	}
	if err := checkRan(res); err != nil {
		ran := receiver.RanNo
		if id == "" && reused.Load() {
			// It may be a late copy of an earlier refusal.
			ran = receiver.RanUnknown
		}
		return nil, errors.Join(&SendError{Ran: ran, Err: err}, body.Close())
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body, RecordProgress: body.progress}, nil
}

// withConnectionTrace sets connected once the call has a connection, without which no byte was sent, and reused if the
// connection has carried other calls.
func withConnectionTrace(ctx context.Context, connected, reused *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
		},
	})
}

func ranIfFailed(connected bool) receiver.Ran {
	if connected {
		return receiver.RanUnknown
	}
	return receiver.RanNo
}

// checkRan returns an error if the backend server reports that it did not run the call.
func checkRan(res *http.Response) error {
	if res.Header.Get(receiver.HeaderRan) != string(receiver.RanNo) {
		return nil
	}
	return fmt.Errorf("the backend server refused it with status %d", res.StatusCode)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	// NopCloser hides the type of the reader, so that the transport cannot rewind the body for a retry.
	var body io.Reader = http.NoBody
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.ContentLength = int64(len(call.Body))
	}
	copyForwardedHeaders(req.Header, call.Header)
	req.Header.Set(receiver.HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.LastEventID > 0 {
		req.Header.Set(HeaderLastEventID, strconv.FormatInt(call.LastEventID, 10))
	}
	return req, nil
}

// forwardedHeaders lists the callers' headers that backend servers receive, without API keys and connection headers.
func forwardedHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", receiver.HeaderIdempotencyKey, receiver.HeaderSession}
}

func copyForwardedHeaders(to, from http.Header) {
	for _, name := range forwardedHeaders() {
		if values := from.Values(name); len(values) > 0 {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
}
