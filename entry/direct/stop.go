package direct

import (
	"context"
	"errors"
	"time"

	"lycheepond/core/grace"
)

// errStopping reports that the answer to a request would not be complete before this entry
// stops.
var errStopping = errors.New("the entry stops before the answer could be complete")

// StoppingRetryAfter is the time after which to retry at another entry when this one is
// stopping. An immediate retry would succeed too; the delay keeps callers from retrying without
// any pause.
const StoppingRetryAfter = 10 * time.Millisecond

// BeginStop has the director refuse, from now on, each job whose answer is not expected to be
// complete at end, when the entry stops. Jobs that wait for an endpoint are refused once they
// have waited too long for that.
func (d *Director) BeginStop(end time.Time) {
	d.mu.Lock()
	d.stopAt = end
	d.mu.Unlock()
	d.markStopping()
}

// answerKind identifies the answers by which the time of another one is estimated: those of a
// pool of engines, whose work is stated, or those of one route at a plain service. The zero value
// is the kind of answers of unknown length.
type answerKind struct{ pool, route string }

func kindOf(j *Job) answerKind {
	switch {
	case !j.Pool.Engine:
		return answerKind{pool: j.Pool.Name, route: j.Route.Name}
	case j.OutputTokens > 0:
		return answerKind{pool: j.Pool.Name}
	}
	return answerKind{}
}

// recordAnswerTime records how long a whole answer took. The caller holds d.mu.
func (a *attempt) recordAnswerTime(now time.Time) {
	if a.kind == (answerKind{}) {
		return
	}
	times := a.d.answers[a.kind]
	if times == nil {
		times = new(grace.Answers)
		a.d.answers[a.kind] = times
	}
	times.Observe(a.expected, now.Sub(a.sentAt))
}

// forgetAnswers forgets the answers of pools and routes that are not configured any more. The
// caller holds d.mu.
func (d *Director) forgetAnswers() {
	for route := range d.bodyLengths {
		if !d.view.table.HasRoute(route) {
			delete(d.bodyLengths, route)
		}
	}
	for k := range d.answers {
		if _, ok := d.view.table.Pool(k.pool); !ok || k.route != "" && !d.view.table.HasRoute(k.route) {
			delete(d.answers, k)
		}
	}
}

// timeToSend returns for how long a job may still be sent, so that its answer is expected to be
// complete before the entry stops, if it waits for wait at the endpoint and has some output
// tokens left. isLimited is false if it may be sent at any time. The caller holds d.mu.
func (d *Director) timeToSend(j *Job, outputTokens int, wait time.Duration) (left time.Duration, isLimited bool) {
	if d.stopAt.IsZero() || !j.End().After(d.stopAt) {
		// By its end the job gets its final answer in any case.
		return 0, false
	}
	times := d.answers[kindOf(j)]
	if times == nil {
		return 0, true
	}
	_, knownEntries := d.cfg.EntryCounts()
	pace := d.view.pool(j.Pool.Name, d.cfg.RetryBudget, knownEntries).learner.Pace("")
	longest, ok := times.Longest(grace.Work{PromptTokens: j.PromptTokens, OutputTokens: outputTokens}, func(w grace.Work) time.Duration {
		return pace.FirstEvent + time.Duration(w.PromptTokens)*pace.PerPromptToken + time.Duration(w.OutputTokens)*pace.PerOutputToken
	})
	if !ok {
		return 0, true
	}
	return time.Until(d.stopAt) - wait - longest, true
}

// maySend reports whether the answer to a job that is sent now is expected to be complete before
// the entry stops. The arguments are those of timeToSend. The caller holds d.mu.
func (d *Director) maySend(j *Job, outputTokens int, wait time.Duration) bool {
	left, isLimited := d.timeToSend(j, outputTokens, wait)
	return !isLimited || left > 0
}

// canStillServe reports whether the answer to a job with some output tokens left could be
// complete before the entry stops, if an endpoint had a free slot.
func (d *Director) canStillServe(j *Job, outputTokens int) bool {
	if !d.isStopping() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maySend(j, outputTokens, 0)
}

// isStopping reports whether BeginStop has been called.
func (d *Director) isStopping() bool { return d.stopping.Err() != nil }

// admissionContext returns the context in which a job is admitted. It ends with ctx, and while
// the entry stops as soon as the job can't be sent in time any more. The returned function
// releases it.
func (d *Director) admissionContext(ctx context.Context, j *Job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWatch := context.AfterFunc(d.stopping, func() {
		d.mu.Lock()
		left, isLimited := d.timeToSend(j, j.OutputTokens, 0)
		d.mu.Unlock()
		if isLimited {
			time.AfterFunc(left, func() { cancel(errStopping) })
		}
	})
	return ctx, func() {
		stopWatch()
		cancel(nil)
	}
}
