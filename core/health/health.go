// Package health decides from the results of requests which endpoints are usable.
//
// An endpoint may pass its health check and still fail half of its requests, or may be gone
// while the instance list still names it. Without this package, entries would go on sending
// it its share of requests, and least-loaded placement would send it even more, because
// failing is quick. The package uses the results of ordinary requests instead of health
// checks: they cost nothing extra and show what callers get.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package health

import "time"

// Result is the outcome of a request at an endpoint.
type Result uint8

// Results.
const (
	// Success is a complete answer that is not a server error.
	Success Result = iota
	// ServerError is a complete answer with a server error. Some requests cause one at any
	// endpoint.
	ServerError
	// Broken is an answer that broke off, was malformed or did not arrive.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
)

var resultNames = [...]string{"good", "error", "broken", "unreachable"}

// String returns the result as it appears in logs.
func (r Result) String() string { return resultNames[r] }

const (
	// resultWeight is the weight of one result in the average failure rate. About ten
	// results, one or two seconds of an endpoint's usual load, determine it.
	resultWeight = 0.12
	// maxFailureRate is the failure rate above which an endpoint is avoided. Services
	// that cause errors at every endpoint reach a rate of 0.14, and the average of ten
	// of their results exceeds 0.35 one time in a thousand.
	maxFailureRate = 0.4
	// minPause and maxPause bound the time for which an endpoint is avoided before one
	// request probes it. A restart takes seconds, and each probe costs one caller an
	// attempt.
	minPause = 400 * time.Millisecond
	maxPause = 3 * time.Second
	// probeTimeout is the time after which a probe without a result is ignored, so that a
	// lost result does not exclude the endpoint forever.
	probeTimeout = 2 * time.Second
)

// Tracker tracks the health of the endpoints.
type Tracker struct {
	health map[string]*health
}

type health struct {
	// failureRate is the average share of failures, from 0 to 1.
	failureRate float64
	// pauseCount counts the pauses. Each success reduces it by one.
	pauseCount int
	// pausedUntil is the end of the pause, or zero if there is none.
	pausedUntil time.Duration
	// probedAt is the time at which the last probe was sent.
	probedAt time.Duration
	// probing is set while that probe has no result.
	probing bool
	// unreachable is set if the last failure was that no connection could be made. Such an
	// endpoint is probed with a connection instead of a request, because a connection
	// attempt to a silent endpoint would use up a caller's whole target.
	unreachable bool
}

// New returns a tracker for which every endpoint is usable.
func New() *Tracker { return &Tracker{health: make(map[string]*health)} }

// Usable reports whether requests may be sent to an endpoint.
func (t *Tracker) Usable(now time.Duration, id string) bool {
	h := t.health[id]
	if h == nil || h.pausedUntil == 0 {
		return true
	}
	if now < h.pausedUntil || h.unreachable {
		return false
	}
	return !h.probing || now-h.probedAt > probeTimeout
}

// RecordSent records that a request is sent to an endpoint. If the endpoint was paused, the
// request is its probe.
func (t *Tracker) RecordSent(now time.Duration, id string) {
	if h := t.health[id]; h != nil && h.pausedUntil != 0 {
		h.probing, h.probedAt = true, now
	}
}

// Change is the effect of a result on an endpoint's usability.
type Change uint8

// Changes.
const (
	// Unchanged means that the endpoint is as usable as before.
	Unchanged Change = iota
	// BecameUnusable and BecameUsable mean that the result changed the endpoint's
	// usability.
	BecameUnusable
	BecameUsable
)

// RecordResult records the result of a request and returns the change that it caused.
func (t *Tracker) RecordResult(now time.Duration, id string, r Result) Change {
	h := t.health[id]
	if h == nil {
		if r == Success {
			return Unchanged
		}
		h = new(health)
		t.health[id] = h
	}
	wasPaused := h.pausedUntil != 0
	h.probing, h.unreachable = false, r == Unreachable
	if r == Success {
		h.recordSuccess()
		if wasPaused {
			return BecameUsable
		}
		return Unchanged
	}
	h.failureRate += resultWeight * (1 - h.failureRate)
	if r == Broken {
		// A broken answer counts twice: it costs the caller more than an error and is never
		// part of normal service.
		h.failureRate += resultWeight * (1 - h.failureRate)
	}
	if r != Unreachable && h.failureRate < maxFailureRate && !wasPaused {
		return Unchanged
	}
	h.startPause(now)
	if wasPaused {
		return Unchanged
	}
	return BecameUnusable
}

func (h *health) recordSuccess() {
	h.failureRate -= resultWeight * h.failureRate
	if h.pausedUntil != 0 {
		// After a successful probe, the failure rate drops to at most half of the maximum.
		// An endpoint that fails every other request is then soon avoided again.
		h.failureRate = min(h.failureRate, maxFailureRate/2)
	}
	h.pausedUntil, h.pauseCount = 0, max(h.pauseCount-1, 0)
}

func (h *health) startPause(now time.Duration) {
	h.pausedUntil = now + min(minPause<<min(h.pauseCount, 8), maxPause)
	h.pauseCount++
}

// StartConnectProbes calls f for each endpoint that is to be probed with a connection now,
// and marks it as being probed.
func (t *Tracker) StartConnectProbes(now time.Duration, f func(id string)) {
	for id, h := range t.health {
		if h.unreachable && now >= h.pausedUntil && (!h.probing || now-h.probedAt > probeTimeout) {
			h.probing, h.probedAt = true, now
			f(id)
		}
	}
}

// RecordConnected records that a connection to an unreachable endpoint could be made. The
// next request may probe it.
func (t *Tracker) RecordConnected(now time.Duration, id string) {
	if h := t.health[id]; h != nil && h.unreachable {
		h.unreachable, h.probing, h.pausedUntil = false, false, now
	}
}

// Forget drops the state of an endpoint, for example after a restart.
func (t *Tracker) Forget(id string) { delete(t.health, id) }
