package shard_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lycheepond/core/relay"
	"lycheepond/core/shard"
)

func fleet(zones, large, small int) []relay.Entry {
	var out []relay.Entry
	for z := range zones {
		for i := range large + small {
			e := relay.Entry{Name: fmt.Sprintf("e-%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), Capacity: 80}
			if i < large {
				e.Capacity = 800
			}
			out = append(out, e)
		}
	}
	return out
}

// A small entry answers slowly and so would delay every request of a shard that it owns.
func TestOwnersHaveLargeCapacity(t *testing.T) {
	entries := fleet(5, 3, 20)
	for z := range 5 {
		k := shard.Key{Zone: fmt.Sprintf("z%d", z)}
		owner := shard.Owner("p", k, entries)
		for _, e := range entries {
			if e.Name == owner && (e.Capacity < 800 || e.Zone != k.Zone) {
				t.Errorf("shard %v is owned by %+v", k, e)
			}
		}
	}
	if got := shard.Owner("p", shard.Key{}, []relay.Entry{{Name: "a"}}); got != "" {
		t.Errorf("owner %q has an unknown capacity", got)
	}
}

// While the owner of a shard changes, two entries count its endpoints for some time, so a
// change without need must be avoided.
func TestOwnerChangesOnlyWhenItLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := fleet(3, 4, 0)
		k := shard.Key{Index: uint16(rapid.IntRange(0, 20).Draw(t, "shard"))}
		before := shard.Owner("p", k, entries)
		removed := rapid.IntRange(0, len(entries)-1).Draw(t, "removed")
		remaining := append(append([]relay.Entry(nil), entries[:removed]...), entries[removed+1:]...)
		if after := shard.Owner("p", k, remaining); after != before && entries[removed].Name != before {
			t.Fatalf("%s leaves and the shard moves from %s to %s", entries[removed].Name, before, after)
		}
	})
}

// A small pool must have one shard. Zones must have their own shards only if they have
// enough endpoints.
func TestLayout(t *testing.T) {
	for _, tt := range []struct {
		zones, each, shards int
	}{
		{5, 2, 1}, {3, 10, 1}, {5, 36, 5}, {4, 15, 1}, {4, 17, 4}, {3, 15, 1}, {1, 100, 2}, {28, 428, 28 * 8},
	} {
		counts := make(map[string]int)
		for z := range tt.zones {
			counts[fmt.Sprint("z", z)] = tt.each
		}
		l := shard.NewLayout(counts)
		keys := make(map[shard.Key]int)
		for z := range tt.zones {
			for i := range tt.each {
				keys[l.Key(fmt.Sprintf("i-%d-%d", z, i), fmt.Sprint("z", z))]++
			}
		}
		if len(keys) != tt.shards {
			t.Errorf("%d zones of %d: %d shards, want %d", tt.zones, tt.each, len(keys), tt.shards)
		}
	}
}

// Requests must stay in their own zone unless it is crowded, and may wait only if no other
// shard has a free slot.
func TestChoose(t *testing.T) {
	key := func(z string) shard.Key { return shard.Key{Zone: z} }
	for _, tt := range []struct {
		name    string
		loads   []shard.Load
		draw    float64
		want    string
		mayWait bool
	}{
		{"free slots in the zone", []shard.Load{{key("a"), 70, 20, 0}, {key("b"), 70, 40, 0}}, 0.9, "a", false},
		{"free slots only in the zone", []shard.Load{{key("a"), 70, 20, 0}, {key("b"), 70, 0, 0}}, 0.9, "a", true},
		{"few free slots in the zone", []shard.Load{{key("a"), 70, 2, 0}, {key("b"), 70, 40, 0}}, 0.9, "b", false},
		{"no free slots", []shard.Load{{key("b"), 70, 0, 0}, {key("a"), 70, 0, 3}}, 0.1, "a", true},
		{"no free slots, many requests wait in the zone", []shard.Load{{key("b"), 70, 0, 0}, {key("a"), 70, 0, 30}}, 0.5, "b", true},
		{"no shard in the zone, no free slots", []shard.Load{{key("c"), 70, 0, 0}, {key("b"), 70, 0, 0}}, 0.6, "b", true},
		{"no shard in the zone", []shard.Load{{key("c"), 70, 10, 0}, {key("b"), 70, 30, 0}}, 0.5, "b", false},
	} {
		i, mayWait := shard.Choose(tt.loads, "a", tt.draw)
		if got := tt.loads[i].Key.Zone; got != tt.want || mayWait != tt.mayWait {
			t.Errorf("%s: shard of zone %s, wait %v, want %s, %v", tt.name, got, mayWait, tt.want, tt.mayWait)
		}
	}
}

func ExampleOwner() {
	entries := []relay.Entry{
		{Name: "large", Zone: "north", Capacity: 800}, {Name: "small", Zone: "north", Capacity: 100}, {Name: "far", Zone: "south", Capacity: 900},
	}
	fmt.Println(shard.Owner("chat", shard.Key{Zone: "north"}, entries))
	// Output: large
}
