package canary

import "time"

const (
	// wantedTrialAnswers is the number of answers of the target that are wanted before the
	// deadline. To get them, between minTrialShare and maxTrialShare of the allowed
	// requests are sent to the target before the move; the rest is kept for the move.
	wantedTrialAnswers = 250
	minTrialShare      = 0.3
	maxTrialShare      = 0.6
	// neededTrialAnswers is the number of answers aimed at if the share allows no more than
	// that. Requests are drawn at random, so fewer may come.
	neededTrialAnswers = 2 * minTargetAnswers
	// minPauseAnswers is the number of answers of the target needed to pause the trial.
	minPauseAnswers = 40
	// usedShare is the part of the share, and usedSlack the part of the slack, that is
	// used. The rest is a margin, because entries may count a request on the wrong side of
	// a time limit.
	usedShare = 0.9
	usedSlack = 0.5
	// maxRouteShare bounds the share of a route's requests that are sent to the target.
	maxRouteShare = 0.3
	// minRateRequests is the number of requests needed to estimate an entry's request rate.
	minRateRequests = 10
	// maxMoveLead is the longest time before the deadline at which requests that would
	// outlast the deadline start to go to the target. It is at most maxMoveLeadShare of the
	// order's duration, which leaves the rest for a verdict.
	maxMoveLead      = 4 * time.Second
	maxMoveLeadShare = 0.5
	// reservedTime is the time before the deadline for which a part of the share is
	// reserved, so that all requests of that time can go to the target.
	reservedTime = 450 * time.Millisecond
)

// Request describes a request for admission to a trial.
type Request struct {
	Route string
	// ExpectedDuration is how long the request is expected to run.
	ExpectedDuration time.Duration
	// Entries is the number of entries that share the slack.
	Entries int
	// Random is a random number in [0, 1).
	Random float64
}

// AdmitToTrial decides whether a request goes to the target of its pool's order, and counts
// it if so.
func (c *Controller) AdmitToTrial(now time.Duration, pool string, q Request) bool {
	p := c.pools[pool]
	if p == nil || p.target() == "" {
		return false
	}
	r := p.rollout
	if r.moved || r.isPaused() || !c.isAllowed(r, q.Entries, 1) || !p.isWanted(now, c.limit, q) {
		return false
	}
	r.targetRequests++
	return true
}

// isAllowed reports whether the limit allows this entry to send the given number of
// additional requests to the target.
func (c *Controller) isAllowed(r *rollout, entries int, added float64) bool {
	return float64(r.targetRequests)+added <= c.allowance(r, entries)
}

// allowance returns the number of requests that this entry may have sent to the target,
// given the number of all its requests so far.
func (c *Controller) allowance(r *rollout, entries int) float64 {
	return usedShare*c.limit.Share*float64(r.oldRequests+r.targetRequests) + r.ownSlack(c.limit, entries)
}

// ownSlack returns this entry's share of the slack.
func (r *rollout) ownSlack(limit Limit, entries int) float64 {
	if !r.runningAtOrder {
		return 0
	}
	return usedSlack * limit.Slack / float64(max(entries, 1))
}

// isWanted reports whether one more request should go to the target now. During the move,
// requests that would outlast the deadline go there. Otherwise a random share of each
// route's requests does.
func (p *pool) isWanted(now time.Duration, limit Limit, q Request) bool {
	r := p.rollout
	rate := r.requestRate(now)
	slack := r.ownSlack(limit, q.Entries)
	if r.isMoving(now) && now+q.ExpectedDuration > r.deadline() {
		reserved := rate * reservedTime.Seconds()
		return float64(r.targetRequests)+1+reserved <= usedShare*limit.Share*float64(r.oldRequests+r.targetRequests)+slack
	}
	totalRequests := max(rate*r.Duration.Seconds(), 1)
	maxShare := usedShare*limit.Share + slack/totalRequests
	fleetRequests := totalRequests * float64(max(q.Entries, 1))
	// A version with fewer answers is not put in service, so nothing is kept for the move.
	needed := neededTrialAnswers / fleetRequests
	share := min(max(wantedTrialAnswers/fleetRequests, minTrialShare*maxShare), max(maxTrialShare*maxShare, min(needed, maxShare)))
	if n := r.oldByRoute[q.Route]; n > 0 {
		share = min(share*float64(r.oldRequests)/float64(n*len(r.oldByRoute)), maxRouteShare)
	}
	return q.Random < share
}

// RecordOldRequest counts a request that reached an endpoint of the old version.
func (c *Controller) RecordOldRequest(pool, route string) {
	if p := c.pools[pool]; p != nil && p.target() != "" {
		p.rollout.oldRequests++
		p.rollout.oldByRoute[route]++
	}
}

// ReturnTrial uncounts a request that AdmitToTrial admitted and that did not reach the
// target.
func (c *Controller) ReturnTrial(pool, target string) {
	if p := c.pools[pool]; p != nil && p.target() == target && p.rollout.targetRequests > 0 {
		p.rollout.targetRequests--
	}
}

// isPaused reports whether the target receives no requests until its answers look better. A
// version that is still in doubt after minPauseAnswers answers is usually bad.
func (r *rollout) isPaused() bool { return r.inDoubt && r.evaluatedAnswers >= minPauseAnswers }

func (r *rollout) deadline() time.Duration { return r.orderedAt + r.Duration }

// isMoving reports whether requests that would outlast the deadline go to the target.
func (r *rollout) isMoving(now time.Duration) bool {
	lead := min(maxMoveLead, time.Duration(maxMoveLeadShare*float64(r.Duration)))
	return now >= r.deadline()-lead && r.evaluatedAnswers >= minTargetAnswers && !r.inDoubt
}

// shareCoversRest reports whether the share allows all requests until the deadline to go to
// the target.
func (c *Controller) shareCoversRest(now time.Duration, r *rollout, entries int) bool {
	timeLeft := r.deadline() - now
	if timeLeft <= 0 {
		return true
	}
	if r.oldRequests < minRateRequests {
		// An entry that has just started does not know its request rate.
		return false
	}
	rate := r.requestRate(now)
	return c.isAllowed(r, entries, rate*timeLeft.Seconds())
}

// requestRate returns the number of requests per second that this entry sends to the pool.
func (r *rollout) requestRate(now time.Duration) float64 {
	return float64(r.oldRequests+r.targetRequests) / max((now-r.countingSince).Seconds(), 0.5)
}

// PreferredEndpoint returns the index of the target's endpoint, of n, that is to be filled
// first.
func (c *Controller) PreferredEndpoint(now time.Duration, pool string, n int) int {
	p := c.pools[pool]
	if p == nil || p.rollout == nil || n == 0 {
		return 0
	}
	return int((now-p.rollout.orderedAt)*preferenceTurns/max(p.rollout.Duration, 1)) % n
}

// preferenceTurns is the number of turns within the duration of an order. In each turn
// another endpoint is preferred.
const preferenceTurns = 24
