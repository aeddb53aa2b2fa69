package recorder

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

func openAndReadAll(disk Disk) (*Journal, []string, error) {
	var got []string
	j, err := OpenJournal(disk, func(p []byte) error { got = append(got, string(p)); return nil })
	return j, got, err
}

func entryText(i int) string {
	return fmt.Sprintf("entry %d", i)
}

// appendTenEntries appends ten entries with a rewrite in the middle and returns the number of acknowledged appends.
func appendTenEntries(disk Disk) (acknowledged int, err error) {
	j, _, err := openAndReadAll(disk)
	if err != nil {
		return 0, err
	}
	j = j.WithSegmentBytes(40)
	for i := range 10 {
		if i == 5 {
			var all [][]byte
			for k := range i {
				all = append(all, []byte(entryText(k)))
			}
			if err := j.Rewrite(all...); err != nil {
				return acknowledged, err
			}
		}
		if err := j.Append([]byte(entryText(i))); err != nil {
			return acknowledged, err
		}
		acknowledged++
	}
	return acknowledged, j.Close()
}

func TestJournalSurvivesACrashAtEveryStep(t *testing.T) {
	intact := NewMemoryDisk()
	if _, err := appendTenEntries(intact.Disk()); err != nil {
		t.Fatal(err)
	}
	steps := intact.Steps()
	if steps < 30 {
		t.Fatalf("the run changes the disk in only %d steps, want at least 30", steps)
	}
	for _, torn := range []float64{0, 0.3, 0.7, 1} {
		for crashAt := 1; crashAt <= steps; crashAt++ {
			m := NewMemoryDisk()
			m.CrashAtStep, m.TornFraction = crashAt, torn
			acknowledged, err := appendTenEntries(m.Disk())
			if !errors.Is(err, ErrCrashed) {
				t.Fatalf("step %d: got %v", crashAt, err)
			}
			checkDurableEntries(t, m.AfterCrash(), acknowledged, fmt.Sprintf("step %d, torn %.1f", crashAt, torn))
		}
	}
}

// checkDurableEntries opens the disk after a crash. The disk must hold all acknowledged entries in order and at most
// the one that was in progress, and it must accept another append.
func checkDurableEntries(t *testing.T, m *MemoryDisk, acknowledged int, crash string) {
	t.Helper()
	j, got, err := openAndReadAll(m.Disk())
	if err != nil {
		t.Fatalf("%s: %v", crash, err)
	}
	if len(got) < acknowledged || len(got) > acknowledged+1 {
		t.Fatalf("%s: the disk holds %d entries, %d were acknowledged: %v", crash, len(got), acknowledged, got)
	}
	for i, p := range got {
		if p != entryText(i) {
			t.Fatalf("%s: entry %d reads %q", crash, i, p)
		}
	}
	if err := j.Append([]byte("after")); err != nil {
		t.Fatalf("%s: %v", crash, err)
	}
	if _, reread, err := openAndReadAll(m.Disk()); err != nil || !slices.Equal(reread, append(got, "after")) {
		t.Fatalf("%s: after the restart %v, %v", crash, reread, err)
	}
}

func TestJournalRefusesCorruptionBeforeItsTail(t *testing.T) {
	for offset := range 30 {
		m := NewMemoryDisk()
		j, _, err := openAndReadAll(m.Disk())
		if err != nil {
			t.Fatal(err)
		}
		for i := range 4 {
			if err := j.Append([]byte(entryText(i))); err != nil {
				t.Fatal(err)
			}
		}
		m.Corrupt("0000000000000001.log", offset)
		var corruption *CorruptionError
		if _, _, err := openAndReadAll(m.Disk()); !errors.As(err, &corruption) {
			t.Fatalf("corruption at byte %d: got %v, want a CorruptionError", offset, err)
		}
	}
}

func TestJournalRejectsAppendsAfterAFailedSync(t *testing.T) {
	m := NewMemoryDisk()
	disk := m.Disk()
	errSync := errors.New("sync failed")
	create := disk.Create
	disk.Create = func(name string) (File, error) {
		f, err := create(name)
		f.Sync = func() error { return errSync }
		return f, err
	}
	j, _, err := openAndReadAll(disk)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := j.Append([]byte("x")); !errors.Is(err, errSync) {
			t.Fatalf("append with a failing sync: got %v", err)
		}
	}
}

// A full disk rejects creations and writes, after writing half of the bytes, and has space again later.
func TestJournalAcceptsAppendsOnceAFullDiskHasSpaceAgain(t *testing.T) {
	m := NewMemoryDisk()
	disk, isFull := m.Disk(), false
	errNoSpace := errors.New("no space left")
	failWhenFull := func(open func(string) (File, error), creates bool) func(string) (File, error) {
		return func(name string) (File, error) {
			if isFull && creates {
				return File{}, errNoSpace
			}
			f, err := open(name)
			write := f.Write
			f.Write = func(p []byte) (int, error) {
				if !isFull {
					return write(p)
				}
				n, _ := write(p[:len(p)/2])
				return n, errNoSpace
			}
			return f, err
		}
	}
	disk.Create, disk.Append = failWhenFull(disk.Create, true), failWhenFull(disk.Append, false)
	j, _, err := openAndReadAll(disk)
	if err != nil {
		t.Fatal(err)
	}
	j = j.WithSegmentBytes(60)
	var want []string
	for i := range 12 {
		isFull = true
		if err := j.Append([]byte("lost")); !errors.Is(err, ErrNotWritten) {
			t.Fatalf("append %d on a full disk: %v", i, err)
		}
		if err := j.Rewrite([]byte("lost")); !errors.Is(err, ErrNotWritten) {
			t.Fatalf("rewrite %d on a full disk: %v", i, err)
		}
		isFull = false
		if err := j.Append([]byte(entryText(i))); err != nil {
			t.Fatalf("append %d with space again: %v", i, err)
		}
		want = append(want, entryText(i))
		if i%3 == 2 {
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
			var got []string
			if j, got, err = openAndReadAll(disk); err != nil || !slices.Equal(got, want) {
				t.Fatalf("reopened: %q, %v, want %q", got, err, want)
			}
			j = j.WithSegmentBytes(60)
		}
	}
}

func FuzzReadFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, []byte("one")), []byte("two")))
	f.Add([]byte{0xE9, 0x5A, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, validBytes, err := readFrames("f", data, true)
		if err != nil {
			return
		}
		var reencoded []byte
		for _, p := range payloads {
			reencoded = appendFrame(reencoded, p)
		}
		if string(reencoded) != string(data[:validBytes]) {
			t.Fatal("the valid bytes differ from the encoded payloads")
		}
	})
}

func BenchmarkAppendOneSyncEach(b *testing.B) {
	disk, err := NewDisk(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := openAndReadAll(disk)
	if err != nil {
		b.Fatal(err)
	}
	payload := make([]byte, 200)
	for b.Loop() {
		if err := j.Append(payload); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCommitInBatches(b *testing.B) {
	disk, err := NewDisk(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := openAndReadAll(disk)
	if err != nil {
		b.Fatal(err)
	}
	c := NewCommitter(j)
	c.Start()
	payload := make([]byte, 200)
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := c.Commit(payload); err != nil {
				b.Error(err)
			}
		}
	})
	if err := c.Stop(); err != nil {
		b.Fatal(err)
	}
}
