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

// cancelTimeout is how long the endpoint may take to answer a cancel.
const cancelTimeout = 2 * time.Second

// start hands a granted request to the endpoint.
func (o *Owner) start(now time.Duration, r *rec) {
	g := r.grant
	r.grant, r.stream = nil, g.Stream
	req := &call.Request{
		ID: r.id, Method: g.Method, Path: g.Path, Header: g.Header, Body: g.Body, Stream: g.Stream,
		Guard: o.guard(r),
	}
	o.launch(now, r, func(ctx context.Context, sink call.Sink) call.Result {
		return o.cfg.Run(ctx, req, sink, r.progress)
	})
}

// launch runs f as the endpoint's side of r.
func (o *Owner) launch(now time.Duration, r *rec, f func(ctx context.Context, sink call.Sink) call.Result) {
	o.setState(now, r, running)
	r.started = now
	o.cfg.Stats.started(r.offer, now-r.arrived)
	r.progress = call.NewProgress()
	sink := call.Sink{Head: r.log.SetHead, Chunk: r.log.Append}
	ctx, stop := context.WithCancel(o.ctx)
	r.stop = stop
	o.task(func(context.Context) event {
		defer stop()
		res := f(ctx, sink)
		if res.Sent && !res.Complete && ctx.Err() == nil && o.cfg.Listening != nil {
			res.Crashed = !o.cfg.Listening(ctx)
		}
		return finished{r, res}
	})
}

// finish takes in how a run ended.
func (o *Owner) finish(now time.Duration, r *rec, res call.Result) {
	took := now - r.changed
	o.setState(now, r, ended)
	if !res.Sent {
		o.notRun(now, r, res)
		return
	}
	if r.charged {
		r.charged = false
		o.queue.Done(r.offer.Customer, r.offer.Tier, r.work.Cost, took)
	}
	o.observe(now, r, res.Usage)
	reason := r.stopped
	if !res.Complete && reason == wire.ReasonNone {
		reason = brokenReason(res)
		logs.Warn(o.log, logs.EventAnswerBroken, logs.Request(r.id), zap.Error(res.Err))
	}
	if res.Complete {
		reason = wire.ReasonNone
	}
	o.publish()
	r.log.Close(wire.End{Whole: res.Complete, Reason: reason, Usage: res.Usage})
	o.cfg.Stats.ended(r.offer, res, took)
	o.keyEnded(now, r)
	// The record is kept for long, so it lets go of what only the run needed.
	r.offer, r.progress, r.stop, r.guard = nil, nil, nil, nil
}

// notRun gives a request back that the endpoint certainly did not see.
func (o *Owner) notRun(now time.Duration, r *rec, res call.Result) {
	reason := wire.ReasonUnreachable
	switch {
	case r.guard.Blocked():
		reason = wire.ReasonNoLease
	case r.stopped != wire.ReasonNone:
		reason = r.stopped
	case errors.Is(res.Err, call.ErrUnreachable):
		o.endpointDown(now)
	}
	o.bury(now, r, reason)
	o.sendReturn(r, reason)
}

// halt stops a run. What the endpoint has done by then stays done.
func (o *Owner) halt(r *rec, reason wire.Reason) {
	if r.stopped != wire.ReasonNone {
		return
	}
	r.stopped = reason
	logs.Info(o.log, logs.EventRequestCancelled, logs.Request(r.id), zap.String("reason", reason.String()))
	stop := r.stop
	cancel, id := o.cfg.Cancel, r.id
	if cancel == nil {
		stop()
		return
	}
	o.task(func(ctx context.Context) event {
		ctx, done := context.WithTimeout(ctx, cancelTimeout)
		defer done()
		err := cancel(ctx, id)
		stop()
		if err != nil {
			return cancelFailed{id, err}
		}
		return nil
	})
}

type cancelFailed struct {
	id  ident.ID
	err error
}

func (e cancelFailed) apply(o *Owner, _ time.Duration) {
	logs.Warn(o.log, logs.EventFailed, logs.Request(e.id), zap.Error(e.err))
}

// cancel takes an entry's Cancel. A keyed run goes on, because a retry with
// its key is to get its answer.
func (o *Owner) cancel(now time.Duration, p *Peer, m *wire.Cancel) {
	r := o.known(p, m.ID)
	if r == nil {
		return
	}
	switch r.state {
	case queued, parked, lapsed:
		o.withdraw(now, p, m.ID)
	case claimed:
		o.bury(now, r, wire.ReasonCancelled)
	case ready:
		o.giveBack(now, r, wire.ReasonCancelled)
	case running, ended:
		o.cancelRun(r, m.Reason)
	}
}

func (o *Owner) cancelRun(r *rec, reason wire.Reason) {
	if reason == wire.ReasonNone {
		reason = wire.ReasonCancelled
	}
	if r.key != nil {
		o.unfollow(r)
		return
	}
	if r.state == running {
		o.halt(r, reason)
	}
}

// startFollow sends the answer in log to a link under id from piece next on.
func (o *Owner) startFollow(r *rec, id ident.ID, log *answer.Log, p *Peer, next uint32) {
	o.unfollow(r)
	ctx, stop := context.WithCancel(o.ctx)
	f := &following{stop: stop}
	r.follow = f
	follower := &answer.Follower{ID: id, FromSeq: next, Send: p.SendWait, Load: func() wire.Load { return *o.load.Load() }}
	o.task(func(context.Context) event {
		defer stop()
		// A failed link ends the follower; the entry attaches on a new one.
		return followed{r, f, log.Follow(ctx, follower) == nil}
	})
}

func (o *Owner) unfollow(r *rec) {
	if r.follow != nil {
		r.follow.stop()
		r.follow = nil
	}
}
