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

const (
	// enough is how many tallies a way is known by: the first ones may all have come
	// by a slow way, as those that were held up and then arrive together do. Each
	// tally of a peer counts, so that it is two seconds at the usual four a second.
	enough = 8
	// apart is the time in which only one counts: several that are read within it
	// came together.
	apart = 10 * time.Millisecond
)

// Way tells how long tallies of one process were on their way, from the readings
// of the process's clock that they carry: an entry that was stopped, or a link
// that stood still, hands over tallies that are seconds old, and the claims in
// them are as much older. The zero Way has seen none.
type Way struct {
	// seen counts those that came apart, the last of them at last.
	seen int
	last time.Duration
	// least is the smallest difference between the clocks on arrival, and at when
	// it was seen; valid if seen is not zero.
	least, at time.Duration
}

// Late takes in that a tally arrived at now which left when its sender's clock
// said told. It returns by how much longer it took than the quickest; ok is false
// while there are too few to know how long the quickest takes.
func (w *Way) Late(now, told time.Duration) (late time.Duration, ok bool) {
	diff := now - told
	least := w.least + time.Duration(drift*float64(now-w.at))
	if w.seen == 0 || diff <= least {
		w.least, w.at, least = diff, now, diff
	}
	if w.seen == 0 || now-w.last >= apart {
		w.seen++
		w.last = now
	}
	return diff - least, w.seen >= enough
}

// Told returns a peer's claim as it holds here: the peer said that its revision
// was the newest age before it told so, and the tally came late by so much.
func Told(now, late, age time.Duration, revision int64, mark uint32) Claim {
	return Claim{Revision: revision, At: now - late - age - Allowance, Mark: mark}
}
