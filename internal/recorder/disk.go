package recorder

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"
)

// File is a file that is open for writing at its end.
type File struct {
	Write func([]byte) (int, error)
	Sync  func() error
	Close func() error
}

// Disk gives access to one folder; its operations are function fields so that tests can make each of them fail.
type Disk struct {
	// Create creates an empty file and replaces an existing one.
	Create func(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append func(name string) (File, error)
	// Read returns the whole content of a file.
	Read func(name string) ([]byte, error)
	// Truncate truncates a file to a size in bytes and syncs it.
	Truncate func(name string, size int64) error
	// Rename renames a file within the folder.
	Rename func(from, to string) error
	// Remove deletes a file.
	Remove func(name string) error
	// List returns the names of all files in sorted order.
	List func() ([]string, error)
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder func() error
}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// NewDisk returns a disk for a folder, which it creates if necessary.
func NewDisk(folder string) (Disk, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return Disk{}, trace.ConvertSystemError(err)
	}
	path := func(name string) string { return filepath.Join(folder, name) }
	open := func(name string, flags int) (File, error) {
		f, err := os.OpenFile(path(name), flags, filePerm)
		if err != nil {
			return File{}, trace.ConvertSystemError(err)
		}
		return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
	}
	return Disk{
		Create:     func(name string) (File, error) { return open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY) },
		Append:     func(name string) (File, error) { return open(name, os.O_APPEND|os.O_WRONLY) },
		Read:       func(name string) ([]byte, error) { return os.ReadFile(path(name)) },
		Truncate:   func(name string, size int64) error { return truncate(path(name), size) },
		Rename:     func(from, to string) error { return os.Rename(path(from), path(to)) },
		Remove:     func(name string) error { return os.Remove(path(name)) },
		List:       func() ([]string, error) { return listFiles(folder) },
		SyncFolder: func() error { return syncFolder(folder) },
	}, nil
}

func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

func listFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
