package slot

import (
	"slices"
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
		if head, ok := o.queue.Peek(now); ok {
			o.displace(now, o.recs[head.ID])
		}
		return
	}
}

// fit tells whether a queued request may be claimed now. What was claimed or
// granted for a lower tier and has not started does not stand in its way: it
// waits, and is given back when it waits too long.
func (o *Owner) fit(now time.Duration, it queue.Item) queue.Fit {
	r := o.recs[it.ID]
	sum, held := o.committed(int(r.offer.Tier))
	switch o.bound.Fit(now, sum, r.work) {
	case bound.Yes:
		return queue.Fits
	case bound.LongFull:
		return queue.Pass
	case bound.NoMemory:
		return queue.PassFew
	}
	if held == 0 && ahead(r) && len(o.running) > 0 {
		return queue.Fits
	}
	return queue.Stop
}

// ahead reports whether r may be claimed before its place is free, so that the
// round trip to the entry costs no idle place.
func ahead(r *rec) bool { return r.work.Cost > 0 && r.work.Cost <= aheadCost }

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

// onlyRunning leaves claims and grants out of committed.
const onlyRunning = -1

// committed sums up what runs, and what was claimed or granted for tiers down
// to the given one, of which it also returns the number.
func (o *Owner) committed(tier int) (sum bound.Running, held int) {
	for _, r := range o.running {
		add(&sum, r)
	}
	if tier == onlyRunning || o.claims+len(o.ready) == 0 {
		return sum, 0
	}
	for _, r := range o.held {
		if r.state != parked && int(r.offer.Tier) <= tier {
			add(&sum, r)
			held++
		}
	}
	return sum, held
}

func add(sum *bound.Running, r *rec) {
	sum.Count++
	sum.Tokens += r.work.Tokens
	if r.long {
		sum.LongCount++
	}
}

// expireClaims drops claims that were never answered. The test is made again
// when a grant comes: after a pause of this process a late grant may be read
// before the timer.
func (o *Owner) expireClaims(now time.Duration) {
	if o.claims == 0 {
		return
	}
	for _, r := range o.held {
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

// startReady hands granted requests to the endpoint while it has room, the
// highest tier first.
func (o *Owner) startReady(now time.Duration) {
	if len(o.ready) == 0 {
		return
	}
	slices.SortStableFunc(o.ready, func(a, b *rec) int { return int(a.offer.Tier) - int(b.offer.Tier) })
	for i := 0; i < len(o.ready); {
		r := o.ready[i]
		if reason := o.notStartable(now, r); reason != wire.ReasonNone {
			o.giveBack(now, r, reason)
			continue
		}
		if sum, _ := o.committed(onlyRunning); o.stalled || !o.bound.Room(now, sum, r.work) {
			i++
			continue
		}
		o.ready = append(o.ready[:i], o.ready[i+1:]...)
		o.start(now, r)
	}
}

// notStartable says why a granted request must go back instead of waiting for
// its place here.
func (o *Owner) notStartable(now time.Duration, r *rec) wire.Reason {
	switch {
	case o.down:
		return wire.ReasonUnreachable
	case now-r.changed > readyPatience:
		return wire.ReasonDisplaced
	}
	return o.tooLate(now, r)
}
