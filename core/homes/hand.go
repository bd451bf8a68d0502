package homes

import (
	"slices"
	"time"

	"lycheepond/core/spec"
)

// keepLeft is how long the table names the owner before, in milliseconds after
// Since. It is longer than the grace time of any agent; without it the table
// would grow with every restart.
const keepLeft = int64(10 * time.Minute / time.Millisecond)

// mark names in next the owner that each slot was taken from.
func mark(t spec.Homes, next *spec.Homes, wall int64) {
	at := make(map[spec.HomeOwner]int)
	for i := range next.Slots {
		s := &next.Slots[i]
		from, ok := leftOwner(t, i)
		if s.OwnedSinceEpoch == next.Epoch {
			from, ok = ownerOf(t, i)
		}
		if !ok || wall > s.LostBefore+keepLeft {
			continue
		}
		if at[from] == 0 {
			next.FormerOwners = append(next.FormerOwners, from)
			at[from] = len(next.FormerOwners)
		}
		s.PreviousOwner = at[from]
	}
}

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

// leftOwner returns the owner before the present one.
func leftOwner(t spec.Homes, slot int) (spec.HomeOwner, bool) {
	if slot >= len(t.Slots) {
		return spec.HomeOwner{}, false
	}
	f := t.Slots[slot].PreviousOwner
	if f <= 0 || f > len(t.FormerOwners) {
		return spec.HomeOwner{}, false
	}
	return t.FormerOwners[f-1], true
}

// given is a slot that this agent owned until the table gave it to another.
type given struct {
	to   spec.HomeOwner
	took int64
	// begin is when this agent might act for it at the earliest: before, the
	// owner before it may still act.
	begin time.Duration
	since int64
}

// Share is one slot that changes hands with its records. Records of keys made
// before Since, in Unix milliseconds, may be lost; zero if none can be.
type Share struct {
	Slot  int
	Since int64
}

// Gift is what one change of the table moved from this agent to another.
type Gift struct {
	To spec.HomeOwner
	// Took is the epoch of the change.
	Took   int64
	Shares []Share
}

// give notes which slots go to another agent with table t.
func (h *Holder) give(t spec.Homes) {
	next := make(map[int]given)
	for i, s := range t.Slots {
		to, ok := ownerOf(t, i)
		if from, left := leftOwner(t, i); !ok || !left || from != h.self {
			continue
		}
		if g, known := h.given[i]; known && g.took == s.OwnedSinceEpoch {
			next[i] = g
		} else if ownedBy(h.table, i, h.self) && h.table.Slots[i].OwnedSinceEpoch < s.OwnedSinceEpoch {
			next[i] = given{to: to, took: s.OwnedSinceEpoch, begin: h.begins[i], since: h.sinceOf(i)}
		}
	}
	h.given = next
}

func (h *Holder) sinceOf(slot int) int64 {
	if v, ok := h.since[slot]; ok {
		return v
	}
	return h.table.Slots[slot].LostBefore
}

// Holds reports whether the table gives any slot to this agent.
func (h *Holder) Holds() bool {
	for i := range h.table.Slots {
		if ownedBy(h.table, i, h.self) {
			return true
		}
	}
	return false
}

// Gifts returns the slots whose records may be handed over. The caller hands
// them over only when it will never act for any slot again: that is the word
// which the receiver relies on.
func (h *Holder) Gifts(now time.Duration) []Gift {
	var out []Gift
	for i := range h.table.Slots {
		g, ok := h.given[i]
		if !ok || now < g.begin {
			continue
		}
		at := slices.IndexFunc(out, func(o Gift) bool { return o.To == g.to && o.Took == g.took })
		if at < 0 {
			at, out = len(out), append(out, Gift{To: g.to, Took: g.took})
		}
		out[at].Shares = append(out[at].Shares, Share{Slot: i, Since: g.since})
	}
	return out
}

// Expects reports whether this agent took slot over from another in the epoch
// took, and still owns it.
func (h *Holder) Expects(slot int, from spec.HomeOwner, took int64) bool {
	if slot < 0 || slot >= len(h.table.Slots) || !ownedBy(h.table, slot, h.self) {
		return false
	}
	left, ok := leftOwner(h.table, slot)
	return ok && left == from && h.table.Slots[slot].OwnedSinceEpoch == took
}

// Receive takes in the word of the owner before, after all records of the
// shares have come: this agent may act for them as soon as it holds a lease.
func (h *Holder) Receive(from spec.HomeOwner, took int64, shares []Share) {
	for _, s := range shares {
		if h.Expects(s.Slot, from, took) {
			delete(h.begins, s.Slot)
			h.since[s.Slot] = s.Since
		}
	}
}
