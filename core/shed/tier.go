package shed

import (
	"math"
	"time"
)

const (
	// initialMargin is the first value of tier.margin, the part of a target
	// that the predicted wait may use; minMargin and maxMargin bound it.
	initialMargin, minMargin, maxMargin = 0.7, 0.3, 0.9
	// marginStepUp is added to the margin for each request that met its target,
	// marginStepDown is subtracted for each late one. The margin is in balance
	// when 3 in 100 are late.
	marginStepUp, marginStepDown = 0.0003, 0.01
	// arrivalWindow is the decay time of the arrival rate.
	arrivalWindow = 4 * time.Second
	// minRateAge is the minimum time over which the arrival rate is computed. A
	// rate below negligibleRate, in seconds per second, is measured from the
	// start again.
	minRateAge     = 500 * time.Millisecond
	negligibleRate = 1e-6
	// bucketCount is the number of buckets by size of backlog. Each bucket
	// covers twice the size of the one before; the first ends at
	// minBucketSeconds.
	bucketCount      = 40
	minBucketSeconds = 0.001
)

// backlog is the waiting work of one customer in a tier: its sum in estimated
// seconds, the number of requests, and its bucket in tier.buckets.
type backlog struct {
	work   float64
	count  int
	bucket int
}

// tier is the backlog of one tier at this entry.
type tier struct {
	// backlogs holds the customers with waiting work, so its size is bounded by
	// the number of waiting requests.
	backlogs     map[string]*backlog
	freeBacklogs []*backlog
	// work is the sum of all backlogs in seconds.
	work float64
	// buckets sums up the customers' backlogs by their size.
	buckets [bucketCount]struct {
		count int
		work  float64
	}
	// margin is the part of a target that the predicted wait may use.
	margin float64
	// drain measures the rate at which work of this tier starts while some of
	// it waits.
	drain drainRate
	// arrivalRate is the rate of admitted work in seconds per second as of
	// lastArrival, from which it decays. Its measurement began at rateSince.
	arrivalRate            float64
	lastArrival, rateSince time.Duration
	// refusedWork is the refused work that is expected to return, in seconds,
	// less the work that the pool could have run since it was added up. It is
	// as of refusedAt.
	refusedWork float64
	refusedAt   time.Duration
}

func newTier() tier {
	return tier{backlogs: make(map[string]*backlog), margin: initialMargin}
}

func bucketOf(work float64) int {
	if work <= minBucketSeconds {
		return 0
	}
	_, exp := math.Frexp(work / minBucketSeconds)
	return min(exp, bucketCount-1)
}

func (t *tier) add(now time.Duration, customer string, work float64) {
	b := t.backlogs[customer]
	if b == nil {
		b = t.newBacklog()
		t.backlogs[customer] = b
	}
	t.updateBacklog(b, work, 1)
	if t.arrivalRate < negligibleRate {
		t.arrivalRate, t.rateSince = 0, now
	}
	t.arrivalRate = t.decayedRate(now) + work/arrivalWindow.Seconds()
	t.lastArrival = now
}

func (t *tier) newBacklog() *backlog {
	last := len(t.freeBacklogs) - 1
	if last < 0 {
		return new(backlog)
	}
	b := t.freeBacklogs[last]
	t.freeBacklogs = t.freeBacklogs[:last]
	*b = backlog{}
	return b
}

// updateBacklog adds work, in seconds, and a number of requests to a backlog
// and moves it to its bucket. Both may be negative.
func (t *tier) updateBacklog(b *backlog, work float64, count int) {
	if b.count > 0 {
		t.buckets[b.bucket].count--
		t.buckets[b.bucket].work -= b.work
	}
	b.count += count
	b.work = max(b.work+work, 0)
	t.work = max(t.work+work, 0)
	if b.count <= 0 {
		return
	}
	b.bucket = bucketOf(b.work)
	t.buckets[b.bucket].count++
	t.buckets[b.bucket].work += b.work
}

// remove removes a waiting request and reports whether the customer had any.
func (t *tier) remove(customer string, work float64) bool {
	b := t.backlogs[customer]
	if b == nil {
		return false
	}
	t.updateBacklog(b, -work, -1)
	if b.count > 0 {
		return true
	}
	// The rest of the backlog is the rounding error of many additions.
	t.work = max(t.work-b.work, 0)
	delete(t.backlogs, customer)
	t.freeBacklogs = append(t.freeBacklogs, b)
	if len(t.backlogs) == 0 {
		t.work = 0
		clear(t.buckets[:])
	}
	return true
}

// workAhead returns the work of the tier, in seconds, that runs before another
// request of the customer: all waiting work of the customer, and of every other
// customer at most as much as this one will have been served by then.
func (t *tier) workAhead(customer string, work float64) float64 {
	own := 0.0
	if b := t.backlogs[customer]; b != nil {
		own = b.work
	}
	share := own + work
	sum := 0.0
	for i := range t.buckets {
		bucket := &t.buckets[i]
		if bucket.count > 0 {
			sum += min(bucket.work, float64(bucket.count)*share)
		}
	}
	// The customer itself is included with its whole backlog.
	return sum
}

// decayedRate returns arrivalRate decayed to now.
func (t *tier) decayedRate(now time.Duration) float64 {
	return t.arrivalRate * math.Exp(-(now-t.lastArrival).Seconds()/arrivalWindow.Seconds())
}

// currentArrivalRate returns the rate of admitted work in seconds per second.
// It corrects for the short time since the first arrival: the decayed sum alone
// would contain only a part of the rate, and lower tiers would be admitted into
// capacity that this tier is about to use.
func (t *tier) currentArrivalRate(now time.Duration) float64 {
	if t.arrivalRate == 0 {
		return 0
	}
	age := max(now-t.rateSince, minRateAge)
	return t.decayedRate(now) / (1 - math.Exp(-age.Seconds()/arrivalWindow.Seconds()))
}

// addRefused adds refused work and returns the work that was refused before it
// and is still expected to return.
func (t *tier) addRefused(now time.Duration, work, rate float64) float64 {
	t.refusedWork = max(t.refusedWork-(now-t.refusedAt).Seconds()*rate, 0)
	t.refusedAt = now
	pending := t.refusedWork
	t.refusedWork += work
	return pending
}

// adjustMargin corrects the margin after a request ended.
func (t *tier) adjustMargin(onTime bool) {
	if onTime {
		t.margin = min(t.margin+marginStepUp, maxMargin)
		return
	}
	t.margin = max(t.margin-marginStepDown, minMargin)
}
