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
	// defaultSegmentBytes is the size after which the next append starts a new file.
	defaultSegmentBytes = 4 << 20
)

// Journal is a sequence of payloads in numbered files, of which the newest base file starts.
type Journal struct {
	disk         Disk
	segmentBytes int
	number       int
	file         File
	size         int
	bytes        int
	// inBase says that the file is a base file.
	inBase bool
	broken error
}

// ErrNotWritten says that the disk took nothing, for instance because it is full; the journal is as before.
var ErrNotWritten = errors.New("the disk took nothing")

// OpenJournal reads every payload in order into replay, cuts a torn tail and returns the journal ready to append.
func OpenJournal(disk Disk, replay func([]byte) error) (*Journal, error) {
	j := &Journal{disk: disk, segmentBytes: defaultSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	live, err := j.tidy(names)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for i, name := range live {
		if err := j.load(name, i == len(live)-1, replay); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := j.reopen(live); err != nil {
		return nil, trace.Wrap(err)
	}
	return j, nil
}

// WithSegmentBytes sets the size after which an append starts a new file.
func (j *Journal) WithSegmentBytes(n int) *Journal {
	j.segmentBytes = n
	return j
}

// Bytes returns the size of what a restart reads.
func (j *Journal) Bytes() int {
	return j.bytes
}

// tidy removes temporary files and those that the newest base replaces, and returns the others in order.
func (j *Journal) tidy(names []string) ([]string, error) {
	first := 0
	for i, name := range names {
		if strings.HasSuffix(name, baseSuffix) {
			first = i
		}
	}
	var live []string
	for i, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix) || isSegment(name) && i < first:
			if err := j.disk.Remove(name); err != nil {
				return nil, err
			}
		case isSegment(name):
			live = append(live, name)
		}
	}
	return live, nil
}

func isSegment(name string) bool {
	return strings.HasSuffix(name, logSuffix) || strings.HasSuffix(name, baseSuffix)
}

func (j *Journal) load(name string, last bool, replay func([]byte) error) error {
	if _, err := fmt.Sscanf(name, "%016d", &j.number); err != nil {
		return trace.BadParameter("file %s does not belong to a journal", name)
	}
	data, err := j.disk.Read(name)
	if err != nil {
		return err
	}
	payloads, sound, err := readFrames(name, data, last)
	if err != nil {
		return err
	}
	if sound < len(data) {
		if err := j.disk.Truncate(name, int64(sound)); err != nil {
			return err
		}
	}
	for _, p := range payloads {
		if err := replay(p); err != nil {
			return trace.Wrap(err, "file %s", name)
		}
	}
	j.size = sound
	j.bytes += sound
	return nil
}

func (j *Journal) reopen(live []string) error {
	if len(live) == 0 {
		return j.roll()
	}
	file, err := j.disk.Append(live[len(live)-1])
	if err != nil {
		return err
	}
	j.file = file
	j.inBase = strings.HasSuffix(live[len(live)-1], baseSuffix)
	return nil
}

// createError says that a file could not be made, which leaves everything as it was.
type createError struct {
	err error
}

// Error prints the disk's error.
func (e *createError) Error() string { return e.err.Error() }

// Unwrap returns the disk's error.
func (e *createError) Unwrap() error { return e.err }

// roll starts the next file; its name lasts before anything in it is relied on.
func (j *Journal) roll() error {
	name := fmt.Sprintf("%016d%s", j.number+1, logSuffix)
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
	j.number++
	j.file = file
	j.inBase = false
	j.size = 0
	return nil
}

// Append writes the payloads and syncs them together; after an error other than ErrNotWritten the journal takes no more.
func (j *Journal) Append(payloads ...[]byte) error {
	return j.guard(func() error { return j.append(payloads) })
}

// guard keeps a journal whose state on the disk is unknown from being used further.
func (j *Journal) guard(change func() error) error {
	if j.broken != nil {
		return j.broken
	}
	err := change()
	if err != nil && !errors.Is(err, ErrNotWritten) {
		j.broken = trace.Wrap(err, "the journal failed and must be opened again")
		return j.broken
	}
	return err
}

func (j *Journal) append(payloads [][]byte) error {
	if j.size >= j.segmentBytes {
		var failed *createError
		if err := j.roll(); errors.As(err, &failed) {
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
		return j.undo(err)
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += len(buf)
	j.bytes += len(buf)
	return nil
}

// undo cuts off what a failed write may have left, and opens the file anew at its end.
func (j *Journal) undo(failure error) error {
	name := j.name()
	if err := errors.Join(j.file.Close(), j.disk.Truncate(name, int64(j.size))); err != nil {
		return errors.Join(failure, err)
	}
	file, err := j.disk.Append(name)
	if err != nil {
		return errors.Join(failure, err)
	}
	j.file = file
	return fmt.Errorf("%w: %w", ErrNotWritten, failure)
}

// name returns the file that is written to: a journal that was just opened may go on in a base file.
func (j *Journal) name() string {
	if j.inBase {
		return fmt.Sprintf("%016d%s", j.number, baseSuffix)
	}
	return fmt.Sprintf("%016d%s", j.number, logSuffix)
}

// Rebase replaces everything so far by the given payloads, whole or not at all; its errors are those of Append.
func (j *Journal) Rebase(payloads ...[]byte) error {
	return j.guard(func() error { return j.rebase(payloads) })
}

func (j *Journal) rebase(payloads [][]byte) error {
	name := fmt.Sprintf("%016d%s", j.number+1, baseSuffix)
	var buf []byte
	for _, p := range payloads {
		buf = appendFrame(buf, p)
	}
	if err := j.writeFile(name, buf); err != nil {
		return err
	}
	j.number++
	j.bytes = len(buf)
	// The new base is there: going on in the old file would lose what is appended, so that no error here is ErrNotWritten.
	if err := j.roll(); err != nil {
		return err
	}
	return j.removeBefore(name)
}

// writeFile makes a file appear under its name only once all of it is synced.
func (j *Journal) writeFile(name string, data []byte) error {
	temp := name + tempSuffix
	f, err := j.disk.Create(temp)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	if _, err := f.Write(data); err != nil {
		// The name is free again for the next attempt; a file that stays is removed when the journal is opened.
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

func (j *Journal) removeBefore(base string) error {
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

// Close ends the journal.
func (j *Journal) Close() error {
	return j.file.Close()
}
