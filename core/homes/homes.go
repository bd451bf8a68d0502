// Package homes decides which agent keeps the record of an idempotency key and
// when that agent may act on it.
//
// It answers retries that come through another entry after the first one died:
// without a record that outlives the entry, the retry of a register submission
// would run it again. The record stands at one agent, the home of the key's
// slot, and is never copied, so three rules keep two agents from acting for the
// same slot:
//
//   - An owner acts only while it holds a lease: for Table.Lease from the moment
//     that it asked an entry, less the age of the entry's own confirmation. An
//     entry counts that age from the moment before it sent the conditional write
//     that confirmed the epoch, because a read may be answered from the past.
//   - A new owner begins only when a whole lease and its margin have passed by
//     its own monotonic clock since it learnt of its ownership.
//   - Keys that may be older than the change of owner are not run: Since lies a
//     lease and its margin after the change, when the old owner has stopped.
//
// An owner that stops as planned can do better: it gives its word that it will
// never act again and hands its records over. Then the next owner begins at
// once, and Since stays as it was. Without it the 940 planned restarts a day at
// the target's size would each make an hour of an agent's keys unknown.
//
// Without the third rule a key that the lost owner ran would be run again by
// the new one. Its cost is that such keys are answered as unknown. How many
// those are at 170 failures a day is to be measured.
package homes

import (
	"encoding/binary"
	"slices"
	"time"

	"lycheepond/core/spec"
)

// Figures of the rules. They are chosen, not measured.
const (
	// Slots is the number of partitions of a new table.
	Slots = 1024
	// DefaultLease is the lease of a new table. A longer lease bridges longer
	// outages of the platform and keeps the keys of a lost agent refused for
	// longer.
	DefaultLease = 20 * time.Second
	// Retention is how long a record is kept after its answer ended.
	Retention = time.Hour
	// Skew is how far the clocks of two instances may differ.
	Skew = 2 * time.Second
)

// Margin is how much longer than a lease the next owner waits, for clocks that
// run at unequal speeds.
func Margin(lease time.Duration) time.Duration { return lease + lease/10 }

// Slot returns the partition of a hashed key in a table of n slots.
func Slot(key []byte, n int) int {
	if n <= 0 {
		return 0
	}
	var b [8]byte
	copy(b[:], key)
	return int(binary.BigEndian.Uint64(b[:]) % uint64(n))
}

// Home returns the owner of a hashed key.
func Home(t spec.Homes, key []byte) (spec.HomeOwner, bool) {
	if len(t.Slots) == 0 {
		return spec.HomeOwner{}, false
	}
	o := t.Slots[Slot(key, len(t.Slots))].Owner
	if o < 0 || o >= len(t.Owners) {
		return spec.HomeOwner{}, false
	}
	return t.Owners[o], true
}

// Takeover returns the table after the owners that are not live have lost
// their slots, and whether it differs. A table without slots is created. Only
// orphaned slots move; they go to the live owners with the fewest slots. wall is
// the time in Unix milliseconds. The caller writes the result on condition that
// the table is still the one that it read.
func Takeover(t spec.Homes, live []spec.HomeOwner, wall int64) (spec.Homes, bool) {
	live = sorted(live)
	if len(t.Slots) == 0 {
		return create(live, wall)
	}
	orphans := orphaned(t, live)
	if len(orphans) == 0 || len(live) == 0 {
		return t, false
	}
	next := remap(t, live, wall)
	counts := make([]int, len(next.Owners))
	for _, s := range next.Slots {
		if s.Owner >= 0 {
			counts[s.Owner]++
		}
	}
	since := wall + Margin(t.Lease.Std()).Milliseconds()
	for _, i := range orphans {
		o := least(counts)
		counts[o]++
		next.Slots[i] = spec.HomeSlot{Owner: o, LostBefore: since, OwnedSinceEpoch: next.Epoch}
	}
	mark(t, &next, wall)
	return next, true
}

func create(live []spec.HomeOwner, wall int64) (spec.Homes, bool) {
	if len(live) == 0 {
		return spec.Homes{}, false
	}
	t := spec.Homes{Epoch: 1, Lease: spec.Duration(DefaultLease), Owners: live, ConfirmedAtMS: wall, Slots: make([]spec.HomeSlot, Slots)}
	for i := range t.Slots {
		t.Slots[i] = spec.HomeSlot{Owner: i % len(live), OwnedSinceEpoch: 1}
	}
	return t, true
}

// sorted returns live in one order for every caller, without duplicates of a
// name: the first of them stays.
func sorted(live []spec.HomeOwner) []spec.HomeOwner {
	out := slices.Clone(live)
	slices.SortStableFunc(out, func(a, b spec.HomeOwner) int {
		if a.Name < b.Name {
			return -1
		}
		if a.Name > b.Name {
			return 1
		}
		return 0
	})
	return slices.CompactFunc(out, func(a, b spec.HomeOwner) bool { return a.Name == b.Name })
}

func orphaned(t spec.Homes, live []spec.HomeOwner) []int {
	alive := make(map[spec.HomeOwner]bool, len(live))
	for _, o := range live {
		alive[o] = true
	}
	var out []int
	for i, s := range t.Slots {
		if s.Owner < 0 || s.Owner >= len(t.Owners) || !alive[t.Owners[s.Owner]] {
			out = append(out, i)
		}
	}
	return out
}

// remap returns a copy of t whose Owners are live and whose slots point into
// them, -1 for the orphans.
func remap(t spec.Homes, live []spec.HomeOwner, wall int64) spec.Homes {
	at := make(map[spec.HomeOwner]int, len(live))
	for i, o := range live {
		at[o] = i
	}
	next := spec.Homes{Epoch: t.Epoch + 1, Lease: t.Lease, Owners: live, ConfirmedAtMS: wall, Slots: make([]spec.HomeSlot, len(t.Slots))}
	for i, s := range t.Slots {
		owner := -1
		if s.Owner >= 0 && s.Owner < len(t.Owners) {
			if n, ok := at[t.Owners[s.Owner]]; ok {
				owner = n
			}
		}
		next.Slots[i] = spec.HomeSlot{Owner: owner, LostBefore: s.LostBefore, OwnedSinceEpoch: s.OwnedSinceEpoch}
	}
	return next
}

func least(counts []int) int {
	best := 0
	for i, n := range counts {
		if n < counts[best] {
			best = i
		}
	}
	return best
}

// Usable reports whether a key that has no record may run: whether it is
// certain that no lost or expired record had it. made is when the key was made
// and wall the time now, both in Unix milliseconds; made is zero for a key that
// does not tell.
func Usable(made, since, wall int64) bool {
	skew, retention := Skew.Milliseconds(), Retention.Milliseconds()
	if made > wall+skew {
		// A clock that runs ahead would make every key look new.
		made = 0
	}
	if made == 0 {
		return since == 0 || wall > since+retention
	}
	return made-skew >= since && made+retention-skew >= wall
}
