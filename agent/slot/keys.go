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

// maxKeys is how many keys are remembered. Above it the oldest go, and keys
// that may be as old are no longer run. It follows from the budget of 32 MB a
// node and is to be measured.
const maxKeys = 20000

var errLease = errors.New("slot: lease on the key ran out before the request was sent: it is given back and not run")

// keyRec is what the key's home knows of an idempotency key.
type keyRec struct {
	key, pool string
	// first is the request that runs or ran under the key. Until its grant
	// comes it may be replaced by the next waiter.
	first  ident.ID
	digest uint64
	// log is the answer, nil until the first request was granted.
	log *answer.Log
	// waiters are requests with the same key that came before the grant.
	waiters []*rec
	// ended is when the run ended, zero before.
	ended time.Duration
	// lost is set when the key was removed.
	lost bool
}

// admitKeyed decides about the offer of a keyed request and reports whether
// its record is to be kept; r.key is set then.
func (o *Owner) admitKeyed(now time.Duration, r *rec) bool {
	m := r.offer
	if reason := o.keyRefusal(now, m); reason != wire.ReasonNone {
		o.sendReturn(r, reason)
		return false
	}
	k := o.keys[string(m.Key)]
	if k == nil {
		return o.admitNew(now, r)
	}
	switch {
	case k.digest != m.Digest:
		o.sendKnown(r, k.first, wire.KeyMismatch)
	case k.log == nil:
		k.waiters = append(k.waiters, r)
		r.key = k
		return true
	case k.log.Complete():
		o.join(now, r, k)
	default:
		o.sendKnown(r, k.first, wire.KeyForgotAnswer)
	}
	return false
}

func (o *Owner) admitNew(_ time.Duration, r *rec) bool {
	m := r.offer
	since := max(o.homes[m.Pool].Since(m.Key), o.keyFloor)
	if !homes.Usable(m.KeyMade, since, o.cfg.Wall()) {
		o.sendKnown(r, ident.ID{}, wire.KeyUnknown)
		return false
	}
	k := &keyRec{key: string(m.Key), pool: m.Pool, first: m.ID, digest: m.Digest}
	o.keys[k.key] = k
	r.key = k
	return true
}

// keyRefusal says why this agent may not act for a key now.
func (o *Owner) keyRefusal(now time.Duration, m *wire.Offer) wire.Reason {
	h := o.homes[m.Pool]
	if h == nil {
		return wire.ReasonNotHome
	}
	switch h.Owns(now, m.Key, m.Epoch) {
	case homes.NotHome:
		return wire.ReasonNotHome
	case homes.NoLease:
		return wire.ReasonNoLease
	}
	return wire.ReasonNone
}

// guard returns the check before the first byte of a keyed request: the lease
// as it is known now, against the clock as it is then.
func (o *Owner) guard(r *rec) *call.Guard {
	if r.key == nil || r.offer == nil || o.homes[r.offer.Pool] == nil {
		return nil
	}
	until, clock := o.homes[r.offer.Pool].Lease(), o.cfg.Now
	r.guard = &call.Guard{Check: func() error {
		if clock() >= until {
			return errLease
		}
		return nil
	}}
	return r.guard
}

func (o *Owner) sendKnown(r *rec, first ident.ID, state wire.KeyState) {
	logs.Info(o.log, logs.EventKeyKnown, logs.Request(r.id), zap.Stringer("first", first), zap.Uint8("state", uint8(state)))
	o.send(r.link, &wire.Known{ID: r.id, First: first, State: state})
}

// join gives r the answer of its key's first run.
func (o *Owner) join(now time.Duration, r *rec, k *keyRec) {
	o.sendKnown(r, k.first, wire.KeyJoined)
	r.key, r.log, r.offer = k, k.log, nil
	o.recs[r.id] = r
	o.setState(now, r, ended)
	o.startFollow(r, r.id, k.log, r.link, 0)
}

// firstGranted joins all who waited for the key's first grant.
func (o *Owner) firstGranted(now time.Duration, r *rec) {
	k := r.key
	if k == nil {
		return
	}
	k.first, k.log = r.id, r.log
	waiters := k.waiters
	k.waiters = nil
	for _, w := range waiters {
		if w.state == parked {
			o.join(now, w, k)
		}
	}
}

// firstLost deals with a keyed request that will not run: the next waiter
// takes its place, and without one the key is as if it had never come. It is
// certain that nothing ran under it, because only the key's home runs it.
func (o *Owner) firstLost(now time.Duration, r *rec) {
	k := r.key
	r.key = nil
	if k == nil || k.lost {
		return
	}
	if k.first != r.id {
		k.remove(r)
		return
	}
	k.log = nil
	for len(k.waiters) > 0 {
		w := k.waiters[0]
		k.waiters = k.waiters[1:]
		if w.state != parked {
			continue
		}
		if reason := o.refusal(now, w); reason != wire.ReasonNone {
			w.key = nil
			o.forget(now, w)
			o.sendReturn(w, reason)
			continue
		}
		k.first, k.digest = w.id, w.offer.Digest
		o.enqueue(now, w)
		return
	}
	k.lost = true
	delete(o.keys, k.key)
}

func (k *keyRec) remove(r *rec) {
	for i, w := range k.waiters {
		if w == r {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

func (o *Owner) keyEnded(now time.Duration, r *rec) {
	if r.key == nil {
		return
	}
	r.key.ended = now
	o.oldKeys = append(o.oldKeys, r.key)
}

// expireKeys drops records after their retention, and the oldest of too many.
func (o *Owner) expireKeys(now time.Duration) {
	n := 0
	for n < len(o.oldKeys) {
		k := o.oldKeys[n]
		over := len(o.keys) > maxKeys
		if !over && now-k.ended <= homes.Retention {
			break
		}
		if over {
			o.keyFloor = o.cfg.Wall()
		}
		k.lost = true
		k.log.DropChunks()
		delete(o.keys, k.key)
		n++
	}
	if n > 0 {
		o.oldKeys = append(o.oldKeys[:0], o.oldKeys[n:]...)
	}
}
