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

// handleAttach handles the Attach of an entry that lost its link after a grant.
//
// The agent may say that a grant never arrived only if this incarnation claimed
// the request, because a grant follows a claim. Without a record of a claim, the
// grant went to an earlier incarnation, and only the engine may know the outcome
// of the request.
func (o *Owner) handleAttach(now time.Duration, p *Peer, m *wire.Attach) {
	r := o.records[m.ID]
	if r != nil && o.ownRecord(p, m.ID) == nil {
		o.sendForgotten(p, m.ID)
		return
	}
	if r != nil && r.answer != nil {
		o.startFollow(r, r.id, r.answer, p, m.NextSeq)
		r.link = p
		return
	}
	otherIncarnation := m.AgentIncarnation != 0 && m.AgentIncarnation != o.cfg.Self.Incarnation
	if r == nil || otherIncarnation {
		o.resume(now, p, m)
		return
	}
	switch r.state {
	case stateQueued, stateParked, stateClaimed, stateLapsed:
		o.queue.Remove(r.id)
		o.setTombstone(now, r, wire.ReasonNeverGranted)
		o.sendReturnTo(p, r.id, wire.ReasonNeverGranted)
	case stateTombstone:
		o.sendReturnTo(p, r.id, r.notRunReason)
	default:
		o.sendForgotten(p, m.ID)
	}
}

func (o *Owner) sendForgotten(p *Peer, id ident.ID) {
	o.publishLoad()
	logs.Warn(o.log, logs.EventRequestUnknown, logs.Request(id), zap.String("peer", p.Name))
	o.send(p, &wire.End{ID: id, Reason: wire.ReasonForgotten, Load: *o.load.Load()})
}

// resume reads the stream of a request that an earlier incarnation of this agent
// started. If that is not possible, it reports to the entry that the outcome is
// unknown.
func (o *Owner) resume(now time.Duration, p *Peer, m *wire.Attach) {
	r := o.adoptRequest(now, p, m.ID)
	if o.cfg.Resume == nil || !m.Stream || o.isLeaving {
		o.sendForgotten(p, m.ID)
		return
	}
	r.answer = answer.New(&o.budget)
	o.startFollow(r, r.id, r.answer, p, m.NextSeq)
	id := m.ID
	o.launchRun(now, r, func(ctx context.Context, sink call.Sink) call.Result {
		res := o.cfg.Resume(ctx, id, sink, r.progress)
		res.Sent = true
		return res
	})
	logs.Info(o.log, logs.EventRequestResumed, logs.Request(id), zap.String("peer", p.Name))
}

// adoptRequest creates the record of a request that was granted to an earlier
// incarnation. This agent neither runs nor returns the request: a Return would say
// that it was not run, and only the earlier incarnation could know that.
func (o *Owner) adoptRequest(now time.Duration, p *Peer, id ident.ID) *record {
	if old := o.records[id]; old != nil {
		o.removeReady(old)
		o.queue.Remove(id)
		o.removeRecord(now, old)
	}
	r := &record{id: id, session: o.sessionOf(p), link: p, arrivedAt: now}
	o.records[id] = r
	o.setState(now, r, stateEnded)
	return r
}

// brokenReason returns the reason for an incomplete answer whose run the owner did
// not stop.
func brokenReason(res call.Result) wire.Reason {
	switch {
	case errors.Is(res.Err, engine.ErrUnknown):
		return wire.ReasonForgotten
	case res.Crashed:
		return wire.ReasonUnreachable
	}
	return wire.ReasonBroken
}

// sessionOf returns the session of the entry process behind p, and creates it if
// needed.
func (o *Owner) sessionOf(p *Peer) *session {
	s := o.sessions[p.Incarnation]
	if s == nil {
		s = &session{name: p.Name, incarnation: p.Incarnation, levels: make(map[string]entryLevel)}
		o.sessions[p.Incarnation] = s
	}
	return s
}

func (o *Owner) handleLinkUp(now time.Duration, p *Peer) {
	s := o.sessionOf(p)
	s.link, s.linkedAt = p, now
	o.nextLeaseRoundAt = 0
	logs.Info(o.log, logs.EventLinkUp, zap.String("peer", p.Name), zap.Uint64("incarnation", p.Incarnation))
	if o.isLeaving || o.orderState.servedVersion != "" {
		o.sendHeartbeat(p)
	}
}

// handleLinkDown drops the requests that were only offered on the link. Granted
// requests continue, and their answers are kept for an Attach.
func (o *Owner) handleLinkDown(now time.Duration, p *Peer) {
	for _, r := range o.waiting {
		if r.link == p && r.state != stateReady {
			o.lapse(now, r)
		}
	}
	s := o.sessionOf(p)
	if s.link == p {
		s.link, s.linkLostAt = nil, now
	}
}

// lapse drops a waiting request whose link has ended. The record of a claimed
// request is kept: the entry may have sent a grant that was lost, and will then
// send an Attach.
func (o *Owner) lapse(now time.Duration, r *record) {
	o.queue.Remove(r.id)
	if r.state != stateClaimed {
		o.removeRecord(now, r)
		return
	}
	o.refundCharge(r)
	o.setState(now, r, stateLapsed)
	o.replaceFirst(now, r)
}

// expireSessions stops the cancellable requests without an idempotency key of
// entries that have had no link for linkLossGrace, and drops sessions without a
// link after recordRetention.
func (o *Owner) expireSessions(now time.Duration) {
	for id, s := range o.sessions {
		if s.link != nil || now-s.linkLostAt < linkLossGrace {
			continue
		}
		for _, r := range o.running {
			if r.session == s && r.key == nil && r.offer != nil && r.offer.Cancellable {
				o.stopRun(r, wire.ReasonCallerGone)
			}
		}
		if now-s.linkLostAt > recordRetention {
			delete(o.sessions, id)
		}
	}
}
