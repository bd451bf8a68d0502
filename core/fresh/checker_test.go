package fresh

import "time"

const (
	// maxWait is the longest wait of a call for changes, with checks in parallel.
	maxWait = 24 * time.Second
	// checkTimeout is the timeout of a check. maxListCalls bounds the parallel calls for
	// the first list. pollInterval is the interval at which the checker tests whether a
	// check is due.
	checkTimeout = maxAge * 3 / 10
	maxListCalls = 2
	pollInterval = 50 * time.Millisecond
)

// checker follows the list with waiting calls and parallel checks, like entry/follow.
type checker struct {
	e *entry
	// failedCalls counts the failed calls since the last success, whose call was sent at
	// lastSuccessSentAt. No call is sent before retryAt.
	failedCalls                int
	lastSuccessSentAt, retryAt time.Duration
	sinceRevision              int
	// listed is set once the list has been read. historyLost is set while the changes since
	// sinceRevision are no longer available. checking is set while a check is in flight.
	// waitingCall is the waiting call, and nextWaitAt the time for the next one.
	listed, historyLost, checking bool
	nextWaitAt                    time.Duration
	waitingCall                   *call
	// listCalls counts the calls for the first list in flight. listAttempt is the number of
	// the last scheduled attempt.
	listCalls, listAttempt int
}

func withChecks(maxAge time.Duration) strategy {
	return strategy{maxAge: maxAge, sendAtOnce: true, follow: func(e *entry) {
		c := &checker{e: e}
		c.requestList()
		e.after(e.w.randomUpTo(pollInterval), c.poll)
	}}
}

func (c *checker) poll() {
	c.sendDue()
	c.e.after(pollInterval, c.poll)
}

func (c *checker) requestList() {
	e, sentAt := c.e, c.e.w.now
	if c.listCalls < maxListCalls {
		c.listCalls++
		e.w.startCall(e, wholeList, 0, callTimeout, func(a answer) {
			c.listCalls--
			switch {
			case c.listed:
			case a.failed:
				c.recordFailure()
				c.scheduleList(c.retryAt - e.w.now)
			default:
				c.recordSuccess(sentAt)
				c.sinceRevision, c.listed, c.nextWaitAt = a.revision, true, e.w.now
				e.recordCheck(a.revision, sentAt)
				c.sendDue()
			}
		})
	}
	c.scheduleList(checkTimeout)
}

// scheduleList requests the list after d, unless it has arrived or another attempt has been
// scheduled by then.
func (c *checker) scheduleList(d time.Duration) {
	c.listAttempt++
	attempt := c.listAttempt
	c.e.after(d, func() {
		if !c.listed && c.listAttempt == attempt {
			c.requestList()
		}
	})
}

func (c *checker) recordSuccess(sentAt time.Duration) {
	c.failedCalls, c.lastSuccessSentAt = 0, max(c.lastSuccessSentAt, sentAt)
}

func (c *checker) recordFailure() {
	c.failedCalls++
	c.retryAt = c.e.w.now + c.e.w.backOff(c.failedCalls)
}

// sendDue sends the calls that are due.
func (c *checker) sendDue() {
	now := c.e.w.now
	if !c.listed {
		return
	}
	if c.failedCalls == 0 && !c.historyLost && c.waitingCall == nil && now >= c.nextWaitAt {
		wait := time.Duration(float64(maxWait) * (1 - 0.5*c.e.w.rnd.Float64()))
		c.waitingCall = c.startCall(c.sinceRevision, true, wait, wait+waitTimeoutMargin)
	}
	if c.isCheckDue(now) {
		c.checking = true
		c.startCall(wholeList, false, 0, checkTimeout)
	}
}

func (c *checker) isCheckDue(now time.Duration) bool {
	policy := Policy{c.e.w.strategy.maxAge}
	switch {
	case c.checking:
		return false
	case c.failedCalls > 0:
		return now >= c.retryAt
	case c.historyLost:
		return true
	}
	claim, ok := c.e.tracker.LatestClaim(int64(c.e.revision))
	if !ok || now-claim.At < policy.FirstCheckAge() {
		return !ok
	}
	reachable := c.e.reachableNames()
	return now-claim.At >= policy.CheckAge(Rank(c.e.id.Name, reachable, claim.CheckID), len(reachable)+1)
}

func (c *checker) startCall(from int, waits bool, wait, timeout time.Duration) *call {
	e, sentAt, sinceRevision := c.e, c.e.w.now, c.sinceRevision
	var started *call
	started = e.w.startCall(e, from, wait, timeout, func(a answer) {
		if !waits || started == c.waitingCall {
			c.handleAnswer(a, waits, sinceRevision, sentAt)
			c.sendDue()
		}
	})
	return started
}

// restartWaiting abandons the waiting call and sends the next one after a pause.
func (c *checker) restartWaiting(pause time.Duration) {
	if c.waitingCall != nil {
		c.waitingCall.ended = true
	}
	c.waitingCall, c.nextWaitAt = nil, c.e.w.now+pause
}

func (c *checker) handleAnswer(a answer, waits bool, sinceRevision int, sentAt time.Duration) {
	if waits {
		c.restartWaiting(0)
	} else {
		c.checking = false
	}
	if a.failed {
		if sentAt >= c.lastSuccessSentAt {
			c.recordFailure()
		}
		return
	}
	if a.historyLost {
		c.recordSuccess(sentAt)
		if sinceRevision == c.sinceRevision {
			c.historyLost = true
			c.restartWaiting(0)
		}
		return
	}
	if c.failedCalls > 0 {
		c.restartWaiting(0)
	}
	c.recordSuccess(sentAt)
	switch {
	case waits && sinceRevision != c.sinceRevision, !waits && a.revision < c.sinceRevision:
		// Another answer was newer.
		return
	case a.revision > c.sinceRevision:
		c.sinceRevision = a.revision
		c.e.recordCheck(a.revision, sentAt)
		c.restartWaiting(c.e.gatherTime())
	case !waits:
		c.e.recordCheck(c.sinceRevision, sentAt)
	}
	c.historyLost = c.historyLost && waits
}
