package launcher

import (
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/keeper"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/steward"
)

// billStore holds the bills of an instance, on disk if there is a data folder.
type billStore struct {
	bills     *biller.Biller
	committer *recorder.Committer
}

// openBillStore loads the bills from the data folder; an empty folder name means bills in memory.
func openBillStore(folder string) (*billStore, error) {
	s := &billStore{bills: biller.NewBiller(nil)}
	if folder == "" {
		return s, nil
	}
	disk, err := recorder.NewDisk(filepath.Join(folder, "bills"))
	if err != nil {
		return nil, err
	}
	journal, err := recorder.OpenJournal(disk, s.bills.Replay)
	if err != nil {
		return nil, trace.Wrap(err, "bills")
	}
	s.committer = recorder.NewCommitter(journal)
	s.bills.SetPersist(s.committer.Commit)
	s.committer.Start()
	return s, nil
}

func (s *billStore) stop() error {
	if s.committer == nil {
		return nil
	}
	return s.committer.Stop()
}

// recordDisk returns the disk of the record: the data folder, or memory if the folder name is empty.
func recordDisk(folder string) (recorder.Disk, error) {
	if folder == "" {
		return recorder.NewMemoryDisk().Disk(), nil
	}
	return recorder.NewDisk(filepath.Join(folder, "record"))
}

// openRosterStore returns the backend servers that were known before a restart and the function that saves them. A
// saved roster that cannot be read is discarded, because the servers announce themselves anyway.
func openRosterStore(telemetry observer.Telemetry, folder string) (steward.SavedRoster, func(steward.SavedRoster) error, error) {
	var restored steward.SavedRoster
	if folder == "" {
		return restored, nil, nil
	}
	disk, err := recorder.NewDisk(filepath.Join(folder, "servers"))
	if err != nil {
		return restored, nil, err
	}
	k := keeper.NewKeeper(disk)
	if _, err := k.Load(&restored); err != nil {
		telemetry.Log.Warn("cannot read the saved roster; starting with an empty one", "error", err)
		restored = steward.SavedRoster{}
		if err := k.Reset(); err != nil {
			return restored, nil, err
		}
	}
	return restored, func(saved steward.SavedRoster) error { return k.Save(saved) }, nil
}
