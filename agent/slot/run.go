package slot

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/agent/call"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// cancelTimeout bounds the endpoint's reply to a cancel.
const cancelTimeout = 2 * time.Second

// startRun passes a granted request to the endpoint.
func (o *Owner) startRun(now time.Duration, r *record) {
	g := r.grant
	r.grant, r.isStream = nil, g.Stream
	req := &call.Request{
		ID: r.id, Method: g.Method, Path: g.Path, Header: g.Header, Body: g.Body, Stream: g.Stream,
		Guard: o.newLeaseGuard(r),
	}
	o.launchRun(now, r, func(ctx context.Context, sink call.Sink) call.Result {
		return o.cfg.Run(ctx, req, sink, r.progress)
	})
}

// launchRun runs f, which calls the endpoint for r, in a goroutine.
func (o *Owner) launchRun(now time.Duration, r *record, f func(ctx context.Context, sink call.Sink) call.Result) {
	o.setState(now, r, stateRunning)
	r.startedAt = now
	o.cfg.Stats.recordStart(r.offer, now-r.arrivedAt)
	r.progress = call.NewProgress()
	sink := call.Sink{Head: r.answer.SetHead, Chunk: r.answer.Append}
	ctx, stop := context.WithCancel(o.taskCtx)
	r.cancelContext = stop
	o.startTask(func(context.Context) event {
		defer stop()
		res := f(ctx, sink)
		if res.Sent && !res.Complete && ctx.Err() == nil && o.cfg.AcceptsConnections != nil {
			res.Crashed = !o.cfg.AcceptsConnections(ctx)
		}
		return runEndEvent{r, res}
	})
}

// handleRunEnd handles the end of a run.
func (o *Owner) handleRunEnd(now time.Duration, r *record, res call.Result) {
	runTime := now - r.stateSince
	o.setState(now, r, stateEnded)
	if !res.Sent {
		o.returnUnsent(now, r, res)
		return
	}
	if r.isCharged {
		r.isCharged = false
		o.queue.ChargeActual(r.offer.Customer, r.offer.Tier, r.work.Cost, runTime)
	}
	o.observe(now, r, res.Usage)
	o.observeRest(now, res)
	reason := r.stopReason
	if !res.Complete && reason == wire.ReasonNone {
		reason = brokenReason(res)
		logs.Warn(o.log, logs.EventAnswerBroken, logs.Request(r.id), zap.Error(res.Err))
	}
	if res.Complete {
		reason = wire.ReasonNone
	}
	o.publishLoad()
	r.answer.Close(wire.End{Complete: res.Complete, Reason: reason, Usage: res.Usage})
	o.cfg.Stats.recordEnd(r.offer, res, runTime)
	o.recordKeyEnd(now, r)
	// The record is kept for a long time, so drop what only the run needed.
	r.offer, r.progress, r.cancelContext, r.guard = nil, nil, nil, nil
}

// returnUnsent returns a request to its entry after a run in which certainly no
// byte of it reached the endpoint.
func (o *Owner) returnUnsent(now time.Duration, r *record, res call.Result) {
	reason := wire.ReasonUnreachable
	switch {
	case r.guard.Blocked():
		reason = wire.ReasonNoLease
	case r.stopReason != wire.ReasonNone:
		reason = r.stopReason
	case errors.Is(res.Err, call.ErrUnreachable):
		o.markEndpointDown(now)
	}
	o.setTombstone(now, r, reason)
	o.sendReturn(r, reason)
}

// stopRun stops a run. It does not undo what the endpoint has already done.
func (o *Owner) stopRun(r *record, reason wire.Reason) {
	if r.stopReason != wire.ReasonNone {
		return
	}
	r.stopReason = reason
	logs.Info(o.log, logs.EventRequestCancelled, logs.Request(r.id), zap.String("reason", reason.String()))
	stop := r.cancelContext
	cancel, id := o.cfg.Cancel, r.id
	if cancel == nil {
		stop()
		return
	}
	o.startTask(func(ctx context.Context) event {
		ctx, done := context.WithTimeout(ctx, cancelTimeout)
		defer done()
		err := cancel(ctx, id)
		stop()
		if err != nil {
			return cancelFailedEvent{id, err}
		}
		return nil
	})
}

type cancelFailedEvent struct {
	id  ident.ID
	err error
}

func (e cancelFailedEvent) apply(o *Owner, _ time.Duration) {
	logs.Warn(o.log, logs.EventFailed, logs.Request(e.id), zap.Error(e.err))
}

// handleCancel handles an entry's Cancel. A run with an idempotency key continues,
// because a retry with the key must get its answer.
func (o *Owner) handleCancel(now time.Duration, p *Peer, m *wire.Cancel) {
	r := o.ownRecord(p, m.ID)
	if r == nil {
		return
	}
	switch r.state {
	case stateQueued, stateParked, stateLapsed:
		o.handleWithdraw(now, p, m.ID)
	case stateClaimed:
		o.setTombstone(now, r, wire.ReasonCancelled)
	case stateReady:
		o.returnRequest(now, r, wire.ReasonCancelled)
	case stateRunning, stateEnded:
		o.cancelRun(r, m.Reason)
	}
}

func (o *Owner) cancelRun(r *record, reason wire.Reason) {
	if reason == wire.ReasonNone {
		reason = wire.ReasonCancelled
	}
	if r.key != nil {
		o.stopFollow(r)
		return
	}
	if r.state == stateRunning {
		o.stopRun(r, reason)
	}
}

// startFollow starts to send the answer ans to link p under the request ID id, from
// chunk fromSeq on.
func (o *Owner) startFollow(r *record, id ident.ID, ans *answer.Log, p *Peer, fromSeq uint32) {
	o.stopFollow(r)
	ctx, stop := context.WithCancel(o.taskCtx)
	f := &followTask{stop: stop}
	r.follower = f
	follower := &answer.Follower{ID: id, FromSeq: fromSeq, Send: p.SendWait, Load: func() wire.Load { return *o.load.Load() }}
	o.startTask(func(context.Context) event {
		defer stop()
		// If the link fails, the follower ends, and the entry attaches on a new
		// link.
		return followEndEvent{r, f, ans.Follow(ctx, follower) == nil}
	})
}

func (o *Owner) stopFollow(r *record) {
	if r.follower != nil {
		r.follower.stop()
		r.follower = nil
	}
}
