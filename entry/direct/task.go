package direct

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

const (
	// maxSends is how many endpoints one job may be sent to as long as none of
	// them has run it.
	maxSends = 3
	// shortLeft is the least time that makes another try worth its load.
	shortLeft = 30 * time.Millisecond
	// busyRetry is when to come back after endpoints said that they are full.
	busyRetry = 300 * time.Millisecond
)

// task is a job on its way.
type task struct {
	d    *Director
	job  *Job
	sink Sink
	// caller ends when the caller leaves, ctx when the work is to stop.
	caller, ctx context.Context
	// ran counts endpoints that may have run the job, sends those it was sent to.
	ran, sends int
	// begun is set once the head of an answer was passed on.
	begun bool
	// lastEvent is the last event of a stream that was passed on whole.
	lastEvent string
	// passed counts output tokens that were passed on.
	passed int
}

// verdict is what one try means for the job.
type verdict struct {
	// done is set when the job has its result.
	done bool
	res  Result
	// arrived is set when the endpoint got the job and ran when it may have run
	// it.
	arrived, ran bool
	// next is the try that follows, if it has its place and its repeat already.
	next *visit
}

func done(o Outcome, why string) verdict {
	return verdict{done: true, res: Result{Outcome: o, Why: why}}
}

// run tries endpoints until the job has its result.
func (t *task) run(v *visit) Result {
	for {
		t.sends++
		got := t.try(v)
		got.res.Basis = v.basis
		if got.done {
			return got.res
		}
		if got.ran {
			t.ran++
		}
		next, why := t.next(v, got)
		if next == nil {
			res := t.fail(got, why)
			res.Basis = v.basis
			return res
		}
		v = next
	}
}

// next returns the next try, or nil and the reason why there is none.
func (t *task) next(v *visit, got verdict) (*visit, string) {
	next, lack := got.next, ""
	switch {
	case next != nil && t.caller.Err() != nil:
		t.d.giveBack(next)
		next, lack = nil, gone(t.caller).Why
	case next != nil && !got.arrived:
		t.d.unspend(v)
	case next == nil:
		next, lack = t.another(v, got)
	}
	if next == nil {
		return nil, lack
	}
	logs.Info(t.d.cfg.Log, logs.EventRequestReturned, zap.String("request_id", t.job.ID), zap.String("why", got.res.Why), zap.Stringer("fingerprint", t.job.fingerprint),
		zap.String("from", v.id), zap.String("to", next.id), zap.Duration("silent", v.basis.Silent), zap.Duration("bound", v.basis.Bound))
	return next, ""
}

// another returns a try that follows one that has ended, or what it lacks.
func (t *task) another(v *visit, got verdict) (*visit, string) {
	if got.ran && t.job.Route.AtMostOnce() {
		return nil, "may have run and must not run twice"
	}
	if lack := t.lacks(t.ran, t.sends); lack != "" {
		return nil, lack
	}
	return t.d.reserve(t.job, v, trial{avoid: v.id, output: t.output(), part: 1}, !got.arrived)
}

// lacks returns what a job lacks for another try, apart from a repeat and a place:
// nothing if it is empty. ran and sends count what it had.
func (t *task) lacks(ran, sends int) string {
	switch {
	case t.caller.Err() != nil:
		return gone(t.caller).Why
	case time.Until(t.job.End()) < shortLeft:
		return "no time left"
	case ran >= max(t.job.Route.Attempts, 1):
		return "no attempt left"
	case sends >= maxSends:
		return "sent to enough endpoints"
	case t.d.suspect(t.job):
		return "it may crash endpoints"
	}
	return ""
}

// output is how many tokens are still expected.
func (t *task) output() int { return max(t.job.Output-t.passed, 0) }

// fail returns the result of a job that is not tried again.
func (t *task) fail(got verdict, why string) Result {
	why = got.res.Why + "; " + why
	switch {
	case t.caller.Err() != nil:
		return Result{Outcome: gone(t.caller).Outcome, Why: why}
	case t.begun:
		return Result{Outcome: Broken, Why: why}
	case t.ran > 0 && t.ctx.Err() != nil:
		return Result{Outcome: Late, Why: why}
	case t.ran > 0:
		return Result{Outcome: Unknown, Why: why}
	}
	return Result{Outcome: Refused, Retry: busyRetry, Why: why}
}

// try sends the job to one endpoint.
func (t *task) try(v *visit) verdict {
	defer v.abandon()
	x := v.exchange
	if x == nil {
		x = t.exchange(v)
	}
	ctx := x.ctx
	defer x.cancel(nil)
	w := t.watch(v, x.cancel)
	w.begin()
	a, got := t.send(x, v, w)
	got = t.receive(a, got, v, w)
	w.end()
	t.ran, t.sends = w.ran-1, w.sends
	if cause := context.Cause(ctx); cause != nil && !(got.done && got.res.Outcome == Complete) {
		t.d.givenUp(kindOf(cause))
	}
	if got.next == nil {
		got.next = w.replaced()
	}
	if got.done && got.next != nil {
		t.d.giveBack(got.next)
		got.next = nil
	}
	return got
}

// replaceable reports whether there may be another try in the place of v.
func (t *task) replaceable(v *visit) bool { return t.ran+1 < t.job.Route.Attempts && !v.alone }

// patience is how long the head of an answer is waited for before the job is
// sent to another endpoint that has room; zero if it may not be.
func (t *task) patience(v *visit) time.Duration {
	j := t.job
	if j.Route.AtMostOnce() || !t.replaceable(v) {
		return 0
	}
	if j.Route.Stream {
		return 2 * j.Route.Target
	}
	return j.Route.Target
}
