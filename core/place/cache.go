package place

import (
	"time"

	"lycheepond/core/recent"
)

const (
	// DefaultMaxPrefixes is the default of Config.MaxPrefixes.
	DefaultMaxPrefixes = 16384
	// maxHolders is how many agents are remembered for a prefix.
	maxHolders = 8
	// holdsFor is how long an agent is taken to keep a prefix that it was not
	// sent again.
	holdsFor = 10 * time.Minute
	// trustWeight is the weight of an answer in the trust in an agent's cache,
	// and leastTrust what is left for it to be tried again.
	trustWeight, leastTrust = 1.0 / 8, 0.1
)

// holder is an agent that has a prefix. An agent that was forgotten gets a new
// life, and what was known of the old one is void.
type holder struct {
	agent, life int32
	at          time.Duration
}

// holders are the agents that have one prefix.
type holders struct {
	n      int
	agents [maxHolders]holder
}

// known is an agent that was sent something.
type known struct {
	name string
	life int32
	// index is where it was last found in the caller's slice.
	index int
	// trust is the part of what it was believed to have that it had.
	trust float64
}

// cache is what this entry's own grants tell of the prefix caches.
type cache struct {
	prefixes *recent.Table[uint64, holders]
	agents   []known
	byName   map[string]int32
	// names holds the hash of the name of the agent at each index of the
	// caller's slice, as it was last seen.
	names []named
}

// named is an agent's name and its hash.
type named struct {
	name string
	hash uint64
}

func newCache(limit int) cache {
	if limit <= 0 {
		limit = DefaultMaxPrefixes
	}
	return cache{prefixes: recent.New[uint64, holders](limit), byName: make(map[string]int32)}
}

func (c *cache) agent(name string) int32 {
	if i, ok := c.byName[name]; ok {
		return i
	}
	i := int32(len(c.agents))
	c.agents = append(c.agents, known{name: name, trust: 1})
	c.byName[name] = i
	return i
}

// longest returns the holders of the longest prefix that some agent has, and
// its length in tokens.
func (c *cache) longest(now time.Duration, prefix []uint64) (*holders, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		h := c.prefixes.Find(prefix[i])
		if h == nil {
			continue
		}
		c.expire(now, h)
		if h.n > 0 {
			return h, shared(i, len(prefix))
		}
	}
	return nil, 0
}

func (c *cache) expire(now time.Duration, h *holders) {
	n := 0
	for _, a := range h.agents[:h.n] {
		if now-a.at <= holdsFor && c.agents[a.agent].life == a.life {
			h.agents[n] = a
			n++
		}
	}
	h.n = n
}

// locate returns the index of a holder in agents, -1 if it is not there.
func (c *cache) locate(h holder, agents []Agent) int {
	k := &c.agents[h.agent]
	if k.index < len(agents) && agents[k.index].Name == k.name {
		return k.index
	}
	for i := range agents {
		if agents[i].Name == k.name {
			k.index = i
			return i
		}
	}
	return -1
}

// homes returns the indexes of the two agents that rank highest for a prefix
// by rendezvous hashing, -1 for none. Entries do not tell each other where they
// sent a prefix; this way they send it to the same agents all the same.
func (c *cache) homes(prefix uint64, agents []Agent) (first, second int) {
	first, second = -1, -1
	var best, next uint64
	for i := range agents {
		if !agents[i].usable() {
			continue
		}
		switch rank := mix(prefix ^ c.nameHash(i, agents[i].Name)); {
		case first < 0 || rank > best:
			second, next = first, best
			first, best = i, rank
		case second < 0 || rank > next:
			second, next = i, rank
		}
	}
	return first, second
}

func (c *cache) nameHash(i int, name string) uint64 {
	for len(c.names) <= i {
		c.names = append(c.names, named{})
	}
	if n := &c.names[i]; n.name == name {
		return n.hash
	}
	h := uint64(fnvOffset)
	for k := range len(name) {
		h = (h ^ uint64(name[k])) * fnvPrime
	}
	c.names[i] = named{name, mix(h)}
	return c.names[i].hash
}

// mix spreads the bits of a hash.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// put records that an agent has every prefix of prefix and returns the length
// in tokens of the longest that it was believed to have before.
func (c *cache) put(now time.Duration, name string, prefix []uint64) (believed int) {
	agent := c.agent(name)
	mark := holder{agent: agent, life: c.agents[agent].life, at: now}
	for i, hash := range prefix {
		h := c.prefixes.Get(hash)
		c.expire(now, h)
		at := h.slot(agent)
		if at < h.n && h.agents[at].agent == agent {
			believed = length(i)
		}
		h.n = max(h.n, at+1)
		h.agents[at] = mark
	}
	return believed
}

// slot returns the place for an agent among the holders: its own, a free one,
// or that of the one that was sent the prefix the longest time ago.
func (h *holders) slot(agent int32) int {
	oldest := 0
	for i := range h.agents[:h.n] {
		if h.agents[i].agent == agent {
			return i
		}
		if h.agents[i].at < h.agents[oldest].at {
			oldest = i
		}
	}
	if h.n < maxHolders {
		return h.n
	}
	return oldest
}

// length returns the tokens of the i-th prefix of a fingerprint.
func length(i int) int { return (firstBlock << i) / bytesPerToken }

// shared returns the tokens that a prompt with n prefixes is taken to have in
// common with another whose longest common prefix is the i-th: halfway to the
// next one, unless it is the last.
func shared(i, n int) int {
	if i == n-1 {
		return length(i)
	}
	return length(i) * 3 / 2
}

// Sent records that a prompt with this prefix was granted to the agent, which
// has it in its cache from then on. It returns how many of the prompt's tokens
// the agent was believed to have before, for Cached.
func (p *Placer) Sent(now time.Duration, agent string, prefix []uint64) (believed int) {
	return p.cache.put(now, agent, prefix)
}

// Cached takes in how many tokens of a prompt were cached, of which the agent
// was believed to have believed. An agent whose engine evicts sooner than is
// believed is trusted less, and so are savings there.
func (p *Placer) Cached(agent string, believed, cached int) {
	i, ok := p.cache.byName[agent]
	if !ok || believed <= 0 {
		return
	}
	k := &p.cache.agents[i]
	hit := min(float64(cached)/float64(believed), 1)
	k.trust = max(k.trust+(hit-k.trust)*trustWeight, leastTrust)
}

// Forget drops what is known of an agent, as after its restart.
func (p *Placer) Forget(agent string) {
	if i, ok := p.cache.byName[agent]; ok {
		p.cache.agents[i].life++
	}
}
