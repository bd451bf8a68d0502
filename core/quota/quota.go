// Package quota limits what each customer uses over all entries together.
//
// A customer may send many times its usual load through every entry at once. If each entry
// counted only its own requests, the customer would get one limit per entry. With fixed
// shares, an entry would refuse a customer whose connections all end at that entry.
// Instead, each entry counts its own use and merges the totals that the others report
// several times per second, so all entries effectively share one token bucket.
//
// A bucket is created when its customer is first heard of, from a request or from a report, so
// that it follows what the others admit before a request comes. One that is created later than
// theirs, at an entry that has just started, takes over what is left in theirs.
//
// An entry that does not receive reports from k of n other entries cannot know what they
// admit. It then uses only the reachable entries' share of the limit, as the others do with
// theirs, so the sum stays within the limit during a network partition.
//
// The package uses no network, clock or random source. A Limiter is owned by one goroutine.
package quota

import "time"

// initialBurstShare is the share of the burst that a new bucket holds. All entries may
// start at once, and with full buckets a customer would get several whole bursts each time.
const initialBurstShare = 0.5

// settleTime is how long after its creation a bucket settles. Until then it takes over what is
// left in the buckets of peers, since an entry that has started hears from them for the first time.
const settleTime = 3 * time.Second

// minWait is the shortest wait that Take returns with a refusal. It is the time in which
// entries receive each other's totals, and it is the same for all callers. If later callers
// were given longer waits, 2 to 4 in 100 of the units that callers could use would remain
// unused.
const minWait = 30 * time.Millisecond

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
	// peerTotals holds the last total that each peer reported for each customer.
	peerTotals map[string]map[string]float64
	// limitOf returns the limit of a customer, with a zero Rate if it has none or is not known.
	limitOf func(customer string) Limit
}

type bucket struct {
	limit Limit
	// unitsLeft is at most the burst. It is negative if requests or peers used more than
	// was left.
	unitsLeft float64
	// usedUnits is the total number of units that this entry admitted and that were not
	// returned.
	usedUnits float64
	// hasRequests is set once this entry has had a request of the customer.
	hasRequests bool
	// createdAt is when the bucket was created, filledAt up to when its refill is counted.
	createdAt, filledAt time.Duration
	// isReported is set if the bucket was created, or what is left in it taken over, by a peer's
	// report. First totals of peers, which include use from long ago, do not count until it has
	// settled.
	isReported bool
}

// New returns a limiter for an entry that knows no other entry. limitOf returns the limit of a
// customer that a peer reports, with a zero Rate if it has none or is not known.
func New(limitOf func(customer string) Limit) *Limiter {
	return &Limiter{reachableEntries: 1, knownEntries: 1, buckets: make(map[string]*bucket), peerTotals: make(map[string]map[string]float64), limitOf: limitOf}
}

// SetEntries sets how many entries are known and from how many of them this one receives
// reports, itself included.
func (q *Limiter) SetEntries(reachable, known int) {
	q.knownEntries = max(known, 1)
	q.reachableEntries = min(max(reachable, 1), q.knownEntries)
}

// Take admits a request of n units for a customer or refuses it. If it is refused, wait is
// the time after which it would be admitted if no other request came.
func (q *Limiter) Take(now time.Duration, customer string, l Limit, n float64) (wait time.Duration, ok bool) {
	b := q.bucket(now, customer, l)
	b.hasRequests = true
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
	b.unitsLeft -= n
	b.usedUnits += n
	return 0, true
}

// Return returns the units that Take admitted for a request that was never executed. The
// other entries learn of it with the next total. Otherwise they would treat a customer
// whose requests are refused for lack of capacity as one over its limit.
func (q *Limiter) Return(customer string, n float64) {
	if b := q.buckets[customer]; b != nil {
		b.unitsLeft = min(b.unitsLeft+n, b.limit.Burst)
		b.usedUnits -= n
	}
}

// Total is the number of units that a peer has admitted for a customer and that were not
// returned.
type Total struct {
	Customer string
	Units    float64
}

// MergeTotals records totals of a peer. A total decreases if the peer returned units. A restarted
// peer counts from zero, so Forget must be called first.
func (q *Limiter) MergeTotals(now time.Duration, peer string, totals []Total) {
	known, isKnownPeer := q.peerTotals[peer]
	if !isKnownPeer {
		known = make(map[string]float64)
		q.peerTotals[peer] = known
	}
	for _, t := range totals {
		previous, isKnown := known[t.Customer]
		known[t.Customer] = t.Units
		b := q.reportedBucket(now, t.Customer)
		switch {
		case b == nil || !isKnownPeer && b.isReported && !b.hasSettled(now):
			continue
		case !isKnown && t.Units > b.limit.Burst:
			// A first total may include use from long ago. At most the burst of it still
			// matters.
			t.Units, previous = b.limit.Burst, 0
		}
		b.refill(now, q.reachableShare())
		b.unitsLeft = min(b.unitsLeft-(t.Units-previous), b.limit.Burst)
	}
}

// MergeUnitsLeft records how many units a peer has left for a customer. It has no effect on a bucket
// that has settled.
func (q *Limiter) MergeUnitsLeft(now time.Duration, customer string, unitsLeft float64) {
	b := q.reportedBucket(now, customer)
	if b == nil || b.hasSettled(now) {
		return
	}
	b.isReported = true
	b.refill(now, q.reachableShare())
	b.unitsLeft = min(b.unitsLeft, unitsLeft)
}

func (b *bucket) hasSettled(now time.Duration) bool { return now-b.createdAt > settleTime }

// reportedBucket returns the bucket of a customer that a peer has reported, or nil if the
// customer has no limit.
func (q *Limiter) reportedBucket(now time.Duration, customer string) *bucket {
	if b := q.buckets[customer]; b != nil {
		return b
	}
	l := q.limitOf(customer)
	if l.Rate <= 0 {
		return nil
	}
	b := q.bucket(now, customer, l)
	b.isReported = true
	return b
}

// UnitsLeft calls f with the units left of each customer that has less left than a new bucket holds.
func (q *Limiter) UnitsLeft(now time.Duration, f func(customer string, unitsLeft float64)) {
	for name, b := range q.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		b.refill(now, q.reachableShare())
		if b.unitsLeft < b.limit.Burst*initialBurstShare {
			f(name, b.unitsLeft)
		}
	}
}

// Forget drops the totals of a peer that is gone.
func (q *Limiter) Forget(peer string) { delete(q.peerTotals, peer) }

// PeerTotals calls f with the totals that a peer reported.
func (q *Limiter) PeerTotals(peer string, f func(customer string, total float64)) {
	for name, total := range q.peerTotals[peer] {
		f(name, total)
	}
}

// OwnTotals calls f with this entry's total for each customer that has sent requests to it.
func (q *Limiter) OwnTotals(f func(customer string, total float64)) {
	for name, b := range q.buckets {
		if b.hasRequests {
			f(name, b.usedUnits)
		}
	}
}

func (q *Limiter) reachableShare() float64 {
	return float64(q.reachableEntries) / float64(q.knownEntries)
}

// bucket returns the bucket of a customer and sets its current limit.
func (q *Limiter) bucket(now time.Duration, customer string, l Limit) *bucket {
	b := q.buckets[customer]
	if b == nil {
		b = &bucket{unitsLeft: l.Burst * initialBurstShare, filledAt: now, createdAt: now}
		q.buckets[customer] = b
	}
	b.limit = l
	return b
}

func (b *bucket) refill(now time.Duration, share float64) {
	elapsed := now - b.filledAt
	b.filledAt = now
	if elapsed > 0 {
		b.unitsLeft += b.limit.Rate * share * elapsed.Seconds()
	}
	b.unitsLeft = min(b.unitsLeft, b.limit.Burst*share)
	// Use beyond the limit counts against the customer for no longer than it takes to
	// refill a whole burst.
	b.unitsLeft = max(b.unitsLeft, -b.limit.Burst)
}
