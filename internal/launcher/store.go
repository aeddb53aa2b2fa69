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

// store is what an instance keeps by itself: its bills, on disk when there is a data folder.
type store struct {
	bills     *biller.Biller
	committer *recorder.Committer
}

// openStore reads the data folder; an empty folder name keeps bills in memory.
func openStore(folder string) (*store, error) {
	s := &store{bills: biller.NewBiller(nil)}
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
	s.bills.UseLocal(s.committer.Commit)
	s.committer.Start()
	return s, nil
}

func (s *store) stop() error {
	if s.committer == nil {
		return nil
	}
	return s.committer.Stop()
}

// recordDisk returns where the record lives: the data folder, or memory for an instance that is a fleet of its own.
func recordDisk(folder string) (recorder.Disk, error) {
	if folder == "" {
		return recorder.NewMemoryDisk().Disk(), nil
	}
	return recorder.NewDisk(filepath.Join(folder, "record"))
}

// rosterStore returns the backend servers that were known before a restart and what keeps them for the next one; a roster
// that cannot be read is left behind, since the servers announce themselves anyway.
func rosterStore(common observer.Common, folder string) (steward.SavedRoster, func(steward.SavedRoster) error, error) {
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
		common.Log.Warn("saved roster not read", "error", err)
		restored = steward.SavedRoster{}
		if err := k.Reset(); err != nil {
			return restored, nil, err
		}
	}
	return restored, func(saved steward.SavedRoster) error { return k.Save(saved) }, nil
}
