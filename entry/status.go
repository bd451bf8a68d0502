package main

import "lycheepond/core/report"

// status returns the report that operators read at /status.
func (n *node) status() report.Entry {
	s := report.Entry{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Ready: n.ready.Load(), Leaving: n.leaving.Load(),
		RunningRequests: n.sched.Running(), ConfigVersion: n.store.Version(), ConfigDigest: n.store.Digest(),
		PlatformUnavailable: n.feed.PlatformUnavailable(), PlatformAnswerAgeMS: n.feed.AnswerAgeMS(), Rejected: n.store.Rejected(), Pools: []report.Pool{}, Traffic: n.agents.Counts(),
	}
	for _, p := range n.pools() {
		s.Pools = append(s.Pools, n.poolStatus(p.Name))
	}
	return s
}

func (n *node) poolStatus(name string) report.Pool {
	status := n.sched.PoolReport(name)
	status.Agents = []report.Agent{}
	m := n.agents.Pool(name)
	if m == nil {
		return status
	}
	status.UnlinkedAgents = m.UnlinkedLive
	for _, p := range m.Peers {
		l, _ := p.Load()
		_, version := p.ServedModel()
		status.Agents = append(status.Agents, report.Agent{
			Name: p.Name(), Zone: p.Zone(), Linked: p.IsLinked(), Leaving: p.IsLeaving(),
			InFlight: int(l.InFlight), InFlightBound: int(l.InFlightBound), Queued: int(l.Queued), ShedLevel: int(l.ShedLevel), Slow: l.Slow,
			Version: version,
		})
	}
	return status
}
