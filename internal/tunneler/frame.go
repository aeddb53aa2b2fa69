package tunneler

import (
	"encoding/binary"
	"io"
)

// frameType tells what follows the header of a frame. Only the relaying instance sends frames: towards the server, bytes are
// copied as they are, and the end of a tunnel is the end of its connection.
type frameType byte

const (
	// frameData carries bytes of the server.
	frameData frameType = iota + 1
	// frameEnd says that the server has closed its connection regularly. Without it, a tunnel has been cut.
	frameEnd
	// frameReset says that the connection to the server broke.
	frameReset
	// frameDraining says that the relaying instance stops: the tunnel should carry no further request.
	frameDraining
)

const (
	// frameHeaderBytes is the size of a header: the type, and the length of the data.
	frameHeaderBytes = 3
	// maxFrameData is the most data that one frame carries, in bytes; an event of a stream takes a few hundred.
	maxFrameData = 8 << 10
)

// putHeader writes the header of a frame to the start of b.
func putHeader(b []byte, t frameType, length int) {
	b[0] = byte(t)
	binary.BigEndian.PutUint16(b[1:], uint16(length))
}

// writeFrame writes a frame without data.
func writeFrame(w io.Writer, t frameType) error {
	var header [frameHeaderBytes]byte
	putHeader(header[:], t, 0)
	_, err := w.Write(header[:])
	return err
}
