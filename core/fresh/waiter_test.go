package fresh

import "time"

// waiter follows the list with waiting calls only. Each waits for 300 ms per reachable
// entry, at least 0.6 of the maximum age and at most 8 s.
type waiter struct {
	e *entry
	// listed is set once the list has been read. sinceRevision is the revision from which
	// it is followed. failedCalls counts the failed calls since the last success.
	listed                     bool
	sinceRevision, failedCalls int
}

func waitingOnly(maxAge time.Duration) strategy {
	return strategy{maxAge: maxAge, follow: func(e *entry) { (&waiter{e: e}).sendCall() }}
}

func (f *waiter) sendCall() {
	e, sentAt := f.e, f.e.w.now
	if !f.listed {
		e.w.startCall(e, wholeList, 0, callTimeout, func(a answer) { f.handleAnswer(a, sentAt) })
		return
	}
	wait := max(time.Duration(len(e.reachableNames())+1)*300*time.Millisecond, time.Duration(0.6*float64(e.w.strategy.maxAge)))
	wait = time.Duration(float64(min(wait, 8*time.Second)) * (1 - 0.3*e.w.rnd.Float64()))
	e.w.startCall(e, f.sinceRevision, wait, wait+waitTimeoutMargin, func(a answer) { f.handleAnswer(a, sentAt) })
}

func (f *waiter) handleAnswer(a answer, sentAt time.Duration) {
	e := f.e
	if a.failed {
		f.failedCalls++
		e.after(e.w.backOff(f.failedCalls), f.sendCall)
		return
	}
	pause := time.Duration(0)
	if a.changed && f.listed {
		pause = e.gatherTime()
	}
	if a.changed {
		e.recordCheck(a.revision, sentAt)
	}
	f.failedCalls, f.listed, f.sinceRevision = 0, !a.historyLost, max(f.sinceRevision, a.revision)
	e.after(pause, f.sendCall)
}
