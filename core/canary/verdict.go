package canary

import (
	"math"
	"time"
)

const (
	// rollbackNats is the evidence, in nats, at which a version is rolled back. A good
	// version reaches it with a probability of one in 3,000 in one test. doubtNats is the
	// evidence at which a version is not put in service at the deadline. A good version
	// reaches it with a probability of one in 20, but ordering it again costs less than
	// putting a bad one in service.
	rollbackNats = 8
	doubtNats    = 3
	// minTargetAnswers is the number of answers of the target needed to put it in service.
	minTargetAnswers = 20
	// minOldSamples is the number of samples of the old version needed for a comparison on
	// a route.
	minOldSamples = 20
	// evaluationInterval is the time between two evaluations of an order. It is added once
	// more for every cellsPerEvaluationInterval cells of evidence. rewriteInterval is the
	// time after which an end is written again if it has not been seen in the store.
	evaluationInterval         = 200 * time.Millisecond
	cellsPerEvaluationInterval = 1000
	rewriteInterval            = time.Second
	// writeDelayPerRank is how much later an entry writes than the entry before it.
	writeDelayPerRank = 150 * time.Millisecond
	// expectedMargin is the factor by which the failures expected from the old version are
	// increased, because endpoints differ.
	expectedMargin = 1.2
)

// Finding is the strongest evidence against a version.
type Finding struct {
	Measure string
	// Route is empty for all routes together.
	Route string
	// Answers counts the compared answers of the target. Bad is the number of them that
	// failed, or the sum of the logarithms of their times. Expected is the value of Bad
	// expected from the old version's answers.
	Answers       int
	Bad, Expected float64
	// Nats is the strength of the evidence.
	Nats float64
}

// Spread describes how much the old version's endpoints differ, as logarithms of the time
// that the same work takes.
type Spread struct {
	// Shift is by how much the endpoints' mean exceeds the mean of the requests, most of
	// which go to fast endpoints. Deviation is the standard deviation between endpoints.
	Shift, Deviation float64
}

// Measures of comparison.
const (
	measureFailed     = "failed"
	measureFirstEvent = "time to the first event"
	measureTokenTime  = "time for each token"
)

// strongestFinding returns the strongest evidence against the target, which has targets
// endpoints.
func (r *rollout) strongestFinding(targets int, spread Spread) Finding {
	var worst Finding
	lastEpoch := 0
	routes := map[string]bool{"": true}
	for k := range r.allCells {
		lastEpoch = max(lastEpoch, k.Epoch)
		routes[k.Route] = true
	}
	for firstEpoch := 0; firstEpoch <= lastEpoch; firstEpoch++ {
		e := r.evidenceSince(firstEpoch)
		for route := range routes {
			for _, f := range []Finding{
				e.testFailures(route, targets),
				e.testTimes(measureFirstEvent, route, targets, spread, firstEventDeviation, func(c Cell) (float64, float64) { return float64(c.FirstEvents), c.LogFirstEvents }),
				e.testTimes(measureTokenTime, route, targets, spread, tokenTimeDeviation, func(c Cell) (float64, float64) { return float64(c.TokenTimes), c.LogTokenTimes }),
			} {
				if f.Nats > worst.Nats {
					worst = f
				}
			}
		}
	}
	return worst
}

// evidence holds the sums of all cells since an epoch: for the old version by route, for
// the target by endpoint and route.
type evidence struct {
	old    map[string]Cell
	target map[string]map[string]Cell
}

func (r *rollout) evidenceSince(epoch int) evidence {
	e := evidence{old: make(map[string]Cell), target: make(map[string]map[string]Cell)}
	for k, c := range r.allCells {
		if k.Epoch < epoch {
			continue
		}
		cells := e.old
		if k.Endpoint != "" {
			if cells = e.target[k.Endpoint]; cells == nil {
				cells = make(map[string]Cell)
				e.target[k.Endpoint] = cells
			}
		}
		sum := cells[k.Route]
		sum.add(c)
		cells[k.Route] = sum
	}
	return e
}

// sampleSum describes the samples of one endpoint of the target: their number, their sum,
// and the sum expected from the old version.
type sampleSum struct{ n, sum, expected float64 }

func (s sampleSum) excess() float64 { return s.sum - s.expected }

func (s sampleSum) meanExcess() float64 { return s.excess() / s.n }

func (s sampleSum) plus(o sampleSum, sign float64) sampleSum {
	return sampleSum{n: s.n + sign*o.n, sum: s.sum + sign*o.sum, expected: s.expected + sign*o.expected}
}

// byEndpoint returns the sums of the target's endpoints that have samples on a route, or on
// any route if it is empty. samplesOf returns the number and the sum of the samples in a
// cell. expect returns the expected value of one sample, given the number and the sum of
// the old version's samples on its route.
func (e evidence) byEndpoint(route string, samplesOf func(Cell) (n, sum float64), expect func(n, sum float64) float64) []sampleSum {
	var out []sampleSum
	for _, routes := range e.target {
		var all sampleSum
		for cellRoute, c := range routes {
			oldN, oldSum := samplesOf(e.old[cellRoute])
			if n, sum := samplesOf(c); (route == "" || cellRoute == route) && n > 0 && oldN >= minOldSamples {
				all = all.plus(sampleSum{n, sum, n * expect(oldN, oldSum)}, 1)
			}
		}
		if all.n > 0 {
			out = append(out, all)
		}
	}
	return out
}

// testFailures tests the share of failed answers. It leaves out the worst endpoint and
// bounds the evidence from each of the others, because single endpoints can have faults
// unrelated to the version. If the target has only one endpoint, the two cannot be
// distinguished.
func (e evidence) testFailures(route string, targets int) Finding {
	endpoints := e.byEndpoint(route, func(c Cell) (float64, float64) { return float64(c.Answers), float64(c.Failed) },
		func(n, sum float64) float64 { return max((sum+1)/(n+2), minExpectedFailures) })
	var sum, worst sampleSum
	aboveExpected := 0
	for _, s := range endpoints {
		if s.excess() > 0 {
			aboveExpected++
		}
		if s.excess() > worst.excess() {
			worst = s
		}
		sum = sum.plus(s, 1)
	}
	if targets > 1 {
		sum = sum.plus(worst, -1)
		aboveExpected--
	}
	f := Finding{Measure: measureFailed, Route: route, Answers: int(sum.n), Bad: sum.sum, Expected: sum.expected}
	if sum.n == 0 || sum.meanExcess() < minFailureExcess {
		return f
	}
	maxNatsEach := max(maxEndpointNats, rollbackNats/float64(max(targets-1, 1)))
	f.Nats = min(sum.n*divergence(sum.sum/sum.n, min(expectedMargin*sum.expected/sum.n, 0.95)), maxNatsEach*float64(max(aboveExpected, 0)))
	return f
}

// testTimes tests the mean logarithm of times by endpoint, because endpoints differ more
// than the requests at one endpoint. It leaves out the slowest endpoint.
func (e evidence) testTimes(measure, route string, targets int, spread Spread, sampleDeviation float64, samplesOf func(Cell) (n, sum float64)) Finding {
	endpoints := e.byEndpoint(route, samplesOf, func(n, sum float64) float64 { return sum/n + spread.Shift })
	total, weight, worstWeight := 0.0, 0.0, 0.0
	worst := sampleSum{n: 1, sum: math.Inf(-1)}
	endpointDeviation := max(spread.Deviation, minEndpointDeviation)
	f := Finding{Measure: measure, Route: route}
	for _, s := range endpoints {
		// The weight is the inverse variance of the mean of the endpoint's samples.
		endpointWeight := 1 / (endpointDeviation*endpointDeviation + sampleDeviation*sampleDeviation/s.n)
		total += endpointWeight * s.meanExcess()
		weight += endpointWeight
		if s.meanExcess() > worst.meanExcess() {
			worst, worstWeight = s, endpointWeight
		}
		f.Answers += int(s.n)
		f.Bad += s.sum
		f.Expected += s.expected
	}
	remaining := len(endpoints)
	if targets > 1 && remaining > 0 {
		total -= worstWeight * worst.meanExcess()
		weight -= worstWeight
		remaining--
	}
	if remaining == 0 || total/weight < minTimeExcess {
		return f
	}
	f.Nats = total * total / weight / 2
	return f
}

const (
	// minExpectedFailures is the smallest share of failures expected of any version.
	// minFailureExcess is by how much a bad version's share exceeds the expected one.
	// maxEndpointNats bounds the evidence from one endpoint, in nats.
	minExpectedFailures = 0.02
	minFailureExcess    = 0.05
	maxEndpointNats     = 4
	// minTimeExcess is by how much a bad version's mean logarithm of times exceeds the
	// expected one. minEndpointDeviation is the smallest standard deviation between
	// endpoints; firstEventDeviation and tokenTimeDeviation are those of the times at one
	// endpoint.
	minTimeExcess        = 0.3
	minEndpointDeviation = 0.2
	firstEventDeviation  = 0.8
	tokenTimeDeviation   = 0.4
)

// divergence returns the relative entropy of a share p to a share q, in nats.
func divergence(p, q float64) float64 {
	if p <= q {
		return 0
	}
	d := p * math.Log(p/q)
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// Fleet describes the state outside the controller that Tick needs.
type Fleet struct {
	// Peers are the other entries that can be reached. Rank is the number of them that come
	// before this one by name.
	Peers []string
	Rank  int
	// OldRequests returns the number of requests that all entries have at endpoints of a
	// pool that are not of the given version.
	OldRequests func(pool, version string) int
	// Spread returns how much the endpoints in service of a pool differ.
	Spread func(pool string) Spread
	// MaxRequestTime returns the longest time that a request of a pool may run.
	MaxRequestTime func(pool string) time.Duration
}

// StateWrite is a state of an order that is to be written to the store.
type StateWrite struct {
	Order Order
	State State
}

// Tick evaluates the orders, updates their states and returns the states that are to be
// written now.
func (c *Controller) Tick(now time.Duration, f Fleet) []StateWrite {
	var out []StateWrite
	for _, p := range c.pools {
		c.settle(now, p)
		r := p.rollout
		if r == nil {
			continue
		}
		if r.state == Running {
			c.advanceOrder(now, p, f)
		}
		if w, ok := r.nextWrite(now, f.Rank); ok && p.unsettled == nil {
			out = append(out, w)
		}
	}
	return out
}

// nextWrite returns the state to write now, if any. The entries write one after the other,
// so that usually only one of them does.
func (r *rollout) nextWrite(now time.Duration, rank int) (StateWrite, bool) {
	if r.storedState == r.state {
		return StateWrite{}, false
	}
	since := r.orderedAt
	if r.state != Running {
		since = r.endedAt
	}
	if now-since < time.Duration(rank)*writeDelayPerRank || r.writtenAt > since && now-r.writtenAt < rewriteInterval {
		return StateWrite{}, false
	}
	r.writtenAt = now
	return StateWrite{r.Order, r.state}, true
}

// advanceOrder evaluates one order and updates its state.
func (c *Controller) advanceOrder(now time.Duration, p *pool, f Fleet) {
	r := p.rollout
	if now-r.evaluatedAt >= evaluationInterval*time.Duration(1+len(r.allCells)/cellsPerEvaluationInterval) {
		r.evaluatedAt = now
		finding := r.strongestFinding(p.endpointCounts[r.Target], f.Spread(p.name))
		r.inDoubt, r.evaluatedAnswers = finding.Nats >= doubtNats, r.targetAnswers()
		if finding.Nats >= rollbackNats {
			c.endOrder(now, p, RolledBack, "bad", finding)
			return
		}
		if !r.moved && now >= r.deadline() && (r.inDoubt || r.targetAnswers() < minTargetAnswers) {
			if p.hasService() {
				c.endOrder(now, p, RolledBack, "in doubt at the deadline", finding)
			} else {
				c.endOrder(now, p, Complete, "no other version is left", finding)
			}
			return
		}
	}
	if !r.moved && r.isMoving(now) && c.shareCoversRest(now, r, len(f.Peers)+1) {
		r.moved, r.movedAt = true, now
		c.rolesChanged = true
		c.changes = append(c.changes, Change{Order: r.Order, State: r.state, Age: now - r.orderedAt, Reason: "moved", Moved: true})
	}
	if !r.moved {
		return
	}
	timedOut := now-r.movedAt > f.MaxRequestTime(p.name)
	if timedOut || r.allPeersMoved(f.Peers) && f.OldRequests(p.name, r.Target) == 0 {
		c.endOrder(now, p, Complete, "good", Finding{Answers: r.targetAnswers()})
	}
}

// allPeersMoved reports whether all peers have reported that they send no more requests to
// the old version.
func (r *rollout) allPeersMoved(peers []string) bool {
	for _, name := range peers {
		if !r.movedPeers[name] {
			return false
		}
	}
	return true
}
