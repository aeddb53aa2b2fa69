package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes; an event of a stream takes a few hundred.
	readBufferSize = 2048
	// maxForeignResponses is the number of responses to other requests that are skipped on a connection.
	maxForeignResponses = 2
	// statusEnd is the first number behind those that a status can have.
	statusEnd = 600
)

// Request is a request as it is written to a connection.
type Request struct {
	ID, Method, Target, Host string
	Header                   http.Header
	Body                     []byte
}

// Info holds what the header of a backend server's response reports.
type Info struct {
	// RequestID is the id of the request that the response belongs to, empty if it is not given.
	RequestID string
	// NotRun is true if the server did not run the request.
	NotRun bool
	// IsSealed is true if the response bears the seal with which the server vouches for it.
	IsSealed bool
	// Running, Waiting and Slots are the server's load; Slots is 0 if it is not given.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's machine at this moment, in percent of the usual time; 0 if it is not given.
	WorkPercent int
	// HasRateLimit is true if the server limits the requests that it takes from all instances together; RateLimit is their
	// number per second.
	HasRateLimit bool
	RateLimit    float64
	// IsBrittle is true if the server falls over when it must refuse more than MaxRefusals requests per second of all instances
	// together for want of room.
	IsBrittle   bool
	MaxRefusals float64
	// Rest is how long the server asks this instance to send it nothing, in milliseconds; 0 if it does not ask. InvalidRest is
	// what it asked for if that cannot be understood.
	Rest        timer.Millis
	InvalidRest string
	// IsLeaving is true if the server finishes its requests and wants no new ones. InvalidLeaving is what it said if that cannot be
	// understood.
	IsLeaving      bool
	InvalidLeaving string
	// ColdLeft is how much longer the server is cold, in milliseconds; 0 if it does not say that it is.
	ColdLeft timer.Millis
	// Confidence is the model's confidence in the response, from 0 to 100; -1 if it is not given.
	Confidence int
	// KeepAliveTimeout is the server's keep-alive timeout, in milliseconds; 0 if it is not given.
	KeepAliveTimeout timer.Millis
}

// Inspect decodes the header of a response.
type Inspect func(*http.Response) Info

// Conn is a connection to a backend server; one request uses it at a time.
type Conn struct {
	net.Conn
	limits      Limits
	memory      *Memory
	source      *source
	reader      *bufio.Reader
	lastUsedAt  timer.Millis
	idleTimeout timer.Millis
	// isReused is true once the connection has carried a response.
	isReused bool
}

func newConn(raw net.Conn, now func() timer.Millis, limits Limits, memory *Memory) *Conn {
	s := &source{conn: raw, now: now}
	return &Conn{Conn: raw, limits: limits, memory: memory, source: s, reader: bufio.NewReaderSize(s, readBufferSize),
		idleTimeout: defaultIdleTimeout}
}

// isUsable reports whether an idle connection is still open and has no unread data.
func (c *Conn) isUsable() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// IsDetour reports whether the connection leads through another instance.
func (c *Conn) IsDetour() bool {
	_, ok := c.Conn.(Detour)
	return ok
}

// isRelayedBy reports whether the connection leads to the server directly or through an instance that is allowed.
func (c *Conn) isRelayedBy(relays Relays) bool {
	d, ok := c.Conn.(Detour)
	return !ok || relays.Allow(d.RelayDataCentre())
}

// ReportRest tells the other instance that the connection leads through, if there is one, that the server has asked to be left alone.
func (c *Conn) ReportRest(rest timer.Millis) {
	if d, ok := c.Conn.(Detour); ok {
		d.ReportRest(rest)
	}
}

// isExpired reports whether the way of the connection should not be used any longer.
func (c *Conn) isExpired() bool {
	d, ok := c.Conn.(Detour)
	return ok && d.IsExpired()
}

// Write sends the whole request. If the server ends the connection meanwhile, it may have answered before: the error is that of the
// response then, unless a whole one is there.
func (c *Conn) Write(req Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if err := req.Header.Write(&b); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	bufs := net.Buffers{b.Bytes()}
	if len(req.Body) > 0 {
		bufs = append(bufs, req.Body)
	}
	_, err := bufs.WriteTo(c.Conn)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.source.writeErr = err
		return nil
	}
	return err
}

// Response is a response whose head was read.
type Response struct {
	*http.Response
	Info    Info
	conn    *Conn
	inspect Inspect
	// isTied is true if the response bears the id of its request. An untied one may have been followed by a copy, so its
	// connection is not used again.
	isTied bool
}

// Await waits for the first byte of a response, at least for a moment, and reports whether ReadResponse need not wait: the byte or the
// end of the connection has come.
func (c *Conn) Await(until timer.Millis) bool {
	c.source.left = c.limits.MaxHeadBytes
	asked := false
	c.source.wait = func(now timer.Millis) (timer.Millis, bool) {
		first := !asked
		asked = true
		return until, first || now < until
	}
	_, err := c.reader.Peek(1)
	return !errors.Is(err, ErrStalled)
}

// ReadResponse reads the head of the response to a request and skips responses that belong to other requests. wait
// bounds the time to the first byte; nil waits until the connection closes.
func (c *Conn) ReadResponse(req Request, inspect Inspect, wait Wait) (*Response, error) {
	isReused := c.isReused
	c.isReused = true
	c.source.left = c.limits.MaxHeadBytes
	skipped := 0
	for {
		c.source.wait = wait
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.source.wait = c.source.within(c.limits.HeadTimeout)
		res, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err == nil {
			err = checkHead(res)
		}
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		r := &Response{Response: res, Info: inspect(res), conn: c, inspect: inspect}
		r.isTied = r.Info.RequestID == req.ID
		if r.isTied || r.Info.RequestID == "" && r.Info.NotRun && !isReused && skipped == 0 {
			// A full server may refuse a request before it has read the id. On a connection that was used before, such a
			// refusal may be a late copy of an earlier one.
			return r, nil
		}
		if skipped++; skipped > maxForeignResponses || isUnframed(res) {
			return nil, ErrForeign
		}
		headLeft := c.source.left
		if err := r.Discard(); err != nil {
			return nil, errors.Join(ErrForeign, err)
		}
		c.source.left = headLeft
	}
}

// checkHead returns the error of a head that is no head of a response to a request.
func checkHead(res *http.Response) error {
	switch {
	case res.StatusCode < http.StatusContinue || res.StatusCode >= statusEnd:
		return ErrNoStatus
	case res.StatusCode == http.StatusSwitchingProtocols:
		return ErrSwitched
	case hasTwoHeads(res):
		return ErrTwoHeads
	}
	return nil
}

// hasTwoHeads reports whether the head of another response was cut off and ran into this one: a header or the status then
// holds a status line. Headers of the first would otherwise count for the second.
func hasTwoHeads(res *http.Response) bool {
	if holdsStatusLine(res.Status) {
		return true
	}
	for _, values := range res.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

// holdsStatusLine reports whether text holds the start of a status line, such as "HTTP/1.1 200".
func holdsStatusLine(text string) bool {
	const protocol = "HTTP/1."
	_, rest, found := strings.Cut(text, protocol)
	if !found || len(rest) < len("1 200") || rest[1] != ' ' {
		return false
	}
	_, err := strconv.ParseUint(rest[2:5], 10, 16)
	return err == nil
}

// isUnframed reports whether the body of a response ends only with its connection.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// Discard reads and drops the body, within the limits for skipped responses.
func (r *Response) Discard() error {
	r.conn.source.left = r.conn.limits.MaxSkippedBytes
	r.conn.source.wait = r.conn.source.within(r.conn.limits.HeadTimeout)
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// CanReuse reports whether the connection may carry another request after the body was read completely.
func (r *Response) CanReuse() bool {
	return r.isTied && !r.Close && !r.announcesForbiddenBody() && r.conn.source.writeErr == nil
}

// announcesForbiddenBody reports whether a response that cannot have a body announces one, which may follow.
func (r *Response) announcesForbiddenBody() bool {
	length := r.Header.Get("Content-Length")
	return r.StatusCode == http.StatusNoContent && (length != "" && length != "0" || len(r.TransferEncoding) > 0)
}
