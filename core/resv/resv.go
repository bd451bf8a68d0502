// Package resv decides when a request that finds no room should return, and keeps bookings
// of the callers that were told to.
//
// Without a plan, all callers refused during a crowd return at about the same time and meet
// the same crowd again, while slots are idle as soon as it is over. Here each refused caller
// is told one of three things: to return soon, because requests of its class are often
// served; to return as late as its deadline allows, after the crowd; or not to return,
// because the room until its deadline is booked already. A caller that returns when told is
// recognised by the fingerprint of its request. If its target has passed by then, it is late
// work, which takes only the room that requests within their targets leave.
//
// The package uses no network, clock or random source. Times are durations since any fixed
// moment.
package resv

import "time"

// Plan is what a refused caller is told about its return.
type Plan uint8

// The plans. Their values are part of the protocol between entries.
const (
	// Unplanned means that no owner of a shard has made a plan.
	Unplanned Plan = iota
	// Soon means that the caller can still meet its target if it returns shortly.
	Soon
	// Later means that the caller should return at the latest time that its deadline allows.
	Later
	// None means that there will be no room before the deadline.
	None
)

var planNames = [...]string{"", "soon", "later", "none"}

// String returns the plan as logs spell it.
func (p Plan) String() string {
	if int(p) >= len(planNames) {
		return "unknown"
	}
	return planNames[p]
}

// IsBooked reports whether the caller is expected back.
func (p Plan) IsBooked() bool { return p == Soon || p == Later }

const (
	// minSoonRate is the rate at which a class must have been served for its callers to return
	// soon. Below it, most of them would be refused again.
	minSoonRate = 0.3
	// honouredShare is the largest share of the time left until its deadline for which a
	// caller waits before it returns.
	honouredShare = 1.0 / 3
)

// Refusal is what the owner of a shard knows about a request that it cannot place now.
type Refusal struct {
	// ServedRate is the fraction of the latest requests of the class that were served.
	ServedRate float64
	// RetryAfter is the expected time until there is room for a request of the class.
	RetryAfter time.Duration
	// UntilTarget is the time left until the request must be placed to meet its target,
	// TimeLeft the time until its deadline.
	UntilTarget, TimeLeft time.Duration
	// SlotInterval is the average time between two slots of the shard becoming free, zero if
	// it is not known.
	SlotInterval time.Duration
	// Booked is how many requests of the same or a higher tier are booked for later, BookedThen
	// how many of them for about LatestReturn. SoonThen is how many of them were told to return
	// soon, at about the same time as this one would be.
	Booked, BookedThen, SoonThen int
}

// LatestReturn returns the longest time after which a caller returns that has timeLeft until its
// deadline.
func LatestReturn(timeLeft time.Duration) time.Duration {
	return time.Duration(honouredShare * float64(timeLeft))
}

// Decide returns the plan for a refused request and, unless that is None, the time after which
// the caller should return. No more callers are booked than the shard frees slots, neither until
// the deadline nor in the interval of the return.
func Decide(r Refusal) (plan Plan, wait time.Duration) {
	latest := LatestReturn(r.TimeLeft)
	switch {
	case r.ServedRate >= minSoonRate && r.RetryAfter < r.UntilTarget && r.RetryAfter <= latest && time.Duration(r.SoonThen)*r.SlotInterval < soonInterval:
		return Soon, r.RetryAfter
	case latest <= 0 || time.Duration(r.Booked)*r.SlotInterval > r.TimeLeft || time.Duration(r.BookedThen)*r.SlotInterval > dueInterval:
		return None, 0
	}
	return Later, latest
}
