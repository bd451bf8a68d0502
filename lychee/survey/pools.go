package survey

import (
	"cmp"
	"context"
	"slices"

	"lycheepond/core/plat"
	"lycheepond/core/report"
)

// collectPools combines the entries' view of each pool with the agents' own
// status. An entry is linked to only some of the agents, and its view of an agent
// is as old as that agent's last message.
func (c *Collector) collectPools(ctx context.Context, statuses []report.Entry, roster plat.Roster) []Pool {
	byName := make(map[string]*Pool)
	endpoints := make(map[string]map[string]Endpoint)
	for _, status := range statuses {
		for _, p := range status.Pools {
			pool := byName[p.Pool]
			if pool == nil {
				pool = &Pool{Name: p.Pool, ShedLevel: p.ShedLevel}
				byName[p.Pool], endpoints[p.Pool] = pool, make(map[string]Endpoint)
			}
			pool.ShedLevel = min(pool.ShedLevel, p.ShedLevel)
			pool.WaitingAtEntries += p.Queued
			for _, a := range p.Agents {
				endpoints[p.Pool][a.Name] = endpoints[p.Pool][a.Name].merge(a)
			}
		}
	}
	var pools []Pool
	for name, pool := range byName {
		for _, e := range endpoints[name] {
			pool.Endpoints = append(pool.Endpoints, e)
		}
		c.queryAgents(ctx, pool.Endpoints, roster)
		pool.sumEndpoints()
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// merge adds an entry's view of the endpoint's agent. Each count becomes the highest
// that any entry reports, and each flag is set if at least one entry reports it.
func (e Endpoint) merge(a report.Agent) Endpoint {
	e.Name, e.Zone = a.Name, a.Zone
	if a.Version != "" {
		e.Version = a.Version
	}
	e.InFlight, e.InFlightBound, e.QueuedRequests = max(e.InFlight, a.InFlight), max(e.InFlightBound, a.InFlightBound), max(e.QueuedRequests, a.Queued)
	e.IsLinked, e.IsLeaving, e.IsSlow = e.IsLinked || a.Linked, e.IsLeaving || a.Leaving, e.IsSlow || a.Slow
	return e
}

// queryAgents replaces the entries' view of each agent by the agent's own status. It
// keeps the entries' view of an agent that has no admin address or doesn't answer.
func (c *Collector) queryAgents(ctx context.Context, endpoints []Endpoint, roster plat.Roster) {
	adminAddresses := make(map[string]string)
	for _, i := range roster.Instances {
		if i.Role == plat.RoleEndpoint {
			adminAddresses[i.Name] = i.AdminAddr
		}
	}
	runConcurrently(len(endpoints), func(i int) {
		e := &endpoints[i]
		if adminAddresses[e.Name] == "" {
			return
		}
		status, err := c.Admin.AgentStatus(ctx, adminAddresses[e.Name])
		if err != nil {
			return
		}
		e.InFlight, e.InFlightBound, e.QueuedRequests = status.InFlight, status.InFlightBound, status.QueuedRequests
		e.Version, e.IsLeaving, e.IsSlow, e.IsDown = status.EndpointVersion, status.IsLeaving, status.EndpointSlow, status.EndpointDown
	})
}

// sumEndpoints adds the endpoints' counts to the pool's and sorts the endpoints
// by name.
func (p *Pool) sumEndpoints() {
	for _, e := range p.Endpoints {
		p.InFlight += e.InFlight
		p.InFlightBound += e.InFlightBound
		p.QueuedRequests += e.QueuedRequests
	}
	slices.SortFunc(p.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// CountVersions returns the number of endpoints that serve each version.
// Endpoints of unknown version are left out.
func (p *Pool) CountVersions() map[string]int {
	counts := make(map[string]int)
	for _, e := range p.Endpoints {
		if e.Version != "" {
			counts[e.Version]++
		}
	}
	return counts
}
