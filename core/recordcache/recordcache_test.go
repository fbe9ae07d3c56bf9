package recordcache_test

import (
	"testing"

	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/recordcache"
)

// Since returns all records from the offset on or reports false, whatever has
// been evicted.
func TestSinceReturnsAllRecordsOrNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept := recordcache.New()
		next := rapid.Uint64Range(0, 100).Draw(t, "start")
		kept.Reset(next)
		var all []sequoialead.Item
		for range rapid.IntRange(0, 20).Draw(t, "reads") {
			var page []sequoialead.Item
			for range rapid.IntRange(0, 4).Draw(t, "records") {
				page = append(page, sequoialead.Item{Key: "k", Value: make([]byte, rapid.IntRange(0, 9000).Draw(t, "bytes")), Offset: next})
				next++
			}
			kept.Add(page)
			all = append(all, page...)
		}
		from := rapid.Uint64Range(0, next+2).Draw(t, "from")
		got, ok := kept.Since(from)
		if !ok {
			return
		}
		var want []sequoialead.Item
		for _, item := range all {
			if item.Offset >= from {
				want = append(want, item)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("got %d records from offset %d on, want %d", len(got), from, len(want))
		}
		bytes := 0
		for i := range got {
			if got[i].Offset != want[i].Offset {
				t.Fatalf("record %d has offset %d, want %d", i, got[i].Offset, want[i].Offset)
			}
			bytes += len(got[i].Value)
		}
		if bytes > 16<<10 {
			t.Fatalf("Since returned %d bytes, above the limit of 16 KiB", bytes)
		}
	})
}

func TestSmallRecordsAreKept(t *testing.T) {
	kept := recordcache.New()
	kept.Reset(5)
	if _, ok := kept.Since(4); ok {
		t.Fatal("Since returned records that were never read")
	}
	kept.Add([]sequoialead.Item{{Key: "a", Value: []byte("1"), Offset: 5}, {Key: "a", Offset: 6}})
	got, ok := kept.Since(6)
	if !ok || len(got) != 1 || got[0].Offset != 6 {
		t.Fatalf("Since(6) = %v, %t", got, ok)
	}
	if got, ok = kept.Since(7); !ok || len(got) != 0 {
		t.Fatalf("Since(7) at the end = %v, %t", got, ok)
	}
}
