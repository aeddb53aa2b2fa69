package forwarder

import "testing"

func TestCrashesCountOnlyForAWhile(t *testing.T) {
	c := newCrashCounts()
	digest := func() uint64 { return 7 }
	if c.add(7, 1000); c.blocks(digest, 1000) {
		t.Fatal("one crash blocks the request")
	}
	if n := c.add(7, 1000+crashMemory+1); n != 1 || c.blocks(digest, 1000+crashMemory+1) {
		t.Fatalf("%d crashes count, the first one is long ago", n)
	}
	c.add(7, 2000+crashMemory)
	if !c.blocks(digest, 2000+crashMemory) || c.blocks(digest, 3000+2*crashMemory) {
		t.Fatal("two crashes must block the request, for a while")
	}
}
