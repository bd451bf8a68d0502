package sched

import (
	"time"

	"lycheepond/core/place"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// pick returns up to n agents to offer f to that do not hold its offer yet.
func (p *pool) pick(now time.Duration, f *flight, n int) []*agents.Peer {
	m := p.cfg.Pool(p.name)
	if m == nil || f.job.Key != nil {
		return nil
	}
	p.cand, p.members = p.cand[:0], p.members[:0]
	held := f.held.len() > 0
	for _, peer := range m.Peers {
		if peer.Leaving() || held && f.held.has(peer) {
			continue
		}
		l, ok := peer.Load()
		if !ok && !peer.Linked() {
			continue
		}
		p.cand = append(p.cand, describe(now, peer, &l))
		p.members = append(p.members, peer)
	}
	if len(p.cand) == 0 {
		return nil
	}
	req := place.Request{Tier: f.job.Class.Tier, PromptTokens: f.est.PromptTokens, Work: f.est.Work, Prefix: f.trace.prefix}
	p.picks = p.placer.Pick(now, req, p.cand, n, random(), p.picks[:0])
	out := make([]*agents.Peer, 0, len(p.picks))
	for _, i := range p.picks {
		out = append(out, p.members[i])
	}
	return out
}

func describe(now time.Duration, peer *agents.Peer, l *wire.Load) place.Agent {
	return place.Agent{
		Name: peer.Name(), Zone: peer.Zone(), InFlight: int(l.InFlight), Bound: max(1, int(l.InFlightBound)),
		Queued: int(l.Queued) + peer.Offered(), QueuedCost: time.Duration(l.QueuedCostMS) * time.Millisecond,
		Slow: l.Slow, Full: peer.Full(now),
	}
}

// widen offers requests that wait too long to one more agent each.
func (p *pool) widen(now time.Duration) {
	p.wide, p.wideF = p.wide[:0], p.wideF[:0]
	for f, st := range p.live {
		if st.granted || f.job.Key != nil {
			continue
		}
		p.wide = append(p.wide, place.Waiting{
			Tier: f.job.Class.Tier, Offered: st.offered, Due: due(f.job), Agents: f.held.len(),
			PromptTokens: f.est.PromptTokens, Prefix: f.trace.prefix,
		})
		p.wideF = append(p.wideF, f)
	}
	if len(p.wide) == 0 {
		return
	}
	p.picks = p.placer.Wider(now, p.wide, p.picks[:0])
	chosen := append([]int(nil), p.picks...)
	for _, i := range chosen {
		f := p.wideF[i]
		for _, peer := range p.pick(now, f, 1) {
			p.live[f].offered = now
			f.mail.put(event{peer: peer, kind: eventWider})
		}
	}
}

// due is when the request's target is missed, zero if never.
func due(j *Job) time.Duration {
	t := j.Class.Target.FirstToken.Std()
	if t == 0 {
		t = j.Class.Target.Complete.Std()
	}
	if t == 0 {
		return 0
	}
	return j.Accepted + t
}
