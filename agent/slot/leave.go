package slot

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// beginLeave begins a planned stop. It informs every entry and returns the waiting
// requests. Running requests continue to their end.
func (o *Owner) beginLeave(now time.Duration) {
	if o.isLeaving {
		return
	}
	o.isLeaving, o.leaveDeadline = true, now+o.cfg.StopGrace
	logs.Info(o.log, logs.EventLeaving, zap.Int("running", len(o.running)), zap.Int("waiting", len(o.waiting)))
	o.publishLoad()
	o.broadcastHeartbeat()
	for _, r := range o.waiting {
		o.returnRequest(now, r, wire.ReasonLeaving)
	}
}

// tickLeave stops the requests that still run after the stop grace.
func (o *Owner) tickLeave(now time.Duration) {
	if !o.isLeaving || now < o.leaveDeadline {
		return
	}
	for _, r := range o.running {
		o.stopRun(r, wire.ReasonLeaving)
	}
}

// maxAttachDelay is how long an entry may take to attach to its answers after it
// has opened a new link. It attaches at once unless it is busy.
const maxAttachDelay = 500 * time.Millisecond

// hasUndeliveredAnswer reports whether a planned stop must wait for an entry that lost its
// link and may still attach to an answer that only this agent has.
func (o *Owner) hasUndeliveredAnswer(now time.Duration) bool {
	if now >= o.leaveDeadline {
		return false
	}
	for _, r := range slices.Backward(o.finishedRecords) {
		if now-r.stateSince > linkLossGrace {
			return false
		}
		if r.state != stateEnded || r.answer == nil || r.answerSent {
			continue
		}
		if r.session.link == nil && now-r.session.linkLostAt < linkLossGrace && !o.isReplaced(r.session) {
			return true
		}
		if r.session.link != nil && r.link != r.session.link && now-r.session.linkedAt < maxAttachDelay {
			return true
		}
	}
	return false
}

// isReplaced reports whether the entry process of a session has ended, which is
// known when a later process of the same name has opened a link.
func (o *Owner) isReplaced(s *session) bool {
	for _, other := range o.sessions {
		if other != s && other.name == s.name && other.linkedAt > s.linkLostAt {
			return true
		}
	}
	return false
}

// leaveComplete reports whether a planned stop is complete.
func (o *Owner) leaveComplete() bool {
	now := o.cfg.Now()
	return o.isLeaving && len(o.running) == 0 && len(o.readyRecords) == 0 && !o.hasUndeliveredAnswer(now) && o.handoversComplete(now) && (o.taskCount == 0 || now > o.leaveDeadline+cancelTimeout)
}
