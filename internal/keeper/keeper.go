package keeper

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
)

// Keeper keeps one value in a folder of its own; it serves one goroutine at a time.
type Keeper struct {
	disk    recorder.Disk
	journal *recorder.Journal
	last    []byte
}

// NewKeeper returns a keeper that has not looked at its folder yet.
func NewKeeper(disk recorder.Disk) *Keeper {
	return &Keeper{disk: disk}
}

// Load decodes the value that was saved last; false says that there is none, an error that it cannot be read.
func (k *Keeper) Load(value any) (bool, error) {
	if err := k.open(); err != nil {
		return false, err
	}
	if k.last == nil {
		return false, nil
	}
	return true, trace.Wrap(cbor.Unmarshal(k.last, value))
}

// Save replaces the value, whole or not at all; after an error the next call opens the folder again.
func (k *Keeper) Save(value any) error {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := k.open(); err != nil {
		return err
	}
	if err := k.journal.Rebase(raw); err != nil {
		return trace.NewAggregate(err, k.Close())
	}
	k.last = raw
	return nil
}

// Reset forgets the value and whatever else is in the folder.
func (k *Keeper) Reset() error {
	k.last = nil
	err := k.Close()
	names, failed := k.disk.List()
	err = trace.NewAggregate(err, failed)
	for _, name := range names {
		err = trace.NewAggregate(err, k.disk.Remove(name))
	}
	return err
}

// Close ends the use of the folder until the next call.
func (k *Keeper) Close() error {
	if k.journal == nil {
		return nil
	}
	journal := k.journal
	k.journal = nil
	return trace.Wrap(journal.Close())
}

func (k *Keeper) open() error {
	if k.journal != nil {
		return nil
	}
	journal, err := recorder.OpenJournal(k.disk, func(raw []byte) error {
		k.last = raw
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	k.journal = journal
	return nil
}
