package recorder

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
)

// ErrCrashed is the error of every change to a memory disk from its simulated crash on.
var ErrCrashed = errors.New("the disk crashed")

// MemoryDisk is a disk in memory that tracks unsynced state and can simulate a crash at a chosen step. A step is one
// operation that changes the disk.
type MemoryDisk struct {
	files        map[string]*memoryFile
	durableFiles map[string]*memoryFile
	steps        int
	// CrashAtStep is the number of the step that crashes, counted from 1; 0 disables the crash.
	CrashAtStep int
	// TornFraction is the fraction of its unsynced bytes that each file keeps at a crash, from 0 to 1.
	TornFraction float64
}

type memoryFile struct {
	data   []byte
	synced int
}

// NewMemoryDisk returns an empty memory disk.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{files: map[string]*memoryFile{}, durableFiles: map[string]*memoryFile{}}
}

// Steps returns the number of steps so far.
func (m *MemoryDisk) Steps() int {
	return m.steps
}

// AfterCrash returns a copy of the disk as it is after a crash: the files as of the last sync of the folder, with their
// synced bytes and the fraction TornFraction of the unsynced ones.
func (m *MemoryDisk) AfterCrash() *MemoryDisk {
	restarted := NewMemoryDisk()
	for name, f := range m.durableFiles {
		size := f.synced + int(m.TornFraction*float64(len(f.data)-f.synced))
		restored := &memoryFile{data: slices.Clone(f.data[:size]), synced: size}
		restarted.files[name] = restored
		restarted.durableFiles[name] = restored
	}
	return restarted
}

// Corrupt flips one bit of a file.
func (m *MemoryDisk) Corrupt(name string, offset int) {
	m.files[name].data[offset] ^= 1
}

// Disk returns the Disk that reads and writes this memory.
func (m *MemoryDisk) Disk() Disk {
	return Disk{
		Create:     m.create,
		Append:     m.openForAppend,
		Read:       m.read,
		Truncate:   m.truncate,
		Rename:     m.rename,
		Remove:     m.remove,
		List:       func() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil },
		SyncFolder: m.syncFolder,
	}
}

// countStep counts a step and returns ErrCrashed from the step of the crash on.
func (m *MemoryDisk) countStep() error {
	if m.CrashAtStep > 0 && m.steps >= m.CrashAtStep {
		return ErrCrashed
	}
	m.steps++
	if m.steps == m.CrashAtStep {
		return ErrCrashed
	}
	return nil
}

func (m *MemoryDisk) create(name string) (File, error) {
	if err := m.countStep(); err != nil {
		return File{}, err
	}
	f := &memoryFile{}
	m.files[name] = f
	return m.file(f), nil
}

func (m *MemoryDisk) openForAppend(name string) (File, error) {
	f, ok := m.files[name]
	if !ok {
		return File{}, fs.ErrNotExist
	}
	return m.file(f), nil
}

func (m *MemoryDisk) file(f *memoryFile) File {
	return File{
		Write: func(p []byte) (int, error) {
			err := m.countStep()
			if err == nil || m.TornFraction > 0 {
				f.data = append(f.data, p...)
			}
			return len(p), err
		},
		Sync: func() error {
			if err := m.countStep(); err != nil {
				return err
			}
			f.synced = len(f.data)
			return nil
		},
		Close: func() error { return nil },
	}
}

func (m *MemoryDisk) read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *MemoryDisk) truncate(name string, size int64) error {
	if err := m.countStep(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = int(size)
	return nil
}

func (m *MemoryDisk) rename(from, to string) error {
	if err := m.countStep(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *MemoryDisk) remove(name string) error {
	if err := m.countStep(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *MemoryDisk) syncFolder() error {
	if err := m.countStep(); err != nil {
		return err
	}
	m.durableFiles = maps.Clone(m.files)
	return nil
}
