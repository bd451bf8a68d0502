package recent

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestKeepsTheLastUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		table := New[int, int](limit)
		var used []int
		for range rapid.IntRange(0, 60).Draw(t, "uses") {
			k := rapid.IntRange(0, 9).Draw(t, "key")
			held := slices.Contains(used, k)
			if v := table.Find(k); (v != nil) != held || (held && *v != k) {
				t.Fatalf("Find(%d) = %v, last used %v", k, v, used)
			}
			*table.Get(k) = k
			used = append(slices.DeleteFunc(used, func(u int) bool { return u == k }), k)
			used = used[max(0, len(used)-limit):]
			if table.Len() != len(used) || len(table.index) != len(used) {
				t.Fatalf("holds %d, want %d", table.Len(), len(used))
			}
		}
	})
}
