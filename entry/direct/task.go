package direct

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

const (
	// maxEndpointsPerJob is how many endpoints one job may be sent to as long as none of them
	// has run it.
	maxEndpointsPerJob = 3
	// minTimeLeft is the shortest remaining time that justifies the load of another attempt.
	minTimeLeft = 30 * time.Millisecond
	// busyRetryAfter is the time after which to retry when endpoints said that they are full.
	busyRetryAfter = 300 * time.Millisecond
)

// task is a job in progress.
type task struct {
	d    *Director
	job  *Job
	sink Sink
	// caller ends when the caller leaves, ctx when the work is to stop.
	caller, ctx context.Context
	// runCount counts the endpoints that may have run the job, sendCount those it was sent to.
	runCount, sendCount int
	// headSent is set once the head of an answer was forwarded.
	headSent bool
	// lastEventID is the ID of the last stream event that was forwarded.
	lastEventID string
	// sentTokens counts the output tokens that were forwarded.
	sentTokens int
	// version is the version at which the stream must go on, once it has begun.
	version boundVersion
}

// attemptResult is what the end of an attempt means for the job.
type attemptResult struct {
	// isFinal is set if result is the job's result.
	isFinal bool
	result  Result
	// wasReceived is set if the endpoint received the job, mayHaveRun if it may have run it.
	wasReceived, mayHaveRun bool
	// hadNoConn is set if the job was not sent because no connection to the endpoint was left.
	hadNoConn bool
	// next is the attempt that follows, if it already has its placement and its retry.
	next *attempt
}

func finalResult(o Outcome, reason string) attemptResult {
	return attemptResult{isFinal: true, result: Result{Outcome: o, Reason: reason}}
}

// run makes attempts until the job has its result.
func (t *task) run(a *attempt) Result {
	for {
		t.sendCount++
		got := t.runAttempt(a)
		got.result.Placement = a.placement
		if got.hadNoConn {
			t.sendCount--
		}
		t.d.dispatchAfterAttempt(a)
		if got.isFinal {
			return got.result
		}
		if got.mayHaveRun {
			t.runCount++
		}
		next, reason := t.nextAttempt(a, got)
		if next == nil {
			res := t.failureResult(got, reason)
			res.Placement = a.placement
			return res
		}
		a = next
	}
}

// nextAttempt returns the next attempt, or nil and the reason why there is none.
func (t *task) nextAttempt(a *attempt, got attemptResult) (*attempt, string) {
	next, missing := got.next, ""
	switch {
	case next != nil && t.caller.Err() != nil:
		t.d.cancelReserved(next)
		next, missing = nil, callerEndResult(t.caller).Reason
	case next != nil && !got.wasReceived:
		t.d.returnRetry(a)
	case next == nil:
		next, missing = t.reserveNext(a, got)
	}
	if next == nil {
		return nil, missing
	}
	logs.Info(t.d.cfg.Log, logs.EventRequestReturned, zap.String("request_id", t.job.ID), zap.String("why", got.result.Reason), zap.Stringer("fingerprint", t.job.suspect.Fingerprint()), zap.Strings("parts", t.job.loggedParts()),
		zap.String("from", a.id), zap.String("to", next.id), zap.String("from_version", a.version), zap.String("to_version", next.version), zap.Duration("silent", a.placement.Silence), zap.Duration("bound", a.placement.SilenceBound))
	return next, ""
}

// reserveNext returns an attempt that follows one that has ended, or nil and what is missing
// for it.
func (t *task) reserveNext(a *attempt, got attemptResult) (*attempt, string) {
	if got.mayHaveRun && t.job.Route.AtMostOnce() {
		return nil, "may have run and must not run twice"
	}
	if missing := t.missingForRetry(t.runCount, t.sendCount, t.remainingOutput()); missing != "" {
		return nil, missing
	}
	if t.version.isUnknown {
		return nil, "not known which version began the stream"
	}
	next, missing := t.d.reserve(t.job, a, placementOptions{avoidID: a.id, version: t.version, outputTokens: t.remainingOutput(), entryShare: 1}, !got.wasReceived)
	if next == nil && t.runCount == 0 {
		if wait, _ := t.d.restWait(t.job); wait > 0 {
			next = t.reserveAfterRest(a, !got.wasReceived)
		}
		if next != nil && t.d.isSuspect(t.job) {
			// It became suspect while it was queued.
			next.withdraw()
			if got.wasReceived {
				t.d.returnRetry(next)
			}
			return nil, "it may crash endpoints"
		}
	}
	return next, missing
}

// missingForRetry returns what a job lacks for another attempt, apart from a retry in the
// budget and a placement; empty if it lacks nothing. runCount and sendCount are its counts so
// far, outputTokens is how many output tokens are still expected. It may be called while the
// answer is being forwarded.
func (t *task) missingForRetry(runCount, sendCount, outputTokens int) string {
	switch {
	case t.caller.Err() != nil:
		return callerEndResult(t.caller).Reason
	case time.Until(t.job.End()) < minTimeLeft:
		return "no time left"
	case runCount >= max(t.job.Route.Attempts, 1):
		return "no attempt left"
	case sendCount >= maxEndpointsPerJob:
		return "sent to enough endpoints"
	case t.d.isSuspect(t.job):
		return "it may crash endpoints"
	case !t.d.canStillServe(t.job, outputTokens):
		return errStopping.Error()
	}
	return ""
}

// abortAtEnd aborts the writing of an answer that is not complete when the work is to stop: a caller
// that reads more slowly than the endpoint sends would hold the request beyond its end. The returned
// function must be called when the answer is complete or given up.
func (t *task) abortAtEnd() (stop func()) {
	aborted := make(chan struct{})
	stopAbort := context.AfterFunc(t.ctx, func() {
		defer close(aborted)
		t.sink.Abort()
	})
	return func() {
		if !stopAbort() {
			<-aborted
		}
	}
}

// remainingOutput returns how many output tokens are still expected.
func (t *task) remainingOutput() int { return max(t.job.OutputTokens-t.sentTokens, 0) }

// failureResult returns the result of a job that is not sent again.
func (t *task) failureResult(got attemptResult, reason string) Result {
	reason = got.result.Reason + "; " + reason
	switch {
	case t.caller.Err() != nil:
		return Result{Outcome: callerEndResult(t.caller).Outcome, Reason: reason}
	case t.headSent:
		return Result{Outcome: Broken, Reason: reason}
	case t.runCount > 0 && t.ctx.Err() != nil:
		return Result{Outcome: TimedOut, Reason: reason}
	case t.runCount > 0:
		return Result{Outcome: Unknown, Reason: reason}
	}
	if t.d.isStopping() {
		return t.d.refusal(t.job, StoppingRetryAfter, reason)
	}
	return t.d.refusal(t.job, busyRetryAfter, reason)
}

// runAttempt sends the job to one endpoint.
func (t *task) runAttempt(a *attempt) attemptResult {
	defer a.abandon()
	x := a.exchange
	if x == nil {
		x = t.newExchange(a)
	}
	ctx := x.ctx
	defer x.cancel(nil)
	w := t.newWatchdog(a, x.cancel)
	w.startSender()
	answer, got := t.awaitUsableAnswer(x, a, w)
	got = t.deliverAnswer(answer, got, a, w)
	w.stopSender()
	t.runCount, t.sendCount = w.runCount-1, w.sendCount
	if cause := context.Cause(ctx); cause != nil && !(got.isFinal && got.result.Outcome == Complete) {
		t.d.countGivenUp(cancelKind(cause))
	}
	if got.next == nil {
		got.next = w.currentReplacement()
	}
	if got.isFinal && got.next != nil {
		t.d.cancelReserved(got.next)
		got.next = nil
	}
	return got
}

// isReplaceable reports whether another attempt may take the place of a.
func (t *task) isReplaceable(a *attempt) bool {
	return t.runCount+1 < t.job.Route.Attempts && !a.isOnlyEndpoint
}

// headTimeout returns how long the head of an answer is awaited before the job is sent to
// another endpoint that has room; zero if it may not be.
func (t *task) headTimeout(a *attempt) time.Duration {
	j := t.job
	if j.Route.AtMostOnce() || !t.isReplaceable(a) {
		return 0
	}
	if j.Route.Stream {
		return 2 * j.Route.Target
	}
	return j.Route.Target
}
