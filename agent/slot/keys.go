package slot

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/agent/call"
	"lycheepond/core/homes"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// maxKeys bounds the number of key records. Beyond it the oldest records are
// evicted, and a request whose key may be as old as an evicted one is not run. The
// limit follows from the 32 MB of memory that an agent may use.
const maxKeys = 20000

var errLeaseExpired = errors.New("slot: the lease on the key expired before the request was sent: the request is returned and not run")

// keyRecord is the record of an idempotency key at its home.
type keyRecord struct {
	key, pool string
	// firstID is the request that runs or ran for the key. Until it is granted, the
	// next waiter may replace it.
	firstID ident.ID
	digest  uint64
	// answer is nil until the first request is granted.
	answer *answer.Log
	// waiters holds the requests with the same key that arrived before the grant.
	waiters []*record
	// endedAt is when the run ended, zero before.
	endedAt time.Duration
	// isRemoved is set when the record is no longer in the owner's keys.
	isRemoved bool
}

// admitKeyed handles the offer of a request with an idempotency key. It reports
// whether the record is to be kept, and sets r.key if so.
func (o *Owner) admitKeyed(now time.Duration, r *record) bool {
	m := r.offer
	if reason := o.keyRefusal(now, m); reason != wire.ReasonNone {
		o.sendReturn(r, reason)
		return false
	}
	k := o.keys[string(m.KeyHash)]
	if k == nil {
		return o.admitNewKey(now, r)
	}
	switch {
	case k.digest != m.Digest:
		o.sendKeyStatus(r, k.firstID, wire.KeyMismatch)
	case k.answer == nil:
		k.waiters = append(k.waiters, r)
		r.key = k
		return true
	case k.answer.Complete():
		o.joinAnswer(now, r, k)
	default:
		o.sendKeyStatus(r, k.firstID, wire.KeyAnswerDropped)
	}
	return false
}

// admitNewKey handles the first request with a key. It refuses a key that may have
// been used before this agent's records begin.
func (o *Owner) admitNewKey(_ time.Duration, r *record) bool {
	m := r.offer
	since := max(o.homeViews[m.Pool].LostBefore(m.KeyHash), o.evictedBeforeMS)
	if !homes.MayRun(m.KeyCreatedMS, since, o.cfg.WallMS()) {
		o.sendKeyStatus(r, ident.ID{}, wire.KeyUnknown)
		return false
	}
	k := &keyRecord{key: string(m.KeyHash), pool: m.Pool, firstID: m.ID, digest: m.Digest}
	o.keys[k.key] = k
	r.key = k
	return true
}

// keyRefusal returns the reason why this agent may not act for a key now, or
// ReasonNone.
func (o *Owner) keyRefusal(now time.Duration, m *wire.Offer) wire.Reason {
	view := o.homeViews[m.Pool]
	if view == nil {
		return wire.ReasonNotHome
	}
	switch view.CheckOwnership(now, m.KeyHash, m.Epoch) {
	case homes.NotHome:
		return wire.ReasonNotHome
	case homes.NoLease:
		return wire.ReasonNoLease
	}
	return wire.ReasonNone
}

// newLeaseGuard returns the guard of a request with an idempotency key, or nil for
// another request. Before the first byte, the guard compares the end of the lease
// as known now with the time of the check.
func (o *Owner) newLeaseGuard(r *record) *call.Guard {
	if r.key == nil || r.offer == nil || o.homeViews[r.offer.Pool] == nil {
		return nil
	}
	leaseEnd, clock := o.homeViews[r.offer.Pool].LeaseEnd(), o.cfg.Now
	r.guard = &call.Guard{Check: func() error {
		if clock() >= leaseEnd {
			return errLeaseExpired
		}
		return nil
	}}
	return r.guard
}

func (o *Owner) sendKeyStatus(r *record, firstID ident.ID, state wire.KeyState) {
	logs.Info(o.log, logs.EventKeyKnown, logs.Request(r.id), zap.Stringer("first", firstID), zap.Uint8("state", uint8(state)))
	o.send(r.link, &wire.KeyStatus{ID: r.id, FirstID: firstID, State: state})
}

// joinAnswer lets r follow the answer of its key's first request.
func (o *Owner) joinAnswer(now time.Duration, r *record, k *keyRecord) {
	o.sendKeyStatus(r, k.firstID, wire.KeyJoined)
	r.key, r.answer, r.offer = k, k.answer, nil
	o.records[r.id] = r
	o.setState(now, r, stateEnded)
	o.startFollow(r, r.id, k.answer, r.link, 0)
}

// joinWaiters records the grant of a key's first request and lets the waiters of
// the key follow its answer.
func (o *Owner) joinWaiters(now time.Duration, r *record) {
	k := r.key
	if k == nil {
		return
	}
	k.firstID, k.answer = r.id, r.answer
	waiters := k.waiters
	k.waiters = nil
	for _, w := range waiters {
		if w.state == stateParked {
			o.joinAnswer(now, w, k)
		}
	}
}

// replaceFirst handles the end of a request with an idempotency key that will not
// run. The next waiter takes its place; without a waiter the key is removed, as if
// it had never been used. It is certain that no request with the key ran, because
// only the key's home runs it.
func (o *Owner) replaceFirst(now time.Duration, r *record) {
	k := r.key
	r.key = nil
	if k == nil || k.isRemoved {
		return
	}
	if k.firstID != r.id {
		k.removeWaiter(r)
		return
	}
	k.answer = nil
	for len(k.waiters) > 0 {
		w := k.waiters[0]
		k.waiters = k.waiters[1:]
		if w.state != stateParked {
			continue
		}
		if reason := o.offerRefusal(now, w); reason != wire.ReasonNone {
			w.key = nil
			o.removeRecord(now, w)
			o.sendReturn(w, reason)
			continue
		}
		k.firstID, k.digest = w.id, w.offer.Digest
		o.enqueue(now, w)
		return
	}
	k.isRemoved = true
	delete(o.keys, k.key)
}

func (k *keyRecord) removeWaiter(r *record) {
	for i, w := range k.waiters {
		if w == r {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

func (o *Owner) recordKeyEnd(now time.Duration, r *record) {
	if r.key == nil {
		return
	}
	r.key.endedAt = now
	o.finishedKeys = append(o.finishedKeys, r.key)
}

// expireKeys drops key records after their retention, and the oldest ones if there
// are more than maxKeys.
func (o *Owner) expireKeys(now time.Duration) {
	n := 0
	for n < len(o.finishedKeys) {
		k := o.finishedKeys[n]
		tooMany := len(o.keys) > maxKeys
		if !tooMany && now-k.endedAt <= homes.Retention {
			break
		}
		if tooMany {
			o.evictedBeforeMS = o.cfg.WallMS()
		}
		k.isRemoved = true
		k.answer.DropChunks()
		delete(o.keys, k.key)
		n++
	}
	if n > 0 {
		o.finishedKeys = append(o.finishedKeys[:0], o.finishedKeys[n:]...)
	}
}
