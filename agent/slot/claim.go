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

// dispatch starts granted requests and claims queued ones while slots are free.
func (o *Owner) dispatch(now time.Duration) {
	o.startReady(now)
	for !o.isLeaving && !o.isDown && !o.isStalled && !o.isResting(now) {
		it, ok := o.queue.PopFitting(now, func(it queue.Item) queue.Fit { return o.checkFit(now, it) })
		if ok {
			o.sendClaim(now, o.records[it.ID])
			continue
		}
		if head, ok := o.queue.Peek(now); ok {
			o.displaceFor(now, o.records[head.ID])
		}
		return
	}
}

// checkFit decides whether a queued request may be claimed now. Requests of a lower
// tier that were claimed or granted but have not started do not block it. They
// wait, and are returned when they wait too long.
func (o *Owner) checkFit(now time.Duration, it queue.Item) queue.Fit {
	r := o.records[it.ID]
	committed, notStarted := o.committedWork(int(r.offer.Tier))
	switch o.bound.CheckFit(now, committed, r.work) {
	case bound.Fits:
		return queue.Fits
	case bound.NoLongSlot:
		return queue.Skip
	case bound.NoMemory:
		return queue.SkipLimited
	}
	if notStarted == 0 && canClaimEarly(r) && len(o.running) > 0 {
		return queue.Fits
	}
	return queue.Stop
}

// canClaimEarly reports whether r may be claimed before a slot is free, so that
// the slot is not idle during the round trip to the entry.
func canClaimEarly(r *record) bool { return r.work.Cost > 0 && r.work.Cost <= maxEarlyClaimCost }

func (o *Owner) sendClaim(now time.Duration, r *record) {
	o.setState(now, r, stateClaimed)
	r.isLong, r.isCharged = o.bound.RecordDispatch(r.work), true
	o.publishLoad()
	o.send(r.link, &wire.Claim{ID: r.id, Load: *o.load.Load()})
}

// refundCharge takes back the charge to a customer's share for a request that will
// not run here.
func (o *Owner) refundCharge(r *record) {
	if r.isCharged {
		r.isCharged = false
		o.queue.ChargeActual(r.offer.Customer, r.offer.Tier, r.work.Cost, 0)
	}
}

// runningOnly, passed as the tier of committedWork, excludes claims and grants.
const runningOnly = -1

// committedWork returns the total work of the running requests, and of the claimed
// and granted requests that have not started and whose tier is the given one or a
// higher one. notStarted is the number of the latter.
func (o *Owner) committedWork(tier int) (sum bound.InFlight, notStarted int) {
	for _, r := range o.running {
		addWork(&sum, r)
	}
	if tier == runningOnly || o.claimCount+len(o.readyRecords) == 0 {
		return sum, 0
	}
	for _, r := range o.waitingUnqueued {
		if r.state != stateParked && int(r.offer.Tier) <= tier {
			addWork(&sum, r)
			notStarted++
		}
	}
	return sum, notStarted
}

func addWork(sum *bound.InFlight, r *record) {
	sum.Count++
	sum.Tokens += r.work.Tokens
	if r.isLong {
		sum.LongCount++
	}
}

// expireClaims drops claims that were not answered in time. startRefusal repeats
// the check when a grant arrives, because after a pause of this process a late
// grant may be read before the timer fires.
func (o *Owner) expireClaims(now time.Duration) {
	if o.claimCount == 0 {
		return
	}
	for _, r := range o.waitingUnqueued {
		if r.state == stateClaimed && now-r.stateSince > claimTimeout {
			logs.Warn(o.log, logs.EventRequestReturned, logs.Request(r.id), zap.Stringer("reason", wire.ReasonNeverGranted), zap.String("peer", r.session.name))
			o.setTombstone(now, r, wire.ReasonNeverGranted)
		}
	}
}

func (o *Owner) handleGrant(now time.Duration, p *Peer, m *wire.Grant) {
	r := o.records[m.ID]
	if r == nil {
		o.refuseGrant(now, p, m.ID)
		return
	}
	switch r.state {
	case stateTombstone:
		o.sendReturnTo(p, r.id, wire.ReasonNeverGranted)
		return
	case stateClaimed:
	default:
		// It is a duplicate of a grant that was accepted, or a grant for a claim
		// that was not sent on this link.
		o.cfg.Stats.strayGrants.Inc(1)
		return
	}
	if r.link != p {
		o.cfg.Stats.strayGrants.Inc(1)
		return
	}
	if reason := o.startRefusal(now, r); reason != wire.ReasonNone {
		o.setTombstone(now, r, reason)
		o.sendReturn(r, reason)
		return
	}
	o.setState(now, r, stateReady)
	r.grant, r.answer = m, answer.New(&o.budget)
	o.readyRecords = append(o.readyRecords, r)
	o.startFollow(r, r.id, r.answer, p, 0)
	o.joinWaiters(now, r)
	o.startReady(now)
}

// refuseGrant returns a grant for an ID that was never claimed here, and keeps a
// tombstone for the ID.
func (o *Owner) refuseGrant(now time.Duration, p *Peer, id ident.ID) {
	r := &record{id: id, session: o.sessionOf(p), link: p, notRunReason: wire.ReasonNeverGranted, state: stateTombstone, stateSince: now}
	o.records[id] = r
	o.finishedRecords = append(o.finishedRecords, r)
	o.cfg.Stats.strayGrants.Inc(1)
	o.sendReturnTo(p, id, wire.ReasonNeverGranted)
}

// startRefusal returns the reason why a granted request must not be started now,
// or ReasonNone.
func (o *Owner) startRefusal(now time.Duration, r *record) wire.Reason {
	switch {
	case r.state == stateClaimed && now-r.stateSince > claimTimeout:
		return wire.ReasonNeverGranted
	case r.expired(now):
		return wire.ReasonDeadline
	case r.offer.Tier > o.poolLevel(now, r.offer.Pool):
		return wire.ReasonShed
	case r.key != nil:
		return o.keyRefusal(now, r.offer)
	}
	return wire.ReasonNone
}

// startReady passes granted requests to the endpoint while it has free slots, the
// highest tier first.
func (o *Owner) startReady(now time.Duration) {
	if len(o.readyRecords) == 0 {
		return
	}
	slices.SortStableFunc(o.readyRecords, func(a, b *record) int { return int(a.offer.Tier) - int(b.offer.Tier) })
	for i := 0; i < len(o.readyRecords); {
		r := o.readyRecords[i]
		if reason := o.readyRefusal(now, r); reason != wire.ReasonNone {
			o.returnRequest(now, r, reason)
			continue
		}
		if sum, _ := o.committedWork(runningOnly); o.isStalled || o.isResting(now) || !o.bound.CanDispatch(now, sum, r.work) {
			i++
			continue
		}
		o.readyRecords = append(o.readyRecords[:i], o.readyRecords[i+1:]...)
		o.startRun(now, r)
	}
}

// readyRefusal returns the reason why a granted request must be returned instead
// of waiting for a slot here, or ReasonNone.
func (o *Owner) readyRefusal(now time.Duration, r *record) wire.Reason {
	switch {
	case o.isDown:
		return wire.ReasonUnreachable
	case now-r.stateSince > maxReadyWait:
		return wire.ReasonDisplaced
	}
	return o.startRefusal(now, r)
}
