package fresh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/relay"
)

// Kinds of faults.
const (
	// faultForgetsCalls makes the store forget the calls that wait or start to wait, so
	// that they receive no changes. If Variant is set, they are cut off a second later,
	// otherwise they are left waiting.
	faultForgetsCalls = iota
	// faultHoldsCalls makes the store hold back all calls for changes, including those with
	// short waits, while it accepts changes and reads as usual. Each call is cut off after
	// a second.
	faultHoldsCalls
	// faultDropsHistory makes the store lose its history, and again with each change.
	faultDropsHistory
	// faultDown makes the store refuse all calls, and faultSilent answer none. Both make it
	// forget waiting calls, and all entries reconnect at the same time.
	faultDown
	faultSilent
	faultSlow
	// faultLossy makes the store lose half of the answers.
	faultLossy
	// faultRefusesEntries makes the store refuse some entries or, if Variant is set, not
	// answer them.
	faultRefusesEntries
	// faultPartition cuts off some entries from the others and, if Variant is set, from the
	// store.
	faultPartition
	// faultKillsEntries stops some entries, which are started again at its end.
	faultKillsEntries
	faultKinds
)

// fault is one fault of the given duration.
type fault struct {
	Kind, AtMS, DurationMS int
	// EntryBits selects the affected entries by its bits.
	EntryBits uint32
	Variant   bool
}

// schedule is the input of one run. ChangesMS holds the times of changes, in milliseconds.
type schedule struct {
	Zones, EntriesPerZone int
	ChangesMS             []int
	Faults                []fault
	Seed                  uint64
}

const (
	// scheduleSpanMS is the time in which faults and changes begin, and maxOffsetMS the
	// largest offset of a time drawn close to another one, both in milliseconds.
	scheduleSpanMS = 15000
	maxOffsetMS    = 300
)

func genSchedule() *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := schedule{Zones: zones, EntriesPerZone: rapid.IntRange((4+zones)/zones, 30/zones).Draw(t, "entries per zone")}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			atMS := drawTimeMS(t, s.Faults)
			s.Faults = append(s.Faults, fault{
				Kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"), AtMS: atMS, DurationMS: rapid.IntRange(50, 6000).Draw(t, "duration"),
				EntryBits: rapid.Uint32().Draw(t, "entry bits"), Variant: rapid.Bool().Draw(t, "variant"),
			})
		}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			s.ChangesMS = append(s.ChangesMS, drawTimeMS(t, s.Faults))
		}
		s.Seed = rapid.Uint64Range(0, 1<<16).Draw(t, "seed")
		return s
	})
}

// drawTimeMS draws a time, often one close to the beginning or the end of a fault.
func drawTimeMS(t *rapid.T, faults []fault) int {
	n := rapid.IntRange(0, 2*len(faults)).Draw(t, "near")
	if n == 0 {
		return rapid.IntRange(0, scheduleSpanMS).Draw(t, "at")
	}
	nearby := faults[(n-1)/2]
	if n%2 == 0 {
		nearby.AtMS += nearby.DurationMS
	}
	return max(0, nearby.AtMS+rapid.IntRange(-maxOffsetMS, maxOffsetMS).Draw(t, "offset"))
}

// newWorld returns a world whose entries all start now.
func newWorld(zones, entriesPerZone int, seed uint64, strategy strategy) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), strategy: strategy, indexOf: make(map[string]int)}
	n := zones * entriesPerZone
	w.store.refuses = make([]int, n)
	w.store.ignores = make([]int, n)
	w.store.revision, w.store.changedAt = 1, []time.Duration{0}
	for i := range n {
		id := relay.Entry{Name: fmt.Sprintf("e-%03d", i), Zone: fmt.Sprintf("z%d", i%zones)}
		w.indexOf[id.Name] = i
		w.entries = append(w.entries, &entry{w: w, index: i, id: id})
		w.cutCounts = append(w.cutCounts, make([]int, n))
		w.reachableSince = append(w.reachableSince, make([]time.Duration, n))
		for j := range n {
			w.reachableSince[i][j] = never
		}
	}
	for _, e := range w.entries {
		e.start()
	}
	w.updateReachableSince()
	return w
}

// startFault starts a fault and schedules its end.
func (w *world) startFault(f fault) {
	s, affected := &w.store, w.selectEntries(f.EntryBits)
	var counts []*int
	switch f.Kind {
	case faultForgetsCalls:
		counts = append(counts, &s.forgets)
		if f.Variant {
			counts = append(counts, &s.cuts)
		}
	case faultHoldsCalls:
		counts = append(counts, &s.holds)
	case faultDropsHistory:
		counts, s.oldestRevision = append(counts, &s.drops), s.revision
	case faultDown:
		counts = append(counts, &s.down)
	case faultSilent:
		counts = append(counts, &s.silent)
	case faultSlow:
		counts = append(counts, &s.slow)
	case faultLossy:
		counts = append(counts, &s.lossy)
	case faultRefusesEntries:
		counts = w.refusalCounts(affected, f.Variant)
	case faultPartition:
		counts = w.partitionCounts(affected)
		if f.Variant {
			counts = append(counts, w.refusalCounts(affected, true)...)
		}
	}
	for _, c := range counts {
		*c++
	}
	if f.Kind == faultKillsEntries {
		for _, e := range affected {
			e.stop()
		}
	}
	w.breakCallsAndLinks(f)
	w.updateReachableSince()
	w.after(time.Duration(f.DurationMS)*time.Millisecond, func() {
		for _, c := range counts {
			*c--
		}
		if f.Kind == faultKillsEntries {
			for _, e := range affected {
				e.resume()
			}
		}
		w.updateReachableSince()
	})
}

// selectEntries returns the entries selected by the bits.
func (w *world) selectEntries(bits uint32) []*entry {
	var out []*entry
	for i, e := range w.entries {
		if bits>>(i%32)&1 == 1 {
			out = append(out, e)
		}
	}
	return out
}

func (w *world) refusalCounts(affected []*entry, silently bool) []*int {
	var out []*int
	for _, e := range affected {
		if silently {
			out = append(out, &w.store.ignores[e.index])
		} else {
			out = append(out, &w.store.refuses[e.index])
		}
	}
	return out
}

// partitionCounts returns the cut counts between some entries and the others.
func (w *world) partitionCounts(affected []*entry) []*int {
	isolated := make([]bool, len(w.entries))
	for _, e := range affected {
		isolated[e.index] = true
	}
	var out []*int
	for i := range w.entries {
		for j := range w.entries {
			if isolated[i] != isolated[j] {
				out = append(out, &w.cutCounts[i][j])
			}
		}
	}
	return out
}

// breakCallsAndLinks applies the immediate effects of a fault to calls and links.
func (w *world) breakCallsAndLinks(f fault) {
	affected := w.selectEntries(f.EntryBits)
	for _, c := range w.store.waiting {
		isAffected := slices.Contains(affected, c.from)
		switch {
		case f.Kind == faultForgetsCalls, f.Kind == faultHoldsCalls:
			w.forgetCall(c)
		case f.Kind == faultSilent, f.Kind == faultRefusesEntries && f.Variant && isAffected, f.Kind == faultPartition && f.Variant && isAffected:
			c.forgotten, c.unanswerable = true, true
		case f.Kind == faultDown, f.Kind == faultRefusesEntries && isAffected:
			c.end(answer{failed: true})
		}
	}
	if f.Kind == faultPartition {
		w.after(linkTimeout, func() {
			for _, a := range w.entries {
				for _, b := range w.entries {
					if w.cutCounts[a.index][b.index] > 0 {
						a.closeLink(b)
					}
				}
			}
		})
	}
}

// updateReachableSince updates the times since which each entry can reach the store through
// each other one.
func (w *world) updateReachableSince() {
	s := &w.store
	partition := w.partitions()
	for i, e := range w.entries {
		for j, via := range w.entries {
			reachable := e.isRunning() && via.isRunning() && partition[i] == partition[j] &&
				s.down+s.silent+s.lossy+s.refuses[j]+s.ignores[j] == 0
			switch {
			case !reachable:
				w.reachableSince[i][j] = never
			case w.reachableSince[i][j] == never:
				w.reachableSince[i][j] = w.now
			}
		}
	}
}

// partitions returns the number of each entry's partition.
func (w *world) partitions() []int {
	partition := make([]int, len(w.entries))
	for i := range w.entries {
		if partition[i] > 0 {
			continue
		}
		partition[i] = i + 1
		for next := []int{i}; len(next) > 0; next = next[1:] {
			for j := range w.entries {
				if partition[j] == 0 && w.connected(w.entries[next[0]], w.entries[j]) {
					partition[j] = i + 1
					next = append(next, j)
				}
			}
		}
	}
	return partition
}

// storeReachableSince returns the time since which an entry could learn from the store, or
// never if it cannot.
func (w *world) storeReachableSince(e *entry) time.Duration {
	earliest := never
	for _, at := range w.reachableSince[e.index] {
		if at != never && (earliest == never || at < earliest) {
			earliest = at
		}
	}
	return earliest
}
