package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/resv"
)

// noReturnMargin is how long after its deadline a caller is told to return that need not return.
const noReturnMargin = time.Second

// Serve carries a job to its final answer. ctx ends when the caller leaves.
func (d *Director) Serve(ctx context.Context, j *Job, s Sink) Result {
	d.addRunning(1)
	defer d.addRunning(-1)
	j.setSuspect()
	res := d.serve(ctx, j, s)
	d.logResult(j, res)
	return res
}

func (d *Director) addRunning(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runningJobs += n
}

func (d *Director) serve(ctx context.Context, j *Job, s Sink) Result {
	if retry := d.quarantineWait(j); retry > 0 {
		return d.quarantineResult(j, retry)
	}
	if !d.canStillServe(j, j.OutputTokens) {
		return d.refusal(j, StoppingRetryAfter, errStopping.Error())
	}
	wait, ok := d.charge(j)
	if !ok {
		return Result{Outcome: Limited, RetryAfter: wait, Reason: "customer over its limit"}
	}
	if !d.bindToOrigin(ctx, j) {
		d.refund(j)
		return d.refusal(j, originRetryAfter, "not known which version began the stream")
	}
	admission, release := d.admissionContext(ctx, j)
	a, dec := d.admitJob(admission, j)
	stopped := errors.Is(context.Cause(admission), errStopping)
	release()
	if ctx.Err() != nil {
		if dec.Endpoint >= 0 {
			a.withdraw()
		}
		d.refund(j)
		res := callerEndResult(ctx)
		if isEnding(ctx) {
			res.Outcome, res.RetryAfter = Refused, busyRetryAfter
		}
		res.Placement = a.placement
		return res
	}
	if dec.Endpoint < 0 && stopped {
		d.refund(j)
		res := d.refusal(j, StoppingRetryAfter, errStopping.Error())
		res.Placement = a.placement
		return res
	}
	if dec.Endpoint < 0 {
		d.refund(j)
		res := d.refusal(j, dec.RetryAfter, dec.Reason.String())
		res.Placement = a.placement
		if a.placement.Plan == resv.None {
			res.RetryAfter, res.RefusedUntilRetry = max(res.RetryAfter, time.Until(j.Deadline)+noReturnMargin), true
		}
		return res
	}
	if retry := d.admitQuarantined(j); retry > 0 {
		// The quarantine began while the job was queued.
		a.withdraw()
		d.refund(j)
		return d.quarantineResult(j, retry)
	}
	d.earnRetry(a)
	end, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), j.End(), errTimeUp)
	defer cancel()
	work, stop := context.WithCancelCause(end)
	defer stop(nil)
	defer context.AfterFunc(ctx, func() {
		// Nobody waits for the answer once the caller has left, so the endpoint is freed. A
		// request that must not be repeated runs to its end: if it were cut off halfway,
		// neither side could tell what it did. If the entry is exiting, the end can't be
		// awaited.
		if !j.Route.AtMostOnce() || j.Route.Stream || isEnding(ctx) {
			stop(context.Cause(ctx))
		}
	})()
	headWritten, writeHead := false, s.Head
	s.Head = func(status int, h http.Header, length int64) {
		headWritten = true
		writeHead(status, h, length)
	}
	t := &task{d: d, job: j, sink: s, caller: ctx, ctx: work, version: j.version}
	res := t.run(a)
	if res.Outcome == ClosedByEntry && !headWritten && isEnding(ctx) {
		// The job has left the queue, so it may have run.
		res.Outcome = Unknown
	}
	if res.Outcome == Refused {
		d.refund(j)
		d.recordNotRun(j)
	}
	return res
}

// logResult writes the result of a job to the log and the metrics.
func (d *Director) logResult(j *Job, res Result) {
	took := time.Since(j.AcceptedAt)
	d.recordMetrics(j, res, took)
	fields := []zap.Field{
		zap.String("request_id", j.ID), zap.String("route", j.Route.Name), zap.String("outcome", res.Outcome.String()), zap.Stringer("tier", j.Tier),
		zap.Duration("took", took), zap.String("why", res.Reason), zap.Stringer("fingerprint", j.suspect.Fingerprint()), zap.Int64("config", d.Table().Revision()),
	}
	if j.OutputTokens > 0 {
		fields = append(fields, zap.Int("input", j.PromptTokens), zap.Int("output", j.OutputTokens))
	}
	if j.Customer != nil {
		fields = append(fields, zap.String("customer", j.Customer.Name))
		if j.Customer.Rate > 0 {
			fields = append(fields, zap.Float64("units", j.Units), zap.Float64("customer_left", j.customerLeft))
		}
	}
	if res.Outcome == Limited {
		fields = append(fields, zap.Int("heard", j.reachableEntries), zap.Int("known", j.knownEntries))
	}
	if p := res.Placement; p.KnownEntries > 0 {
		fields = append(fields, zap.String("endpoint", p.Endpoint), zap.String("version", p.Version), zap.Duration("predicted", p.PredictedFirst), zap.Duration("wait", p.PredictedWait), zap.Duration("first", p.TimeToFirst), zap.Duration("target", j.Route.Target), zap.Duration("stood", p.QueuedFor),
			zap.Int("ahead", p.RequestsAhead), zap.Int("prompt", p.PromptTokensAhead), zap.Int("heard", p.ReachableEntries), zap.Int("known", p.KnownEntries), zap.Duration("age", p.PeerReportAge), zap.String("owner", p.Owner),
			zap.Stringer("framing", p.Framing), zap.Int("unfinished", p.UnfinishedBytes))
		if p.Held > 0 {
			fields = append(fields, zap.Duration("held", p.Held))
		}
		if p.Returned > 0 {
			fields = append(fields, zap.Duration("returned", p.Returned))
		}
		if p.ConnWait > 0 {
			fields = append(fields, zap.Duration("connection_wait", p.ConnWait))
		}
		if p.ConnectionLimit > 0 {
			fields = append(fields, zap.Int("connections", p.Connections), zap.Int("connection_limit", p.ConnectionLimit))
		}
		if p.Slowdown > 1 {
			fields = append(fields, zap.Float64("slowdown", p.Slowdown))
		}
	}
	fields = append(fields, d.reportShare(j, res)...)
	switch res.Outcome {
	case Complete, CallerLeft:
		logs.Info(d.cfg.Log, logs.EventRequestDone, fields...)
	case Limited, Refused, Quarantined:
		if res.Outcome == Quarantined {
			fields = append(fields, zap.Strings("parts", j.loggedParts()), zap.Stringer("culprit", res.Culprit))
		}
		if p := res.Placement.Plan; p != resv.Unplanned {
			fields = append(fields, zap.Stringer("plan", p))
		}
		logs.Info(d.cfg.Log, logs.EventRequestRefused, append(fields, zap.Duration("retry", res.RetryAfter), zap.Duration("left", time.Until(j.End())))...)
	default:
		logs.Warn(d.cfg.Log, logs.EventRequestUnknown, append(fields, zap.Strings("parts", j.loggedParts()), zap.Duration("silent", res.Placement.Silence), zap.Duration("bound", res.Placement.SilenceBound))...)
	}
}

// recordMetrics counts the result of a job and its times.
func (d *Director) recordMetrics(j *Job, res Result, took time.Duration) {
	m, class := d.cfg.Metrics, meter.Class(j.Route.Name)
	m.Counter("requests", meter.Outcome(res.Outcome.String()), class).Inc(1)
	meter.UpdateMS(m.Histogram("answer_ms", class), took)
	if first := res.Placement.TimeToFirst; first > 0 {
		meter.UpdateMS(m.Histogram("first_ms", class), first)
	}
	if j.Customer == nil {
		return
	}
	switch res.Outcome {
	case Limited, Refused, Quarantined:
		d.retryTimes.Observe(j.Customer.Name, res.RetryAfter.Milliseconds())
	default:
		d.answerTimes.Observe(j.Customer.Name, took.Milliseconds())
	}
}
