package exchanger

import (
	"errors"
	"sync/atomic"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Limits bounds what a backend server may send.
type Limits struct {
	// MaxHeadBytes bounds everything before the body of a response: its head, informational heads, and the heads of
	// skipped responses, in bytes.
	MaxHeadBytes int64
	// HeadTimeout is the longest time from the first byte of a head to its end, in milliseconds.
	HeadTimeout timer.Millis
	// MaxSkippedBytes bounds the body of a skipped response, in bytes; HeadTimeout bounds its time.
	MaxSkippedBytes int64
	// MaxBodyBytes bounds a body that is buffered until it is complete, in bytes.
	MaxBodyBytes int64
	// MaxEventBytes bounds one event of a stream, in bytes.
	MaxEventBytes int
	// MinBodyRate is the rate, in bytes per second, below which a buffered body counts as stalled after BodyGrace
	// milliseconds.
	MinBodyRate int64
	BodyGrace   timer.Millis
}

// Errors of responses that cannot be used; the request may have run.
var (
	// ErrTooLong is returned when a response exceeds a limit in bytes.
	ErrTooLong = errors.New("the response exceeds a size limit")
	// ErrStalled is returned when a response does not progress within its time limit.
	ErrStalled = errors.New("the response stalled")
	// ErrForeign is returned when a connection carries responses that belong to other requests.
	ErrForeign = errors.New("the connection carries responses to other requests")
	// ErrNoMemory is returned when the responses in progress take all memory that Memory grants.
	ErrNoMemory = errors.New("the responses in progress take too much memory")
	// ErrEncoded is returned for a response with a content encoding, which no caller has asked for.
	ErrEncoded = errors.New("the response has a content encoding")
	// ErrTwoHeads is returned when a response that was cut off, in its head or in a body without a length, runs into the next one.
	ErrTwoHeads = errors.New("another response ran into this one")
	// ErrNoEvents is returned when a stream carries lines that are no events, such as the text of an error.
	ErrNoEvents = errors.New("the stream carries lines that are no events")
	// ErrNoStatus is returned for a response whose status is outside of 100 to 599.
	ErrNoStatus = errors.New("the status of the response is none")
	// ErrSwitched is returned when a server switches protocols unasked.
	ErrSwitched = errors.New("the server switched protocols")
)

// Memory bounds what all responses in progress hold together; it is safe for concurrent use.
type Memory struct {
	max  int64
	used atomic.Int64
}

// NewMemory returns a Memory of max bytes.
func NewMemory(max int64) *Memory {
	return &Memory{max: max}
}

// reserve takes n bytes; it reports false and takes none if fewer are left.
func (m *Memory) reserve(n int64) bool {
	if m.used.Add(n) > m.max {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *Memory) release(n int64) {
	m.used.Add(-n)
}

// buffer is a byte slice that grows within a Memory.
type buffer struct {
	bytes  []byte
	memory *Memory
	// reserved is the number of bytes taken from memory; the first freeBytes of a buffer are not counted.
	reserved int64
}

// freeBytes is the size up to which a buffer is not counted: most responses and events are smaller.
const freeBytes = 8 << 10

// grow makes room for at least one more byte, up to the given size; the result is ErrTooLong if the buffer has that
// size, and ErrNoMemory if there is no memory for more.
func (b *buffer) grow(initial, most int) error {
	if len(b.bytes) < cap(b.bytes) {
		return nil
	}
	size := min(max(2*cap(b.bytes), initial), most)
	if size == cap(b.bytes) {
		return ErrTooLong
	}
	if size > freeBytes {
		if !b.memory.reserve(int64(size) - b.reserved) {
			return ErrNoMemory
		}
		b.reserved = int64(size)
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// free returns the buffer's memory.
func (b *buffer) free() {
	b.memory.release(b.reserved)
	b.reserved, b.bytes = 0, nil
}
