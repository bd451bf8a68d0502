// Package subset chooses which agents an entry keeps links to.
//
// The load it answers is size: at 420 entries and 12,000 agents a full mesh
// would be five million links, whose heartbeats alone exceed what a process may
// spend on control. Each entry drawing some agents at random would leave some
// agents with many entries and others with none, and every restart would move
// most links.
//
// Every agent is linked to the few entries of its own zone that rank highest
// for it by rendezvous hashing. Every process that sees the same instance list
// computes the same links, without asking anybody; an entry that comes or goes
// moves only the links that it gets or had. An agent whose zone has too few
// entries is linked to others too. An entry that gets too few agents in this
// way, because its zone has few, or lost them, takes agents of other zones, and
// a few of them always, so that it finds room at once when its own zone is
// full.
//
// Grounds of the figures: four links an agent are what 5 KB/s of control for
// each process allow at 115 agents an entry; docs/design/decisions.md has the
// balance and the churn that were measured.
package subset

import (
	"cmp"
	"maps"
	"slices"
)

// Node is an entry or an agent.
type Node struct {
	Name, Zone string
}

// Config says how many links are kept.
type Config struct {
	// Links is how many entries each agent is linked to, those of its own zone
	// first; zero means DefaultLinks.
	Links int
	// Least is how many agents of a pool an entry links to at least, as far as
	// there are so many; zero means DefaultLeast. So an entry knows the whole
	// of a small pool.
	Least int
	// Spill is how many agents of other zones an entry links to besides; zero
	// means DefaultSpill and a negative number none.
	Spill int
}

// Defaults of Config.
const (
	DefaultLinks = 4
	DefaultLeast = 32
	DefaultSpill = 6
)

// fairShares is how many times its equal share of all agents an entry links to
// at least: enough to carry its callers when its zone has lost its agents.
const fairShares = 2

func (c Config) filled() Config {
	if c.Links <= 0 {
		c.Links = DefaultLinks
	}
	if c.Least <= 0 {
		c.Least = DefaultLeast
	}
	switch {
	case c.Spill == 0:
		c.Spill = DefaultSpill
	case c.Spill < 0:
		c.Spill = 0
	}
	return c
}

// Agents returns the names of the agents of one pool that the entry self keeps
// links to, sorted. Entries holds every entry, self included or not.
func Agents(self Node, entries, agents []Node, cfg Config) []string {
	cfg = cfg.filled()
	zones := byZone(self, entries)
	c := choice{self: self, names: make(map[string]bool, 128)}
	for _, a := range agents {
		if zones.links(self, a, cfg.Links) {
			c.take(a)
		}
	}
	least := max(cfg.Least, fairShares*len(agents)/zones.count)
	rest := c.rest(agents)
	c.fill(rest, func(a Node) bool { return a.Zone == self.Zone && len(c.names) < least })
	c.fill(rest, func(a Node) bool { return a.Zone != self.Zone && (len(c.names) < least || c.others < cfg.Spill) })
	return slices.Sorted(maps.Keys(c.names))
}

// choice is the agents chosen so far.
type choice struct {
	self  Node
	names map[string]bool
	// others counts those of other zones.
	others int
}

func (c *choice) take(a Node) {
	c.names[a.Name] = true
	if a.Zone != c.self.Zone {
		c.others++
	}
}

// rest returns the agents that are not chosen, by rank.
func (c *choice) rest(agents []Node) []Node {
	type ranked struct {
		Node
		rank uint64
	}
	all := make([]ranked, 0, len(agents))
	for _, a := range agents {
		if !c.names[a.Name] {
			all = append(all, ranked{a, rank(c.self.Name, a.Name)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Node, len(all))
	for i := range all {
		out[i] = all[i].Node
	}
	return out
}

// fill takes agents in order of rank for which more holds.
func (c *choice) fill(rest []Node, more func(Node) bool) {
	for _, a := range rest {
		if more(a) {
			c.take(a)
		}
	}
}

// zones holds the entries by zone.
type zones struct {
	names map[string][]string
	// all holds every entry, and count is their number.
	all   []Node
	count int
}

func byZone(self Node, entries []Node) zones {
	z := zones{names: make(map[string][]string)}
	if !slices.Contains(entries, self) {
		z.add(self)
	}
	for _, e := range entries {
		z.add(e)
	}
	return z
}

func (z *zones) add(e Node) {
	z.names[e.Zone] = append(z.names[e.Zone], e.Name)
	z.all = append(z.all, e)
	z.count++
}

// links reports whether self is among the first n entries for the agent: those
// of its zone by rank, then the others by rank.
func (z *zones) links(self, agent Node, n int) bool {
	local := z.names[agent.Zone]
	if self.Zone != agent.Zone && len(local) >= n {
		return false
	}
	mine, before := rank(self.Name, agent.Name), 0
	if self.Zone == agent.Zone {
		for _, e := range local {
			if ahead(rank(e, agent.Name), e, mine, self.Name) {
				before++
			}
		}
		return before < n
	}
	before = len(local)
	for _, e := range z.all {
		if e.Zone != agent.Zone && ahead(rank(e.Name, agent.Name), e.Name, mine, self.Name) {
			before++
		}
	}
	return before < n
}

// ahead orders by rank, and by name where ranks are equal.
func ahead(rank uint64, name string, otherRank uint64, otherName string) bool {
	return rank > otherRank || (rank == otherRank && name > otherName)
}

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rank is the rendezvous hash of a pair of names.
func rank(entry, agent string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(entry) {
		h = (h ^ uint64(entry[i])) * fnvPrime
	}
	h = (h ^ '/') * fnvPrime
	for i := range len(agent) {
		h = (h ^ uint64(agent[i])) * fnvPrime
	}
	// FNV mixes the last bytes too little for names that end in a number.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
