package fresh

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// maxAge is the configured maximum age in the model, the shortest in use.
	//
	// A change must be in use within this time, counted from its acknowledgement or, if
	// that is later, from the time since which the entry could learn of it: since it has
	// been able to reach the store without a break, or has been connected to an entry that
	// could. A store that is silent, refuses all calls or loses answers cannot be reached.
	// A store that forgets or holds back calls for changes, drops its history, is slow or
	// cuts off some entries can be reached, so these faults do not extend the time. With
	// its own checks an entry's knowledge is no older than 0.6 of the maximum age plus the
	// time of a call; the rest is left for the distribution to others.
	maxAge = 2 * time.Second
	// propertyInterval is the interval at which the property is tested.
	propertyInterval = 20 * time.Millisecond
)

var seeds = flag.Int("seeds", 3, "number of seeds with which each of the shortest schedules is run")

// By default, a few schedules are run, always the same ones. Command-line flags can select
// more and others.
func init() {
	for name, value := range map[string]string{"rapid.checks": "20", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// findViolation runs a schedule and describes the first violation of the property, if any.
func findViolation(s schedule, strategy strategy) string {
	w := newWorld(s.Zones, s.EntriesPerZone, s.Seed, strategy)
	last := 0
	for _, at := range s.ChangesMS {
		last = max(last, at)
		w.after(time.Duration(at)*time.Millisecond, w.makeChange)
	}
	for _, f := range s.Faults {
		last = max(last, f.AtMS+f.DurationMS)
		w.after(time.Duration(f.AtMS)*time.Millisecond, func() { w.startFault(f) })
	}
	end := time.Duration(last)*time.Millisecond + 2*strategy.maxAge
	for w.now < end {
		w.runUntil(w.now + propertyInterval)
		for _, e := range w.entries {
			if violation := w.violation(e); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// violation describes what is wrong with an entry's knowledge, if anything. An entry
// without a list makes no decisions from it.
func (w *world) violation(e *entry) string {
	if !e.isRunning() || e.revision == 0 || e.revision == w.store.revision {
		return ""
	}
	changedAt, reachableSince := w.store.changedAt[e.revision], w.storeReachableSince(e)
	if claim, ok := e.tracker.LatestClaim(int64(e.revision)); ok && claim.At > changedAt {
		return fmt.Sprintf("%v: %s claims to know all changes made by %v but lacks one made at %v", w.now, e.id.Name, claim.At, changedAt)
	}
	if reachableSince == never || w.now <= max(changedAt, reachableSince)+w.strategy.maxAge {
		return ""
	}
	return fmt.Sprintf("%v: %s lacks a change made at %v, and could have learned of it since %v", w.now, e.id.Name, changedAt, reachableSince)
}

// The knowledge of an entry that can reach the store, or another entry that can, must never
// exceed the maximum age, whatever happens to waiting calls, history, links and entries. No
// entry may consider its knowledge newer than it is.
func TestKnowledgeIsNeverOlderThanMaxAge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := genSchedule().Draw(t, "schedule")
		if violation := findViolation(s, withChecks(maxAge)); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Entries that only wait for changes must violate the property, or the model would prove
// nothing.
func TestWaitingCallsAloneExceedMaxAge(t *testing.T) {
	t.Parallel()
	all := genSchedule()
	// The first schedule that shows a violation is the 44th, so earlier ones are skipped.
	for n := 40; n < 1000; n++ {
		if violation := findViolation(all.Example(n), waitingOnly(maxAge)); violation != "" {
			t.Logf("schedule %d: %s", n, violation)
			return
		}
	}
	t.Error("no schedule of 1000 shows a violation")
}

// shortestSchedules holds the shortest schedules on which knowledge was too old. Each of
// them shows this with some seeds only.
var shortestSchedules = []struct {
	name string
	schedule
}{
	{"change while the store forgets waiting calls", schedule{
		Zones: 1, EntriesPerZone: 12, ChangesMS: []int{5000}, Faults: []fault{{Kind: faultForgetsCalls, AtMS: 4900, DurationMS: 200}},
	}},
	{"all waiting calls start together after an outage", schedule{
		Zones: 4, EntriesPerZone: 7, ChangesMS: []int{6500}, Faults: []fault{{Kind: faultDown, AtMS: 1000, DurationMS: 3000}, {Kind: faultForgetsCalls, AtMS: 6400, DurationMS: 200}},
	}},
	{"calls lost in a short silence", schedule{
		Zones: 1, EntriesPerZone: 6, ChangesMS: []int{5788}, Faults: []fault{{Kind: faultSilent, AtMS: 5787, DurationMS: 50}},
	}},
	{"long silence with a small fleet", schedule{
		Zones: 1, EntriesPerZone: 5, ChangesMS: []int{1}, Faults: []fault{{Kind: faultSilent, AtMS: 1, DurationMS: 4236}},
	}},
	{"silence in which all check at the same time", schedule{
		Zones: 1, EntriesPerZone: 20, ChangesMS: []int{1349, 1352}, Faults: []fault{{Kind: faultSilent, AtMS: 1351, DurationMS: 1827}},
	}},
	{"list requested as the store falls silent", schedule{
		Zones: 2, EntriesPerZone: 5, ChangesMS: []int{1}, Faults: []fault{{Kind: faultSilent, AtMS: 1, DurationMS: 50}, {Kind: faultRefusesEntries, AtMS: 713, DurationMS: 639, EntryBits: 0x100}},
	}},
	{"calls for changes are held back", schedule{
		Zones: 1, EntriesPerZone: 5, ChangesMS: []int{3500}, Faults: []fault{{Kind: faultHoldsCalls, AtMS: 3000, DurationMS: 4000}},
	}},
	{"calls for changes are held back and cut", schedule{
		Zones: 2, EntriesPerZone: 6, ChangesMS: []int{3}, Faults: []fault{{Kind: faultHoldsCalls, AtMS: 0, DurationMS: 1134}},
	}},
	{"calls for changes are held back in a larger fleet", schedule{
		Zones: 3, EntriesPerZone: 10, ChangesMS: []int{5500}, Faults: []fault{{Kind: faultHoldsCalls, AtMS: 5000, DurationMS: 4000}},
	}},
	{"first tally of a peer is late", schedule{
		Zones: 4, EntriesPerZone: 7, ChangesMS: []int{4500}, Faults: []fault{{Kind: faultDown, AtMS: 1000, DurationMS: 3000}, {Kind: faultForgetsCalls, AtMS: 4400, DurationMS: 200, Variant: true}},
	}},
}

// Knowledge was once too old on these schedules and must not be so again.
func TestShortestSchedules(t *testing.T) {
	for _, tc := range shortestSchedules {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for tc.Seed = 0; tc.Seed < uint64(*seeds); tc.Seed++ {
				if violation := findViolation(tc.schedule, withChecks(maxAge)); violation != "" {
					t.Fatalf("seed %d: %s", tc.Seed, violation)
				}
			}
		})
	}
}
