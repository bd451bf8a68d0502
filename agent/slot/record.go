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

// state is the state of a request.
type state uint8

const (
	// stateQueued: offered and waiting in the queue.
	stateQueued state = iota
	// stateParked: waiting because another request with the same idempotency key
	// came first and has not been granted.
	stateParked
	// stateClaimed: a claim was sent on the record's link and is unanswered.
	stateClaimed
	// stateLapsed: a claim was sent on a link that has ended. If there was a grant,
	// it was lost with the link, so the request may be offered again.
	stateLapsed
	// stateReady: granted and waiting for a free slot.
	stateReady
	// stateRunning: passed to the endpoint.
	stateRunning
	// stateEnded: ran and ended, or joined the run of another request with the same
	// idempotency key.
	stateEnded
	// stateTombstone: claimed or granted, did not run, and will never run.
	stateTombstone
)

// record is the owner's record of one request.
type record struct {
	id    ident.ID
	state state
	// offer is nil when the request has ended or joined another run, and in a record
	// that was not created by an offer.
	offer *wire.Offer
	// session is the request's entry process. link is the link of the offer or of
	// the last Attach. A grant counts only on the link on which the claim was sent.
	session *session
	link    *Peer
	// arrivedAt, startBy and deadline are times on the owner's clock. startBy is
	// the latest start that still meets the target. A zero startBy or deadline
	// means that there is none.
	arrivedAt, startBy, deadline time.Duration
	// stateSince is when the state was set, and startedAt when the request was
	// passed to the endpoint.
	stateSince, startedAt time.Duration
	work                  bound.Work
	// isLong is set when the bound counts the request as long work.
	isLong bool
	grant  *wire.Grant
	// isCharged is set while the work is charged to its customer's share.
	isCharged bool
	// answer holds the answer. Records with the same idempotency key share it.
	answer   *answer.Log
	follower *followTask
	// answerSent is set when the answer has been sent up to its end.
	answerSent    bool
	progress      *call.Progress
	cancelContext context.CancelFunc
	// isStream is set when the answer is streamed token by token.
	isStream bool
	// guard is set for a request with an idempotency key.
	guard *call.Guard
	// stopReason is the reason why the owner stopped the run; ReasonNone if it did
	// not.
	stopReason wire.Reason
	// notRunReason is the reason why the request of a tombstone did not run.
	notRunReason wire.Reason
	// key is nil for a request without an idempotency key.
	key *keyRecord
	// firstByteSampled is set when the bound has got a sample of the first byte.
	firstByteSampled bool
	// sampledTokens and sampledLastNS are the number of tokens and the arrival time
	// of the last of them at the last sample.
	sampledTokens int64
	sampledLastNS int64
}

// followTask is the goroutine that sends an answer to one link.
type followTask struct{ stop context.CancelFunc }

// session is one entry process with all its links.
type session struct {
	name        string
	incarnation uint64
	// link is the newest link, nil while there is none.
	link *Peer
	// linkLostAt is when the last link ended, and linkedAt when the newest link was
	// opened.
	linkLostAt time.Duration
	linkedAt   time.Duration
	// levels holds the shed levels that the entry reported, by pool.
	levels map[string]entryLevel
}

// entryLevel is a shed level that an entry reported.
type entryLevel struct {
	level     uint8
	expiresAt time.Duration
}

// ms converts milliseconds to a duration.
func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func newRecord(now time.Duration, p *Peer, s *session, m *wire.Offer) *record {
	r := &record{id: m.ID, offer: m, session: s, link: p, arrivedAt: now, stateSince: now}
	r.work = bound.Work{Tier: m.Tier, Tokens: int64(m.PromptTokens) + int64(m.OutputTokens), Cost: ms(m.CostMS)}
	if m.DeadlineMS > 0 {
		r.deadline = now + ms(m.DeadlineMS)
	}
	if m.FirstTargetMS > 0 {
		r.startBy = now + ms(m.FirstTargetMS) - ms(m.WaitedMS)
	}
	if m.CompleteTargetMS > 0 {
		// The cost is an estimate that may be wrong by a factor of ten. The cap
		// ensures that a request does not look late before it has waited.
		startBy := now + ms(m.CompleteTargetMS) - ms(m.WaitedMS) - min(ms(m.CostMS), ms(m.CompleteTargetMS)/2)
		if r.startBy == 0 || startBy < r.startBy {
			r.startBy = startBy
		}
	}
	return r
}

func (r *record) queueItem() queue.Item {
	return queue.Item{
		ID: r.id, Tier: r.offer.Tier, Customer: r.offer.Customer, Cost: r.work.Cost,
		Arrived: r.arrivedAt - ms(r.offer.WaitedMS), StartBy: r.startBy, Deadline: r.deadline, Repeatable: r.offer.Repeatable,
	}
}

// expired reports whether the deadline has passed.
func (r *record) expired(now time.Duration) bool { return r.deadline > 0 && now >= r.deadline }

// setState changes the state of r and updates the owner's maps and counts.
func (o *Owner) setState(now time.Duration, r *record, to state) {
	switch r.state {
	case stateClaimed:
		o.claimCount--
	case stateRunning:
		delete(o.running, r.id)
	}
	delete(o.waitingUnqueued, r.id)
	r.state, r.stateSince = to, now
	switch to {
	case stateQueued:
		o.waiting[r.id] = r
	case stateParked, stateClaimed, stateReady:
		o.waiting[r.id], o.waitingUnqueued[r.id] = r, r
		if to == stateClaimed {
			o.claimCount++
		}
	case stateRunning:
		delete(o.waiting, r.id)
		o.running[r.id] = r
	default:
		delete(o.waiting, r.id)
	}
	if to == stateEnded || to == stateTombstone || to == stateLapsed {
		o.finishedRecords = append(o.finishedRecords, r)
	}
}

// removeRecord removes a record for which no grant can be on its way.
func (o *Owner) removeRecord(now time.Duration, r *record) {
	if r.state == stateClaimed {
		o.claimCount--
	}
	o.refundCharge(r)
	r.state, r.stateSince = stateTombstone, now
	delete(o.waiting, r.id)
	delete(o.waitingUnqueued, r.id)
	delete(o.records, r.id)
	o.replaceFirst(now, r)
}

// expireRecords drops answers after answerRetention, and records after
// recordRetention, when no message about them can be on its way any more.
func (o *Owner) expireRecords(now time.Duration) {
	for o.droppedAnswers < len(o.finishedRecords) && now-o.finishedRecords[o.droppedAnswers].stateSince > answerRetention {
		if r := o.finishedRecords[o.droppedAnswers]; r.state == stateEnded && r.key == nil && r.answer != nil {
			r.answer.DropChunks()
		}
		o.droppedAnswers++
	}
	n := 0
	for n < len(o.finishedRecords) && now-o.finishedRecords[n].stateSince > recordRetention {
		r := o.finishedRecords[n]
		n++
		if o.records[r.id] == r && (r.state == stateEnded || r.state == stateTombstone || r.state == stateLapsed) {
			delete(o.records, r.id)
		}
	}
	if n > 0 {
		o.finishedRecords = append(o.finishedRecords[:0], o.finishedRecords[n:]...)
		o.droppedAnswers = max(o.droppedAnswers-n, 0)
	}
	o.expireKeys(now)
	o.shrinkAnswers()
}

// shrinkAnswers drops the oldest ended answers without followers while the budget
// is exceeded.
func (o *Owner) shrinkAnswers() {
	if !o.budget.Exceeded() {
		return
	}
	for _, r := range o.finishedRecords {
		if r.answer != nil && r.state == stateEnded && !r.answer.HasFollowers() {
			r.answer.DropChunks()
		}
		if !o.budget.Exceeded() {
			return
		}
	}
	// Answers of idempotency keys are kept longer than the records of their
	// requests.
	for _, k := range o.finishedKeys {
		if !o.budget.Exceeded() {
			return
		}
		if !k.answer.HasFollowers() {
			k.answer.DropChunks()
		}
	}
}
