package sched

import (
	"strconv"
	"time"

	"lycheepond/core/once"
	"lycheepond/core/retry"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/fault"
)

// requestOffers gets the pool's decision whether and to which agents to offer the
// request, and sends the offers. first is set for a new request.
func (f *flight) requestOffers(first bool) {
	op := opPlace
	if first {
		op = opAdmit
	} else if !f.renewID() {
		return
	}
	if f.job.Key != nil && !first {
		f.offerToHome()
		return
	}
	f.pool.send(poolMessage{op: op, f: f})
	d := <-f.poolReply
	if d.fault != nil {
		f.recordStep("refused", "", d.fault.Error())
		f.finish(d.fault)
		return
	}
	if first {
		f.recordStep("admitted", "", "predicted wait "+d.wait.Round(time.Millisecond).String())
	}
	if f.job.Key != nil {
		f.offerToHome()
		return
	}
	for _, p := range d.peers {
		f.offerTo(p, 0)
	}
	if len(f.once.Offers()) == 0 {
		f.recordStep("wait", "", "no agent in reach")
		f.retryLater()
	}
}

// offerToHome offers a request with an idempotency key to the home of its key and
// to no other agent.
func (f *flight) offerToHome() {
	if f.s.cfg.Home == nil {
		f.finish(fault.New(fault.NoHome, "no agent keeps idempotency keys yet: ask again").WithRetryAfter(time.Second))
		return
	}
	// A home may lack a lease for as long as the platform is away. The caller would
	// wait until its deadline, so after maxHomeFailures it gets outcome not-run
	// with a Retry-After.
	if f.homeFailures < maxHomeFailures {
		home, err := f.s.cfg.Home(f.job.Pool, f.job.Key)
		if err == nil {
			f.offerTo(home.Peer, home.Epoch)
		}
		if len(f.once.Offers()) > 0 {
			return
		}
	}
	if f.homeFailures++; f.homeFailures > maxHomeFailures {
		f.finish(fault.New(fault.NoHome, "the agent that keeps this idempotency key can't be reached or has no lease on it: ask again with the same key").WithRetryAfter(homeRetryAfter))
		return
	}
	f.recordStep("wait", "", "home of the key away")
	f.retryLater()
}

const (
	// maxHomeFailures bounds how often the offer to a home may fail because it is
	// away, denies being the home or has no lease.
	maxHomeFailures = 8
	// homeRetryAfter is the Retry-After of a request that exceeded it.
	homeRetryAfter = 2 * time.Second
)

// retryLater schedules the next placement of the request, with a growing backoff.
func (f *flight) retryLater() {
	f.setTimer(timerOffer, retry.Backoff(min(f.retries, 6), random()))
	f.retries++
}

// offerTo sends an offer to p, unless p is leaving or already has one. epoch is that
// of the home table, zero for a request without a key.
func (f *flight) offerTo(p *agents.Peer, epoch int64) {
	a := p.Agent()
	if p.IsLeaving() || !f.once.Offer(a) {
		return
	}
	if p.Send(f.offerMessage(epoch)) != nil {
		f.once.DropOffer(a)
		return
	}
	f.timerReason = timerNone
	f.offeredTo.add(p)
	f.recordStep("offered", p.Name(), loadText(p))
}

// loadText returns an agent's load as text for the request's trace.
func loadText(p *agents.Peer) string {
	l, ok := p.Load()
	if !ok {
		return ""
	}
	return strconv.Itoa(int(l.InFlight)) + " of " + strconv.Itoa(int(l.InFlightBound)) + " in flight, " + strconv.Itoa(int(l.Queued)) + " queued"
}

// offerExtra offers the request to one more agent that the pool proposes.
func (f *flight) offerExtra(p *agents.Peer) {
	if f.once.State() != once.Offered || f.job.Key != nil {
		return
	}
	if !f.offeredTo.has(p) {
		f.offerTo(p, 0)
	}
}

// offerMessage returns the offer. The prefix hashes of the prompt are not in it:
// only the entry needs them, for placement, and they would be half of the offer's
// bytes.
func (f *flight) offerMessage(epoch int64) *wire.Offer {
	j, t := f.job, f.job.Class.Target
	waited := f.now() - j.AcceptedAt
	return &wire.Offer{
		ID: f.once.ID(), Pool: j.Pool, Customer: j.Customer, Class: j.Class.Name, Tier: j.Class.Tier,
		Model: j.Model, PromptTokens: uint32(f.estimate.PromptTokens), OutputTokens: uint32(f.estimate.OutputTokens),
		CostMS: millis(f.estimate.Work), WaitedMS: millis(waited),
		FirstTargetMS: millis(t.FirstToken.Std()), BetweenTargetMS: millis(t.BetweenTokens.Std()),
		CompleteTargetMS: millis(t.Complete.Std()), DeadlineMS: millis(j.Deadline - waited),
		Repeatable: j.Repeatable, Cancellable: j.Cancellable, KeyHash: j.Key, KeyCreatedMS: j.KeyCreatedMS, Digest: j.Digest, Epoch: epoch,
	}
}

// millis returns d in milliseconds, rounded up and limited to the range of uint32.
func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, 1<<32-1))
}

// handleClaim answers a claim: the first one with the grant, every other with a
// denial.
func (f *flight) handleClaim(p *agents.Peer, a once.Agent, m *wire.Claim) {
	if p.IsLeaving() && f.once.State() == once.Offered {
		f.once.DropOffer(a)
		p.Send(&wire.Deny{ID: m.ID})
		f.removeOffer(p)
		f.placeIfNotOffered()
		return
	}
	switch f.once.HandleClaim(m.ID, a) {
	case once.Deny:
		p.Send(&wire.Deny{ID: m.ID})
	case once.Grant:
		f.sendGrant(p)
	}
}

// sendGrant sends the grant to p and withdraws the other offers.
func (f *flight) sendGrant(p *agents.Peer) {
	j := f.job
	err := p.Send(&wire.Grant{ID: f.once.ID(), Method: j.Method, Path: j.Path, Header: j.Header, Body: j.Body, Stream: j.Stream})
	if err != nil {
		f.once.RevokeUnsentGrant()
		f.removeOffer(p)
		f.placeIfNotOffered()
		return
	}
	f.holder, f.grantedAt, f.hasHead = p, f.now(), false
	f.s.memory.markGranted(f)
	f.recordStep("granted", p.Name(), "")
	f.withdrawOffers()
	f.pool.send(poolMessage{op: opGrant, f: f, agent: p.Name()})
}

// withdrawOffers withdraws the offers of all agents except the holder.
func (f *flight) withdrawOffers() {
	for _, p := range f.offeredTo.clear() {
		if p != f.holder && f.once.DropOffer(p.Agent()) {
			p.Send(&wire.Withdraw{ID: f.once.ID()})
		}
	}
}

func (f *flight) removeOffer(p *agents.Peer) { f.offeredTo.remove(p) }

// placeIfNotOffered schedules another placement if no agent holds an offer.
func (f *flight) placeIfNotOffered() {
	if f.done || f.once.State() != once.Offered || len(f.once.Offers()) > 0 || f.timerReason == timerOffer {
		return
	}
	f.retryLater()
}

// handleReturn handles the return of an offer or of a grant by an agent.
func (f *flight) handleReturn(p *agents.Peer, a once.Agent, m *wire.Return) {
	if m.Reason == wire.ReasonFull {
		p.MarkFull(f.now())
	}
	if !f.once.HandleReturn(m.ID, a) {
		return
	}
	f.recordStep("returned", p.Name(), m.Reason.String())
	f.wasShed = m.Reason == wire.ReasonShed
	f.removeOffer(p)
	if m.Reason == wire.ReasonNoLease || m.Reason == wire.ReasonNotHome {
		f.homeFailures++
	}
	if f.once.State() == once.Returned {
		f.startNextAttempt("the granted agent returned it")
		return
	}
	f.placeIfNotOffered()
}

// startNextAttempt starts another attempt of a request if that is allowed, and ends
// the request otherwise. reason says how the last attempt ended.
func (f *flight) startNextAttempt(reason string) {
	if !f.once.MayRetry() {
		f.finish(fault.New(fault.UnknownOutcome, "the answer is lost and the request may have run ("+reason+"): find out before asking again"))
		return
	}
	if f.s.quarantine.isSuspect(f) {
		f.finish(fault.New(fault.UnknownOutcome, "the answer is lost ("+reason+"), and so were others to requests like it: it may crash endpoints and is not sent again"))
		return
	}
	f.pool.send(poolMessage{op: opRetry, f: f})
	if d := <-f.poolReply; d.fault != nil {
		f.finish(d.fault)
		return
	}
	if !f.renewID() {
		return
	}
	f.resetAnswer()
	f.recordStep("renewed", "", reason)
	f.retryLater()
}

// renewID gives the request a new ID, so that a message about an earlier offer can't
// be mistaken for one about the next. It reports false if it ended the request
// instead.
func (f *flight) renewID() bool {
	id, ok := nextAttempt(f.once.ID())
	if !ok {
		f.finish(fault.New(fault.Overloaded, "every attempt came back: ask again later").WithRetryAfter(time.Second))
		return false
	}
	f.s.table.drop(f.once.ID())
	if err := f.once.Retry(id); err != nil {
		f.finish(fault.New(fault.UnknownOutcome, err.Error()))
		return false
	}
	f.s.memory.markWaiting(f)
	f.offeredTo.clear()
	f.s.table.put(id, f)
	return true
}
