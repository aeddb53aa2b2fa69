package keeper

import (
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
)

func loadString(t *testing.T, disk recorder.Disk) (string, bool) {
	t.Helper()
	var value string
	ok, err := NewKeeper(disk).Load(&value)
	if err != nil {
		t.Fatal(err)
	}
	return value, ok
}

func TestLoadReturnsTheLastSavedValue(t *testing.T) {
	m := recorder.NewMemoryDisk()
	if _, ok := loadString(t, m.Disk()); ok {
		t.Fatal("an empty folder has a value")
	}
	k := NewKeeper(m.Disk())
	for _, value := range []string{"one", "two", "three"} {
		if err := k.Save(value); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := loadString(t, m.AfterCrash().Disk()); got != "three" {
		t.Fatalf("got %q", got)
	}
}

func TestACrashDuringSaveLeavesTheOldOrTheNewValue(t *testing.T) {
	for step := 1; ; step++ {
		m := recorder.NewMemoryDisk()
		k := NewKeeper(m.Disk())
		if err := k.Save("old"); err != nil {
			t.Fatal(err)
		}
		m.CrashAtStep = m.Steps() + step
		err := k.Save("new")
		if got, ok := loadString(t, m.AfterCrash().Disk()); !ok || got != "old" && got != "new" || err == nil && got != "new" {
			t.Fatalf("crash at step %d: got %q, %t after %v", step, got, ok, err)
		}
		if err == nil {
			return
		}
	}
}

func TestADamagedFolderFailsToLoadUntilReset(t *testing.T) {
	m := recorder.NewMemoryDisk()
	k := NewKeeper(m.Disk())
	for _, value := range []string{"one", "two"} {
		if err := k.Save(value); err != nil {
			t.Fatal(err)
		}
	}
	names, err := m.Disk().List()
	if err != nil {
		t.Fatal(err)
	}
	m.Corrupt(names[0], 6)
	var value string
	damaged := NewKeeper(m.Disk())
	if _, err := damaged.Load(&value); err == nil {
		t.Fatalf("Load of a damaged folder returned %q", value)
	}
	if err := damaged.Reset(); err != nil {
		t.Fatal(err)
	}
	if err := damaged.Save("three"); err != nil {
		t.Fatal(err)
	}
	if got, _ := loadString(t, m.Disk()); got != "three" {
		t.Fatalf("got %q", got)
	}
}
