package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func fleet(zones, each int) []Entry {
	var out []Entry
	for z := range zones {
		for i := range each {
			out = append(out, Entry{Name: fmt.Sprintf("e-%02d-%02d", z, i), Zone: fmt.Sprintf("z%02d", z)})
		}
	}
	return out
}

// heard spreads what one entry tells over the links of the plans, those of cut
// entries left out, and returns how often each entry gets it.
func heard(all []Entry, origin Entry, cut map[string]bool) map[string]int {
	plans := make(map[string]Plan)
	for _, e := range all {
		plans[e.Name] = New(e, len(all), all, func(o Entry) bool { return !cut[o.Name] })
	}
	got := make(map[string]int)
	type step struct {
		at   Entry
		from Source
	}
	next := []step{{origin, Direct}}
	for len(next) > 0 {
		s := next[0]
		next = next[1:]
		p := plans[s.at.Name]
		for _, to := range all {
			if to == s.at || cut[to.Name] {
				continue
			}
			first := s.at == origin && p.Tells(origin, to)
			if !first && !(s.at != origin && p.Passes(origin, s.from, to)) {
				continue
			}
			got[to.Name]++
			from := Direct
			if s.at != origin {
				from = Between
				if plans[to.Name].Near(s.at) {
					from = Within
				}
			}
			next = append(next, step{to, from})
		}
	}
	return got
}

// Whatever the shape of the fleet and whoever is away, all that agree on who is
// there hear each other, once, and nothing goes round in circles.
func TestEveryEntryHearsEveryOtherOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 20).Draw(t, "each"))
		cut := make(map[string]bool)
		for range rapid.IntRange(0, len(all)/2).Draw(t, "away") {
			cut[rapid.SampledFrom(all).Draw(t, "entry").Name] = true
		}
		for _, origin := range all {
			if cut[origin.Name] {
				continue
			}
			got := heard(all, origin, cut)
			for _, e := range all {
				want := 1
				if cut[e.Name] || e == origin {
					want = 0
				}
				if got[e.Name] != want {
					t.Fatalf("%s hears %s %d times, want %d", e.Name, origin.Name, got[e.Name], want)
				}
			}
		}
	})
}

// A fleet grows. If links grew with the square of it, each entry of four hundred
// would keep eight hundred of them; and a hub of a hundred would send everything
// a hundred times.
func TestLinksGrowWithTheGroups(t *testing.T) {
	for _, c := range []struct{ zones, each, most int }{{4, 2, 7}, {5, 6, 9}, {28, 15, 41}, {3, 100, 60}} {
		all := fleet(c.zones, c.each)
		for _, e := range all {
			p := New(e, len(all), all, func(Entry) bool { return true })
			n := 0
			for _, o := range all {
				if o != e && p.Tells(e, o) {
					n++
				}
			}
			if n > c.most {
				t.Errorf("%d entries in %d zones: %s tells %d, want %d at most", len(all), c.zones, e.Name, n, c.most)
			}
		}
	}
}

// A hub that is small chokes on what the fleet tells, and its whole group acts on
// old knowledge.
func TestHubsAreTheLargest(t *testing.T) {
	var all []Entry
	for z := range 5 {
		for i := range 23 {
			e := Entry{Name: fmt.Sprintf("e-%d-%d", z, i+1), Zone: fmt.Sprintf("z%d", z), Capacity: 80}
			if i >= 20 {
				e.Capacity = 800
			}
			all = append(all, e)
		}
	}
	followers := make(map[string]int)
	for _, e := range all {
		p := New(e, len(all), all, func(Entry) bool { return true })
		if p.Hub() && e.Capacity < 800 {
			t.Errorf("%s with capacity %d is a hub", e.Name, e.Capacity)
		}
		for _, o := range all {
			if o != e && p.Hub() && p.Near(o) {
				followers[e.Name]++
			}
		}
	}
	if len(followers) != 10 {
		t.Errorf("%d hubs, want two in each of five zones", len(followers))
	}
	for name, n := range followers {
		if n > 17 {
			t.Errorf("%s is the hub of %d entries", name, n)
		}
	}
}

func ExampleNew() {
	a, b, far := Entry{Name: "a", Zone: "north"}, Entry{Name: "b", Zone: "north"}, Entry{Name: "f", Zone: "south"}
	p := New(b, 20, []Entry{a, far}, func(Entry) bool { return true })
	fmt.Println(p.Hub(), p.Tells(b, a), p.Tells(b, far), p.Tells(a, far))
	// Output: false true false true
}
