// Package subset chooses the agents to which an entry keeps links.
//
// It is designed for large fleets. With 420 entries and 12,000 agents a full
// mesh would have five million links, whose heartbeats alone would exceed the
// control traffic that a process may use. If each entry chose agents at random,
// some agents would be linked to many entries and others to none, and every
// restart would move most links.
//
// Every agent is linked to the few entries of its own zone that rank highest
// for it by rendezvous hashing. All processes with the same instance list
// compute the same links without communication. An entry that is added or
// removed moves only its own links. An agent whose zone has too few entries is
// also linked to entries of other zones. An entry that gets too few agents in
// this way, because its zone has few or has lost them, adds agents of other
// zones. Every entry also links to a few agents of other zones, so that it has
// capacity at once when its own zone is full.
//
// Four links per agent are what 5 KB/s of control traffic per process allow
// with 115 agents per entry. Measurements of balance and churn are in
// docs/design/decisions.md.
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

// Config configures the number of links.
type Config struct {
	// LinksPerAgent is the number of entries to which each agent is linked,
	// those of its own zone first. Zero means DefaultLinksPerAgent.
	LinksPerAgent int
	// MinAgents is the minimum number of agents of a pool to which an entry
	// links, if the pool has as many. An entry therefore knows all agents of a
	// small pool. Zero means DefaultMinAgents.
	MinAgents int
	// MinRemoteAgents is the minimum number of agents of other zones to which an
	// entry links. Zero means DefaultMinRemoteAgents, and a negative number
	// means none.
	MinRemoteAgents int
}

// Defaults of Config.
const (
	DefaultLinksPerAgent   = 4
	DefaultMinAgents       = 32
	DefaultMinRemoteAgents = 6
)

// minFairShares is the minimum number of agents to which an entry links, in
// multiples of its equal share of all agents. Twice the share is enough to
// serve its callers when its zone has lost its agents.
const minFairShares = 2

// withDefaults returns c with zero fields replaced by their defaults.
func (c Config) withDefaults() Config {
	if c.LinksPerAgent <= 0 {
		c.LinksPerAgent = DefaultLinksPerAgent
	}
	if c.MinAgents <= 0 {
		c.MinAgents = DefaultMinAgents
	}
	switch {
	case c.MinRemoteAgents == 0:
		c.MinRemoteAgents = DefaultMinRemoteAgents
	case c.MinRemoteAgents < 0:
		c.MinRemoteAgents = 0
	}
	return c
}

// Agents returns the names of the agents of one pool to which the entry self
// keeps links, sorted. Entries holds all entries; self may be missing.
func Agents(self Node, entries, agents []Node, cfg Config) []string {
	cfg = cfg.withDefaults()
	zones := groupByZone(self, entries)
	c := selection{self: self, names: make(map[string]bool, 128)}
	for _, a := range agents {
		if zones.isLinked(self, a, cfg.LinksPerAgent) {
			c.add(a)
		}
	}
	minAgents := max(cfg.MinAgents, minFairShares*len(agents)/zones.count)
	rest := c.unselected(agents)
	c.addIf(rest, func(a Node) bool { return a.Zone == self.Zone && len(c.names) < minAgents })
	c.addIf(rest, func(a Node) bool {
		return a.Zone != self.Zone && (len(c.names) < minAgents || c.remoteCount < cfg.MinRemoteAgents)
	})
	return slices.Sorted(maps.Keys(c.names))
}

// selection holds the agents selected so far.
type selection struct {
	self  Node
	names map[string]bool
	// remoteCount is the number of selected agents in other zones.
	remoteCount int
}

func (c *selection) add(a Node) {
	c.names[a.Name] = true
	if a.Zone != c.self.Zone {
		c.remoteCount++
	}
}

// unselected returns the agents that are not selected, highest rank first.
func (c *selection) unselected(agents []Node) []Node {
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

// addIf adds the agents for which wanted returns true, in the given order. The
// result of wanted may depend on the agents already added.
func (c *selection) addIf(ranked []Node, wanted func(Node) bool) {
	for _, a := range ranked {
		if wanted(a) {
			c.add(a)
		}
	}
}

// entriesByZone holds the names of the entries of each zone.
type entriesByZone struct {
	names map[string][]string
	// all holds all entries, and count is their number.
	all   []Node
	count int
}

// groupByZone groups the entries by zone, including self if it is missing.
func groupByZone(self Node, entries []Node) entriesByZone {
	z := entriesByZone{names: make(map[string][]string)}
	if !slices.Contains(entries, self) {
		z.add(self)
	}
	for _, e := range entries {
		z.add(e)
	}
	return z
}

func (z *entriesByZone) add(e Node) {
	z.names[e.Zone] = append(z.names[e.Zone], e.Name)
	z.all = append(z.all, e)
	z.count++
}

// isLinked reports whether self is among the first n entries for the agent:
// those of the agent's zone by rank, then the others by rank.
func (z *entriesByZone) isLinked(self, agent Node, n int) bool {
	local := z.names[agent.Zone]
	if self.Zone != agent.Zone && len(local) >= n {
		return false
	}
	selfRank, before := rank(self.Name, agent.Name), 0
	if self.Zone == agent.Zone {
		for _, e := range local {
			if ranksBefore(rank(e, agent.Name), e, selfRank, self.Name) {
				before++
			}
		}
		return before < n
	}
	before = len(local)
	for _, e := range z.all {
		if e.Zone != agent.Zone && ranksBefore(rank(e.Name, agent.Name), e.Name, selfRank, self.Name) {
			before++
		}
	}
	return before < n
}

// ranksBefore compares entries by rank, highest first, and by name if the ranks
// are equal.
func ranksBefore(rank uint64, name string, otherRank uint64, otherName string) bool {
	return rank > otherRank || (rank == otherRank && name > otherName)
}

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rank returns the rendezvous hash of an entry and an agent.
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
