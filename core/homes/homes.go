// Package homes decides which agent keeps the record of an idempotency key, and
// when that agent may act on it.
//
// It is designed for retries that arrive through another entry after the first
// entry has failed. Without a record that outlives the entry, the retry of a
// register submission would run it again. The record is kept by a single agent,
// the home of the key's slot, and is never replicated. Three rules prevent two
// agents from acting for the same slot:
//
//   - An owner acts only while it has a lease. It lasts for the table's Lease
//     from the time at which the owner asked an entry, less the age of the
//     entry's own confirmation. An entry measures that age from the time before
//     it sent the conditional write that confirmed the epoch, because a read
//     may return an old state.
//   - A new owner acts only when TakeoverDelay, a whole lease and a margin, has
//     passed on its own monotonic clock since it received the table that makes
//     it the owner.
//   - Requests whose keys may be older than the change of owner are not run. The
//     slot's LostBefore is TakeoverDelay after the change, when the old owner has
//     stopped.
//
// Without the third rule, the new owner would run a request again that the lost
// owner had run. The cost of the rule is that requests with such keys are
// answered as unknown.
//
// An owner that stops as planned avoids this. It promises that it will never act
// again and hands its records over. The next owner then acts at once, and
// LostBefore does not change. Otherwise the 940 planned restarts a day at the
// target size would each make the outcomes of an hour of an agent's keys
// unknown. This still happens after the 170 failures a day.
package homes

import (
	"encoding/binary"
	"slices"
	"time"

	"lycheepond/core/spec"
)

const (
	// DefaultSlots is the number of slots of a new table.
	DefaultSlots = 1024
	// DefaultLease is the duration of a lease under a new table. A longer lease
	// bridges longer outages of the platform, but the keys of a lost agent are
	// refused for longer.
	DefaultLease = 20 * time.Second
	// Retention is how long a record is kept after its answer ended.
	Retention = time.Hour
	// MaxClockSkew is the maximum difference between the clocks of two
	// instances.
	MaxClockSkew = 2 * time.Second
)

// TakeoverDelay returns how long a new owner waits before it acts: a lease and
// a tenth of it, to allow for clocks that run at different speeds.
func TakeoverDelay(lease time.Duration) time.Duration { return lease + lease/10 }

// Slot returns the slot of a hashed key in a table of n slots.
func Slot(key []byte, n int) int {
	if n <= 0 {
		return 0
	}
	var b [8]byte
	copy(b[:], key)
	return int(binary.BigEndian.Uint64(b[:]) % uint64(n))
}

// Home returns the owner of the slot of a hashed key, if it has one.
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

// ReassignSlots removes the owners that are not live from the table and assigns
// their slots to the live owners with the fewest slots. No other slots move. If
// the table has no slots, a new one is created. It returns the new table and
// whether it differs from t. nowMillis is the time in Unix milliseconds. The
// caller must write the result only on condition that the stored table is still
// t.
func ReassignSlots(t spec.Homes, live []spec.HomeOwner, nowMillis int64) (spec.Homes, bool) {
	live = sortedUnique(live)
	if len(t.Slots) == 0 {
		return newTable(live, nowMillis)
	}
	orphans := orphanedSlots(t, live)
	if len(orphans) == 0 || len(live) == 0 {
		return t, false
	}
	next := remapOwners(t, live, nowMillis)
	counts := make([]int, len(next.Owners))
	for _, s := range next.Slots {
		if s.Owner >= 0 {
			counts[s.Owner]++
		}
	}
	lostBefore := nowMillis + TakeoverDelay(t.Lease.Std()).Milliseconds()
	for _, i := range orphans {
		o := minIndex(counts)
		counts[o]++
		next.Slots[i] = spec.HomeSlot{Owner: o, LostBefore: lostBefore, OwnedSinceEpoch: next.Epoch}
	}
	setPreviousOwners(t, &next, nowMillis)
	return next, true
}

// newTable returns a table whose slots are spread evenly over the live owners.
// It returns false if there are none.
func newTable(live []spec.HomeOwner, nowMillis int64) (spec.Homes, bool) {
	if len(live) == 0 {
		return spec.Homes{}, false
	}
	t := spec.Homes{Epoch: 1, Lease: spec.Duration(DefaultLease), Owners: live, ConfirmedAtMS: nowMillis, Slots: make([]spec.HomeSlot, DefaultSlots)}
	for i := range t.Slots {
		t.Slots[i] = spec.HomeSlot{Owner: i % len(live), OwnedSinceEpoch: 1}
	}
	return t, true
}

// sortedUnique returns live sorted by name, so that every caller gets the same
// order. Of several owners with the same name it keeps the first.
func sortedUnique(live []spec.HomeOwner) []spec.HomeOwner {
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

// orphanedSlots returns the indexes of the slots whose owner is not live.
func orphanedSlots(t spec.Homes, live []spec.HomeOwner) []int {
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

// remapOwners returns a copy of t with live as its owners. Orphaned slots get
// the owner -1.
func remapOwners(t spec.Homes, live []spec.HomeOwner, nowMillis int64) spec.Homes {
	index := make(map[spec.HomeOwner]int, len(live))
	for i, o := range live {
		index[o] = i
	}
	next := spec.Homes{Epoch: t.Epoch + 1, Lease: t.Lease, Owners: live, ConfirmedAtMS: nowMillis, Slots: make([]spec.HomeSlot, len(t.Slots))}
	for i, s := range t.Slots {
		owner := -1
		if s.Owner >= 0 && s.Owner < len(t.Owners) {
			if n, ok := index[t.Owners[s.Owner]]; ok {
				owner = n
			}
		}
		next.Slots[i] = spec.HomeSlot{Owner: owner, LostBefore: s.LostBefore, OwnedSinceEpoch: s.OwnedSinceEpoch}
	}
	return next
}

func minIndex(counts []int) int {
	lowest := 0
	for i, n := range counts {
		if n < counts[lowest] {
			lowest = i
		}
	}
	return lowest
}

// MayRun reports whether a request whose key has no record may run, which
// requires that no lost or expired record can have had that key. createdMillis
// is when the key was created, or zero if the key does not contain a time.
// lostBeforeMillis is the time before which records may be lost, and nowMillis
// the current time. All are in Unix milliseconds.
func MayRun(createdMillis, lostBeforeMillis, nowMillis int64) bool {
	skew, retention := MaxClockSkew.Milliseconds(), Retention.Milliseconds()
	if createdMillis > nowMillis+skew {
		// A client's clock that runs ahead would make every key look new.
		createdMillis = 0
	}
	if createdMillis == 0 {
		return lostBeforeMillis == 0 || nowMillis > lostBeforeMillis+retention
	}
	return createdMillis-skew >= lostBeforeMillis && createdMillis+retention-skew >= nowMillis
}
