package bound

import (
	"math"
	"time"

	"lycheepond/core/spec"
)

const (
	// longRatio is the ratio to the shortest recent work above which work is
	// long.
	longRatio = 8
	// shortestGrowth is the factor by which the length of the shortest recent
	// work grows with each longer request, so that it adapts when short work
	// becomes longer.
	shortestGrowth = 1.02
	// minSlotsForReserve is the smallest bound at which slots are reserved for
	// short work.
	minSlotsForReserve = 3
	// shortUsageWindow is the time over which the number of slots used by short
	// work is averaged. One slot more than shortHeadroom times that average is
	// reserved.
	shortUsageWindow = 10 * time.Second
	shortHeadroom    = 1.5
	// shortShareWeight is the weight of one dispatch in lengths.shortShare.
	shortShareWeight = 1.0 / 64
	// rareShortShare is the share of short requests in all requests below which
	// only one slot is reserved for them.
	rareShortShare = 0.1
)

// lengths separates long from short work as seen by one tier. It considers only
// work of that tier and of higher tiers, because slots are not reserved for
// lower tiers against higher ones.
type lengths struct {
	// shortest is the cost of the shortest recent work, or zero before there
	// was any.
	shortest time.Duration
	// shortShare is the recent share of short requests in all dispatched
	// requests.
	shortShare float64
}

func (l *lengths) isLong(cost time.Duration) bool {
	return l.shortest > 0 && cost > longRatio*l.shortest
}

// learn updates the lengths with the cost of a dispatched request.
func (l *lengths) learn(cost time.Duration) {
	if cost <= 0 {
		return
	}
	switch {
	case l.shortest == 0:
		l.shortest = cost
		l.shortShare = 1
	case cost < l.shortest:
		l.shortest += (cost - l.shortest) / 2
	default:
		l.shortest = min(cost, time.Duration(float64(l.shortest)*shortestGrowth))
	}
	l.shortShare += (indicator(!l.isLong(cost)) - l.shortShare) * shortShareWeight
}

// maxReservedShares holds, for each tier, the maximum share of the slots that
// long work of the tier leaves to short work. The share is larger for lower
// tiers: long work that has begun can't be refused any more and occupies its
// slot for a long time when a burst of higher tiers arrives. Long work of the
// highest tier leaves only one slot.
var maxReservedShares = [spec.Tiers]float64{0, 1.0 / 4, 1.0 / 3, 1.0 / 2}

// reservedSlots returns how many of limit slots long work of a tier leaves
// free. shortSlots is the average number of slots that short work uses.
func (l *lengths) reservedSlots(limit int, tier uint8, shortSlots float64) int {
	if limit < minSlotsForReserve {
		return 0
	}
	if l.shortShare < rareShortShare {
		return 1
	}
	maxReserved := math.Ceil(float64(limit) * maxReservedShares[min(tier, spec.Tiers-1)])
	return int(max(min(maxReserved, math.Round(shortSlots*shortHeadroom)+1), 1))
}

// slotUsage averages the number of slots that short work uses. The average
// starts at initialShortSlots.
type slotUsage struct {
	average    float64
	started    bool
	lastUpdate time.Duration
}

func (u *slotUsage) observe(now time.Duration, shortCount int) {
	if !u.started {
		u.started, u.average, u.lastUpdate = true, initialShortSlots, now
	}
	weight := 1 - math.Exp(-(now-u.lastUpdate).Seconds()/shortUsageWindow.Seconds())
	u.average += (float64(shortCount) - u.average) * weight
	u.lastUpdate = now
}

// initialShortSlots is the assumed number of slots used by short work before
// any time has passed.
const initialShortSlots = 16
