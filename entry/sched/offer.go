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

// place asks the pool whether and where to offer the request, and does so.
// first is set on arrival.
func (f *flight) place(first bool) {
	op := opAgain
	if first {
		op = opArrive
	} else if !f.reissue() {
		return
	}
	if f.job.Key != nil && !first {
		f.placeHome()
		return
	}
	f.pool.tell(note{op: op, f: f})
	c := <-f.reply
	if c.fault != nil {
		f.step("refused", "", c.fault.Error())
		f.finish(c.fault)
		return
	}
	if first {
		f.step("admitted", "", "predicted wait "+c.wait.Round(time.Millisecond).String())
	}
	if f.job.Key != nil {
		f.placeHome()
		return
	}
	for _, p := range c.peers {
		f.offer(p, 0)
	}
	if len(f.once.Offers()) == 0 {
		f.step("wait", "", "no agent in reach")
		f.pause()
	}
}

// placeHome offers a keyed request to the home of its key and nowhere else.
func (f *flight) placeHome() {
	if f.s.cfg.Home == nil {
		f.finish(fault.New(fault.NoHome, "no agent keeps idempotency keys yet: ask again").After(time.Second))
		return
	}
	// A home without a lease may stay so for as long as the platform is away.
	// The caller would see its call hang until the deadline, so after a few
	// tries it hears not-run and when to come back.
	if f.homeTries < maxHomeTries {
		home, err := f.s.cfg.Home(f.job.Pool, f.job.Key)
		if err == nil {
			f.offer(home.Peer, home.Epoch)
		}
		if len(f.once.Offers()) > 0 {
			return
		}
	}
	if f.homeTries++; f.homeTries > maxHomeTries {
		f.finish(fault.New(fault.NoHome, "the agent that keeps this idempotency key can't be reached or has no lease on it: ask again with the same key").After(homeRetryAfter))
		return
	}
	f.step("wait", "", "home of the key away")
	f.pause()
}

const (
	// maxHomeTries bounds how often a home is asked that is away, or says that
	// it is not the home or has no lease.
	maxHomeTries   = 8
	homeRetryAfter = 2 * time.Second
)

// pause waits a little longer each time before the request is placed again.
func (f *flight) pause() {
	f.sleep(waitOffer, retry.Backoff(min(f.retries, 6), random()))
	f.retries++
}

// offer sends the description to p.
func (f *flight) offer(p *agents.Peer, epoch int64) {
	a := p.Agent()
	if p.Leaving() || !f.once.Offer(a) {
		return
	}
	if p.Send(f.describe(epoch)) != nil {
		f.once.Drop(a)
		return
	}
	f.wait = waitNothing
	f.held.add(p)
	f.step("offered", p.Name(), loadText(p))
}

// loadText is what the agent's load says, for the record of the decision.
func loadText(p *agents.Peer) string {
	l, ok := p.Load()
	if !ok {
		return ""
	}
	return strconv.Itoa(int(l.InFlight)) + " of " + strconv.Itoa(int(l.InFlightBound)) + " in flight, " + strconv.Itoa(int(l.Queued)) + " queued"
}

// widen offers the request to one more agent that the pool proposes.
func (f *flight) widen(p *agents.Peer) {
	if f.once.State() != once.Offered || f.job.Key != nil {
		return
	}
	if !f.held.has(p) {
		f.offer(p, 0)
	}
}

// describe returns the offer. The hashes of the prompt stay here: the entry
// places by them, and they would be half of the offer's bytes.
func (f *flight) describe(epoch int64) *wire.Offer {
	j, t := f.job, f.job.Class.Target
	waited := f.now() - j.Accepted
	return &wire.Offer{
		ID: f.once.ID(), Pool: j.Pool, Customer: j.Customer, Class: j.Class.Name, Tier: j.Class.Tier,
		Model: j.Model, PromptTokens: uint32(f.est.PromptTokens), OutputTokens: uint32(f.est.OutputTokens),
		CostMS: millis(f.est.Work), WaitedMS: millis(waited),
		FirstTargetMS: millis(t.FirstToken.Std()), BetweenTargetMS: millis(t.BetweenTokens.Std()),
		CompleteTargetMS: millis(t.Complete.Std()), DeadlineMS: millis(j.Deadline - waited),
		Repeatable: j.Repeatable, Cancellable: j.Cancellable, KeyHash: j.Key, KeyCreatedMS: j.KeyMade, Digest: j.Digest, Epoch: epoch,
	}
}

func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, 1<<32-1))
}

// claim answers a claim: the first with the grant, every other with a denial.
func (f *flight) claim(p *agents.Peer, a once.Agent, m *wire.Claim) {
	if p.Leaving() && f.once.State() == once.Offered {
		f.once.Drop(a)
		p.Send(&wire.Deny{ID: m.ID})
		f.forget(p)
		f.bare()
		return
	}
	switch f.once.Claim(m.ID, a) {
	case once.Deny:
		p.Send(&wire.Deny{ID: m.ID})
	case once.Grant:
		f.grant(p)
	}
}

func (f *flight) grant(p *agents.Peer) {
	j := f.job
	err := p.Send(&wire.Grant{ID: f.once.ID(), Method: j.Method, Path: j.Path, Header: j.Header, Body: j.Body, Stream: j.Stream})
	if err != nil {
		f.once.Unwritten()
		f.forget(p)
		f.bare()
		return
	}
	f.holder, f.granted, f.headed = p, f.now(), false
	f.s.room.granted(f)
	f.step("granted", p.Name(), "")
	f.withdraw()
	f.pool.tell(note{op: opGrant, f: f, agent: p.Name()})
}

// withdraw takes the offers back that nobody needs to claim any more.
func (f *flight) withdraw() {
	for _, p := range f.held.clear() {
		if p != f.holder && f.once.Drop(p.Agent()) {
			p.Send(&wire.Withdraw{ID: f.once.ID()})
		}
	}
}

func (f *flight) forget(p *agents.Peer) { f.held.remove(p) }

// bare places the request again once nobody holds its offer.
func (f *flight) bare() {
	if f.done || f.once.State() != once.Offered || len(f.once.Offers()) > 0 || f.wait == waitOffer {
		return
	}
	f.pause()
}

// returned takes back what an agent gave up.
func (f *flight) returned(p *agents.Peer, a once.Agent, m *wire.Return) {
	if m.Reason == wire.ReasonFull {
		p.MarkFull(f.now())
	}
	if !f.once.Return(m.ID, a) {
		return
	}
	f.step("returned", p.Name(), m.Reason.String())
	f.shed = m.Reason == wire.ReasonShed
	f.forget(p)
	if m.Reason == wire.ReasonNoLease || m.Reason == wire.ReasonNotHome {
		f.homeTries++
	}
	if f.once.State() == once.Returned {
		f.renew("the granted agent returned it")
		return
	}
	f.bare()
}

// renew begins another attempt of a request that may have one.
func (f *flight) renew(why string) {
	if !f.once.MayRenew() {
		f.finish(fault.New(fault.UnknownFate, "the answer is lost and the request may have run ("+why+"): find out before asking again"))
		return
	}
	if f.s.poison.suspect(f) {
		f.finish(fault.New(fault.UnknownFate, "the answer is lost ("+why+"), and so were others to requests like it: it may crash endpoints and is not sent again"))
		return
	}
	f.pool.tell(note{op: opRetry, f: f})
	if c := <-f.reply; c.fault != nil {
		f.finish(c.fault)
		return
	}
	if !f.reissue() {
		return
	}
	f.fresh()
	f.step("renewed", "", why)
	f.pause()
}

// reissue puts the request under a fresh ID, so that no frame about an earlier
// offer can be taken for one about the next.
func (f *flight) reissue() bool {
	id, ok := nextAttempt(f.once.ID())
	if !ok {
		f.finish(fault.New(fault.Overloaded, "every attempt came back: ask again later").After(time.Second))
		return false
	}
	f.s.table.drop(f.once.ID())
	if err := f.once.Renew(id); err != nil {
		f.finish(fault.New(fault.UnknownFate, err.Error()))
		return false
	}
	f.s.room.wait(f)
	f.held.clear()
	f.s.table.put(id, f)
	return true
}
