// Package quota limits what each customer uses over all entries together.
//
// A customer may send many times its usual load through every entry at once. If each entry
// counted only its own requests, the customer would get one limit per entry. With fixed
// shares, an entry would refuse a customer whose connections all end at that entry.
// Instead, each entry counts its own use and merges the totals that the others report
// several times per second, so all entries effectively share one token bucket.
//
// An entry that does not receive reports from k of n other entries cannot know what they
// admit. It then uses only the reachable entries' share of the limit, as the others do with
// theirs, so the sum stays within the limit during a network partition.
//
// An entry learns late what the others admit, and later than usual if a machine or a link is slow.
// While little is left, what an entry has admitted and the others may not know yet is therefore at
// most its own part of what was left. The part is that of the customer's recent use that came to this
// entry.
//
// An entry that starts doesn't know what the others have admitted, so its buckets start empty
// and fill at the customers' rates. From then on it counts all totals that it receives, also
// those of customers that have not sent requests to it.
//
// The package uses no network, clock or random source. A Limiter is owned by one goroutine.
package quota

import (
	"math"
	"time"
)

// minWait is the shortest wait that Take returns with a refusal. It is the time in which
// entries receive each other's totals, and it is the same for all callers. If later callers
// were given longer waits, 2 to 4 in 100 of the units that callers could use would remain
// unused.
const minWait = 30 * time.Millisecond

// scarceShare is the share of a burst below which units are scarce. While more is left, an entry
// admits what comes: a single large request may be more than its part.
const scarceShare = 0.5

// recentPeriod is the time over which it is measured which entries a customer uses. It is longer than
// peers are silent before they count as unreachable.
const recentPeriod = 4 * time.Second

// Limit is what one customer may use.
type Limit struct {
	// Rate is in units per second, Burst in units. A zero Rate means no limit.
	Rate, Burst float64
}

// Tolerance is how much a customer's use of all entries together may exceed its limit.
type Tolerance struct {
	// Over is a share of the limit, Slack a number of additional units.
	Over, Slack float64
}

// grantedToleranceShare is the share of the tolerance that is granted to customers. Refused
// work within the limit is lost, while slightly more work does no harm, and the entries'
// counts differ from the operator's at the edges of time windows. The rest of the tolerance
// covers requests that entries admit before they receive each other's totals.
const grantedToleranceShare = 0.5

// WithTolerance returns the limit up to which requests are admitted.
func (l Limit) WithTolerance(t Tolerance) Limit {
	if l.Rate <= 0 {
		return l
	}
	return Limit{Rate: l.Rate * (1 + grantedToleranceShare*t.Over), Burst: l.Burst + grantedToleranceShare*t.Slack}
}

// Limiter tracks the use of all customers.
type Limiter struct {
	// reachableEntries and knownEntries count entries, including this one. reachableEntries
	// is at most knownEntries.
	reachableEntries, knownEntries int
	buckets                        map[string]*bucket
	// heardAt is the time by which all reachable peers have been heard, as SetEntries set it.
	heardAt time.Duration
	// markedAt is when the use of all buckets was last marked.
	markedAt time.Duration
	// peerTotals holds the last total that each peer reported for each customer.
	peerTotals map[string]map[string]peerTotal
}

// peerTotal is what a peer has admitted for a customer since it started.
type peerTotal struct {
	units float64
	// isOld is set if the peer has been silent since, from silentAt on.
	isOld    bool
	silentAt time.Duration
}

type bucket struct {
	limit Limit
	// unitsLeft is at most the burst. It is negative if requests or peers used more than
	// was left.
	unitsLeft float64
	// usedUnits is the total number of units that this entry admitted and that were not
	// returned.
	usedUnits float64
	// markedUnits is usedUnits at Limiter.markedAt, and knownUnits what it was at the mark before.
	// All reachable peers have sent a report after that mark, so they are taken to know knownUnits.
	markedUnits, knownUnits float64
	// ownRecent and allRecent are the units used at this entry and at all entries. They decay over
	// recentPeriod.
	ownRecent, allRecent float64
	// isUsed is set if this entry has received requests of the customer.
	isUsed   bool
	filledAt time.Duration
}

// New returns a limiter for an entry that knows no other entry. Times are durations since then.
func New() *Limiter {
	return &Limiter{reachableEntries: 1, knownEntries: 1, buckets: make(map[string]*bucket), peerTotals: make(map[string]map[string]peerTotal)}
}

// SetEntries sets how many entries are known and from how many of them this one receives
// reports, itself included. It is called before each report of this entry. heardAt is when the
// oldest among the last reports of the reachable peers arrived, or now without such a peer.
func (q *Limiter) SetEntries(now time.Duration, reachable, known int, heardAt time.Duration) {
	before := q.reachableShare()
	q.knownEntries = max(known, 1)
	q.reachableEntries = min(max(reachable, 1), q.knownEntries)
	if share := q.reachableShare(); share < before {
		// Peers that have become silent may use their part of what is left, and may have used their
		// part of the rate since they were last heard.
		for _, b := range q.buckets {
			b.refill(now, before)
			if b.unitsLeft > 0 {
				used := b.limit.Rate * (before - share) * (now - q.heardAt).Seconds()
				b.unitsLeft = max(b.unitsLeft-used, 0) * share / before
			}
		}
	}
	q.heardAt = heardAt
	if heardAt <= q.markedAt {
		return
	}
	q.markedAt = now
	for _, b := range q.buckets {
		b.knownUnits, b.markedUnits = b.markedUnits, b.usedUnits
	}
}

// Entries returns what SetEntries set last.
func (q *Limiter) Entries() (reachable, known int) { return q.reachableEntries, q.knownEntries }

// Take admits a request of n units for a customer or refuses it. If it is refused, wait is
// the time after which it would be admitted if no other request came.
func (q *Limiter) Take(now time.Duration, customer string, l Limit, n float64) (wait time.Duration, ok bool) {
	b := q.bucket(now, customer, l)
	b.isUsed = true
	if l.Rate <= 0 {
		b.usedUnits += n
		return 0, true
	}
	share := q.reachableShare()
	b.refill(now, share)
	// A request of any size is admitted while units are left. The excess is paid back
	// before the next one is admitted. If a request had to wait until its full size is
	// available, the small requests of a customer at its limit would use up each unit, and
	// its large requests would never be admitted.
	if b.unitsLeft <= 0 {
		return minWait + time.Duration(-b.unitsLeft/(l.Rate*share)*float64(time.Second)), false
	}
	if b.unitsLeft < l.Burst*share*scarceShare && q.hasUsedOwnPart(b) {
		return minWait, false
	}
	b.unitsLeft -= n
	b.usedUnits += n
	b.ownRecent += n
	b.allRecent += n
	return 0, true
}

// hasUsedOwnPart reports whether what this entry has admitted and the others may not know yet is as
// much as its part of what was left before: its part of the recent use that all know. The part is at
// least that of an entry among equals, so that a customer can come to an entry that it has not used.
func (q *Limiter) hasUsedOwnPart(b *bucket) bool {
	unknown := b.usedUnits - b.knownUnits
	if unknown <= 0 {
		return false
	}
	part := 1 / float64(q.reachableEntries)
	if own := b.ownRecent - unknown; own > 0 {
		part = max(part, own/(b.allRecent-unknown))
	}
	return unknown >= part*(b.unitsLeft+unknown)
}

// Left returns the units that were left for a customer after the last Take, Return or MergeTotal.
// It is negative if more than the limit was used.
func (q *Limiter) Left(customer string) float64 {
	if b := q.buckets[customer]; b != nil {
		return b.unitsLeft
	}
	return 0
}

// Return returns the units that Take admitted for a request that was never executed. The
// other entries learn of it with the next total. Otherwise they would treat a customer
// whose requests are refused for lack of capacity as one over its limit.
func (q *Limiter) Return(customer string, n float64) {
	if b := q.buckets[customer]; b != nil {
		b.unitsLeft = min(b.unitsLeft+n, b.limit.Burst)
		b.usedUnits -= n
		b.ownRecent = max(b.ownRecent-n, 0)
		b.allRecent = max(b.allRecent-n, b.ownRecent)
	}
}

// MergeTotal records a peer's total for a customer. The total decreases if the peer
// returned units. A restarted peer counts from zero, so Forget must be called first.
func (q *Limiter) MergeTotal(now time.Duration, peer, customer string, l Limit, total float64) {
	totals := q.peerTotals[peer]
	if totals == nil {
		totals = make(map[string]peerTotal)
		q.peerTotals[peer] = totals
	}
	previous, known := totals[customer]
	totals[customer] = peerTotal{units: total}
	b := q.bucket(now, customer, l)
	b.refill(now, q.reachableShare())
	used := total - previous.units
	if previous.isOld {
		// While the peer was silent, its part of the rate was held back here.
		used = max(used-l.Rate/float64(q.knownEntries)*(now-previous.silentAt).Seconds(), 0)
	}
	if !known || previous.isOld {
		// The first total may include use from before the start of this entry, or of what was
		// held back in other ways, so it leaves nothing, but no debt either.
		used = min(used, max(b.unitsLeft, 0))
	}
	b.unitsLeft = min(b.unitsLeft-used, l.Burst)
	b.allRecent = max(b.allRecent+used, b.ownRecent)
}

// Forget drops the totals of a peer that is gone.
func (q *Limiter) Forget(peer string) { delete(q.peerTotals, peer) }

// NoteSilence records that a peer has become silent.
func (q *Limiter) NoteSilence(now time.Duration, peer string) {
	for customer, t := range q.peerTotals[peer] {
		if !t.isOld {
			q.peerTotals[peer][customer] = peerTotal{units: t.units, isOld: true, silentAt: now}
		}
	}
}

// PeerTotals calls f with the totals that a peer reported.
func (q *Limiter) PeerTotals(peer string, f func(customer string, total float64)) {
	for name, t := range q.peerTotals[peer] {
		f(name, t.units)
	}
}

// OwnTotals calls f with this entry's total for each customer that has sent requests to it.
func (q *Limiter) OwnTotals(f func(customer string, total float64)) {
	for name, b := range q.buckets {
		if b.isUsed {
			f(name, b.usedUnits)
		}
	}
}

func (q *Limiter) reachableShare() float64 {
	return float64(q.reachableEntries) / float64(q.knownEntries)
}

// bucket returns the bucket of a customer and sets its current limit. Without a bucket, neither
// this entry nor a peer has admitted anything for the customer since the start of this entry.
func (q *Limiter) bucket(now time.Duration, customer string, l Limit) *bucket {
	b := q.buckets[customer]
	if b == nil {
		b = &bucket{unitsLeft: min(l.Rate*q.reachableShare()*now.Seconds(), l.Burst), filledAt: now}
		q.buckets[customer] = b
	}
	b.limit = l
	return b
}

func (b *bucket) refill(now time.Duration, share float64) {
	elapsed := now - b.filledAt
	b.filledAt = now
	if elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(recentPeriod))
		b.ownRecent *= decay
		b.allRecent *= decay
		b.unitsLeft += b.limit.Rate * share * elapsed.Seconds()
	}
	b.unitsLeft = min(b.unitsLeft, b.limit.Burst*share)
	// Use beyond the limit counts against the customer for no longer than it takes to
	// refill a whole burst.
	b.unitsLeft = max(b.unitsLeft, -b.limit.Burst)
}
