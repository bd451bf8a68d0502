package direct

import (
	"math"
	"time"

	"lycheepond/core/health"
	"lycheepond/core/meter"
	"lycheepond/core/speed"
	"lycheepond/core/wire"
)

const (
	// countedWindow is the time in which a count may differ from what the endpoint has because
	// messages are under way: a few latencies between entries of different zones. Within it a
	// stated number is compared with the largest count.
	countedWindow = 100 * time.Millisecond
	// excessInterval is the shortest time between two reports to an owner that only state more
	// requests than it counted: a fraction of declineDecay, for which they are believed.
	excessInterval = 100 * time.Millisecond
)

// stated is what an endpoint has stated of its load, as far as it matters for placements.
type stated struct {
	slowdown speed.Estimate
	// excess is how many more requests than were counted the endpoint stated at excessAt, at
	// most twice its slots: with more, it would only be avoided for longer. The effect
	// decreases over declineDecay. peerRequests is how many the peers had reported then.
	excess, peerRequests int
	excessAt             time.Time
	// counted is the largest count of requests since countedAt, lastCounted that of the
	// countedWindow before.
	counted, lastCounted int
	countedAt            time.Time
	// toldExcessAt is when the owner of the endpoint's shard was last told that the endpoint has
	// more requests than counted.
	toldExcessAt time.Time
}

// factor returns the momentary slowdown, zero if the endpoint has stated none.
func (s *stated) factor(now time.Duration) float64 {
	if !s.slowdown.Known(now) {
		return 0
	}
	return s.slowdown.Factor(now)
}

// noteCounted notes the current count of requests, before it decreases.
func (e *endpoint) noteCounted(now time.Time) {
	s, n := &e.stated, e.ownWork.requests+e.peerWork.requests
	if age := now.Sub(s.countedAt); age >= countedWindow {
		if s.lastCounted = s.counted; age >= 2*countedWindow {
			s.lastCounted = n
		}
		s.counted, s.countedAt = n, now
	}
	s.counted = max(s.counted, n)
}

// statedExcess returns how many more requests than are counted the endpoint is assumed to have
// because of what it stated. Requests that peers have reported since are counted.
func (e *endpoint) statedExcess(now time.Time) int {
	remaining := declineDecay - now.Sub(e.stated.excessAt)
	if e.stated.excess == 0 || remaining <= 0 {
		return 0
	}
	n := int(math.Ceil(float64(e.stated.excess) * float64(remaining) / float64(declineDecay)))
	return max(n-max(e.peerWork.requests-e.stated.peerRequests, 0), 0)
}

// observeRequests records how many requests the endpoint has said that it has.
func (e *endpoint) observeRequests(now time.Time, requests, slots int) {
	e.noteCounted(now)
	excess := min(requests-max(e.stated.counted, e.stated.lastCounted), 2*max(e.Slots, slots, 1))
	if excess > e.statedExcess(now) {
		e.stated.excess, e.stated.peerRequests, e.stated.excessAt = excess, e.peerWork.requests, now
	}
}

// observeLoad records what the head of the attempt's answer states of the endpoint's load, and
// tells the owner of the placement, if there is one. The caller holds d.mu.
func (a *attempt) observeLoad(now time.Time, m Meta) {
	label := meter.Label{Key: "pool", Value: a.pool.name}
	if m.LoadRejected {
		a.d.cfg.Metrics.Counter("stated_load_rejected", label).Inc(1)
		return
	}
	if !m.Signed && !m.NotRun {
		return
	}
	if m.SlowdownPercent > 0 {
		a.d.cfg.Metrics.Histogram("stated_slowdown", label).Update(int64(m.SlowdownPercent))
	}
	a.applyStated(now, &wire.StatedLoad{Running: uint32(m.Requests - m.Waiting), Waiting: uint32(m.Waiting), Slots: uint32(m.Slots), SlowdownPercent: uint32(m.SlowdownPercent)}, m.NotRun)
}

// maxStatedRequests bounds the counts in a peer's report that are believed.
const maxStatedRequests = 1_000_000

// applyStated applies a statement of the attempt's endpoint. The entry that counts the attempt
// compares the stated requests with those that it counts; another one tells it. isDecline is set
// if the end of the attempt tells the owner of the requests. The caller holds d.mu.
func (a *attempt) applyStated(now time.Time, l *wire.StatedLoad, isDecline bool) {
	e, sinceStart := a.endpoint, a.d.sinceStart(now)
	if e.stated.slowdown.Observe(sinceStart, int(l.SlowdownPercent)) {
		a.headSlowdown = e.stated.slowdown.Relative()
	}
	if l.Running > maxStatedRequests || l.Waiting > maxStatedRequests {
		return
	}
	requests := int(l.Running + l.Waiting)
	if a.ownerPlacement != nil {
		a.tellOwnerLoad(now, l, requests, isDecline)
	} else if !isDecline {
		e.observeRequests(now, requests, int(l.Slots))
	}
}

// tellOwnerLoad reports a statement to the owner of the placement, unless the owner expects as
// much. The caller holds d.mu.
func (a *attempt) tellOwnerLoad(now time.Time, l *wire.StatedLoad, requests int, isDecline bool) {
	p := a.ownerPlacement
	if p.slowdownPercent == 0 {
		// The owner is of an older version. It would take the report for the first event.
		return
	}
	isNews := l.SlowdownPercent > 0 && speed.IsNews(int(l.SlowdownPercent), p.slowdownPercent, now.Sub(a.sentAt))
	if hasExcess := !isDecline && requests > a.placement.RequestsAhead+1 && 2*requests > int(l.Slots); hasExcess && now.Sub(a.endpoint.stated.toldExcessAt) >= excessInterval {
		a.endpoint.stated.toldExcessAt = now
		isNews = true
	}
	if isNews {
		a.d.cfg.Peers.Send(p.owner, &wire.PlaceReport{ID: p.id, Load: l})
	}
}

// handleStatedLoad applies what a peer reports of the head of an answer to a request that was
// placed for it.
func (a *attempt) handleStatedLoad(l *wire.StatedLoad) {
	now := time.Now()
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	before := a.endpoint.stated.slowdown.Factor(a.d.sinceStart(now))
	a.applyStated(now, l, false)
	if a.endpoint.stated.slowdown.Factor(a.d.sinceStart(now)) < before {
		a.d.dispatchQueued(a.pool)
	}
}

// firstEventSlowdown returns the slowdown by which the time to the first event is corrected: what
// the head of the answer said, or else the mean since the attempt was sent. The caller holds d.mu.
func (a *attempt) firstEventSlowdown(now time.Time) float64 {
	if a.headSlowdown > 0 {
		return speed.Correction(a.headSlowdown)
	}
	return a.meanSlowdown(a.sentAt, now, a.sentClock, a.slowdownClock(now))
}

// outputSlowdown returns the slowdown by which the time from the first to the last output is
// corrected.
func (a *attempt) outputSlowdown() float64 {
	return a.meanSlowdown(a.firstAt, a.lastAt, a.firstClock, a.lastClock)
}

// slowdownClock returns the value of speed.Estimate.Clock for the attempt's endpoint. The caller
// holds d.mu.
func (a *attempt) slowdownClock(now time.Time) time.Duration {
	return a.endpoint.stated.slowdown.Clock(a.d.sinceStart(now))
}

func (a *attempt) meanSlowdown(from, to time.Time, fromClock, toClock time.Duration) float64 {
	if elapsed := to.Sub(from); elapsed > 0 && toClock > fromClock {
		return speed.Correction(float64(toClock-fromClock) / float64(elapsed))
	}
	return 1
}

// observePace learns the lasting pace of the endpoint from an attempt that has ended. The caller
// holds d.mu.
func (a *attempt) observePace(now time.Time, r health.Result) {
	if a.work.kvTokens > 0 {
		a.pool.learner.ObserveOutput(a.endpoint.ID, a.laterTokens, a.lastAt.Sub(a.firstAt), a.outputSlowdown())
	} else if a.hadFreeSlot && r == health.Success {
		a.pool.learner.ObserveFirstEvent(a.endpoint.ID, 0, now.Sub(a.sentAt), a.firstEventSlowdown(now))
	}
}
