package slot

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/engine"
	"lycheepond/core/bound"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// missedReports is how many reports in a row may fail to come before nothing
// more is claimed.
const missedReports = 3

// Load returns what is known of the endpoint. It is safe for concurrent use.
func (o *Owner) Load() wire.Load { return *o.load.Load() }

// publish brings what other goroutines see up to date.
func (o *Owner) publish() {
	var l wire.Load
	var now time.Duration
	if o.cfg.Now != nil {
		now = o.cfg.Now()
	}
	l.InFlight = uint16(len(o.running) + len(o.ready))
	l.Bound = uint16(o.bound.Limit())
	l.Queued = uint16(min(o.queue.Len(), 1<<16-1))
	l.QueuedCost = uint32(min(o.queue.Cost().Milliseconds(), 1<<32-1))
	l.Waiting = o.queue.Mask()
	for _, r := range o.running {
		tier := uint8(lowest)
		if r.offer != nil {
			// The tier of a resumed run is not known, which counts as lowest:
			// an entry that is told too little would refuse a higher tier.
			tier = r.offer.Tier
		}
		l.Running |= 1 << tier
	}
	for _, r := range o.held {
		l.Waiting |= 1 << r.offer.Tier
	}
	l.Level = o.reportedLevel(now)
	l.Leaving = o.leaving
	l.Slow = o.stalled || o.down || o.bound.Slow()
	if old := o.load.Load(); old == nil || *old != l {
		o.load.Store(&l)
	}
}

func (o *Owner) report(now time.Duration, l engine.Load, err error) {
	if err == nil || errors.Is(err, engine.ErrNoLoadReport) {
		o.endpointUp()
	}
	switch {
	case err == nil:
		o.bound.Report(now, bound.Report{Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, KVTotal: l.KVTotal, Age: l.Age()})
		o.serves(l.Model, l.Version)
	case errors.Is(err, engine.ErrConnectionRefused):
		o.endpointDown(now)
	case !errors.Is(err, engine.ErrNoLoadReport):
		o.lateProbe++
		if o.lateProbe == missedReports {
			o.stalled = true
			logs.Warn(o.log, logs.EventEndpointSlow, zap.Error(err))
		}
	}
}

// serves notes what the endpoint serves and tells every entry of a change.
func (o *Owner) serves(model, version string) {
	if o.orders.model == model && o.orders.version == version {
		return
	}
	o.orders.model, o.orders.version = model, version
	o.sayAll()
}

// sayAll tells every entry how things stand here, without waiting for the
// next heartbeat.
func (o *Owner) sayAll() {
	for _, s := range o.sessions {
		if s.link != nil {
			o.say(s.link)
		}
	}
}

func (o *Owner) say(p *Peer) {
	o.send(p, &wire.Beat{Load: *o.load.Load(), Leaving: o.leaving, Model: o.orders.model, Version: o.orders.version})
}

func (o *Owner) endpointUp() {
	if o.down || o.stalled {
		logs.Info(o.log, logs.EventEndpointBack)
	}
	o.down, o.stalled, o.lateProbe = false, false, 0
}

// endpointDown gives all that waits back, because another endpoint may be up.
func (o *Owner) endpointDown(now time.Duration) {
	if !o.down {
		logs.Warn(o.log, logs.EventEndpointAway)
	}
	o.down = true
	for _, r := range o.waiting {
		if r.state != claimed {
			o.giveBack(now, r, wire.ReasonUnreachable)
		}
	}
}
