// Package quota bounds what each customer uses over all entries together.
//
// The load it answers is one customer that sends many times its usual through
// every entry at once. An entry that counted only for itself would let through
// as many limits as there are entries; one that took a fixed share would refuse
// a customer whose connections all land on one entry. So every entry counts its
// own use and takes in the totals that the others tell it several times a
// second, and all fill and drain the same bucket in effect.
//
// An entry that does not hear from k of n others cannot know what they admit.
// It then admits the heard share of the limit, as the unheard ones do with
// theirs, so that the sum stays within the limit while the network is parted.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package quota

import "time"

// startShare is the part of a burst that a new bucket holds: all entries may
// start at once, and with whole bursts a customer would get one each time.
const startShare = 0.5

// shortestWait is the least time that a refused caller is told to wait: the
// time in which entries hear of each other. Each caller is told the same: later
// times for later callers leave free what the limit earns meanwhile, 2 to 4 in
// 100 of what the callers could have (two calm days, one run each).
const shortestWait = 30 * time.Millisecond

// Limit is what one customer may use.
type Limit struct {
	// Rate is in units a second, Burst in units. A zero Rate means no limit.
	Rate, Burst float64
}

// Tolerance is by how much the use of a customer may exceed its limit, all
// entries together.
type Tolerance struct {
	// Over is a share of the limit, Slack a number of units on top.
	Over, Slack float64
}

// toleranceShare is the part of the tolerance that is given to customers. Work
// within the limit that is refused is lost, work a little beyond it does no
// harm, and what the entries count differs from what the operator counts at the
// edges of time windows. The other part is for what entries admit before they
// have heard of each other.
const toleranceShare = 0.5

// With returns the limit up to which requests are admitted.
func (l Limit) With(t Tolerance) Limit {
	if l.Rate <= 0 {
		return l
	}
	return Limit{Rate: l.Rate * (1 + toleranceShare*t.Over), Burst: l.Burst + toleranceShare*t.Slack}
}

// Book counts the use of all customers.
type Book struct {
	// heard and known count entries, this one included; heard is at most known.
	heard, known int
	buckets      map[string]*bucket
	// peers holds the last total of each customer that a peer told.
	peers map[string]map[string]float64
}

type bucket struct {
	limit Limit
	// level is at most the burst; it falls below zero when peers used more
	// than was known here.
	level float64
	// used is the total that this entry admitted and that was not returned.
	used   float64
	filled time.Duration
}

// New returns an empty book of an entry that knows no other.
func New() *Book {
	return &Book{heard: 1, known: 1, buckets: make(map[string]*bucket), peers: make(map[string]map[string]float64)}
}

// Reach says from how many of the known entries this one hears, itself included.
func (b *Book) Reach(heard, known int) {
	b.known = max(known, 1)
	b.heard = min(max(heard, 1), b.known)
}

// Take admits n units for a customer or refuses them. When it refuses, wait is
// the time after which it would be admitted if nothing else came.
func (b *Book) Take(now time.Duration, customer string, l Limit, n float64) (wait time.Duration, ok bool) {
	k := b.bucket(now, customer, l)
	if l.Rate <= 0 {
		k.used += n
		return 0, true
	}
	share := b.share()
	k.fill(now, share)
	// Whatever its size, a request is admitted while anything is left; what it
	// takes beyond is paid back before the next. If it had to find room for its
	// whole size, the small requests of a customer at its limit would take each
	// unit as it comes, and the large ones would never run.
	if k.level <= 0 {
		return shortestWait + time.Duration(-k.level/(l.Rate*share)*float64(time.Second)), false
	}
	k.level -= n
	k.used += n
	return 0, true
}

// Return gives back what Take admitted for a request that never ran. The other
// entries learn of it with the next total: without that a customer whose
// requests are refused for want of room would be taken for one over its limit
// at every entry but the one that refused them.
func (b *Book) Return(customer string, n float64) {
	if k := b.buckets[customer]; k != nil {
		k.level = min(k.level+n, k.limit.Burst)
		k.used -= n
	}
}

// Told takes in a peer's total for a customer, which falls when the peer gave
// something back. A peer that started again counts from zero; Forget comes first
// then.
func (b *Book) Told(peer, customer string, total float64) {
	totals := b.peers[peer]
	if totals == nil {
		totals = make(map[string]float64)
		b.peers[peer] = totals
	}
	before, known := totals[customer]
	totals[customer] = total
	k := b.buckets[customer]
	if k == nil {
		return
	}
	if !known && total > k.limit.Burst {
		// The total of a peer that was not heard before tells of use long ago;
		// the burst is the most of it that can still matter.
		total, before = k.limit.Burst, 0
	}
	k.level = min(k.level-(total-before), k.limit.Burst)
}

// Forget drops the totals of a peer that is gone.
func (b *Book) Forget(peer string) { delete(b.peers, peer) }

// TotalsOf calls f with the totals that a peer told.
func (b *Book) TotalsOf(peer string, f func(customer string, total float64)) {
	for name, total := range b.peers[peer] {
		f(name, total)
	}
}

// Totals calls f with the total of each customer that asked for anything here.
func (b *Book) Totals(f func(customer string, total float64)) {
	for name, k := range b.buckets {
		f(name, k.used)
	}
}

func (b *Book) share() float64 { return float64(b.heard) / float64(b.known) }

// bucket returns the bucket of a customer with the limit in force.
func (b *Book) bucket(now time.Duration, customer string, l Limit) *bucket {
	k := b.buckets[customer]
	if k == nil {
		k = &bucket{level: l.Burst * startShare, filled: now}
		b.buckets[customer] = k
	}
	k.limit = l
	return k
}

func (k *bucket) fill(now time.Duration, share float64) {
	passed := now - k.filled
	k.filled = now
	if passed > 0 {
		k.level += k.limit.Rate * share * passed.Seconds()
	}
	k.level = min(k.level, k.limit.Burst*share)
	// What peers used beyond the limit is not held against the customer for
	// longer than the time in which a whole burst is earned again.
	k.level = max(k.level, -k.limit.Burst)
}
