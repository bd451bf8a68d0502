// Package admit decides for one request, at the entry that accepted it, which
// endpoint it is sent to or that it is refused, at once in either case.
//
// The load it answers is more work than the endpoints can start in time.
// Engines know no priorities and serve in order of arrival, so whatever is sent
// to a full one delays all that comes after it. Without admission every queue
// grows until each answer is late, also those of the highest tier. The decision
// predicts when the first event would come at each endpoint, from the work that
// all entries have there, and admits a request only if that is within its target
// and the wait for a slot within a share of it. The share is larger for higher
// tiers: as queues grow, the lowest tier is refused first and the highest finds
// room that the others have left.
//
// It uses no network, clock or random source.
package admit

import "time"

// Endpoint is what is known of one endpoint when a request is placed.
type Endpoint struct {
	// Near is set for the entry's own availability zone.
	Near bool
	// Usable is false for an endpoint that failed lately or is silent.
	Usable bool
	// Slots is how many requests it serves at once.
	Slots int
	// Requests, Prompt and Output sum up what all entries have sent there and
	// have no end of: requests, prompt tokens of those without a first event,
	// and output tokens that are still expected.
	Requests, Prompt, Output int
	// Tokens is the memory that those requests are going to take, Memory what
	// the engine has; zero if unknown.
	Tokens, Memory int
	Pace           Pace
}

// Pace is how fast an endpoint is.
type Pace struct {
	// First is the time to the first event of a request without a prompt at an
	// endpoint that is not full. For a plain service it is the whole answer.
	First time.Duration
	// Prompt is the time for each prompt token, Output for each output token.
	Prompt, Output time.Duration
	// Wait corrects the predicted wait for a slot; zero means one. Answers vary
	// widely in length, and the short ones among those ahead free their slots
	// long before the average does.
	Wait float64
}

// Request is what placement needs to know of a request.
type Request struct {
	// Rank is the place of the request's tier among those in use, zero the
	// highest.
	Rank int
	// Ranks is how many tiers are in use.
	Ranks int
	// Prompt and Output are tokens; zero for plain services.
	Prompt, Output int
	// Target is the time within which the first event is wanted and Left the
	// time until the answer must be complete, both from now.
	Target, Left time.Duration
	// Avoid is the index of an endpoint that has failed this request, -1 if
	// there is none.
	Avoid int
}

// Decision is the outcome.
type Decision struct {
	// Endpoint is the index of the endpoint to send to; -1 means refused.
	Endpoint int
	// First is the predicted time to the first event at the best endpoint, Wait
	// the part of it that is the wait for a slot.
	First, Wait time.Duration
	// Retry is, for a refusal, the time until there should be room.
	Retry time.Duration
	Why   Why
}

// Why tells why a request was refused.
type Why uint8

// The reasons.
const (
	Admitted Why = iota
	// NoEndpoint means that no endpoint is known or usable.
	NoEndpoint
	// Full means that the first event would come too late for the tier.
	Full
	// TooLong means that the answer would not be complete in the time left.
	TooLong
)

var whyNames = [...]string{"admitted", "no endpoint", "full", "too long"}

// String returns the reason as logs spell it.
func (w Why) String() string { return whyNames[w] }

const (
	// topWait and lastWait are the shares of the target that the highest and the
	// lowest tier in use may be predicted to wait for a slot; the tiers between
	// them lie at even steps. A wait delays all that come behind as well,
	// whatever their tier, and once every slot is taken a longer queue adds
	// nothing to what an engine does. Measured on two fleets with three seeds each:
	// over ten days of overload a top share of 0.4 to 0.5 serves best, 0.3 and 0.7
	// some hundredths less; over five days of trouble a least one of 0.1 and 0.2 are
	// alike.
	topWait  = 0.4
	lastWait = 0.2
	// firstShare is the share of the target that the whole prediction may reach.
	// Reading a long prompt takes its time wherever it is done, so it does not
	// count as waiting.
	firstShare = 1.0
	// surePart is the part of the predicted time for an answer's output that it
	// takes in any case. The pace is that of endpoints at their usual load: of
	// eleven requests that were refused because the whole prediction exceeded the
	// time left, nine were served in time when they were sent.
	surePart = 0.5
	// outputWeight is how much a later end counts against an earlier first
	// event when endpoints are compared: slow endpoints hold their slots longer.
	outputWeight = 0.1
	// farCost is added for endpoints in other availability zones, whose bytes have
	// a price. A twentieth or less of usual targets: it decides between endpoints
	// that are about equally good, and cuts the bytes between zones by a third
	// where there is room near by.
	farCost = 30 * time.Millisecond
	// shortestRetry is the least time to come back after: several times the
	// delay with which entries hear of each other.
	shortestRetry = 200 * time.Millisecond
	// noEndpointRetry is the time to come back after when nothing is usable: an
	// endpoint that failed is tried again within this time.
	noEndpointRetry = 500 * time.Millisecond
)

// Decide places a request.
func Decide(r Request, endpoints []Endpoint) Decision {
	best, bestCost := -1, time.Duration(0)
	var first time.Duration
	anyUsable := usable(r, endpoints)
	for i := range endpoints {
		e := &endpoints[i]
		if i == r.Avoid && len(endpoints) > 1 || anyUsable && !e.Usable {
			continue
		}
		f := e.First(r)
		if cost := f + e.costs(r); best < 0 || cost < bestCost {
			best, bestCost, first = i, cost, f
		}
	}
	if best < 0 {
		return Decision{Endpoint: -1, Retry: noEndpointRetry, Why: NoEndpoint}
	}
	wait := endpoints[best].slotWait(r)
	if over := r.over(first, wait); over > 0 && !endpoints[best].roomy() {
		return Decision{Endpoint: -1, First: first, Wait: wait, Retry: max(over, shortestRetry), Why: Full}
	}
	if first+scale(time.Duration(r.Output)*endpoints[best].Pace.Output, surePart) > r.Left {
		return Decision{Endpoint: -1, First: first, Retry: max(first, shortestRetry), Why: TooLong}
	}
	return Decision{Endpoint: best, First: first, Wait: wait}
}

// over returns by how much a prediction exceeds what r may be admitted with.
func (r Request) over(first, wait time.Duration) time.Duration {
	share := topWait - (topWait-lastWait)*float64(r.Rank)/float64(max(r.Ranks-1, 1))
	return max(wait-scale(r.Target, share), first-scale(r.Target, firstShare))
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

func usable(r Request, endpoints []Endpoint) bool {
	for i := range endpoints {
		if i != r.Avoid && endpoints[i].Usable {
			return true
		}
	}
	return false
}

// roomy reports whether more than half of the slots are free. A request is not
// refused there, however slow the endpoint or long the prompt: there is nobody
// for whom the room would be kept.
func (e *Endpoint) roomy() bool { return 2*e.Requests < e.Slots || e.Requests == 0 }

// First predicts the time to the first event of r.
func (e *Endpoint) First(r Request) time.Duration {
	return e.Pace.First + e.slotWait(r) + time.Duration(e.Prompt+r.Prompt)*e.Pace.Prompt
}

// slotWait predicts how long r waits for a slot: requests end one after the
// other as their remaining work, spread evenly, is done.
func (e *Endpoint) slotWait(r Request) time.Duration {
	slots := max(e.Slots, 1)
	ahead := e.Requests - slots + 1
	if ahead <= 0 {
		return e.memoryWait(r)
	}
	each := e.Pace.First + time.Duration(e.Output/e.Requests)*e.Pace.Output
	return time.Duration(float64(ahead) * float64(each) / float64(slots) * e.Pace.wait())
}

func (p Pace) wait() float64 {
	if p.Wait <= 0 {
		return 1
	}
	return p.Wait
}

// memoryWait predicts how long r waits for memory while there are free slots.
// An engine that runs out of memory throws away prompts that it has read.
func (e *Endpoint) memoryWait(r Request) time.Duration {
	if e.Memory == 0 || e.Requests == 0 || e.Tokens+r.Prompt+r.Output <= e.Memory {
		return 0
	}
	return time.Duration(e.Output/e.Requests) * e.Pace.Output
}

// costs is what speaks against an endpoint beside the time to the first event.
func (e *Endpoint) costs(r Request) time.Duration {
	c := time.Duration(outputWeight * float64(r.Output) * float64(e.Pace.Output))
	if !e.Near {
		c += farCost
	}
	return c
}
