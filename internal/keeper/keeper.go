package keeper

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
)

// Keeper stores one value in a folder that nothing else uses; it is not safe for concurrent use.
type Keeper struct {
	disk    recorder.Disk
	journal *recorder.Journal
	saved   []byte
}

// NewKeeper returns a keeper; it opens the folder on first use.
func NewKeeper(disk recorder.Disk) *Keeper {
	return &Keeper{disk: disk}
}

// Load decodes the last saved value and returns false if there is none; it fails if the folder cannot be read or the
// value cannot be decoded.
func (k *Keeper) Load(value any) (bool, error) {
	if err := k.open(); err != nil {
		return false, err
	}
	if k.saved == nil {
		return false, nil
	}
	return true, trace.Wrap(cbor.Unmarshal(k.saved, value))
}

// Save replaces the value atomically. If the value cannot be written, Save closes the folder and the next call opens it
// again.
func (k *Keeper) Save(value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := k.open(); err != nil {
		return err
	}
	if err := k.journal.Rewrite(encoded); err != nil {
		return trace.NewAggregate(err, k.Close())
	}
	k.saved = encoded
	return nil
}

// Reset deletes all files of the folder; its error joins all failures.
func (k *Keeper) Reset() error {
	k.saved = nil
	err := k.Close()
	names, listErr := k.disk.List()
	err = trace.NewAggregate(err, listErr)
	for _, name := range names {
		err = trace.NewAggregate(err, k.disk.Remove(name))
	}
	return err
}

// Close closes the folder; the next Load or Save opens it again.
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
	journal, err := recorder.OpenJournal(k.disk, func(payload []byte) error {
		k.saved = payload
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	k.journal = journal
	return nil
}
