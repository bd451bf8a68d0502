// Package admit decides, at the entry that accepted a request, which endpoint the request
// is sent to now, if any.
//
// Admission control is needed when more work arrives than the endpoints can start in time.
// Engines know no priorities and serve requests in order of arrival, so a request sent to a
// full engine delays every later one. Without admission control, queues grow until every
// answer is late, including those of the highest tier. For each endpoint, the package
// predicts the time to the first event from the work that all entries have in flight there.
// It admits a request only if that time is within the request's target and the wait for a
// slot is within a share of the target. Higher tiers have a larger share, so as queues
// grow, the lowest tier is refused first and leaves its room to the higher ones. A request
// refused only because of the wait may be queued at the entry (package waitq).
//
// The package uses no network, clock or random source.
package admit

import "time"

// Endpoint is what the entry knows about one endpoint when it places a request.
type Endpoint struct {
	// SameZone is set if the endpoint is in the entry's own availability zone.
	SameZone bool
	// Usable is false if the endpoint failed recently or is silent.
	Usable bool
	// Slots is the number of requests that the endpoint serves at once.
	Slots int
	// Requests, PromptTokens and OutputTokens sum up the unfinished work that all entries
	// have sent to the endpoint: the number of requests, the prompt tokens of those without
	// a first event, and the output tokens still expected.
	Requests, PromptTokens, OutputTokens int
	// KVTokensNeeded is the memory, in tokens, that those requests will need; KVTokens is
	// the engine's total. Zero means unknown.
	KVTokensNeeded, KVTokens int
	Pace                     Pace
	// Slowdown is how many times as long as Pace says work takes at the endpoint at this
	// moment, at least one. It decays as speed.Stretch assumes. Zero means that the endpoint
	// has stated none.
	Slowdown float64
	// Bias is a number from 0 to 1 that differs between entries. The smaller it is, the
	// more this entry prefers the endpoint.
	Bias float64
	// RestLeft is the time for which the endpoint must get no requests because it has asked
	// for a rest.
	RestLeft time.Duration
	// NoConnection is set if the entry that sends the request has no connection to the endpoint
	// left.
	NoConnection bool
	// YieldSlots is set if free slots at the endpoint are left to requests that wait at
	// other entries.
	YieldSlots bool
	RateLimit
}

// RateLimit is a limit on the rate of requests to an endpoint. The zero RateLimit means no
// limit.
type RateLimit struct {
	// Limited is set if the endpoint accepts at most RequestsPerSecond requests per second.
	// AllowedNow is the number of requests that may be sent now. If it is zero,
	// NextAllowedIn is the time until the next one may be sent.
	Limited           bool
	RequestsPerSecond float64
	AllowedNow        int
	NextAllowedIn     time.Duration
}

// Pace describes how fast an endpoint works.
type Pace struct {
	// FirstEvent is the time to the first event of a request without a prompt at an
	// endpoint with free slots. For a plain service it is the time to the whole answer.
	FirstEvent time.Duration
	// PerPromptToken and PerOutputToken are the times for each token of the prompt and of
	// the output.
	PerPromptToken, PerOutputToken time.Duration
	// WaitFactor scales the predicted wait for a slot; zero means one. The lengths of
	// answers vary widely, and the short ones among the requests ahead free their slots
	// long before the average one does.
	WaitFactor float64
}

// Request is what placement needs to know about a request.
type Request struct {
	// TierRank is the index of the request's tier among the tiers in use, zero for the
	// highest.
	TierRank int
	// TierCount is the number of tiers in use.
	TierCount int
	// PromptTokens and OutputTokens are zero for plain services.
	PromptTokens, OutputTokens int
	// Target is the time within which the first event of such a request is wanted.
	// UntilTarget is the part of it that is left. UntilDeadline is the time left until the
	// answer must be complete.
	Target, UntilTarget, UntilDeadline time.Duration
	// AvoidEndpoint is the index of an endpoint where this request has failed, or -1.
	AvoidEndpoint int
	// OthersFirst is set if other queued requests must be served before this one.
	OthersFirst bool
	// ExactCounts is set if the caller of Decide counts all requests at the endpoints as
	// they start and end, and knows all requests that wait for them.
	ExactCounts bool
	// leastDelay is the least delay of the first event at any usable endpoint because of a
	// momentary slowdown.
	leastDelay time.Duration
}

// Decision is the outcome of Decide.
type Decision struct {
	// Endpoint is the index of the endpoint to send the request to, or -1 if it is refused.
	Endpoint int
	// FirstEvent is the predicted time to the first event at the best endpoint. SlotWait is
	// the part of it spent waiting for a slot.
	FirstEvent, SlotWait time.Duration
	// RetryAfter is the time until there should be room for a refused request.
	RetryAfter time.Duration
	// SlotInterval is, for a refused request, the average time between two slots becoming
	// free, over all endpoints.
	SlotInterval time.Duration
	// RestWait is, for a refused request, the time until the first endpoint ends its rest,
	// if all usable endpoints rest.
	RestWait time.Duration
	Reason   Reason
}

// Reason says why a request was refused.
type Reason uint8

// Reasons.
const (
	Admitted Reason = iota
	// NoEndpoint means that no endpoint is known or usable.
	NoEndpoint
	// Full means that the request would wait too long for a slot, because of the rate limit,
	// for a connection or for the end of a rest, or that it has to leave free slots to other
	// requests.
	Full
	// Late means that the first event would come too late.
	Late
	// TooLong means that the answer would not be complete in the time left.
	TooLong
)

var reasonNames = [...]string{"admitted", "no endpoint", "full", "late", "too long"}

// String returns the reason as it appears in logs.
func (r Reason) String() string { return reasonNames[r] }

const (
	// topTierWaitShare and lowestTierWaitShare are the longest predicted waits in an
	// engine's queue, as shares of the target, for the highest and the lowest tier in use.
	// The tiers between them are at even steps. A request in an engine's queue delays all
	// later requests of any tier and cannot be taken back, so longer waits are spent at the
	// entries, which queue by tier.
	topTierWaitShare    = 0.2
	lowestTierWaitShare = 0.05
	// topTierExactWaitShare and lowestTierExactWaitShare apply instead with exact counts. A
	// free slot is then known at once, so an engine's queue only has to cover the time that
	// a request takes to get there.
	topTierExactWaitShare    = 0.1
	lowestTierExactWaitShare = 0.02
	// statedWaitShare is the part of these shares that applies to an endpoint that states its
	// slowdown. Its speed changes while requests wait there. In the replay of uneven endpoints
	// (entry/direct) the 99th percentile of the time to the first event is 322 ms with the whole
	// shares and 257 ms with half of them, with as many requests in time.
	statedWaitShare = 0.5
	// maxExactLoad is the largest number of requests at an endpoint with exact counts, in
	// multiples of its slots. Waits are learned from requests whose wait has ended, the
	// short ones first, so predicted waits are too short at the start of a burst.
	maxExactLoad = 2
	// maxDelayShare is the longest delay of the first event by a momentary slowdown, as a share
	// of the target, at which a request is sent to an endpoint that is not mostly free. Slots at
	// a slowed endpoint do little work, so leaving them empty until the slow spell ends costs
	// less than first events at the end of their target.
	maxDelayShare = 0.2
	// minOutputShare is the share of the predicted output time that an answer is assumed to
	// need at least. The pace is learned at the usual load, and output estimates are often
	// too long.
	minOutputShare = 0.5
	// outputWeight is the weight of the output time against the time to the first event
	// when endpoints are compared. Slow endpoints hold their slots longer.
	outputWeight = 0.1
	// crossZoneCost is added for endpoints in other availability zones, because traffic
	// between zones is billed. It decides between endpoints that are otherwise about equal.
	crossZoneCost = 30 * time.Millisecond
	// maxBiasCost, scaled by the entry's bias, is added once half of an endpoint's slots
	// are taken. It is the largest wait that a bias can outweigh. All entries learn of a
	// free slot at the same time, and without a bias all of them would send a request
	// there.
	maxBiasCost = 60 * time.Millisecond
	// minRetryAfter is several times the delay with which entries learn of each other's
	// state, and only a part of the usual targets, so a caller refused during a short peak
	// can still be served in time.
	minRetryAfter = 100 * time.Millisecond
	// noEndpointRetryAfter is used when no endpoint is usable. A failed endpoint is probed
	// again within this time.
	noEndpointRetryAfter = 500 * time.Millisecond
)

// Decide chooses an endpoint for a request or refuses it.
func Decide(r Request, endpoints []Endpoint) Decision {
	skipUnusable := anyUsable(r, endpoints)
	r.leastDelay = leastDelay(r, endpoints)
	var cheapest, cheapestRefused, firstRested candidate
	for i := range endpoints {
		e := &endpoints[i]
		if i == r.AvoidEndpoint && len(endpoints) > 1 || skipUnusable && !e.Usable {
			continue
		}
		c := e.evaluate(r)
		c.endpoint = i
		switch {
		case e.RestLeft > 0:
			firstRested.keepCheaper(candidate{set: true, cost: e.RestLeft, firstEvent: e.RestLeft + c.firstEvent, slotWait: e.RestLeft + c.slotWait})
		case c.reason == Admitted:
			cheapest.keepCheaper(c)
		default:
			cheapestRefused.keepCheaper(c)
		}
	}
	switch {
	case cheapest.set:
		return Decision{Endpoint: cheapest.endpoint, FirstEvent: cheapest.firstEvent, SlotWait: cheapest.slotWait}
	case !cheapestRefused.set && firstRested.set:
		return Decision{
			Endpoint: -1, FirstEvent: firstRested.firstEvent, SlotWait: firstRested.slotWait, RetryAfter: max(firstRested.cost, minRetryAfter), SlotInterval: slotInterval(endpoints),
			RestWait: firstRested.cost, Reason: Full,
		}
	case !cheapestRefused.set:
		return Decision{Endpoint: -1, RetryAfter: noEndpointRetryAfter, Reason: NoEndpoint}
	}
	return Decision{
		Endpoint: -1, FirstEvent: cheapestRefused.firstEvent, SlotWait: cheapestRefused.slotWait, RetryAfter: max(cheapestRefused.excess, minRetryAfter),
		SlotInterval: slotInterval(endpoints), Reason: cheapestRefused.reason,
	}
}

// candidate is the predicted result of sending a request to one endpoint.
type candidate struct {
	// set is false only in the zero value.
	set      bool
	endpoint int
	// cost orders candidates; the lowest is best.
	cost                 time.Duration
	firstEvent, slotWait time.Duration
	// reason says why the request is not sent there. excess is how much the prediction
	// exceeds the limit.
	reason Reason
	excess time.Duration
}

func (c *candidate) keepCheaper(o candidate) {
	if !c.set || o.cost < c.cost {
		*c = o
	}
}

// evaluate predicts the result of sending r to the endpoint.
func (e *Endpoint) evaluate(r Request) candidate {
	first := e.usualFirstEvent(r)
	c := candidate{set: true, firstEvent: e.stretch(first), slotWait: e.stretch(e.slotWait(r))}
	output := time.Duration(r.OutputTokens) * e.Pace.PerOutputToken
	if e.Slowdown > 1 {
		output = e.stretch(first+output) - c.firstEvent
	}
	c.cost = c.firstEvent + e.extraCost(output)
	mostlyFree := !r.OthersFirst && e.mostlyFree()
	if e.NoConnection {
		c.reason, c.excess = Full, c.slotWait
		return c
	}
	if e.Limited && e.AllowedNow <= 0 {
		c.reason, c.excess, c.slotWait = Full, e.NextAllowedIn, max(c.slotWait, e.NextAllowedIn)
		return c
	}
	if r.ExactCounts && e.Requests >= maxExactLoad*max(e.Slots, 1) {
		c.reason, c.excess = Full, c.slotWait
		return c
	}
	if excess := c.slotWait - e.maxSlotWait(r); r.OthersFirst || (excess > 0 || e.YieldSlots) && !mostlyFree {
		c.reason, c.excess = Full, excess
		return c
	}
	if delay := c.firstEvent - first - r.leastDelay; delay > scale(r.Target, maxDelayShare) && !mostlyFree {
		c.reason, c.excess = Full, delay
		return c
	}
	if excess := c.firstEvent - r.UntilTarget; excess > 0 && !mostlyFree {
		c.reason, c.excess = Late, excess
		return c
	}
	if c.firstEvent+scale(output, minOutputShare) > r.UntilDeadline {
		c.reason, c.excess = TooLong, c.firstEvent
	}
	return c
}

// maxSlotWait returns the longest predicted wait for a slot at which r is still admitted.
func (e *Endpoint) maxSlotWait(r Request) time.Duration {
	top, lowest := topTierWaitShare, lowestTierWaitShare
	if r.ExactCounts {
		top, lowest = topTierExactWaitShare, lowestTierExactWaitShare
	}
	if e.Slowdown > 0 {
		top, lowest = top*statedWaitShare, lowest*statedWaitShare
	}
	return scale(r.Target, top-(top-lowest)*float64(r.TierRank)/float64(max(r.TierCount-1, 1)))
}

// FreeSlots returns the number of slots that appear to be free. Slots of unusable endpoints
// do not count: no queued request can use them, and counting them would let lower tiers
// pass requests that wait.
func FreeSlots(endpoints []Endpoint) int {
	n := 0
	for i := range endpoints {
		if e := &endpoints[i]; e.Usable {
			n += e.freeSlots()
		}
	}
	return n
}

// freeSlots returns the number of slots that appear to be free and that the rate limit
// allows to use. An endpoint that rests has none.
func (e *Endpoint) freeSlots() int {
	if e.RestLeft > 0 {
		return 0
	}
	n := max(e.Slots-e.Requests, 0)
	if e.Limited {
		n = min(n, e.AllowedNow)
	}
	return n
}

// UsableSlots returns the number of slots of the usable endpoints, without those that a
// rate limit keeps empty.
func UsableSlots(endpoints []Endpoint) int {
	n := 0
	for i := range endpoints {
		e := &endpoints[i]
		switch {
		case !e.Usable || e.RestLeft > 0:
		case e.Limited:
			n += min(e.Slots, e.Requests+e.freeSlots())
		default:
			n += e.Slots
		}
	}
	return n
}

// slotInterval returns the average time between two slots becoming free.
func slotInterval(endpoints []Endpoint) time.Duration {
	slotsPerNanosecond := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		if !e.Usable {
			continue
		}
		endpointRate := 0.0
		if e.Requests > 0 {
			endpointRate = float64(max(e.Slots, 1)) / (float64(e.stretch(e.meanHoldTime())) * e.Pace.waitFactor())
		}
		if rateLimit := e.RequestsPerSecond / float64(time.Second); e.Limited && (e.Requests == 0 || rateLimit < endpointRate) {
			endpointRate = rateLimit
		}
		slotsPerNanosecond += endpointRate
	}
	if slotsPerNanosecond <= 0 {
		return 0
	}
	return time.Duration(1 / slotsPerNanosecond)
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

func anyUsable(r Request, endpoints []Endpoint) bool {
	for i := range endpoints {
		if i != r.AvoidEndpoint && endpoints[i].Usable {
			return true
		}
	}
	return false
}

// mostlyFree reports whether more than half of the slots are free. A request is then
// admitted however slow the endpoint or long the prompt, since no other request needs the
// slot.
func (e *Endpoint) mostlyFree() bool { return 2*e.Requests < e.Slots || e.Requests == 0 }
