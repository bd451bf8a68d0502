package homes

import (
	"time"

	"lycheepond/core/spec"
)

// Ownership says whether an agent may act for a key.
type Ownership uint8

// The results of View.CheckOwnership.
const (
	// Owned: the agent may act.
	Owned Ownership = iota
	// NotHome: another agent is the home of the key, or the tables of the two
	// sides differ.
	NotHome
	// NoLease: the agent is the home, but its lease has expired, or the lease
	// of the previous owner may not have expired yet.
	NoLease
)

// View is an agent's view of the table of one pool. Its times are of one
// monotonic clock. One goroutine owns it.
type View struct {
	self  spec.HomeOwner
	table spec.Homes
	// actFrom maps each slot that was taken over to the time from which this
	// agent may act for it. Other slots have no element.
	actFrom map[int]time.Duration
	// receivedLostBefore replaces the table's LostBefore for slots whose records
	// were received from the previous owner. These slots have no element in
	// actFrom.
	receivedLostBefore map[int]int64
	// lostSlots holds the slots that were assigned to another agent and whose
	// records may be handed over.
	lostSlots map[int]lostSlot
	// leaseEnd is when the lease expires. Zero means that there was no lease
	// yet.
	leaseEnd time.Duration
}

// NewView returns the view of the agent self, which has not received a table
// yet.
func NewView(self spec.HomeOwner) *View {
	return &View{self: self, actFrom: make(map[int]time.Duration), receivedLostBefore: make(map[int]int64), lostSlots: make(map[int]lostSlot)}
}

// Table returns the newest table received.
func (v *View) Table() spec.Homes { return v.table }

// Update records a table and reports whether it is newer than the current one.
// A table with a different number of slots is ignored: every key would get
// another home while the old one may still act for it.
func (v *View) Update(now time.Duration, t spec.Homes) bool {
	if n := len(v.table.Slots); t.Epoch <= v.table.Epoch || n > 0 && n != len(t.Slots) {
		return false
	}
	actAt := now + TakeoverDelay(t.Lease.Std())
	actFrom, receivedLostBefore := make(map[int]time.Duration), make(map[int]int64)
	v.recordLostSlots(t)
	for i, s := range t.Slots {
		if !ownedBy(t, i, v.self) || s.OwnedSinceEpoch <= 1 {
			continue
		}
		if lostBefore, ok := v.receivedLostBefore[i]; ok && v.table.Slots[i].OwnedSinceEpoch == s.OwnedSinceEpoch {
			receivedLostBefore[i] = lostBefore
			continue
		}
		if from, ok := v.actFrom[i]; ok && ownedBy(v.table, i, v.self) && v.table.Slots[i].OwnedSinceEpoch == s.OwnedSinceEpoch {
			actFrom[i] = from
			continue
		}
		actFrom[i] = actAt
	}
	v.table, v.actFrom, v.receivedLostBefore = t, actFrom, receivedLostBefore
	return true
}

func ownedBy(t spec.Homes, slot int, self spec.HomeOwner) bool {
	if slot >= len(t.Slots) {
		return false
	}
	o := t.Slots[slot].Owner
	return o >= 0 && o < len(t.Owners) && t.Owners[o] == self
}

// ExtendLease extends the lease after an entry has confirmed the epoch.
// requestedAt is the time, on the agent's clock, at which the agent asked the
// entry. age is how long before that the entry had itself confirmed the epoch
// at the platform.
func (v *View) ExtendLease(requestedAt, age time.Duration, epoch int64) {
	if epoch != v.table.Epoch || epoch == 0 {
		return
	}
	v.leaseEnd = max(v.leaseEnd, requestedAt-age+v.table.Lease.Std())
}

// LeaseEnd returns the time until which the agent may act.
func (v *View) LeaseEnd() time.Duration { return v.leaseEnd }

// CheckOwnership says whether the agent may act for a hashed key that was
// offered under the given epoch. An older epoch than that of the table is
// accepted if the slot has not changed its owner since.
func (v *View) CheckOwnership(now time.Duration, key []byte, epoch int64) Ownership {
	if len(v.table.Slots) == 0 || epoch > v.table.Epoch {
		return NotHome
	}
	i := Slot(key, len(v.table.Slots))
	if !ownedBy(v.table, i, v.self) || epoch < v.table.Slots[i].OwnedSinceEpoch {
		return NotHome
	}
	if now >= v.leaseEnd || now < v.actFrom[i] {
		return NoLease
	}
	return Owned
}

// LostBefore returns the time before which records of the key may be lost, in
// Unix milliseconds.
func (v *View) LostBefore(key []byte) int64 {
	if len(v.table.Slots) == 0 {
		return 0
	}
	return v.slotLostBefore(Slot(key, len(v.table.Slots)))
}
