package sched

import (
	"time"

	"lycheepond/core/place"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// pickAgents returns up to n agents to offer f to that don't hold its offer yet.
func (p *pool) pickAgents(now time.Duration, f *flight, n int) []*agents.Peer {
	m := p.cfg.Pool(p.name)
	if m == nil || f.job.Key != nil {
		return nil
	}
	p.candidates, p.members = p.candidates[:0], p.members[:0]
	hasOffers := f.offeredTo.len() > 0
	for _, peer := range m.Peers {
		if peer.IsLeaving() || hasOffers && f.offeredTo.has(peer) {
			continue
		}
		l, ok := peer.Load()
		if !ok && !peer.IsLinked() {
			continue
		}
		p.candidates = append(p.candidates, placementAgent(now, peer, &l))
		p.members = append(p.members, peer)
	}
	if len(p.candidates) == 0 {
		return nil
	}
	req := place.Request{Tier: f.job.Class.Tier, PromptTokens: f.estimate.PromptTokens, Work: f.estimate.Work, Prefix: f.trace.prefix}
	p.picks = p.placer.Pick(now, req, p.candidates, n, random(), p.picks[:0])
	out := make([]*agents.Peer, 0, len(p.picks))
	for _, i := range p.picks {
		out = append(out, p.members[i])
	}
	return out
}

// placementAgent returns an agent's state as the placer needs it.
func placementAgent(now time.Duration, peer *agents.Peer, l *wire.Load) place.Agent {
	return place.Agent{
		Name: peer.Name(), Zone: peer.Zone(), InFlight: int(l.InFlight), InFlightBound: max(1, int(l.InFlightBound)),
		Queued: int(l.Queued) + peer.UncountedOffers(), QueuedCost: time.Duration(l.QueuedCostMS) * time.Millisecond,
		Slow: l.Slow, Full: peer.IsFull(now),
	}
}

// offerLongWaits offers each request that has waited too long to one more agent.
func (p *pool) offerLongWaits(now time.Duration) {
	p.longWaits, p.longWaitFlights = p.longWaits[:0], p.longWaitFlights[:0]
	for f, st := range p.requests {
		if st.isGranted || f.job.Key != nil {
			continue
		}
		p.longWaits = append(p.longWaits, place.UnclaimedOffer{
			Tier: f.job.Class.Tier, OfferedAt: st.offeredAt, Due: targetDeadline(f.job), AgentCount: f.offeredTo.len(),
			PromptTokens: f.estimate.PromptTokens, Prefix: f.trace.prefix,
		})
		p.longWaitFlights = append(p.longWaitFlights, f)
	}
	if len(p.longWaits) == 0 {
		return
	}
	p.picks = p.placer.OffersToExtend(now, p.longWaits, p.picks[:0])
	picks := append([]int(nil), p.picks...)
	for _, i := range picks {
		f := p.longWaitFlights[i]
		for _, peer := range p.pickAgents(now, f, 1) {
			p.requests[f].offeredAt = now
			f.mailbox.put(event{peer: peer, kind: eventExtraOffer})
		}
	}
}

// targetDeadline returns the time at which the request's target is missed, on the
// entry's clock, or zero if it has none.
func targetDeadline(j *Job) time.Duration {
	t := j.Class.Target.FirstToken.Std()
	if t == 0 {
		t = j.Class.Target.Complete.Std()
	}
	if t == 0 {
		return 0
	}
	return j.AcceptedAt + t
}
