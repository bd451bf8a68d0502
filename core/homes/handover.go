package homes

import (
	"slices"
	"time"

	"lycheepond/core/spec"
)

// keepPreviousMillis is how long the table names the previous owner of a slot,
// in milliseconds after the slot's LostBefore. It is longer than the grace
// period of any agent. Without the limit the table would grow with every
// restart.
const keepPreviousMillis = int64(10 * time.Minute / time.Millisecond)

// setPreviousOwners sets in next, for each slot, the owner that it had before
// the current one in table t.
func setPreviousOwners(t spec.Homes, next *spec.Homes, nowMillis int64) {
	index := make(map[spec.HomeOwner]int)
	for i := range next.Slots {
		s := &next.Slots[i]
		previous, ok := previousOwner(t, i)
		if s.OwnedSinceEpoch == next.Epoch {
			previous, ok = ownerOf(t, i)
		}
		if !ok || nowMillis > s.LostBefore+keepPreviousMillis {
			continue
		}
		if index[previous] == 0 {
			next.PreviousOwners = append(next.PreviousOwners, previous)
			index[previous] = len(next.PreviousOwners)
		}
		s.PreviousOwner = index[previous]
	}
}

// ownerOf returns the owner of a slot, if it has one.
func ownerOf(t spec.Homes, slot int) (spec.HomeOwner, bool) {
	if slot >= len(t.Slots) {
		return spec.HomeOwner{}, false
	}
	o := t.Slots[slot].Owner
	if o < 0 || o >= len(t.Owners) {
		return spec.HomeOwner{}, false
	}
	return t.Owners[o], true
}

// previousOwner returns the owner before the current one, if the table names
// it.
func previousOwner(t spec.Homes, slot int) (spec.HomeOwner, bool) {
	if slot >= len(t.Slots) {
		return spec.HomeOwner{}, false
	}
	f := t.Slots[slot].PreviousOwner
	if f <= 0 || f > len(t.PreviousOwners) {
		return spec.HomeOwner{}, false
	}
	return t.PreviousOwners[f-1], true
}

// lostSlot is a slot that this agent owned until the table assigned it to
// another one.
type lostSlot struct {
	newOwner spec.HomeOwner
	epoch    int64
	// actFrom is the time from which this agent could act for the slot. Before
	// that time the owner before it may still act.
	actFrom    time.Duration
	lostBefore int64
}

// SlotHandover is one slot whose records are handed over to its new owner.
// Records of keys created before LostBefore, in Unix milliseconds, may be lost.
// LostBefore is zero if none can be lost.
type SlotHandover struct {
	Slot       int
	LostBefore int64
}

// Handover lists the slots that one change of the table moved from this agent
// to another one.
type Handover struct {
	To spec.HomeOwner
	// Epoch is the epoch of the change.
	Epoch int64
	Slots []SlotHandover
}

// recordLostSlots updates lostSlots for the new table t.
func (v *View) recordLostSlots(t spec.Homes) {
	next := make(map[int]lostSlot)
	for i, s := range t.Slots {
		to, ok := ownerOf(t, i)
		if previous, hasPrevious := previousOwner(t, i); !ok || !hasPrevious || previous != v.self {
			continue
		}
		if g, known := v.lostSlots[i]; known && g.epoch == s.OwnedSinceEpoch {
			next[i] = g
		} else if ownedBy(v.table, i, v.self) && v.table.Slots[i].OwnedSinceEpoch < s.OwnedSinceEpoch {
			next[i] = lostSlot{newOwner: to, epoch: s.OwnedSinceEpoch, actFrom: v.actFrom[i], lostBefore: v.slotLostBefore(i)}
		}
	}
	v.lostSlots = next
}

// slotLostBefore returns the time before which records of a slot may be lost, in
// Unix milliseconds.
func (v *View) slotLostBefore(slot int) int64 {
	if lostBefore, ok := v.receivedLostBefore[slot]; ok {
		return lostBefore
	}
	return v.table.Slots[slot].LostBefore
}

// OwnsAnySlot reports whether the table assigns any slot to this agent.
func (v *View) OwnsAnySlot() bool {
	for i := range v.table.Slots {
		if ownedBy(v.table, i, v.self) {
			return true
		}
	}
	return false
}

// Handovers returns the slots whose records may be handed over. The caller may
// hand them over only when it will never act for any slot again, because the
// receiver relies on that.
func (v *View) Handovers(now time.Duration) []Handover {
	var out []Handover
	for i := range v.table.Slots {
		g, ok := v.lostSlots[i]
		if !ok || now < g.actFrom {
			continue
		}
		at := slices.IndexFunc(out, func(o Handover) bool { return o.To == g.newOwner && o.Epoch == g.epoch })
		if at < 0 {
			at, out = len(out), append(out, Handover{To: g.newOwner, Epoch: g.epoch})
		}
		out[at].Slots = append(out[at].Slots, SlotHandover{Slot: i, LostBefore: g.lostBefore})
	}
	return out
}

// ExpectsHandover reports whether this agent took over slot from the given
// owner in the given epoch and still owns it.
func (v *View) ExpectsHandover(slot int, from spec.HomeOwner, epoch int64) bool {
	if slot < 0 || slot >= len(v.table.Slots) || !ownedBy(v.table, slot, v.self) {
		return false
	}
	previous, ok := previousOwner(v.table, slot)
	return ok && previous == from && v.table.Slots[slot].OwnedSinceEpoch == epoch
}

// AcceptHandover records that the previous owner will never act again and that
// all records of the slots have been received. This agent may act for these
// slots as soon as it has a lease.
func (v *View) AcceptHandover(from spec.HomeOwner, epoch int64, slots []SlotHandover) {
	for _, s := range slots {
		if v.ExpectsHandover(s.Slot, from, epoch) {
			delete(v.actFrom, s.Slot)
			v.receivedLostBefore[s.Slot] = s.LostBefore
		}
	}
}
