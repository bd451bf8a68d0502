package resv

import (
	"math"
	"time"
)

const (
	// maxLateWaitTargets is the longest wait in the queue of late work in multiples of the
	// target. With one target, many more returns are refused right after a crowd; with more,
	// more callers wait in vain during one.
	maxLateWaitTargets = 2
	// maxWaitShare is the largest share of the time that a caller has left, after the expected
	// duration of the answer, that may be spent waiting. The rest covers estimates that are
	// too short.
	maxWaitShare = 0.8
	// minQueueTime is the time within which the slots that become free are enough for the
	// queue, however little late work was placed recently. It keeps the queue from staying
	// empty when there is room again.
	minQueueTime = 250 * time.Millisecond
	// reservedShare is the share of the usable slots that late work leaves free, so that a
	// request within its target finds one at once.
	reservedShare = 0.02
	// minReservingSlots is the number of usable slots from which at least one stays free. In a
	// smaller shard that slot would be a large share of its room.
	minReservingSlots = 8
	// rateWindow is the time constant of a Rate.
	rateWindow = time.Second
)

// Late describes a request that would wait in the queue of late work.
type Late struct {
	// Ahead is how many requests are ahead of it, PlacedPerSecond the rate at which late work
	// was placed in the last second.
	Ahead           int
	PlacedPerSecond float64
	// SlotInterval is the average time between two slots becoming free, zero if it is not
	// known.
	SlotInterval time.Duration
	// Target is the request's target.
	Target time.Duration
	// NeedsRate is set if the request is to wait only if late work was placed recently: a
	// caller that returned soon and finds no slot is in the same crowd as before.
	NeedsRate bool
	// TimeLeft is the time until the caller leaves, HoldTime the expected duration of the
	// answer.
	TimeLeft, HoldTime time.Duration
}

// MaxWait returns the longest time for which the request may wait, zero if it should be refused
// at once because it would probably wait in vain.
func (l Late) MaxWait() time.Duration {
	wait := min(time.Duration(maxWaitShare*float64(l.TimeLeft-l.HoldTime)), maxLateWaitTargets*l.Target)
	switch {
	case wait <= 0:
		return 0
	case l.expectedWait() <= wait:
		return wait
	case !l.NeedsRate && (l.Ahead == 0 || l.SlotInterval > 0 && time.Duration(l.Ahead)*l.SlotInterval < minQueueTime):
		return wait
	}
	return 0
}

// expectedWait returns the time in which the requests ahead would be placed at the recent rate.
func (l Late) expectedWait() time.Duration {
	if l.PlacedPerSecond*rateWindow.Seconds() < 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(l.Ahead) / l.PlacedPerSecond * float64(time.Second))
}

// LateRoom returns how many slots late work may take of a shard's usable and free slots.
func LateRoom(usableSlots, freeSlots int) int {
	reserved := int(reservedShare * float64(usableSlots))
	if usableSlots >= minReservingSlots {
		reserved = max(reserved, 1)
	}
	return max(freeSlots-reserved, 0)
}

// Rate measures how many events per second there were recently. The zero value has seen none.
type Rate struct {
	perSecond float64
	at        time.Duration
}

// Add counts an event.
func (r *Rate) Add(now time.Duration) {
	r.perSecond = r.PerSecond(now) + 1/rateWindow.Seconds()
	r.at = max(r.at, now)
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(max(now-r.at, 0))/float64(rateWindow))
}
