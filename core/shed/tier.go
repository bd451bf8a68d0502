package shed

import (
	"math"
	"time"
)

const (
	// startMargin is the part of a target that the predicted wait may take at
	// the start; leastMargin and mostMargin bound it.
	startMargin, leastMargin, mostMargin = 0.7, 0.3, 0.9
	// marginUp and marginDown are its steps for an answer within target and
	// for a late one: it stands still when 3 in 100 are late.
	marginUp, marginDown = 0.0003, 0.01
	// arrivingFor is how long arrivals count as the present rate.
	arrivingFor = 4 * time.Second
	// leastAge is the least time that a rate is taken over, and idleRate the
	// rate below which it is measured anew.
	leastAge = 500 * time.Millisecond
	idleRate = 1e-6
	// buckets is the number of sizes of backlog told apart, each twice the one
	// before, and leastBacklog the first in seconds.
	buckets      = 40
	leastBacklog = 0.001
)

// account is what a customer has waiting in a tier.
type account struct {
	work   float64
	count  int
	bucket int
}

// tier is the backlog of one tier at this entry.
type tier struct {
	// accounts holds the customers that have work waiting, so its size is
	// bounded by the backlog.
	accounts map[string]*account
	spare    []*account
	// work is the sum of all accounts in seconds.
	work float64
	// sizes sums the accounts up by the size of their backlog.
	sizes [buckets]struct {
		count int
		work  float64
	}
	// margin is the part of a target that the predicted wait may take.
	margin float64
	// drain measures what of this tier is started while it waits.
	drain drain
	// rate is the admitted work that arrives, in seconds a second, decayed
	// since seen; it began to be measured at begun.
	rate        float64
	seen, begun time.Duration
	// away is the refused work that will come back, less what could have run
	// since awayAt.
	away   float64
	awayAt time.Duration
}

func newTier() tier {
	return tier{accounts: make(map[string]*account), margin: startMargin}
}

func bucketOf(work float64) int {
	if work <= leastBacklog {
		return 0
	}
	_, exp := math.Frexp(work / leastBacklog)
	return min(exp, buckets-1)
}

func (t *tier) add(now time.Duration, customer string, work float64) {
	a := t.accounts[customer]
	if a == nil {
		a = t.account()
		t.accounts[customer] = a
	}
	t.move(a, work, 1)
	if t.rate < idleRate {
		t.rate, t.begun = 0, now
	}
	t.rate = t.decayed(now) + work/arrivingFor.Seconds()
	t.seen = now
}

func (t *tier) account() *account {
	last := len(t.spare) - 1
	if last < 0 {
		return new(account)
	}
	a := t.spare[last]
	t.spare = t.spare[:last]
	*a = account{}
	return a
}

// move changes an account and its place in sizes.
func (t *tier) move(a *account, work float64, count int) {
	if a.count > 0 {
		t.sizes[a.bucket].count--
		t.sizes[a.bucket].work -= a.work
	}
	a.count += count
	a.work = max(a.work+work, 0)
	t.work = max(t.work+work, 0)
	if a.count <= 0 {
		return
	}
	a.bucket = bucketOf(a.work)
	t.sizes[a.bucket].count++
	t.sizes[a.bucket].work += a.work
}

// remove takes work out and reports whether the customer had any.
func (t *tier) remove(customer string, work float64) bool {
	a := t.accounts[customer]
	if a == nil {
		return false
	}
	t.move(a, -work, -1)
	if a.count > 0 {
		return true
	}
	// What is left is the rounding of many sums.
	t.work = max(t.work-a.work, 0)
	delete(t.accounts, customer)
	t.spare = append(t.spare, a)
	if len(t.accounts) == 0 {
		t.work = 0
		clear(t.sizes[:])
	}
	return true
}

// ahead returns the work of the tier that runs before a further request of the
// customer: all that the customer has waiting, and of every other one at most
// as much as this one will have been served by then.
func (t *tier) ahead(customer string, work float64) float64 {
	own := 0.0
	if a := t.accounts[customer]; a != nil {
		own = a.work
	}
	share := own + work
	sum := 0.0
	for i := range t.sizes {
		s := &t.sizes[i]
		if s.count > 0 {
			sum += min(s.work, float64(s.count)*share)
		}
	}
	// sum counted the customer itself too, with all it has waiting.
	return sum
}

func (t *tier) decayed(now time.Duration) float64 {
	return t.rate * math.Exp(-(now-t.seen).Seconds()/arrivingFor.Seconds())
}

// arriving returns the work that is admitted in seconds a second. Soon after
// the tier's work began to arrive the decayed sum holds only a part of it, and
// lower tiers would be admitted to room that the tier is about to take.
func (t *tier) arriving(now time.Duration) float64 {
	if t.rate == 0 {
		return 0
	}
	age := max(now-t.begun, leastAge)
	return t.decayed(now) / (1 - math.Exp(-age.Seconds()/arrivingFor.Seconds()))
}

// turnAway adds refused work and returns what was refused before it and has
// not had its turn.
func (t *tier) turnAway(now time.Duration, work, rate float64) float64 {
	t.away = max(t.away-(now-t.awayAt).Seconds()*rate, 0)
	t.awayAt = now
	before := t.away
	t.away += work
	return before
}

func (t *tier) ended(within bool) {
	if within {
		t.margin = min(t.margin+marginUp, mostMargin)
		return
	}
	t.margin = max(t.margin-marginDown, leastMargin)
}
