package slot

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// attach deals with an entry that lost its link after a grant.
//
// Only what this incarnation claimed can be said never to have come: the grant
// follows the claim, so without a record of one the grant went to an agent that
// ran here before, and what became of it is asked of the engine.
func (o *Owner) attach(now time.Duration, p *Peer, m *wire.Attach) {
	r := o.recs[m.ID]
	if r != nil && o.known(p, m.ID) == nil {
		o.sendForgotten(p, m.ID)
		return
	}
	if r != nil && r.log != nil {
		o.startFollow(r, r.id, r.log, p, m.NextSeq)
		r.link = p
		return
	}
	foreign := m.AgentIncarnation != 0 && m.AgentIncarnation != o.cfg.Self.Incarnation
	if r == nil || foreign {
		o.resume(now, p, m)
		return
	}
	switch r.state {
	case queued, parked, claimed, lapsed:
		o.queue.Remove(r.id)
		o.bury(now, r, wire.ReasonNeverGranted)
		o.sendReturnTo(p, r.id, wire.ReasonNeverGranted)
	case dead:
		o.sendReturnTo(p, r.id, r.reason)
	default:
		o.sendForgotten(p, m.ID)
	}
}

func (o *Owner) sendForgotten(p *Peer, id ident.ID) {
	o.publish()
	logs.Warn(o.log, logs.EventRequestUnknown, logs.Request(id), zap.String("peer", p.Name))
	o.send(p, &wire.End{ID: id, Reason: wire.ReasonForgotten, Load: *o.load.Load()})
}

// resume takes up a stream that an earlier incarnation of this agent started.
func (o *Owner) resume(now time.Duration, p *Peer, m *wire.Attach) {
	r := o.disown(now, p, m.ID)
	if o.cfg.Resume == nil || !m.Stream || o.leaving {
		o.sendForgotten(p, m.ID)
		return
	}
	r.log = answer.New(&o.budget)
	o.startFollow(r, r.id, r.log, p, m.NextSeq)
	id := m.ID
	o.launch(now, r, func(ctx context.Context, sink call.Sink) call.Result {
		res := o.cfg.Resume(ctx, id, sink, r.progress)
		res.Sent = true
		return res
	})
	logs.Info(o.log, logs.EventRequestResumed, logs.Request(id), zap.String("peer", p.Name))
}

// disown makes the record of a request that was granted to an earlier
// incarnation. Nothing will be run or returned under its ID here: a Return
// would say that it was not run, which only that incarnation could know.
func (o *Owner) disown(now time.Duration, p *Peer, id ident.ID) *rec {
	if old := o.recs[id]; old != nil {
		o.unready(old)
		o.queue.Remove(id)
		o.forget(now, old)
	}
	r := &rec{id: id, sess: o.session(p), link: p, arrived: now}
	o.recs[id] = r
	o.setState(now, r, ended)
	return r
}

// brokenReason says why an answer that the owner did not stop is not whole.
func brokenReason(res call.Result) wire.Reason {
	switch {
	case errors.Is(res.Err, engine.ErrUnknown):
		return wire.ReasonForgotten
	case res.Crashed:
		return wire.ReasonUnreachable
	}
	return wire.ReasonBroken
}

func (o *Owner) session(p *Peer) *session {
	s := o.sessions[p.Incarnation]
	if s == nil {
		s = &session{name: p.Name, incarnation: p.Incarnation, levels: make(map[string]levelHeard)}
		o.sessions[p.Incarnation] = s
	}
	return s
}

func (o *Owner) linkUp(now time.Duration, p *Peer) {
	s := o.session(p)
	s.link, s.back = p, now
	o.askNext = 0
	logs.Info(o.log, logs.EventLinkUp, zap.String("peer", p.Name), zap.Uint64("incarnation", p.Incarnation))
	if o.leaving || o.orders.version != "" {
		o.say(p)
	}
}

// linkDown forgets what was only offered on the link. What was granted goes
// on, and its answer is kept for an Attach.
func (o *Owner) linkDown(now time.Duration, p *Peer) {
	for _, r := range o.waiting {
		if r.link == p && r.state != ready {
			o.lapse(now, r)
		}
	}
	s := o.session(p)
	if s.link == p {
		s.link, s.gone = nil, now
	}
}

// lapse takes a waiting request out whose link has ended. A claimed one leaves
// a record: the grant may have been written and lost, and an Attach will ask.
func (o *Owner) lapse(now time.Duration, r *rec) {
	o.queue.Remove(r.id)
	if r.state != claimed {
		o.forget(now, r)
		return
	}
	o.uncharge(r)
	o.setState(now, r, lapsed)
	o.firstLost(now, r)
}

func (o *Owner) expireSessions(now time.Duration) {
	for id, s := range o.sessions {
		if s.link != nil || now-s.gone < sessionGrace {
			continue
		}
		for _, r := range o.running {
			if r.sess == s && r.key == nil && r.offer != nil && r.offer.Cancellable {
				o.halt(r, wire.ReasonCallerGone)
			}
		}
		if now-s.gone > keepRecord {
			delete(o.sessions, id)
		}
	}
}
