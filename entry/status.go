package main

import (
	"lycheepond/core/store"
	"lycheepond/core/wire"
	"lycheepond/entry/sched"
)

// status is what operators read at /status.
type status struct {
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving"`
	Running  int               `json:"running"`
	Config   int64             `json:"config_version"`
	Digest   uint64            `json:"config_digest"`
	Away     bool              `json:"platform_away"`
	AgeMS    int64             `json:"platform_answer_age_ms"`
	Rejected []store.Rejection `json:"rejected,omitempty"`
	Pools    []poolStatus      `json:"pools"`
	Traffic  wire.Counts       `json:"link_bytes"`
}

type poolStatus struct {
	sched.Figures
	Beyond int           `json:"unlinked"`
	Agents []agentStatus `json:"agents"`
}

type agentStatus struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Linked   bool   `json:"linked"`
	Leaving  bool   `json:"leaving"`
	InFlight uint16 `json:"in_flight"`
	Bound    uint16 `json:"bound"`
	Queued   uint16 `json:"queued"`
	Level    uint8  `json:"level"`
	Slow     bool   `json:"slow"`
	Version  string `json:"version,omitempty"`
}

func (n *node) status() any {
	s := status{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Ready: n.ready.Load(), Leaving: n.leaving.Load(),
		Running: n.sched.Running(), Config: n.store.Version(), Digest: n.store.Digest(),
		Away: n.feed.Away(), AgeMS: n.feed.AgeMS(), Rejected: n.store.Rejected(), Pools: []poolStatus{}, Traffic: n.set.Counts(),
	}
	for _, p := range n.pools() {
		s.Pools = append(s.Pools, n.poolStatus(p.Name))
	}
	return s
}

func (n *node) poolStatus(name string) poolStatus {
	ps := poolStatus{Figures: n.sched.Figures(name), Agents: []agentStatus{}}
	m := n.set.Pool(name)
	if m == nil {
		return ps
	}
	ps.Beyond = m.Beyond
	for _, p := range m.Peers {
		l, _ := p.Load()
		_, version := p.Serves()
		ps.Agents = append(ps.Agents, agentStatus{
			Name: p.Name(), Zone: p.Zone(), Linked: p.Linked(), Leaving: p.Leaving(),
			InFlight: l.InFlight, Bound: l.Bound, Queued: l.Queued, Level: l.Level, Slow: l.Slow,
			Version: version,
		})
	}
	return ps
}
