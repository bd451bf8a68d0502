package slot

import (
	"context"
	"time"

	"lycheepond/agent/answer"
	"lycheepond/agent/call"
	"lycheepond/core/bound"
	"lycheepond/core/ident"
	"lycheepond/core/queue"
	"lycheepond/core/wire"
)

// state is how far a request has come.
type state uint8

const (
	// queued: offered and waiting in the queue.
	queued state = iota
	// parked: keyed, and the key's first request has yet to be granted.
	parked
	// claimed: a claim was sent on link and is unanswered.
	claimed
	// lapsed: a claim was sent on a link that has ended. A grant for it was
	// lost with the link, so the request may be offered again.
	lapsed
	// ready: granted and waiting for room.
	ready
	// running: handed to the endpoint.
	running
	// ended: ran and ended, or joined a run of the same key.
	ended
	// dead: claimed or granted, did not run, and never will.
	dead
)

// rec is what the owner knows of one request.
type rec struct {
	id    ident.ID
	state state
	// offer is nil once the record only serves to refuse or replay.
	offer *wire.Offer
	// sess is the entry's process and link where the offer came from. A grant
	// counts only on the link that the claim was sent on.
	sess *session
	link *Peer
	// due and deadline are on the owner's clock; zero means never.
	arrived, due, deadline time.Duration
	// changed is when state was last set and started when the request was
	// handed to the endpoint.
	changed, started time.Duration
	work             bound.Work
	long             bool
	grant            *wire.Grant
	// charged is set while the work counts against its customer's share.
	charged bool
	// log is the answer; several records of one key share it.
	log    *answer.Log
	follow *following
	// told is set once the answer was sent to its end.
	told     bool
	progress *call.Progress
	stop     context.CancelFunc
	// stream is set when the answer comes token by token.
	stream bool
	// guard is set for keyed work.
	guard *call.Guard
	// stopped says why the owner stopped the run; ReasonNone if it did not.
	stopped wire.Reason
	// reason says why a dead record did not run.
	reason wire.Reason
	key    *keyRec
	// firstSeen is set when the bound has heard of the first byte; tokens and
	// lastToken are how far it has heard of the stream.
	firstSeen bool
	tokens    int64
	lastToken int64
}

// following is one follower's goroutine.
type following struct{ stop context.CancelFunc }

// session is one entry process over all its links.
type session struct {
	name        string
	incarnation uint64
	// link is the newest link, nil while there is none.
	link *Peer
	// gone is when the last link ended and back when the newest began.
	gone   time.Duration
	back   time.Duration
	levels map[string]levelHeard
}

// levelHeard is the shed level that an entry told.
type levelHeard struct {
	level uint8
	until time.Duration
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func newRec(now time.Duration, p *Peer, s *session, m *wire.Offer) *rec {
	r := &rec{id: m.ID, offer: m, sess: s, link: p, arrived: now, changed: now}
	r.work = bound.Work{Tier: m.Tier, Tokens: int64(m.PromptTokens) + int64(m.OutputTokens), Cost: ms(m.CostMS)}
	if m.DeadlineMS > 0 {
		r.deadline = now + ms(m.DeadlineMS)
	}
	if m.FirstMS > 0 {
		r.due = now + ms(m.FirstMS) - ms(m.WaitedMS)
	}
	if m.CompleteMS > 0 {
		// The cost is an estimate that may be wrong by ten times; capped, it
		// makes no request look late that has not waited.
		due := now + ms(m.CompleteMS) - ms(m.WaitedMS) - min(ms(m.CostMS), ms(m.CompleteMS)/2)
		if r.due == 0 || due < r.due {
			r.due = due
		}
	}
	return r
}

func (r *rec) item() queue.Item {
	return queue.Item{
		ID: r.id, Tier: r.offer.Tier, Customer: r.offer.Customer, Cost: r.work.Cost,
		Arrived: r.arrived - ms(r.offer.WaitedMS), Due: r.due, Deadline: r.deadline, Repeatable: r.offer.Repeatable,
	}
}

func (r *rec) expired(now time.Duration) bool { return r.deadline > 0 && now >= r.deadline }

// setState moves r to a state and keeps the owner's sets and counts in step.
func (o *Owner) setState(now time.Duration, r *rec, to state) {
	switch r.state {
	case claimed:
		o.claims--
	case running:
		delete(o.running, r.id)
	}
	delete(o.held, r.id)
	r.state, r.changed = to, now
	switch to {
	case queued:
		o.waiting[r.id] = r
	case parked, claimed, ready:
		o.waiting[r.id], o.held[r.id] = r, r
		if to == claimed {
			o.claims++
		}
	case running:
		delete(o.waiting, r.id)
		o.running[r.id] = r
	default:
		delete(o.waiting, r.id)
	}
	if to == ended || to == dead || to == lapsed {
		o.old = append(o.old, r)
	}
}

// forget removes a record that no grant can be on its way for.
func (o *Owner) forget(now time.Duration, r *rec) {
	if r.state == claimed {
		o.claims--
	}
	o.uncharge(r)
	r.state, r.changed = dead, now
	delete(o.waiting, r.id)
	delete(o.held, r.id)
	delete(o.recs, r.id)
	o.firstLost(now, r)
}

// expireRecords drops records that are old enough that no message about them
// can still be on its way, and answers earlier.
func (o *Owner) expireRecords(now time.Duration) {
	for o.dropped < len(o.old) && now-o.old[o.dropped].changed > keepAnswer {
		if r := o.old[o.dropped]; r.state == ended && r.key == nil && r.log != nil {
			r.log.DropChunks()
		}
		o.dropped++
	}
	n := 0
	for n < len(o.old) && now-o.old[n].changed > keepRecord {
		r := o.old[n]
		n++
		if o.recs[r.id] == r && (r.state == ended || r.state == dead || r.state == lapsed) {
			delete(o.recs, r.id)
		}
	}
	if n > 0 {
		o.old = append(o.old[:0], o.old[n:]...)
		o.dropped = max(o.dropped-n, 0)
	}
	o.expireKeys(now)
	o.shrink()
}

// shrink gives the oldest ended answers up while all of them hold too much.
func (o *Owner) shrink() {
	if !o.budget.Exceeded() {
		return
	}
	for _, r := range o.old {
		if r.log != nil && r.state == ended && !r.log.HasFollowers() {
			r.log.DropChunks()
		}
		if !o.budget.Exceeded() {
			return
		}
	}
	// Answers of keys outlive the records of their requests.
	for _, k := range o.oldKeys {
		if !o.budget.Exceeded() {
			return
		}
		if !k.log.HasFollowers() {
			k.log.DropChunks()
		}
	}
}
