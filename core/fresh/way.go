package fresh

import "time"

const (
	// Allowance is what a tally may take on its quickest way, through two hubs
	// that pass it on at their next turn: a peer's claim counts as that much older.
	Allowance = 100 * time.Millisecond
	// drift is by how much two clocks may part in a given time: several times what
	// clocks that are adjusted to others do.
	drift = 0.001
)

// Way tells how long tallies of one process were on their way, from the readings
// of the process's clock that they carry: an entry that was stopped, or a link
// that stood still, hands over tallies that are seconds old, and the claims in
// them are as much older. The zero Way has seen none.
type Way struct {
	seen bool
	// least is the smallest difference between the clocks on arrival, and at when
	// it was seen.
	least, at time.Duration
}

// Late takes in that a tally arrived at now which left when its sender's clock
// said told. It returns by how much longer it took than the quickest; ok is false
// for the first one, to which there is nothing to compare.
func (w *Way) Late(now, told time.Duration) (late time.Duration, ok bool) {
	diff := now - told
	if !w.seen {
		w.seen, w.least, w.at = true, diff, now
		return 0, false
	}
	least := w.least + time.Duration(drift*float64(now-w.at))
	if diff <= least {
		w.least, w.at = diff, now
		return 0, true
	}
	return diff - least, true
}

// Told returns a peer's claim as it holds here: the peer said that its revision
// was the newest age before it told so, and the tally came late by so much.
func Told(now, late, age time.Duration, revision int64, mark uint32) Claim {
	return Claim{Revision: revision, At: now - late - age - Allowance, Mark: mark}
}
