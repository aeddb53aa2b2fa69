package recorder

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

const (
	logSuffix  = ".log"
	baseSuffix = ".base"
	tempSuffix = ".tmp"
	// defaultSegmentBytes is the file size from which on the next append starts a new file.
	defaultSegmentBytes = 4 << 20
)

// Journal is a sequence of payloads in numbered segment files. The newest base file is the first of them; a base file
// replaces all earlier files.
type Journal struct {
	disk Disk
	// segmentBytes is the file size from which on an append starts a new file.
	segmentBytes  int
	segmentNumber int
	file          File
	// segmentSize is the size of the open file in bytes.
	segmentSize int
	// totalSize is the size in bytes of all files that a restart reads.
	totalSize int
	// isBase reports whether the open file is a base file.
	isBase  bool
	failure error
}

// ErrNotWritten reports that the disk rejected a write, for instance because it is full, and the journal is unchanged.
var ErrNotWritten = errors.New("the disk took nothing")

// OpenJournal passes every payload in order to replay, truncates a torn tail and returns the journal ready for appends.
// It returns a CorruptionError if a file is damaged before its tail.
func OpenJournal(disk Disk, replay func([]byte) error) (*Journal, error) {
	j := &Journal{disk: disk, segmentBytes: defaultSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	segments, err := j.removeObsolete(names)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for i, name := range segments {
		if err := j.loadSegment(name, i == len(segments)-1, replay); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := j.openNewest(segments); err != nil {
		return nil, trace.Wrap(err)
	}
	return j, nil
}

// WithSegmentBytes sets the file size in bytes from which on an append starts a new file.
func (j *Journal) WithSegmentBytes(n int) *Journal {
	j.segmentBytes = n
	return j
}

// Bytes returns the size in bytes of all files that a restart reads.
func (j *Journal) Bytes() int {
	return j.totalSize
}

// removeObsolete removes temporary files and the segments that the newest base file replaces. It returns the other
// segments in order.
func (j *Journal) removeObsolete(names []string) ([]string, error) {
	newestBase := 0
	for i, name := range names {
		if strings.HasSuffix(name, baseSuffix) {
			newestBase = i
		}
	}
	var segments []string
	for i, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix) || isSegment(name) && i < newestBase:
			if err := j.disk.Remove(name); err != nil {
				return nil, err
			}
		case isSegment(name):
			segments = append(segments, name)
		}
	}
	return segments, nil
}

func isSegment(name string) bool {
	return strings.HasSuffix(name, logSuffix) || strings.HasSuffix(name, baseSuffix)
}

func (j *Journal) loadSegment(name string, isLast bool, replay func([]byte) error) error {
	if _, err := fmt.Sscanf(name, "%016d", &j.segmentNumber); err != nil {
		return trace.BadParameter("file %s does not belong to a journal", name)
	}
	data, err := j.disk.Read(name)
	if err != nil {
		return err
	}
	payloads, validBytes, err := readFrames(name, data, isLast)
	if err != nil {
		return err
	}
	if validBytes < len(data) {
		if err := j.disk.Truncate(name, int64(validBytes)); err != nil {
			return err
		}
	}
	for _, p := range payloads {
		if err := replay(p); err != nil {
			return trace.Wrap(err, "file %s", name)
		}
	}
	j.segmentSize = validBytes
	j.totalSize += validBytes
	return nil
}

func (j *Journal) openNewest(segments []string) error {
	if len(segments) == 0 {
		return j.startSegment()
	}
	file, err := j.disk.Append(segments[len(segments)-1])
	if err != nil {
		return err
	}
	j.file = file
	j.isBase = strings.HasSuffix(segments[len(segments)-1], baseSuffix)
	return nil
}

// createError reports that a file could not be created, which leaves the journal unchanged.
type createError struct {
	err error
}

// Error returns the text of the disk's error.
func (e *createError) Error() string { return e.err.Error() }

// Unwrap returns the disk's error.
func (e *createError) Unwrap() error { return e.err }

// startSegment creates the next file and syncs the folder before anything is written to the file.
func (j *Journal) startSegment() error {
	name := fmt.Sprintf("%016d%s", j.segmentNumber+1, logSuffix)
	file, err := j.disk.Create(name)
	if err != nil {
		return &createError{err}
	}
	if err := j.disk.SyncFolder(); err != nil {
		return err
	}
	if j.file.Close != nil {
		if err := j.file.Close(); err != nil {
			return err
		}
	}
	j.segmentNumber++
	j.file = file
	j.isBase = false
	j.segmentSize = 0
	return nil
}

// Append writes the payloads with one sync. After an error other than ErrNotWritten the journal rejects all changes.
func (j *Journal) Append(payloads ...[]byte) error {
	return j.runUnlessFailed(func() error { return j.append(payloads) })
}

// runUnlessFailed runs a change of the journal. An error that leaves the state on disk unknown makes it reject all
// further changes.
func (j *Journal) runUnlessFailed(change func() error) error {
	if j.failure != nil {
		return j.failure
	}
	err := change()
	if err != nil && !errors.Is(err, ErrNotWritten) {
		j.failure = trace.Wrap(err, "the journal failed and must be opened again")
		return j.failure
	}
	return err
}

func (j *Journal) append(payloads [][]byte) error {
	if j.segmentSize >= j.segmentBytes {
		var notCreated *createError
		if err := j.startSegment(); errors.As(err, &notCreated) {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		} else if err != nil {
			return err
		}
	}
	var buf []byte
	for _, p := range payloads {
		if len(p) > maxPayloadBytes {
			return trace.LimitExceeded("a payload of %d bytes, at most %d", len(p), maxPayloadBytes)
		}
		buf = appendFrame(buf, p)
	}
	if _, err := j.file.Write(buf); err != nil {
		return j.truncateFailedWrite(err)
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.segmentSize += len(buf)
	j.totalSize += len(buf)
	return nil
}

// truncateFailedWrite removes the bytes that a failed write may have left and reopens the file at its end.
func (j *Journal) truncateFailedWrite(writeErr error) error {
	name := j.fileName()
	if err := errors.Join(j.file.Close(), j.disk.Truncate(name, int64(j.segmentSize))); err != nil {
		return errors.Join(writeErr, err)
	}
	file, err := j.disk.Append(name)
	if err != nil {
		return errors.Join(writeErr, err)
	}
	j.file = file
	return fmt.Errorf("%w: %w", ErrNotWritten, writeErr)
}

// fileName returns the name of the open file; a journal that was just opened may append to a base file.
func (j *Journal) fileName() string {
	if j.isBase {
		return fmt.Sprintf("%016d%s", j.segmentNumber, baseSuffix)
	}
	return fmt.Sprintf("%016d%s", j.segmentNumber, logSuffix)
}

// Rewrite atomically replaces all payloads with the given ones; its errors are those of Append.
func (j *Journal) Rewrite(payloads ...[]byte) error {
	return j.runUnlessFailed(func() error { return j.rewrite(payloads) })
}

func (j *Journal) rewrite(payloads [][]byte) error {
	name := fmt.Sprintf("%016d%s", j.segmentNumber+1, baseSuffix)
	var buf []byte
	for _, p := range payloads {
		buf = appendFrame(buf, p)
	}
	if err := j.writeFileAtomically(name, buf); err != nil {
		return err
	}
	j.segmentNumber++
	j.totalSize = len(buf)
	// The new base file exists, so appends to the old file would be lost: from here on no error is ErrNotWritten.
	if err := j.startSegment(); err != nil {
		return err
	}
	return j.removeSegmentsBefore(name)
}

// writeFileAtomically writes and syncs a temporary file, then renames it to its final name.
func (j *Journal) writeFileAtomically(name string, data []byte) error {
	temp := name + tempSuffix
	f, err := j.disk.Create(temp)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	if _, err := f.Write(data); err != nil {
		// Free the name for the next attempt; opening the journal removes a file that is left over.
		_, _ = f.Close(), j.disk.Remove(temp)
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := j.disk.Rename(temp, name); err != nil {
		return err
	}
	return j.disk.SyncFolder()
}

func (j *Journal) removeSegmentsBefore(base string) error {
	names, err := j.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if isSegment(name) && name < base {
			if err := j.disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return j.disk.SyncFolder()
}

// Close closes the open file.
func (j *Journal) Close() error {
	return j.file.Close()
}
