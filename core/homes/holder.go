package homes

import (
	"time"

	"lycheepond/core/spec"
)

// Verdict says whether an agent may act for a key.
type Verdict uint8

// The verdicts of Holder.Owns.
const (
	// Owned: the agent may act.
	Owned Verdict = iota
	// NotHome: another agent is the key's home, or the two sides do not have
	// the same table.
	NotHome
	// NoLease: the agent is the home but its lease has run out, or the one of
	// the owner before it may still run.
	NoLease
)

// Holder is an agent's view of one pool's table. Its times are of one
// monotonic clock. One goroutine owns it.
type Holder struct {
	self  spec.HomeOwner
	table spec.Homes
	// begins maps each slot that was taken over to the time from which this
	// agent may act for it; others have no entry.
	begins map[int]time.Duration
	// since overrides what the table says of slots whose records were
	// received; they have no entry in begins.
	since map[int]int64
	// given holds the slots that went to another agent and may be handed over.
	given map[int]given
	// until is when the lease runs out; zero means that there never was one.
	until time.Duration
}

// NewHolder returns the view of an agent that has not seen a table.
func NewHolder(self spec.HomeOwner) *Holder {
	return &Holder{self: self, begins: make(map[int]time.Duration), since: make(map[int]int64), given: make(map[int]given)}
}

// Table returns the newest table learnt.
func (h *Holder) Table() spec.Homes { return h.table }

// Learn takes in a table and reports whether it is newer than the one known.
// One with another number of slots is refused: every key would get another
// home while the old one may still act for it.
func (h *Holder) Learn(now time.Duration, t spec.Homes) bool {
	if n := len(h.table.Slots); t.Epoch <= h.table.Epoch || n > 0 && n != len(t.Slots) {
		return false
	}
	begin := now + Margin(t.Lease.Std())
	begins, since := make(map[int]time.Duration), make(map[int]int64)
	h.give(t)
	for i, s := range t.Slots {
		if !ownedBy(t, i, h.self) || s.OwnedSinceEpoch <= 1 {
			continue
		}
		if v, ok := h.since[i]; ok && h.table.Slots[i].OwnedSinceEpoch == s.OwnedSinceEpoch {
			since[i] = v
			continue
		}
		if at, ok := h.begins[i]; ok && ownedBy(h.table, i, h.self) && h.table.Slots[i].OwnedSinceEpoch == s.OwnedSinceEpoch {
			begins[i] = at
			continue
		}
		begins[i] = begin
	}
	h.table, h.begins, h.since = t, begins, since
	return true
}

func ownedBy(t spec.Homes, slot int, self spec.HomeOwner) bool {
	if slot >= len(t.Slots) {
		return false
	}
	o := t.Slots[slot].Owner
	return o >= 0 && o < len(t.Owners) && t.Owners[o] == self
}

// Confirm takes in that epoch was in force age before an entry was asked, and
// that it was asked at the time asked of the agent's clock.
func (h *Holder) Confirm(asked, age time.Duration, epoch int64) {
	if epoch != h.table.Epoch || epoch == 0 {
		return
	}
	h.until = max(h.until, asked-age+h.table.Lease.Std())
}

// Lease returns until when the agent may act.
func (h *Holder) Lease() time.Duration { return h.until }

// Owns says whether the agent may act for a hashed key that was offered under
// epoch. An older epoch is as good while the slot has not changed hands since.
func (h *Holder) Owns(now time.Duration, key []byte, epoch int64) Verdict {
	if len(h.table.Slots) == 0 || epoch > h.table.Epoch {
		return NotHome
	}
	i := Slot(key, len(h.table.Slots))
	if !ownedBy(h.table, i, h.self) || epoch < h.table.Slots[i].OwnedSinceEpoch {
		return NotHome
	}
	if now >= h.until || now < h.begins[i] {
		return NoLease
	}
	return Owned
}

// Since returns the time before which records of the key may be lost, in Unix
// milliseconds.
func (h *Holder) Since(key []byte) int64 {
	if len(h.table.Slots) == 0 {
		return 0
	}
	return h.sinceOf(Slot(key, len(h.table.Slots)))
}
