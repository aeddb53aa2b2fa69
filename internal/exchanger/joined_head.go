package exchanger

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// joinedHeadPattern matches the start of a head: a status line and the name of the first header.
var joinedHeadPattern = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}[^\r\n]*\r?\n([!#$%&'*+.^_|~0-9A-Za-z-]+):`)

// joinedHeadAt returns the position of the first head of another response in a body, or -1. If a response that ends only with its
// connection is cut off, what the server sends next runs into it, and nothing else marks the place. The fields of events are no
// headers, so that an answer may quote a head.
func joinedHeadAt(body []byte) int {
	for start := 0; ; {
		i := bytes.Index(body[start:], []byte(headStart))
		if i < 0 {
			return -1
		}
		start += i
		match := joinedHeadPattern.FindSubmatchIndex(body[start:])
		if match == nil {
			return -1
		}
		name := string(body[start+match[2] : start+match[3]])
		if start += match[0]; !isEventField(name) {
			return start
		}
		start++
	}
}

// headStart is how every head of a response begins.
const headStart = "HTTP/1."

// headStartAt returns the position of the first head that may begin in a body, also one that the end of the body cuts off; -1 if there is
// none.
func headStartAt(body []byte) int {
	if i := bytes.Index(body, []byte(headStart)); i >= 0 {
		return i
	}
	for n := min(len(headStart)-1, len(body)); n > 0; n-- {
		if strings.HasPrefix(headStart, string(body[len(body)-n:])) {
			return len(body) - n
		}
	}
	return -1
}

// HoldsResponse reports whether a body that was cut off is filled up with another response, of which the bytes behind it may be a part.
// A body may quote a head; that of another response bears the id of a request, or it goes on behind the body.
func HoldsResponse(body, behind []byte, hasID func(*http.Response) bool) bool {
	text := append(slices.Clip(body), behind...)
	for start := 0; ; start++ {
		i := joinedHeadAt(text[start:])
		if start += i; i < 0 || start >= len(body) {
			return false
		}
		if len(behind) > 0 {
			return true
		}
		res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text[start:])), nil)
		if err == nil && hasID(res) {
			return true
		}
	}
}

// holdsResponse reports whether the complete body is that of a response that was cut off.
func (r *Response) holdsResponse(body []byte) bool {
	start := headStartAt(body)
	if start < 0 {
		return false
	}
	return HoldsResponse(body[start:], r.conn.peek(), func(other *http.Response) bool { return r.inspect(other).RequestID != "" })
}

// peek returns bytes that have come behind a response.
func (c *Conn) peek() []byte {
	c.source.left = readBufferSize
	isFirst := true
	c.source.wait = func(now timer.Millis) (timer.Millis, bool) {
		defer func() { isFirst = false }()
		return now, isFirst
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil
	}
	behind, _ := c.reader.Peek(c.reader.Buffered())
	return behind
}
