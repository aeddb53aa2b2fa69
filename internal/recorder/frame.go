package recorder

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is a magic number, the payload's length, a CRC-32C over length and payload, and the payload.
const (
	frameMagic       = 0x5AE9
	frameHeaderBytes = 2 + 4 + 4
	maxPayloadBytes  = 256 << 20
)

func castagnoliTable() *crc32.Table {
	return crc32.MakeTable(crc32.Castagnoli)
}

// appendFrame appends the payload to b as a frame.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint16(b, frameMagic)
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	b = append(b, length...)
	b = binary.LittleEndian.AppendUint32(b, checksum(length, payload))
	return append(b, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoliTable()), castagnoliTable(), payload)
}

// readFrame returns the payload of the frame at the start of b and the bytes after it.
func readFrame(b []byte) (payload, rest []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint16(b) != frameMagic {
		return nil, nil, false
	}
	n := int(binary.LittleEndian.Uint32(b[2:]))
	if n > maxPayloadBytes || len(b)-frameHeaderBytes < n {
		return nil, nil, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if checksum(b[2:6], payload) != binary.LittleEndian.Uint32(b[6:]) {
		return nil, nil, false
	}
	return payload, b[frameHeaderBytes+n:], true
}

// CorruptionError reports bytes in a file that are neither a frame nor a torn tail.
type CorruptionError struct {
	File   string
	Offset int
}

// Error returns the file and the offset in bytes.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d, before its tail", e.File, e.Offset)
}

// readFrames returns the payloads of a file and the number of bytes that hold them. Only the newest file may end in a
// torn write, so the caller sets allowTornTail to false for all others.
func readFrames(name string, data []byte, allowTornTail bool) (payloads [][]byte, validBytes int, err error) {
	rest := data
	for len(rest) > 0 {
		payload, next, ok := readFrame(rest)
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		rest = next
	}
	validBytes = len(data) - len(rest)
	if len(rest) > 0 && (!allowTornTail || hasLaterFrame(rest)) {
		return nil, validBytes, &CorruptionError{File: name, Offset: validBytes}
	}
	return payloads, validBytes, nil
}

// hasLaterFrame reports whether an intact frame follows the invalid one; a torn write leaves none.
func hasLaterFrame(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if _, _, ok := readFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
