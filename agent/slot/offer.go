package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// Times after which a returned request may be worth offering here again.
const (
	retryDown  = time.Second
	retryShort = 200 * time.Millisecond
)

func (o *Owner) offer(now time.Duration, p *Peer, m *wire.Offer) {
	m.Tier = min(m.Tier, lowest)
	if r := o.recs[m.ID]; r != nil && (o.known(p, m.ID) == nil || o.offeredAgain(now, p, r)) {
		return
	}
	s := o.session(p)
	r := newRec(now, p, s, m)
	if reason := o.refusal(now, r); reason != wire.ReasonNone {
		o.sendReturn(r, reason)
		return
	}
	if len(m.Key) > 0 && !o.admitKeyed(now, r) {
		return
	}
	o.recs[m.ID] = r
	if r.key != nil && r.key.first != r.id {
		o.setState(now, r, parked)
		return
	}
	o.enqueue(now, r)
}

// offeredAgain deals with an offer of a known ID and reports whether that was
// all. A duplicated frame changes nothing.
func (o *Owner) offeredAgain(now time.Duration, p *Peer, r *rec) bool {
	switch r.state {
	case lapsed:
		return false
	case dead:
		o.sendReturnTo(p, r.id, r.reason)
	case queued, parked, claimed:
		if r.link == p {
			break
		}
		// The entry has a new link and says by this offer that it granted
		// nothing on the old one.
		o.lapse(now, r)
		return false
	}
	return true
}

// refusal says why an offer cannot be taken, ReasonNone if it can.
func (o *Owner) refusal(now time.Duration, r *rec) wire.Reason {
	switch {
	case o.leaving:
		return wire.ReasonLeaving
	case r.offer.Tier > o.levelOf(now, r.offer.Pool):
		return wire.ReasonShed
	case o.down:
		return wire.ReasonUnreachable
	}
	return wire.ReasonNone
}

func (o *Owner) enqueue(now time.Duration, r *rec) {
	evicted, did, err := o.queue.Push(now, r.item())
	if err != nil {
		o.forget(now, r)
		o.sendReturn(r, wire.ReasonFull)
		return
	}
	o.setState(now, r, queued)
	if did {
		o.giveBack(now, o.recs[evicted.ID], wire.ReasonDisplaced)
	}
}

// giveBack returns a request that waits. One for which a grant may be on its
// way stays as a tombstone, so that the grant is refused when it comes.
func (o *Owner) giveBack(now time.Duration, r *rec, reason wire.Reason) {
	if r == nil {
		return
	}
	o.unready(r)
	o.queue.Remove(r.id)
	granted := r.state == claimed || r.state == ready
	if !granted {
		o.forget(now, r)
		o.sendReturn(r, reason)
		return
	}
	o.bury(now, r, reason)
	o.sendReturn(r, reason)
}

// bury puts a tombstone on a request that was claimed and did not run.
func (o *Owner) bury(now time.Duration, r *rec, reason wire.Reason) {
	r.reason = reason
	o.uncharge(r)
	o.setState(now, r, dead)
	o.unfollow(r)
	if r.log != nil {
		r.log.DropChunks()
		r.log = nil
	}
	r.grant = nil
	o.firstLost(now, r)
}

func (o *Owner) unready(r *rec) {
	for i, other := range o.ready {
		if other == r {
			o.ready = append(o.ready[:i], o.ready[i+1:]...)
			return
		}
	}
}

func (o *Owner) sendReturn(r *rec, reason wire.Reason) {
	link := r.link
	if r.sess != nil && r.sess.link != nil {
		link = r.sess.link
	}
	o.sendReturnTo(link, r.id, reason)
}

func (o *Owner) sendReturnTo(p *Peer, id ident.ID, reason wire.Reason) {
	if p == nil {
		return
	}
	after := retryShort
	switch reason {
	case wire.ReasonUnreachable:
		after = retryDown
	case wire.ReasonFull:
		after = max(retryShort, o.queue.Cost()/time.Duration(max(o.bound.Limit(), 1))/2)
	}
	o.publish()
	o.cfg.Stats.returned(reason)
	logs.Info(o.log, logs.EventRequestReturned, logs.Request(id), zap.String("reason", reason.String()), zap.String("peer", p.Name))
	o.send(p, &wire.Return{ID: id, Reason: reason, RetryAfterMS: uint32(after.Milliseconds()), Load: *o.load.Load()})
}

// send queues m for a link. A link that cannot take it closes itself, and its
// end comes as an event.
func (o *Owner) send(p *Peer, m wire.Message) {
	if p == nil {
		return
	}
	if err := p.Send(m); err != nil {
		o.log.Debug(string(logs.EventLinkLost), zap.String("peer", p.Name), zap.Error(err))
	}
}

// known returns the record of a request that belongs to p's entry.
func (o *Owner) known(p *Peer, id ident.ID) *rec {
	r := o.recs[id]
	if r == nil || r.sess == nil || r.sess.incarnation != p.Incarnation {
		return nil
	}
	return r
}

func (o *Owner) withdraw(now time.Duration, p *Peer, id ident.ID) {
	r := o.known(p, id)
	if r == nil {
		return
	}
	switch r.state {
	case queued:
		o.queue.Remove(id)
		o.forget(now, r)
	case parked, claimed, lapsed:
		o.forget(now, r)
	}
}

func (o *Owner) deny(now time.Duration, p *Peer, id ident.ID) {
	if r := o.recs[id]; r != nil && r.state == claimed && r.link == p {
		o.forget(now, r)
	}
}

func (o *Owner) expireQueued(now time.Duration) {
	for _, it := range o.queue.Expired(now) {
		if r := o.recs[it.ID]; r != nil && r.state == queued {
			o.forget(now, r)
			o.sendReturn(r, wire.ReasonDeadline)
		}
	}
	for _, r := range o.held {
		if r.expired(now) && r.state != claimed {
			o.giveBack(now, r, wire.ReasonDeadline)
		}
	}
}
