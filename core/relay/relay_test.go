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

// countDeliveries distributes a tally of one entry over the links of the plans, without the
// unreachable entries, and returns how often each entry receives it.
func countDeliveries(all []Entry, origin Entry, unreachable map[string]bool) map[string]int {
	plans := make(map[string]Plan)
	for _, e := range all {
		plans[e.Name] = New(e, len(all), all, func(o Entry) bool { return !unreachable[o.Name] })
	}
	deliveries := make(map[string]int)
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
			if to == s.at || unreachable[to.Name] {
				continue
			}
			originSends := s.at == origin && p.HasLink(origin, to)
			if !originSends && !(s.at != origin && p.Forwards(origin, s.from, to)) {
				continue
			}
			deliveries[to.Name]++
			from := Direct
			if s.at != origin {
				from = OtherHub
				if plans[to.Name].SameGroup(s.at) {
					from = OwnHub
				}
			}
			next = append(next, step{to, from})
		}
	}
	return deliveries
}

// For any fleet and any set of unreachable entries, all entries that agree on who is
// reachable must receive each other's tallies exactly once, and no message may be forwarded
// in a loop.
func TestEveryEntryReceivesEachTallyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 20).Draw(t, "entries per zone"))
		unreachable := make(map[string]bool)
		for range rapid.IntRange(0, len(all)/2).Draw(t, "unreachable") {
			unreachable[rapid.SampledFrom(all).Draw(t, "entry").Name] = true
		}
		for _, origin := range all {
			if unreachable[origin.Name] {
				continue
			}
			deliveries := countDeliveries(all, origin, unreachable)
			for _, e := range all {
				want := 1
				if unreachable[e.Name] || e == origin {
					want = 0
				}
				if deliveries[e.Name] != want {
					t.Fatalf("%s receives the tally of %s %d times, want %d", e.Name, origin.Name, deliveries[e.Name], want)
				}
			}
		}
	})
}

// If links grew with the square of the fleet, each of four hundred entries would keep eight
// hundred of them, and a hub of a hundred entries would send each message a hundred times.
func TestLinkCountIsBounded(t *testing.T) {
	for _, c := range []struct{ zones, each, maxLinks int }{{4, 2, 7}, {5, 6, 9}, {28, 15, 41}, {3, 100, 60}} {
		all := fleet(c.zones, c.each)
		for _, e := range all {
			p := New(e, len(all), all, func(Entry) bool { return true })
			n := 0
			for _, o := range all {
				if o != e && p.HasLink(e, o) {
					n++
				}
			}
			if n > c.maxLinks {
				t.Errorf("%d entries in %d zones: %s has %d links, want %d at most", len(all), c.zones, e.Name, n, c.maxLinks)
			}
		}
	}
}

// A small hub would be overloaded by the fleet's tallies, and its whole group would act on
// outdated state.
func TestHubsHaveLargestCapacity(t *testing.T) {
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
		if p.IsHub() && e.Capacity < 800 {
			t.Errorf("%s with capacity %d is a hub", e.Name, e.Capacity)
		}
		for _, o := range all {
			if o != e && p.IsHub() && p.SameGroup(o) {
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
	fmt.Println(p.IsHub(), p.HasLink(b, a), p.HasLink(b, far), p.HasLink(a, far))
	// Output: false true false true
}
