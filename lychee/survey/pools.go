package survey

import (
	"cmp"
	"context"
	"slices"

	"lycheepond/core/plat"
	"lycheepond/core/report"
)

// pools joins what the entries say of each pool with what the agents say of
// themselves. An entry is linked to some agents only, and its view of them is
// as old as their last message.
func (s *Surveyor) pools(ctx context.Context, entries []report.Entry, roster plat.Roster) []Pool {
	byName := make(map[string]*Pool)
	lines := make(map[string]map[string]Line)
	for _, e := range entries {
		for _, p := range e.Pools {
			pool := byName[p.Pool]
			if pool == nil {
				pool = &Pool{Name: p.Pool, Level: p.ShedLevel}
				byName[p.Pool], lines[p.Pool] = pool, make(map[string]Line)
			}
			pool.Level = min(pool.Level, p.ShedLevel)
			pool.Waiting += p.Queued
			for _, a := range p.Agents {
				lines[p.Pool][a.Name] = lines[p.Pool][a.Name].join(a)
			}
		}
	}
	var out []Pool
	for name, pool := range byName {
		for _, l := range lines[name] {
			pool.Agents = append(pool.Agents, l)
		}
		s.ask(ctx, pool.Agents, roster)
		pool.sum()
		out = append(out, *pool)
	}
	slices.SortFunc(out, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (l Line) join(a report.Agent) Line {
	l.Name, l.Zone = a.Name, a.Zone
	if a.Version != "" {
		l.Version = a.Version
	}
	l.InFlight, l.Bound, l.Queued = max(l.InFlight, a.InFlight), max(l.Bound, a.InFlightBound), max(l.Queued, a.Queued)
	l.Linked, l.Leaving, l.Slow = l.Linked || a.Linked, l.Leaving || a.Leaving, l.Slow || a.Slow
	return l
}

// ask puts each agent's own figures in place of the entries' view of it.
func (s *Surveyor) ask(ctx context.Context, agents []Line, roster plat.Roster) {
	addresses := make(map[string]string)
	for _, i := range roster.Instances {
		if i.Role == plat.RoleEndpoint {
			addresses[i.Name] = i.AdminAddr
		}
	}
	each(len(agents), func(i int) {
		l := &agents[i]
		if addresses[l.Name] == "" {
			return
		}
		own, err := s.Admin.Agent(ctx, addresses[l.Name])
		if err != nil {
			return
		}
		l.InFlight, l.Bound, l.Queued = own.InFlight, own.Bound, own.Queued
		l.Version, l.Leaving, l.Slow, l.Down = own.Version, own.Leaving, own.Slow, own.Down
	})
}

func (p *Pool) sum() {
	for _, l := range p.Agents {
		p.InFlight += l.InFlight
		p.Bound += l.Bound
		p.Queued += l.Queued
	}
	slices.SortFunc(p.Agents, func(a, b Line) int { return cmp.Compare(a.Name, b.Name) })
}

// Versions returns how many endpoints serve each version.
func (p *Pool) Versions() map[string]int {
	out := make(map[string]int)
	for _, l := range p.Agents {
		if l.Version != "" {
			out[l.Version]++
		}
	}
	return out
}
