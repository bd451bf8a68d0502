// Package trust decides from the results of requests which endpoints are worth
// sending to.
//
// The load it answers is an endpoint that answers its health check and fails
// half of its requests, or that is gone while the instance list still names it.
// Without it every entry goes on sending the failed endpoint its share, and
// least-loaded placement sends it more than that, since failing is quick. Plain
// results of requests are used in place of health checks: they are free, and
// they show what callers get.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package trust

import "time"

// Result is how a request at an endpoint ended.
type Result uint8

// The results.
const (
	// Good is any whole answer that is not a server error.
	Good Result = iota
	// Error is a whole answer with a server error; some requests earn one at
	// any endpoint.
	Error
	// Broken is an answer that broke off, was garbled or never came.
	Broken
	// Unreachable is a connection that could not be made.
	Unreachable
)

var resultNames = [...]string{"good", "error", "broken", "unreachable"}

// String returns the result as logs spell it.
func (r Result) String() string { return resultNames[r] }

const (
	// errorWeight is the weight of one result in the average failure rate: ten
	// or so results decide, a second or two of an endpoint's usual load.
	errorWeight = 0.12
	// failing is the failure rate above which an endpoint is avoided. Services
	// whose requests fail by themselves reach 0.14, and the average of ten
	// results strays to 0.35 one time in a thousand.
	failing = 0.4
	// firstPause and longestPause bound how long an endpoint is avoided before
	// one request tries it again. A restart takes seconds; trying more often
	// costs one caller's attempt each time.
	firstPause   = 400 * time.Millisecond
	longestPause = 3 * time.Second
	// trialTime is how long a trial may stay without a result before another
	// one is allowed, so that a lost result does not keep an endpoint out.
	trialTime = 2 * time.Second
)

// Book keeps what is known of the endpoints.
type Book struct {
	health map[string]*health
}

type health struct {
	// rate is the average share of failures, between 0 and 1.
	rate float64
	// pauses counts the pauses since the last good result.
	pauses int
	// until is the end of the pause; zero if there is none.
	until time.Duration
	// trial is when the request that tries the endpoint again was sent.
	trial time.Duration
	// trying is set while that request has no result.
	trying bool
	// unreachable is set if the last failure was that no connection could be
	// made. Such an endpoint is tried with a connection, not with a request: a
	// connection to a silent one takes a caller's whole target to fail.
	unreachable bool
}

// New returns a book that trusts every endpoint.
func New() *Book { return &Book{health: make(map[string]*health)} }

// Usable reports whether requests may be sent to an endpoint.
func (b *Book) Usable(now time.Duration, id string) bool {
	h := b.health[id]
	if h == nil || h.until == 0 {
		return true
	}
	if now < h.until || h.unreachable {
		return false
	}
	return !h.trying || now-h.trial > trialTime
}

// Sent records a request, which is the trial of an endpoint after its pause.
func (b *Book) Sent(now time.Duration, id string) {
	if h := b.health[id]; h != nil && h.until != 0 {
		h.trying, h.trial = true, now
	}
}

// Change is what a result changed for an endpoint.
type Change uint8

// The changes.
const (
	// Same means that the endpoint is as usable as before.
	Same Change = iota
	// Lost means that it has just become unusable, Regained that it is usable
	// again.
	Lost
	Regained
)

// Ended records the result of a request and reports what it changed.
func (b *Book) Ended(now time.Duration, id string, r Result) Change {
	h := b.health[id]
	if h == nil {
		if r == Good {
			return Same
		}
		h = new(health)
		b.health[id] = h
	}
	paused := h.until != 0
	h.trying, h.unreachable = false, r == Unreachable
	if r == Good {
		h.good()
		if paused {
			return Regained
		}
		return Same
	}
	h.rate += errorWeight * (1 - h.rate)
	if r == Broken {
		// A broken answer costs its caller more than an error does and is no
		// part of normal service: it counts twice.
		h.rate += errorWeight * (1 - h.rate)
	}
	if r != Unreachable && h.rate < failing && !paused {
		return Same
	}
	h.pause(now)
	if paused {
		return Same
	}
	return Lost
}

func (h *health) good() {
	h.rate -= errorWeight * h.rate
	if h.until != 0 {
		// The trial went well: what was held against the endpoint is halved, so
		// that one good answer in two does not bring it back for long.
		h.rate = min(h.rate, failing/2)
	}
	h.until, h.pauses = 0, max(h.pauses-1, 0)
}

func (h *health) pause(now time.Duration) {
	h.until = now + min(firstPause<<min(h.pauses, 8), longestPause)
	h.pauses++
}

// Due calls f with each endpoint that is to be tried with a connection now, and
// takes it for being tried.
func (b *Book) Due(now time.Duration, f func(id string)) {
	for id, h := range b.health {
		if h.unreachable && now >= h.until && (!h.trying || now-h.trial > trialTime) {
			h.trying, h.trial = true, now
			f(id)
		}
	}
}

// Reached records that a connection to an endpoint could be made: the next
// request may try it.
func (b *Book) Reached(now time.Duration, id string) {
	if h := b.health[id]; h != nil && h.unreachable {
		h.unreachable, h.trying, h.until = false, false, now
	}
}

// Forget drops what is known of an endpoint, as after its restart.
func (b *Book) Forget(id string) { delete(b.health, id) }
