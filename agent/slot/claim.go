package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/core/bound"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/queue"
	"lycheepond/core/wire"
)

// dispatch starts and claims whatever there is room for.
func (o *Owner) dispatch(now time.Duration) {
	o.startReady(now)
	for !o.leaving && !o.down && !o.stalled {
		it, ok := o.queue.Next(now, func(it queue.Item) queue.Fit { return o.fit(now, it) })
		if ok {
			o.claim(now, o.recs[it.ID])
			continue
		}
		head, ok := o.queue.Peek(now)
		if !ok || !o.displace(now, o.recs[head.ID]) {
			return
		}
	}
}

// fit tells whether a queued request may be claimed now.
func (o *Owner) fit(now time.Duration, it queue.Item) queue.Fit {
	r := o.recs[it.ID]
	switch o.bound.Fit(now, o.committed(true), r.work) {
	case bound.Yes:
		return queue.Fits
	case bound.LongFull:
		return queue.Pass
	case bound.NoMemory:
		return queue.PassFew
	}
	if o.ahead(r) {
		return queue.Fits
	}
	return queue.Stop
}

// ahead reports whether r may be claimed before its place is free, so that the
// round trip to the entry costs no idle place.
func (o *Owner) ahead(r *rec) bool {
	return o.claims+len(o.ready) == 0 && len(o.running) > 0 && r.work.Cost > 0 && r.work.Cost <= aheadCost
}

func (o *Owner) claim(now time.Duration, r *rec) {
	o.setState(now, r, claimed)
	r.long, r.charged = o.bound.Long(r.work), true
	o.publish()
	o.send(r.link, &wire.Claim{ID: r.id, Load: *o.load.Load()})
}

// uncharge gives a customer back what was counted against its share for a
// request that will not run here.
func (o *Owner) uncharge(r *rec) {
	if r.charged {
		r.charged = false
		o.queue.Done(r.offer.Customer, r.offer.Tier, r.work.Cost, 0)
	}
}

// committed sums up what runs, and with claims also what may run any moment.
func (o *Owner) committed(withClaims bool) bound.Running {
	var sum bound.Running
	add := func(r *rec) {
		sum.Count++
		sum.Tokens += r.work.Tokens
		if r.long {
			sum.LongCount++
		}
	}
	for _, r := range o.running {
		add(r)
	}
	if !withClaims {
		return sum
	}
	for _, r := range o.ready {
		add(r)
	}
	if o.claims > 0 {
		for _, r := range o.waiting {
			if r.state == claimed {
				add(r)
			}
		}
	}
	return sum
}

// expireClaims drops claims that were never answered. The test is made again
// when a grant comes: after a pause of this process a late grant may be read
// before the timer.
func (o *Owner) expireClaims(now time.Duration) {
	if o.claims == 0 {
		return
	}
	for _, r := range o.waiting {
		if r.state == claimed && now-r.changed > claimTimeout {
			logs.Warn(o.log, logs.EventRequestReturned, logs.Request(r.id), zap.Stringer("reason", wire.ReasonNeverGranted), zap.String("peer", r.sess.name))
			o.bury(now, r, wire.ReasonNeverGranted)
		}
	}
}

func (o *Owner) grant(now time.Duration, p *Peer, m *wire.Grant) {
	r := o.recs[m.ID]
	if r == nil {
		o.refuseGrant(now, p, m.ID)
		return
	}
	switch r.state {
	case dead:
		o.sendReturnTo(p, r.id, wire.ReasonNeverGranted)
		return
	case claimed:
	default:
		// A duplicate of a grant that was taken, or one for a claim that this
		// link did not carry.
		o.cfg.Stats.strayGrants.Inc(1)
		return
	}
	if r.link != p {
		o.cfg.Stats.strayGrants.Inc(1)
		return
	}
	if reason := o.tooLate(now, r); reason != wire.ReasonNone {
		o.bury(now, r, reason)
		o.sendReturn(r, reason)
		return
	}
	o.setState(now, r, ready)
	r.grant, r.log = m, answer.New(&o.budget)
	o.ready = append(o.ready, r)
	o.startFollow(r, r.id, r.log, p, 0)
	o.firstGranted(now, r)
	o.startReady(now)
}

// refuseGrant puts a tombstone on an ID that was never claimed here.
func (o *Owner) refuseGrant(now time.Duration, p *Peer, id ident.ID) {
	r := &rec{id: id, sess: o.session(p), link: p, reason: wire.ReasonNeverGranted, state: dead, changed: now}
	o.recs[id] = r
	o.old = append(o.old, r)
	o.cfg.Stats.strayGrants.Inc(1)
	o.sendReturnTo(p, id, wire.ReasonNeverGranted)
}

// tooLate says why a granted request must not be started now.
func (o *Owner) tooLate(now time.Duration, r *rec) wire.Reason {
	switch {
	case r.state == claimed && now-r.changed > claimTimeout:
		return wire.ReasonNeverGranted
	case r.expired(now):
		return wire.ReasonDeadline
	case r.offer.Tier > o.levelOf(now, r.offer.Pool):
		return wire.ReasonShed
	case r.key != nil:
		return o.keyRefusal(now, r.offer)
	}
	return wire.ReasonNone
}

// startReady hands granted requests to the endpoint while it has room.
func (o *Owner) startReady(now time.Duration) {
	for i := 0; i < len(o.ready); {
		r := o.ready[i]
		if o.down {
			o.giveBack(now, r, wire.ReasonUnreachable)
			continue
		}
		if reason := o.tooLate(now, r); reason != wire.ReasonNone {
			o.giveBack(now, r, reason)
			continue
		}
		if !o.bound.Room(now, o.committed(false), r.work) {
			i++
			continue
		}
		o.ready = append(o.ready[:i], o.ready[i+1:]...)
		o.start(now, r)
	}
}
