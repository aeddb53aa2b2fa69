package recorder

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

func openAll(disk Disk) (*Journal, []string, error) {
	var got []string
	j, err := OpenJournal(disk, func(p []byte) error { got = append(got, string(p)); return nil })
	return j, got, err
}

func entry(i int) string {
	return fmt.Sprintf("entry %d", i)
}

// work appends ten entries with a rebase in the middle and returns how many were acknowledged.
func work(disk Disk) (acknowledged int, err error) {
	j, _, err := openAll(disk)
	if err != nil {
		return 0, err
	}
	j = j.WithSegmentBytes(40)
	for i := range 10 {
		if i == 5 {
			var all [][]byte
			for k := range i {
				all = append(all, []byte(entry(k)))
			}
			if err := j.Rebase(all...); err != nil {
				return acknowledged, err
			}
		}
		if err := j.Append([]byte(entry(i))); err != nil {
			return acknowledged, err
		}
		acknowledged++
	}
	return acknowledged, j.Close()
}

func TestJournalSurvivesACrashAtEveryStep(t *testing.T) {
	dry := NewMemoryDisk()
	if _, err := work(dry.Disk()); err != nil {
		t.Fatal(err)
	}
	steps := dry.Steps()
	if steps < 30 {
		t.Fatalf("only %d steps", steps)
	}
	for _, torn := range []float64{0, 0.3, 0.7, 1} {
		for at := 1; at <= steps; at++ {
			m := NewMemoryDisk()
			m.CrashAt, m.Torn = at, torn
			acknowledged, err := work(m.Disk())
			if !errors.Is(err, ErrCrashed) {
				t.Fatalf("step %d: got %v", at, err)
			}
			checkSurvivors(t, m.Restart(), acknowledged, fmt.Sprintf("step %d, torn %.1f", at, torn))
		}
	}
}

// checkSurvivors opens the disk after a crash: every acknowledged entry is there, in order, with nothing else but the one in progress.
func checkSurvivors(t *testing.T, m *MemoryDisk, acknowledged int, where string) {
	t.Helper()
	j, got, err := openAll(m.Disk())
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if len(got) < acknowledged || len(got) > acknowledged+1 {
		t.Fatalf("%s: %d entries survived, %d were acknowledged: %v", where, len(got), acknowledged, got)
	}
	for i, p := range got {
		if p != entry(i) {
			t.Fatalf("%s: entry %d reads %q", where, i, p)
		}
	}
	if err := j.Append([]byte("after")); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if _, again, err := openAll(m.Disk()); err != nil || !slices.Equal(again, append(got, "after")) {
		t.Fatalf("%s: after the restart %v, %v", where, again, err)
	}
}

func TestJournalRefusesDamageBeforeItsTail(t *testing.T) {
	for offset := range 30 {
		m := NewMemoryDisk()
		j, _, err := openAll(m.Disk())
		if err != nil {
			t.Fatal(err)
		}
		for i := range 4 {
			if err := j.Append([]byte(entry(i))); err != nil {
				t.Fatal(err)
			}
		}
		m.Corrupt("0000000000000001.log", offset)
		var damage *DamageError
		if _, _, err := openAll(m.Disk()); !errors.As(err, &damage) {
			t.Fatalf("damage at byte %d: got %v", offset, err)
		}
	}
}

func TestJournalTakesNothingAfterAFailedSync(t *testing.T) {
	m := NewMemoryDisk()
	disk := m.Disk()
	broken := errors.New("sync failed")
	create := disk.Create
	disk.Create = func(name string) (File, error) {
		f, err := create(name)
		f.Sync = func() error { return broken }
		return f, err
	}
	j, _, err := openAll(disk)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := j.Append([]byte("x")); !errors.Is(err, broken) {
			t.Fatalf("got %v", err)
		}
	}
}

// The pattern: a full disk refuses writes, in part at first, and has room again after a while.
func TestJournalGoesOnOnceAFullDiskHasRoom(t *testing.T) {
	m := NewMemoryDisk()
	disk, full := m.Disk(), false
	noRoom := errors.New("no space left")
	limit := func(open func(string) (File, error), makes bool) func(string) (File, error) {
		return func(name string) (File, error) {
			if full && makes {
				return File{}, noRoom
			}
			f, err := open(name)
			write := f.Write
			f.Write = func(p []byte) (int, error) {
				if !full {
					return write(p)
				}
				n, _ := write(p[:len(p)/2])
				return n, noRoom
			}
			return f, err
		}
	}
	disk.Create, disk.Append = limit(disk.Create, true), limit(disk.Append, false)
	j, _, err := openAll(disk)
	if err != nil {
		t.Fatal(err)
	}
	j = j.WithSegmentBytes(60)
	var want []string
	for i := range 12 {
		full = true
		if err := j.Append([]byte("lost")); !errors.Is(err, ErrNotWritten) {
			t.Fatalf("append %d on a full disk: %v", i, err)
		}
		if err := j.Rebase([]byte("lost")); !errors.Is(err, ErrNotWritten) {
			t.Fatalf("rebase %d on a full disk: %v", i, err)
		}
		full = false
		if err := j.Append([]byte(entry(i))); err != nil {
			t.Fatalf("append %d with room again: %v", i, err)
		}
		want = append(want, entry(i))
		if i%3 == 2 {
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
			var got []string
			if j, got, err = openAll(disk); err != nil || !slices.Equal(got, want) {
				t.Fatalf("opened again: %q, %v, want %q", got, err, want)
			}
			j = j.WithSegmentBytes(60)
		}
	}
}

func FuzzReadFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, []byte("one")), []byte("two")))
	f.Add([]byte{0xE9, 0x5A, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, sound, err := readFrames("f", data, true)
		if err != nil {
			return
		}
		var again []byte
		for _, p := range payloads {
			again = appendFrame(again, p)
		}
		if string(again) != string(data[:sound]) {
			t.Fatal("the sound part does not read back to itself")
		}
	})
}

func BenchmarkAppendOneSyncEach(b *testing.B) {
	disk, err := NewDisk(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := openAll(disk)
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
	j, _, err := openAll(disk)
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
