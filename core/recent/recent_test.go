package recent

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of uses, the table holds exactly the most recently used keys
// with their values.
func TestKeepsMostRecentlyUsed(t *testing.T) {
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
			*table.GetOrAdd(k) = k
			used = append(slices.DeleteFunc(used, func(u int) bool { return u == k }), k)
			used = used[max(0, len(used)-limit):]
			for k := range 10 {
				if v := table.Peek(k); (v != nil) != slices.Contains(used, k) {
					t.Fatalf("Peek(%d) = %v, last used %v", k, v, used)
				}
			}
			visited := 0
			table.Each(func(k int, v *int) {
				if visited++; *v != k || !slices.Contains(used, k) {
					t.Fatalf("Each(%d) = %d, last used %v", k, *v, used)
				}
			})
			if table.Len() != len(used) || visited != len(used) || len(table.index) != len(used) {
				t.Fatalf("holds %d, want %d", table.Len(), len(used))
			}
		}
	})
}
