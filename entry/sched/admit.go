package sched

import (
	"time"

	"lycheepond/core/shed"
	"lycheepond/core/spec"
	"lycheepond/entry/fault"
)

// refuse returns why a request can't be taken, or the predicted wait of one
// that can.
func (p *pool) refuse(now time.Duration, f *flight) (time.Duration, *fault.Error) {
	j := f.job
	tier := j.Class.Tier
	view := p.view()
	view.LowerServed = below(view.Served, tier)
	if e := p.unreachable(now, f, view.LowerServed); e != nil {
		return 0, e
	}
	v := p.shed.Decide(now, shed.Ask{Tier: tier, Customer: j.Customer, Work: f.est.Work, Target: target(f, now)}, view)
	if v.Admit || !p.confirmed(tier) {
		return v.Wait, nil
	}
	e := fault.New(fault.Overloaded, "the pool "+p.name+" has no room for class "+j.Class.Name+" now ("+v.Why.String()+"): ask again after the time in Retry-After")
	return 0, e.After(max(v.RetryAfter, time.Millisecond))
}

// unreachable refuses when no agent of the pool can be offered anything.
func (p *pool) unreachable(now time.Duration, f *flight, lower bool) *fault.Error {
	m := p.cfg.Pool(p.name)
	if m == nil || len(m.Peers)+m.Beyond == 0 {
		return fault.New(fault.NoEndpoint, "no endpoint serves "+p.name+": start one with matching labels").After(noAgentRetry)
	}
	for _, peer := range m.Peers {
		if peer.Linked() && !peer.Leaving() {
			return nil
		}
	}
	if lower || now-f.job.Accepted < noAgentAfter {
		return nil
	}
	return fault.New(fault.NoEndpoint, "no endpoint of "+p.name+" is in reach: ask again").After(noAgentRetry)
}

// target is the time that is left for the request to start and still keep its
// target; zero means that nothing is promised.
func target(f *flight, now time.Duration) time.Duration {
	j, t := f.job, f.job.Class.Target
	left := time.Duration(0)
	if t.FirstToken > 0 {
		left = j.Accepted + t.FirstToken.Std() - now
	}
	if t.Complete > 0 {
		whole := j.Accepted + t.Complete.Std() - now - f.est.Work
		if t.FirstToken == 0 || whole < left {
			left = whole
		}
	}
	if left == 0 && t.FirstToken == 0 && t.Complete == 0 {
		return 0
	}
	return max(left, time.Millisecond)
}

// lowerServed reports whether work of a lower tier than tier is queued or
// running anywhere in the pool, or may be. A request of a higher tier that is
// refused then would be shed while lower work is served; without links to
// every agent the entry can't exclude it, so what is unknown counts as served.
func (p *pool) lowerServed(tier uint8) bool { return below(p.served(), tier) }

// below reports whether a mask of tiers has one that is lower than tier.
func below(mask, tier uint8) bool { return mask>>(tier+1) != 0 }

// confirmed reports whether every agent has said that it takes nothing below
// tier. An agent that has not heard of the level may start lower work for
// another entry the moment after this one refused a higher tier, and its load
// as last heard can't exclude that it has done so already.
func (p *pool) confirmed(tier uint8) bool {
	m := p.cfg.Pool(p.name)
	if m == nil || tier >= spec.Tiers-1 {
		return true
	}
	for _, peer := range m.Peers {
		if l, _ := peer.Load(); l.ShedLevel > tier && !peer.Leaving() {
			return false
		}
	}
	return true
}

// allTiers has the bit of every tier set.
const allTiers = 1<<spec.Tiers - 1

// served returns the tiers of which work is queued or running anywhere in the
// pool, or may be.
func (p *pool) served() uint8 {
	mask := uint8(0)
	for t := range p.waiting {
		if p.waiting[t]+p.running[t] > 0 {
			mask |= 1 << t
		}
	}
	m := p.cfg.Pool(p.name)
	if m == nil {
		return mask
	}
	if m.Beyond > 0 {
		return allTiers
	}
	for _, peer := range m.Peers {
		l, ok := peer.Load()
		if !ok && !peer.Leaving() {
			return allTiers
		}
		mask |= l.RunningTiers | l.WaitingTiers
	}
	return mask
}

// view gathers what is known of the whole pool.
func (p *pool) view() shed.View {
	v := shed.View{Served: p.served(), Peers: p.cfg.Entries()}
	m := p.cfg.Pool(p.name)
	if m == nil {
		return v
	}
	for _, peer := range m.Peers {
		l, ok := peer.Load()
		if !ok || peer.Leaving() {
			continue
		}
		v.Places += int(l.InFlightBound)
		v.Free += max(0, int(l.InFlightBound)-int(l.InFlight)-int(l.Queued)-peer.Offered())
	}
	return v
}
