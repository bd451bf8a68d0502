package slot

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/bound"
	"lycheepond/core/logs"
	"lycheepond/core/rest"
	"lycheepond/core/wire"
)

// maxMissedReports is the number of consecutive missed load reports after which
// the endpoint counts as stalled and no request is claimed for it.
const maxMissedReports = 3

// Load returns the endpoint's load as of the last decision. It is safe for
// concurrent use.
func (o *Owner) Load() wire.Load { return *o.load.Load() }

// publishLoad updates the load that Load returns.
func (o *Owner) publishLoad() {
	var l wire.Load
	var now time.Duration
	if o.cfg.Now != nil {
		now = o.cfg.Now()
	}
	l.InFlight = uint16(len(o.running) + len(o.readyRecords))
	l.InFlightBound = uint16(o.bound.Limit())
	l.Queued = uint16(min(o.queue.Len(), 1<<16-1))
	l.QueuedCostMS = uint32(min(o.queue.Cost().Milliseconds(), 1<<32-1))
	l.WaitingTiers = o.queue.TierMask()
	for _, r := range o.running {
		tier := uint8(lowestTier)
		if r.offer != nil {
			// The tier of a resumed run is unknown and counts as the lowest. If it
			// were left out, an entry could refuse a higher tier while this run
			// lasts.
			tier = r.offer.Tier
		}
		l.RunningTiers |= 1 << tier
	}
	for _, r := range o.waitingUnqueued {
		l.WaitingTiers |= 1 << r.offer.Tier
	}
	l.ShedLevel = o.strictestLevel(now)
	l.Leaving = o.isLeaving
	l.Slow = o.isStalled || o.isDown || o.isResting(o.cfg.Now()) || o.bound.Slow()
	if old := o.load.Load(); old == nil || *old != l {
		o.load.Store(&l)
	}
}

func (o *Owner) handleReport(now time.Duration, l engine.Load, err error) {
	if err == nil || errors.Is(err, engine.ErrNoLoadReport) {
		o.markEndpointUp()
	}
	switch {
	case err == nil:
		o.bound.ObserveReport(now, bound.Report{Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, KVTotal: l.KVTotal, Age: l.Age()})
		o.updateServed(l.Model, l.Version)
	case errors.Is(err, engine.ErrConnectionRefused):
		o.markEndpointDown(now)
	case !errors.Is(err, engine.ErrNoLoadReport):
		o.missedReports++
		if o.missedReports == maxMissedReports {
			o.isStalled = true
			logs.Warn(o.log, logs.EventEndpointSlow, zap.Error(err))
		}
	}
}

// isResting reports whether the endpoint has asked to get no requests now.
func (o *Owner) isResting(now time.Duration) bool { return o.rests.Left(now, "") > 0 }

// observeRest records the rest that the answer of a run asks for.
func (o *Owner) observeRest(now time.Duration, res call.Result) {
	if res.HasRest && o.rests.Ask(now, "", res.Rest, 0) == rest.Begun {
		logs.Info(o.log, logs.EventEndpointRests, zap.Duration("asked", res.Rest), zap.Duration("left", o.rests.Left(now, "")))
	}
}

// updateServed records what the endpoint serves and informs every entry of a
// change.
func (o *Owner) updateServed(model, version string) {
	if o.orderState.servedModel == model && o.orderState.servedVersion == version {
		return
	}
	o.orderState.servedModel, o.orderState.servedVersion = model, version
	o.broadcastHeartbeat()
}

// broadcastHeartbeat sends the current load and state to every entry now, before
// the next regular heartbeat.
func (o *Owner) broadcastHeartbeat() {
	for _, s := range o.sessions {
		if s.link != nil {
			o.sendHeartbeat(s.link)
		}
	}
}

func (o *Owner) sendHeartbeat(p *Peer) {
	o.send(p, &wire.Heartbeat{Load: *o.load.Load(), Leaving: o.isLeaving, Model: o.orderState.servedModel, Version: o.orderState.servedVersion})
}

func (o *Owner) markEndpointUp() {
	if o.isDown || o.isStalled {
		logs.Info(o.log, logs.EventEndpointBack)
	}
	o.isDown, o.isStalled, o.missedReports = false, false, 0
}

// markEndpointDown records that the endpoint refuses connections and returns the
// waiting requests that are not claimed, because another endpoint may be up.
func (o *Owner) markEndpointDown(now time.Duration) {
	if !o.isDown {
		logs.Warn(o.log, logs.EventEndpointAway)
	}
	o.isDown = true
	for _, r := range o.waiting {
		if r.state != stateClaimed {
			o.returnRequest(now, r, wire.ReasonUnreachable)
		}
	}
}
