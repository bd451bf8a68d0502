package sched

import (
	"time"

	"lycheepond/core/shed"
	"lycheepond/core/spec"
	"lycheepond/entry/fault"
)

// checkAdmission returns the predicted wait of a request that can be admitted, or
// the reason why it can't.
func (p *pool) checkAdmission(now time.Duration, f *flight) (time.Duration, *fault.Error) {
	j := f.job
	tier := j.Class.Tier
	view := p.shedView()
	view.LowerServed = hasLowerTier(view.ServedTiers, tier)
	if e := p.checkReachable(now, f, view.LowerServed); e != nil {
		return 0, e
	}
	v := p.shed.Decide(now, shed.Request{Tier: tier, Customer: j.Customer, Work: f.estimate.Work, MaxWait: timeToTarget(f, now)}, view)
	if v.Admit || !p.levelConfirmed(tier) {
		return v.Wait, nil
	}
	e := fault.New(fault.Overloaded, "the pool "+p.name+" has no room for class "+j.Class.Name+" now ("+v.Reason.String()+"): ask again after the time in Retry-After")
	return 0, e.WithRetryAfter(max(v.RetryAfter, time.Millisecond))
}

// checkReachable returns an error if the request can't be offered to any agent of
// the pool. Without a linked agent a request waits for noAgentAfter, or longer while
// lower tiers are served.
func (p *pool) checkReachable(now time.Duration, f *flight, lowerServed bool) *fault.Error {
	m := p.cfg.Pool(p.name)
	if m == nil || len(m.Peers)+m.UnlinkedLive == 0 {
		return fault.New(fault.NoEndpoint, "no endpoint serves "+p.name+": start one with matching labels").WithRetryAfter(noAgentRetry)
	}
	for _, peer := range m.Peers {
		if peer.IsLinked() && !peer.IsLeaving() {
			return nil
		}
	}
	if lowerServed || now-f.job.AcceptedAt < noAgentAfter {
		return nil
	}
	return fault.New(fault.NoEndpoint, "no endpoint of "+p.name+" is in reach: ask again").WithRetryAfter(noAgentRetry)
}

// timeToTarget returns how long the request can wait before it starts and still
// meet its target. Zero means that its class has no target.
func timeToTarget(f *flight, now time.Duration) time.Duration {
	j, t := f.job, f.job.Class.Target
	left := time.Duration(0)
	if t.FirstToken > 0 {
		left = j.AcceptedAt + t.FirstToken.Std() - now
	}
	if t.Complete > 0 {
		toComplete := j.AcceptedAt + t.Complete.Std() - now - f.estimate.Work
		if t.FirstToken == 0 || toComplete < left {
			left = toComplete
		}
	}
	if left == 0 && t.FirstToken == 0 && t.Complete == 0 {
		return 0
	}
	return max(left, time.Millisecond)
}

// lowerServed reports whether requests of a lower tier than tier are, or may be,
// queued or running anywhere in the pool. If a request of a higher tier were
// refused then, it would be shed while lower tiers are served. Without links to
// every agent the entry can't exclude this, so unknown tiers count as served.
func (p *pool) lowerServed(tier uint8) bool { return hasLowerTier(p.servedTiers(), tier) }

// hasLowerTier reports whether a mask of tiers has a tier lower than tier.
func hasLowerTier(mask, tier uint8) bool { return mask>>(tier+1) != 0 }

// levelConfirmed reports whether every agent has confirmed that it accepts no tier
// lower than tier. An agent that has not received the shed level may start a request
// of a lower tier for another entry right after this one refused a higher tier. Its
// last reported load can't exclude that this has already happened.
func (p *pool) levelConfirmed(tier uint8) bool {
	m := p.cfg.Pool(p.name)
	if m == nil || tier >= spec.Tiers-1 {
		return true
	}
	for _, peer := range m.Peers {
		if l, _ := peer.Load(); l.ShedLevel > tier && !peer.IsLeaving() {
			return false
		}
	}
	return true
}

// allTiers has the bit of every tier set.
const allTiers = 1<<spec.Tiers - 1

// servedTiers returns the mask of tiers that have, or may have, requests queued or
// running anywhere in the pool.
func (p *pool) servedTiers() uint8 {
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
	if m.UnlinkedLive > 0 {
		return allTiers
	}
	for _, peer := range m.Peers {
		l, ok := peer.Load()
		if !ok && !peer.IsLeaving() {
			return allTiers
		}
		mask |= l.RunningTiers | l.WaitingTiers
	}
	return mask
}

// shedView returns the state of the whole pool for a shed decision.
func (p *pool) shedView() shed.View {
	v := shed.View{ServedTiers: p.servedTiers(), Entries: p.cfg.EntryCount()}
	m := p.cfg.Pool(p.name)
	if m == nil {
		return v
	}
	for _, peer := range m.Peers {
		l, ok := peer.Load()
		if !ok || peer.IsLeaving() {
			continue
		}
		v.Slots += int(l.InFlightBound)
		v.FreeSlots += max(0, int(l.InFlightBound)-int(l.InFlight)-int(l.Queued)-peer.UncountedOffers())
	}
	return v
}
