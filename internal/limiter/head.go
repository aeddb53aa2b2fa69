package limiter

import "bytes"

// headEnd looks for the end of a head in the bytes of a connection.
type headEnd struct {
	// bytes is the size of the head so far, and isFound is true once it has ended.
	bytes   int64
	isFound bool
	// hasText is true once a line was not blank: blank lines before a request are no end of its head.
	hasText bool
	// lineBytes is the size of the unfinished line, and isReturn is true if it is a carriage return alone.
	lineBytes int
	isReturn  bool
}

// scan reads on and returns the number of lines that end in b.
func (h *headEnd) scan(b []byte) int {
	lines := bytes.Count(b, []byte{'\n'})
	for len(b) > 0 && !h.isFound {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			h.isReturn = h.lineBytes == 0 && len(b) == 1 && b[0] == '\r'
			h.lineBytes += len(b)
			h.bytes += int64(len(b))
			break
		}
		isBlank := h.lineBytes+end == 0 || h.lineBytes+end == 1 && (h.isReturn || end == 1 && b[0] == '\r')
		h.bytes += int64(end) + 1
		h.isFound = isBlank && h.hasText
		h.hasText = h.hasText || !isBlank
		h.lineBytes, h.isReturn = 0, false
		b = b[end+1:]
	}
	return lines
}

// skip counts n bytes of the head that cannot be looked at any more; they do not end it.
func (h *headEnd) skip(n int64) {
	h.bytes += n
	h.lineBytes++
}
