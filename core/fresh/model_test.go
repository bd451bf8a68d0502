package fresh

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// bound is the configured one of the model, the shortest in use.
	//
	// A change must be in force within it, counted from its acknowledgement or, if
	// that is later, from when the entry could learn of it: from when on it has
	// reached the store without a break, or has been joined to one entry that has.
	// A store that is silent, refuses all or loses answers cannot be reached. One
	// that forgets or holds back calls for changes, drops its history, is slow or cuts off some
	// entries can, so none of that excuses anything. By its own looks an entry is no
	// older than 0.6 of the bound and a call; what is left is for what others tell.
	bound = 2 * time.Second
	// checkEach is how often the property is checked.
	checkEach = 20 * time.Millisecond
)

var seeds = flag.Int("seeds", 3, "seeds that each of the shortest schedules is played with")

// The schedules of a plain run are few and always the same; flags of the command
// line have more played, and others.
func init() {
	for name, value := range map[string]string{"rapid.checks": "20", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// broken plays a schedule and says where the property does not hold.
func broken(s schedule, r rules) string {
	w := newWorld(s.Zones, s.Each, s.Seed, r)
	last := 0
	for _, at := range s.Changes {
		last = max(last, at)
		w.after(time.Duration(at)*time.Millisecond, w.change)
	}
	for _, t := range s.Troubles {
		last = max(last, t.At+t.For)
		w.after(time.Duration(t.At)*time.Millisecond, func() { w.begin(t) })
	}
	end := time.Duration(last)*time.Millisecond + 2*r.bound
	for w.now < end {
		w.play(w.now + checkEach)
		for _, e := range w.all {
			if why := w.old(e); why != "" {
				return why
			}
		}
	}
	return ""
}

// old says what is wrong with what an entry knows. One that knows nothing decides
// nothing by it.
func (w *world) old(e *entry) string {
	if !e.alive() || e.revision == 0 || e.revision == w.store.revision {
		return ""
	}
	made, since := w.store.made[e.revision], w.could(e)
	if claim, ok := e.book.Known(int64(e.revision)); ok && claim.At > made {
		return fmt.Sprintf("%v: %s claims to know all at %v but lacks a change made at %v", w.now, e.id.Name, claim.At, made)
	}
	if since == never || w.now <= max(made, since)+w.rules.bound {
		return ""
	}
	return fmt.Sprintf("%v: %s lacks a change made at %v, and could know it since %v", w.now, e.id.Name, made, since)
}

// No entry that can reach the store, or another entry that does, is older than
// the bound, whatever becomes of waiting calls, history, links and entries; and
// none takes what it knows for newer than it is.
func TestNoEntryIsOlderThanTheBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := schedules().Draw(t, "schedule")
		if why := broken(s, withLooks(bound)); why != "" {
			t.Fatal(why)
		}
	})
}

// Entries that only wait for changes are too old soon: else the model shows
// nothing.
func TestEntriesThatOnlyWaitAreTooOld(t *testing.T) {
	t.Parallel()
	all := schedules()
	// Those before the first are passed over: it is the 44th.
	for n := 40; n < 1000; n++ {
		if why := broken(all.Example(n), waitsOnly(bound)); why != "" {
			t.Logf("schedule %d: %s", n, why)
			return
		}
	}
	t.Error("no schedule of 1000 shows it")
}

// shortest are the shortest schedules on which entries were too old. Which of them
// depends on the seed.
var shortest = []struct {
	name string
	schedule
}{
	{"a change while the store forgets who waits", schedule{
		Zones: 1, Each: 12, Changes: []int{5000}, Troubles: []trouble{{Kind: forgets, At: 4900, For: 200}},
	}},
	{"all wait in step after an outage", schedule{
		Zones: 4, Each: 7, Changes: []int{6500}, Troubles: []trouble{{Kind: down, At: 1000, For: 3000}, {Kind: forgets, At: 6400, For: 200}},
	}},
	{"calls that a short silence swallowed", schedule{
		Zones: 1, Each: 6, Changes: []int{5788}, Troubles: []trouble{{Kind: silent, At: 5787, For: 50}},
	}},
	{"a long silence of a small fleet", schedule{
		Zones: 1, Each: 5, Changes: []int{1}, Troubles: []trouble{{Kind: silent, At: 1, For: 4236}},
	}},
	{"a silence in which all look at the same time", schedule{
		Zones: 1, Each: 20, Changes: []int{1349, 1352}, Troubles: []trouble{{Kind: silent, At: 1351, For: 1827}},
	}},
	{"a list that is asked for as the store falls silent", schedule{
		Zones: 2, Each: 5, Changes: []int{1}, Troubles: []trouble{{Kind: silent, At: 1, For: 50}, {Kind: refuses, At: 713, For: 639, Who: 0x100}},
	}},
	{"calls for changes are held back", schedule{
		Zones: 1, Each: 5, Changes: []int{3500}, Troubles: []trouble{{Kind: holds, At: 3000, For: 4000}},
	}},
	{"calls for changes are held back and cut", schedule{
		Zones: 2, Each: 6, Changes: []int{3}, Troubles: []trouble{{Kind: holds, At: 0, For: 1134}},
	}},
	{"the same in a larger fleet", schedule{
		Zones: 3, Each: 10, Changes: []int{5500}, Troubles: []trouble{{Kind: holds, At: 5000, For: 4000}},
	}},
	{"tallies of a peer that began with a late one", schedule{
		Zones: 4, Each: 7, Changes: []int{4500}, Troubles: []trouble{{Kind: down, At: 1000, For: 3000}, {Kind: forgets, At: 4400, For: 200, How: true}},
	}},
}

func TestShortestSchedules(t *testing.T) {
	for _, tc := range shortest {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for tc.Seed = 0; tc.Seed < uint64(*seeds); tc.Seed++ {
				if why := broken(tc.schedule, withLooks(bound)); why != "" {
					t.Fatalf("seed %d: %s", tc.Seed, why)
				}
			}
		})
	}
}
