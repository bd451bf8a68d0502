package direct

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
)

// Serve carries a job to its final answer. ctx ends when the caller leaves.
func (d *Director) Serve(ctx context.Context, j *Job, s Sink) Result {
	d.count(1)
	defer d.count(-1)
	j.setFingerprint()
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
	if retry := d.quarantined(j); retry > 0 {
		return quarantineResult(retry)
	}
	wait, ok := d.charge(j)
	if !ok {
		return Result{Outcome: Limited, Retry: wait, Why: "customer over its limit"}
	}
	v, dec := d.enter(ctx, j)
	if ctx.Err() != nil {
		if dec.Endpoint >= 0 {
			v.withdraw()
		}
		d.refund(j)
		res := gone(ctx)
		if ending(ctx) {
			res.Outcome, res.Retry = Refused, busyRetry
		}
		res.Basis = v.basis
		return res
	}
	if dec.Endpoint < 0 {
		d.refund(j)
		return Result{Outcome: Refused, Retry: dec.RetryAfter, Why: dec.Reason.String(), Basis: v.basis}
	}
	if retry := d.admitted(j); retry > 0 {
		// The quarantine began while the job was queued.
		v.withdraw()
		d.refund(j)
		return quarantineResult(retry)
	}
	d.earn(v)
	end, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), j.End(), errTimeUp)
	defer cancel()
	work, stop := context.WithCancelCause(end)
	defer stop(nil)
	defer context.AfterFunc(ctx, func() {
		// Nobody waits for the answer once the caller has left, so the endpoint
		// is freed. A request that must not be repeated runs to its end: cut
		// off halfway, neither side could tell what it did. If the entry ends,
		// it can't be awaited.
		if !j.Route.AtMostOnce() || j.Route.Stream || ending(ctx) {
			stop(context.Cause(ctx))
		}
	})()
	headed, head := false, s.Head
	s.Head = func(status int, h http.Header, length int64) {
		headed = true
		head(status, h, length)
	}
	t := &task{d: d, job: j, sink: s, caller: ctx, ctx: work}
	res := t.run(v)
	if res.Outcome == Cut && !headed && ending(ctx) {
		// It has left the line, so it may have run.
		res.Outcome = Unknown
	}
	if res.Outcome == Refused {
		d.refund(j)
		d.notRun(j)
	}
	return res
}

// note writes what became of a job to log and metrics.
func (d *Director) note(j *Job, res Result) {
	took := time.Since(j.Accepted)
	d.measure(j, res, took)
	fields := []zap.Field{
		zap.String("request_id", j.ID), zap.String("route", j.Route.Name), zap.String("outcome", res.Outcome.String()), zap.Stringer("tier", j.Tier),
		zap.Duration("took", took), zap.String("why", res.Why), zap.Stringer("fingerprint", j.fingerprint), zap.Int64("config", d.Table().Revision()),
	}
	if j.Output > 0 {
		fields = append(fields, zap.Int("input", j.Prompt), zap.Int("output", j.Output))
	}
	if j.Customer != nil {
		fields = append(fields, zap.String("customer", j.Customer.Name))
	}
	if b := res.Basis; b.Known > 0 {
		fields = append(fields, zap.String("endpoint", b.Endpoint), zap.Duration("predicted", b.Predicted), zap.Duration("wait", b.Wait), zap.Duration("first", b.First), zap.Duration("target", j.Route.Target), zap.Duration("stood", b.Stood),
			zap.Int("ahead", b.Ahead), zap.Int("prompt", b.Prompt), zap.Int("heard", b.Heard), zap.Int("known", b.Known), zap.Duration("age", b.Age), zap.String("owner", b.Owner))
	}
	switch res.Outcome {
	case Complete, Left:
		logs.Info(d.cfg.Log, logs.EventRequestDone, fields...)
	case Limited, Refused, Quarantined:
		logs.Info(d.cfg.Log, logs.EventRequestRefused, append(fields, zap.Duration("retry", res.Retry), zap.Duration("left", time.Until(j.End())))...)
	default:
		logs.Warn(d.cfg.Log, logs.EventRequestUnknown, append(fields, zap.Duration("silent", res.Basis.Silent), zap.Duration("bound", res.Basis.Bound))...)
	}
}

// measure counts what became of a job.
func (d *Director) measure(j *Job, res Result, took time.Duration) {
	m, class := d.cfg.Metrics, meter.Class(j.Route.Name)
	m.Counter("requests", meter.Outcome(res.Outcome.String()), class).Inc(1)
	meter.UpdateMS(m.Histogram("answer_ms", class), took)
	if first := res.Basis.First; first > 0 {
		meter.UpdateMS(m.Histogram("first_ms", class), first)
	}
	if j.Customer == nil {
		return
	}
	switch res.Outcome {
	case Limited, Refused, Quarantined:
		d.refused.Observe(j.Customer.Name, res.Retry.Milliseconds())
	default:
		d.answered.Observe(j.Customer.Name, took.Milliseconds())
	}
}
