package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// Times after which an entry may offer a returned request here again.
const (
	retryAfterUnreachable = time.Second
	minRetryAfter         = 200 * time.Millisecond
)

func (o *Owner) handleOffer(now time.Duration, p *Peer, m *wire.Offer) {
	m.Tier = min(m.Tier, lowestTier)
	if r := o.records[m.ID]; r != nil && (o.ownRecord(p, m.ID) == nil || o.handleRepeatedOffer(now, p, r)) {
		return
	}
	s := o.sessionOf(p)
	r := newRecord(now, p, s, m)
	if reason := o.offerRefusal(now, r); reason != wire.ReasonNone {
		o.sendReturn(r, reason)
		return
	}
	if len(m.KeyHash) > 0 && !o.admitKeyed(now, r) {
		return
	}
	o.records[m.ID] = r
	if r.key != nil && r.key.firstID != r.id {
		o.setState(now, r, stateParked)
		return
	}
	o.enqueue(now, r)
}

// handleRepeatedOffer handles an offer of a known ID. It reports whether the offer
// needs no further handling. A duplicate of a frame has no effect.
func (o *Owner) handleRepeatedOffer(now time.Duration, p *Peer, r *record) bool {
	switch r.state {
	case stateLapsed:
		return false
	case stateTombstone:
		o.sendReturnTo(p, r.id, r.notRunReason)
	case stateQueued, stateParked, stateClaimed:
		if r.link == p {
			break
		}
		// The entry has a new link. By offering the request again it says that it
		// did not grant the request on the old link.
		o.lapse(now, r)
		return false
	}
	return true
}

// offerRefusal returns the reason why an offer must be refused, or ReasonNone.
func (o *Owner) offerRefusal(now time.Duration, r *record) wire.Reason {
	switch {
	case o.isLeaving:
		return wire.ReasonLeaving
	case r.offer.Tier > o.poolLevel(now, r.offer.Pool):
		return wire.ReasonShed
	case o.isDown:
		return wire.ReasonUnreachable
	}
	return wire.ReasonNone
}

func (o *Owner) enqueue(now time.Duration, r *record) {
	evicted, hasEvicted, err := o.queue.Push(now, r.queueItem())
	if err != nil {
		o.removeRecord(now, r)
		o.sendReturn(r, wire.ReasonFull)
		return
	}
	o.setState(now, r, stateQueued)
	if hasEvicted {
		o.returnRequest(now, o.records[evicted.ID], wire.ReasonDisplaced)
	}
}

// returnRequest returns a waiting request to its entry. If a grant may be on its
// way, a tombstone is kept so that the grant is refused when it arrives.
func (o *Owner) returnRequest(now time.Duration, r *record, reason wire.Reason) {
	if r == nil {
		return
	}
	o.removeReady(r)
	o.queue.Remove(r.id)
	mayBeGranted := r.state == stateClaimed || r.state == stateReady
	if !mayBeGranted {
		o.removeRecord(now, r)
		o.sendReturn(r, reason)
		return
	}
	o.setTombstone(now, r, reason)
	o.sendReturn(r, reason)
}

// setTombstone turns the record of a claimed request that did not run into a
// tombstone.
func (o *Owner) setTombstone(now time.Duration, r *record, reason wire.Reason) {
	r.notRunReason = reason
	o.refundCharge(r)
	o.setState(now, r, stateTombstone)
	o.stopFollow(r)
	if r.answer != nil {
		r.answer.DropChunks()
		r.answer = nil
	}
	r.grant = nil
	o.replaceFirst(now, r)
}

func (o *Owner) removeReady(r *record) {
	for i, other := range o.readyRecords {
		if other == r {
			o.readyRecords = append(o.readyRecords[:i], o.readyRecords[i+1:]...)
			return
		}
	}
}

func (o *Owner) sendReturn(r *record, reason wire.Reason) {
	link := r.link
	if r.session != nil && r.session.link != nil {
		link = r.session.link
	}
	o.sendReturnTo(link, r.id, reason)
}

func (o *Owner) sendReturnTo(p *Peer, id ident.ID, reason wire.Reason) {
	if p == nil {
		return
	}
	after := minRetryAfter
	switch reason {
	case wire.ReasonUnreachable:
		after = retryAfterUnreachable
	case wire.ReasonFull:
		after = max(minRetryAfter, o.queue.Cost()/time.Duration(max(o.bound.Limit(), 1))/2)
	}
	o.publishLoad()
	o.cfg.Stats.countReturn(reason)
	logs.Info(o.log, logs.EventRequestReturned, logs.Request(id), zap.String("reason", reason.String()), zap.String("peer", p.Name))
	o.send(p, &wire.Return{ID: id, Reason: reason, RetryAfterMS: uint32(after.Milliseconds()), Load: *o.load.Load()})
}

// send queues m for a link. If the link's queue is full, the link closes, and its
// end arrives as an event.
func (o *Owner) send(p *Peer, m wire.Message) {
	if p == nil {
		return
	}
	if err := p.Send(m); err != nil {
		o.log.Debug(string(logs.EventLinkLost), zap.String("peer", p.Name), zap.Error(err))
	}
}

// ownRecord returns the record of a request of p's entry process, or nil.
func (o *Owner) ownRecord(p *Peer, id ident.ID) *record {
	r := o.records[id]
	if r == nil || r.session == nil || r.session.incarnation != p.Incarnation {
		return nil
	}
	return r
}

func (o *Owner) handleWithdraw(now time.Duration, p *Peer, id ident.ID) {
	r := o.ownRecord(p, id)
	if r == nil {
		return
	}
	switch r.state {
	case stateQueued:
		o.queue.Remove(id)
		o.removeRecord(now, r)
	case stateParked, stateClaimed, stateLapsed:
		o.removeRecord(now, r)
	}
}

func (o *Owner) handleDeny(now time.Duration, p *Peer, id ident.ID) {
	if r := o.records[id]; r != nil && r.state == stateClaimed && r.link == p {
		o.removeRecord(now, r)
	}
}

// expireWaiting returns the waiting requests whose deadline has passed. A claimed
// one is refused when its grant arrives.
func (o *Owner) expireWaiting(now time.Duration) {
	for _, it := range o.queue.RemoveExpired(now) {
		if r := o.records[it.ID]; r != nil && r.state == stateQueued {
			o.removeRecord(now, r)
			o.sendReturn(r, wire.ReasonDeadline)
		}
	}
	for _, r := range o.waitingUnqueued {
		if r.expired(now) && r.state != stateClaimed {
			o.returnRequest(now, r, wire.ReasonDeadline)
		}
	}
}
