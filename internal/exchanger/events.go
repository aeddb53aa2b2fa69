package exchanger

import (
	"bytes"
	"io"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// initialEventBytes is the initial size of the buffer for reading a stream, in bytes.
const initialEventBytes = 4096

// EventWait is the Wait of a stream: lastEventAt is when the last event was complete, or the head before the first one.
type EventWait func(lastEventAt, now timer.Millis, hasEvents bool) (until timer.Millis, ok bool)

// EventReader reads the events of a stream; Free must be called when it is no longer used.
type EventReader struct {
	res    *Response
	buffer buffer
	// returned is the length of the events that the last call of Next returned, and scanned how much of the buffer has no
	// end of an event.
	returned, scanned int
	lastEventAt       timer.Millis
	hasEvents         bool
	// mayBeEmpty is true if the rest of a stream may have no event.
	mayBeEmpty bool
	// err is the error that came with the last bytes.
	err error
}

// Events returns a reader of the response's events.
func (r *Response) Events(wait EventWait) *EventReader {
	c := r.conn
	e := &EventReader{res: r, buffer: buffer{memory: c.memory}, lastEventAt: c.source.now()}
	c.source.left = unbounded
	c.source.wait = func(now timer.Millis) (timer.Millis, bool) { return wait(e.lastEventAt, now, e.hasEvents) }
	if r.Header.Get("Content-Encoding") != "" {
		e.err = ErrEncoded
	}
	return e
}

// WithEmptyRest returns the reader of the rest of a stream, which is complete without an event if its end is told by a length or by chunks.
func (e *EventReader) WithEmptyRest() *EventReader {
	e.mayBeEmpty = !isUnframed(e.res.Response)
	return e
}

// HasPart reports whether the stream broke off within an event.
func (e *EventReader) HasPart() bool {
	return len(e.buffer.bytes) > e.returned
}

// Free returns the memory of the reader.
func (e *EventReader) Free() {
	e.buffer.free()
}

// Next waits for complete events and returns them all; they are valid until the next call. Comments before the first
// event are returned together with it, because they do not show that the server produces anything. The error is io.EOF
// at the regular end of a stream that had an event.
func (e *EventReader) Next() ([]byte, error) {
	e.dropReturned()
	for {
		if e.err != nil {
			return nil, e.endError()
		}
		if err := e.buffer.grow(initialEventBytes, e.res.conn.limits.MaxEventBytes); err != nil {
			return nil, err
		}
		b := e.buffer.bytes
		n, err := e.res.Body.Read(b[len(b):cap(b)])
		e.buffer.bytes, e.err = b[:len(b)+n], err
		if events := e.complete(); len(events) > 0 {
			return events, nil
		}
	}
}

// complete returns the complete events in the buffer, if any of them can be passed on.
func (e *EventReader) complete() []byte {
	b := e.buffer.bytes
	// The end of an event may lie across two reads.
	start := max(0, e.scanned-len("\r\n\r"))
	length := completeEventsLen(b[start:])
	e.scanned = len(b)
	if length == 0 {
		return nil
	}
	events := b[:start+length]
	valid := validEventsLen(events)
	if at := joinedHeadAt(events); at >= 0 {
		valid = min(valid, completeEventsLen(events[:at]))
	}
	if valid < len(events) {
		e.err = ErrNoEvents
		events = events[:valid]
	}
	if hasEvent(events) {
		e.hasEvents = true
		e.lastEventAt = e.res.conn.source.now()
	}
	if !e.hasEvents || len(events) == 0 {
		return nil
	}
	e.returned = len(events)
	return events
}

func (e *EventReader) dropReturned() {
	rest := copy(e.buffer.bytes, e.buffer.bytes[e.returned:])
	e.buffer.bytes = e.buffer.bytes[:rest]
	e.returned, e.scanned = 0, 0
}

// endError returns the error of a stream that has ended: an end within an event is irregular, and one before the first event, unless the
// stream may be empty.
func (e *EventReader) endError() error {
	b := e.buffer.bytes
	isWhole := len(b) == 0 && e.hasEvents || e.mayBeEmpty && completeEventsLen(b) == len(b)
	if e.err == io.EOF && !isWhole {
		return io.ErrUnexpectedEOF
	}
	return e.err
}

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	length := 0
	if lf >= 0 {
		length = lf + 2
	}
	if crlf >= 0 {
		length = max(length, crlf+4)
	}
	return length
}

// hasEvent reports whether any line is more than a comment.
func hasEvent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// CountEvents returns the number of complete events.
func CountEvents(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}

// LastEventID returns the id of the last event that has one, or an empty string.
func LastEventID(events []byte) string {
	prefix := []byte("id:")
	for end := len(events); end > 0; {
		i := bytes.LastIndex(events[:end], prefix)
		if i < 0 {
			return ""
		}
		if i == 0 || events[i-1] == '\n' {
			line := events[i+len(prefix):]
			if j := bytes.IndexAny(line, "\r\n"); j >= 0 {
				line = line[:j]
			}
			return string(bytes.TrimSpace(line))
		}
		end = i
	}
	return ""
}
