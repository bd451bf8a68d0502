package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/trust"
	"lycheepond/entry/hop"
)

const (
	// maxSends is how many endpoints one job may be sent to as long as none of
	// them has run it.
	maxSends = 3
	// maxPlain bounds an answer that is held until it is whole.
	maxPlain = 16 << 20
	// shortLeft is the least time that makes another try worth its load.
	shortLeft = 30 * time.Millisecond
	// busyRetry is when to come back after endpoints said that they are full.
	busyRetry = 300 * time.Millisecond
)

// Serve carries a job to its final answer. ctx ends when the caller leaves.
func (d *Director) Serve(ctx context.Context, j *Job, s Sink) Result {
	d.count(1)
	defer d.count(-1)
	res := d.serve(ctx, j, s)
	d.note(j, res)
	return res
}

func (d *Director) count(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += n
}

func (d *Director) serve(ctx context.Context, j *Job, s Sink) Result {
	wait, ok := d.charge(j)
	if !ok {
		return Result{Outcome: Limited, Retry: wait, Why: "customer over its limit"}
	}
	v, dec := d.place(j, "", j.Output)
	if dec.Endpoint < 0 {
		d.refund(j)
		return Result{Outcome: Refused, Retry: dec.Retry, Why: dec.Why.String(), Basis: v.basis}
	}
	d.earn(v)
	end, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.End())
	defer cancel()
	if !j.Route.Once() || j.Route.Stream {
		// Nobody waits for the answer once the caller has left, so the endpoint
		// is freed. A request that must not be repeated runs to its end: cut
		// off halfway, neither side could tell what it did.
		defer context.AfterFunc(ctx, cancel)()
	}
	t := &task{d: d, job: j, sink: s, caller: ctx, ctx: end}
	res := t.run(v)
	if res.Outcome == Refused {
		d.refund(j)
	}
	return res
}

// note writes what became of a job to log and metrics.
func (d *Director) note(j *Job, res Result) {
	took := time.Since(j.Accepted)
	d.cfg.Metrics.Counter("requests", meter.Outcome(res.Outcome.String()), meter.Class(j.Route.Name)).Inc(1)
	meter.Milliseconds(d.cfg.Metrics.Histogram("answer_ms", meter.Class(j.Route.Name)), took)
	fields := []zap.Field{
		zap.String("request_id", j.ID), zap.String("route", j.Route.Name), zap.String("outcome", res.Outcome.String()), zap.Stringer("tier", j.Tier),
		zap.Duration("took", took), zap.String("why", res.Why), zap.Int64("config", d.Table().Revision()),
	}
	if j.Customer != nil {
		fields = append(fields, zap.String("customer", j.Customer.Name))
	}
	if b := res.Basis; b.Known > 0 {
		fields = append(fields, zap.String("endpoint", b.Endpoint), zap.Duration("predicted", b.Predicted), zap.Duration("first", b.First),
			zap.Int("ahead", b.Ahead), zap.Int("prompt", b.Prompt), zap.Int("heard", b.Heard), zap.Int("known", b.Known))
	}
	switch res.Outcome {
	case Complete, Left:
		logs.Info(d.cfg.Log, logs.EventRequestDone, fields...)
	case Limited, Refused:
		logs.Info(d.cfg.Log, logs.EventRequestRefused, append(fields, zap.Duration("retry", res.Retry), zap.Duration("left", time.Until(j.End())))...)
	default:
		logs.Warn(d.cfg.Log, logs.EventRequestUnknown, fields...)
	}
}

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
	// paid is set when a repeat was taken from the budget already.
	paid bool
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
	switch {
	case t.caller.Err() != nil:
		return nil, "caller left"
	case time.Until(t.job.End()) < shortLeft:
		return nil, "no time left"
	case got.ran && t.job.Route.Once():
		return nil, "may have run and must not run twice"
	case t.ran >= max(t.job.Route.Attempts, 1):
		return nil, "no attempt left"
	case t.sends >= maxSends:
		return nil, "sent to enough endpoints"
	case got.arrived && !got.paid && !t.d.repeat(v):
		return nil, "no repeat left in the budget"
	}
	next, dec := t.d.place(t.job, v.id, max(t.job.Output-t.passed, 0))
	if dec.Endpoint < 0 {
		return nil, dec.Why.String()
	}
	logs.Info(t.d.cfg.Log, logs.EventRequestReturned, zap.String("request_id", t.job.ID), zap.String("why", got.res.Why),
		zap.String("from", v.id), zap.String("to", next.id))
	return next, ""
}

// fail returns the result of a job that is not tried again.
func (t *task) fail(got verdict, why string) Result {
	why = got.res.Why + "; " + why
	switch {
	case t.caller.Err() != nil:
		return Result{Outcome: Left, Why: why}
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
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	if patience := t.patience(v); patience > 0 {
		timer := time.AfterFunc(patience, cancel)
		defer timer.Stop()
		a, got := t.send(ctx, v)
		timer.Stop()
		return t.receive(a, got, v, cancel)
	}
	a, got := t.send(ctx, v)
	return t.receive(a, got, v, cancel)
}

// patience is how long the head of an answer is waited for before the job is
// sent to another endpoint; zero if it may not be.
func (t *task) patience(v *visit) time.Duration {
	j := t.job
	if j.Route.Once() || t.ran+1 >= j.Route.Attempts || v.alone {
		return 0
	}
	if j.Route.Stream {
		return 2 * j.Route.Target
	}
	return j.Route.Target
}

// send writes the job and returns the answer if it is one that may be passed on.
func (t *task) send(ctx context.Context, v *visit) (*hop.Answer, verdict) {
	j := t.job
	r := &hop.Request{
		Method: j.Method, Target: j.Target, Host: j.Host, Header: j.Header.Clone(), Body: j.Body,
		Once: j.Route.Once(), Own: func(status int, h http.Header) bool { return t.d.cfg.Own(j.ID, status, h) },
	}
	last := j.LastEvent
	if t.lastEvent != "" {
		last = t.lastEvent
	}
	t.d.cfg.Stamp(r, Order{Endpoint: v.id, Customer: j.Customer, Left: time.Until(j.End()), LastEvent: last})
	_, known := t.d.cfg.Reach()
	a, err := t.d.cfg.Client.Do(ctx, v.addr, v.connLimit(j.Pool, known), r)
	if err != nil {
		return nil, t.unanswered(v, err)
	}
	m := t.d.cfg.Read(a)
	v.head(m)
	switch {
	case m.NotRun || m.WrongEndpoint:
		io.Copy(io.Discard, io.LimitReader(a, maxPlain))
		a.Close()
		v.abandon()
		return nil, verdict{arrived: true, res: Result{Why: "endpoint did not run it"}}
	case a.Status < 300 && !m.Signed:
		a.Close()
		v.end(trust.Broken)
		return nil, verdict{arrived: true, ran: true, res: Result{Why: "answer without the endpoint's signature"}}
	case a.Status >= 500 && t.mayRepeatError() && t.d.repeat(v):
		io.Copy(io.Discard, io.LimitReader(a, maxPlain))
		a.Close()
		v.end(trust.Error)
		return nil, verdict{arrived: true, ran: true, paid: true, res: Result{Why: "endpoint answered with an error"}}
	}
	return a, verdict{}
}

// mayRepeatError reports whether an error of an endpoint is better followed by
// another try than passed on. It is asked before the budget: an answer that was
// thrown away for a repeat that is not to be had would be lost.
func (t *task) mayRepeatError() bool {
	j := t.job
	return !j.Route.Once() && !t.begun && t.ran+1 < j.Route.Attempts && t.sends < maxSends && time.Until(j.End()) > shortLeft
}

// unanswered says what a failed exchange means.
func (t *task) unanswered(v *visit, err error) verdict {
	switch {
	case errors.Is(err, hop.ErrBusy):
		v.abandon()
		return verdict{res: Result{Why: "no connection left to the endpoint"}}
	case errors.Is(err, hop.ErrNotSent):
		if t.ctx.Err() == nil {
			v.end(trust.Unreachable)
		}
		return verdict{res: Result{Why: "endpoint accepts no connection"}}
	case t.caller.Err() != nil && t.ctx.Err() != nil:
		v.abandon()
		return done(Left, "caller left")
	case t.ctx.Err() != nil:
		v.abandon()
		return verdict{arrived: true, ran: true, res: Result{Why: "time is up"}}
	}
	v.end(trust.Broken)
	return verdict{arrived: true, ran: true, res: Result{Why: "no answer: " + err.Error()}}
}

// receive passes an answer on; without one it returns what send found.
func (t *task) receive(a *hop.Answer, got verdict, v *visit, cancel context.CancelFunc) verdict {
	if a == nil {
		return got
	}
	defer a.Close()
	if t.job.Route.Stream && a.Status == http.StatusOK {
		return t.relay(a, v, cancel)
	}
	if t.begun {
		v.end(trust.Broken)
		return verdict{arrived: true, ran: true, res: Result{Why: "the stream was not resumed"}}
	}
	return t.plain(a, v)
}

// plain passes an answer on once it is whole, so that a broken one can still be
// made good or told as what it is.
func (t *task) plain(a *hop.Answer, v *visit) verdict {
	body, err := io.ReadAll(io.LimitReader(a, maxPlain))
	if err != nil || !a.Whole() {
		if t.ctx.Err() != nil {
			return verdict{arrived: true, ran: true, res: Result{Why: "time is up"}}
		}
		v.end(trust.Broken)
		return verdict{arrived: true, ran: true, res: Result{Why: "answer broke off"}}
	}
	if a.Status >= 500 {
		v.end(trust.Error)
	} else {
		v.end(trust.Good)
	}
	if promises(a.Status) {
		// These statuses promise that nothing ran, and the endpoint has not
		// said so.
		return verdict{arrived: true, ran: true, res: Result{Why: "endpoint refused without saying that it did not run"}}
	}
	t.sink.Head(a.Status, a.Header, int64(len(body)))
	if err := t.sink.Write(body); err != nil {
		return done(Left, "caller left")
	}
	t.sink.Flush()
	return done(Complete, "")
}

// promises reports whether a status tells callers that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
