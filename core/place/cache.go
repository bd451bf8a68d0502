package place

import (
	"time"

	"lycheepond/core/recent"
)

const (
	// DefaultMaxPrefixes is the default of Config.MaxPrefixes.
	DefaultMaxPrefixes = 16384
	// maxHolders is the number of agents that are remembered for a prefix.
	maxHolders = 8
	// prefixTTL is how long an agent is assumed to keep a prefix after it was
	// last sent a prompt that begins with it.
	prefixTTL = 10 * time.Minute
	// hitRateWeight is the weight of one answer in an agent's hit rate.
	// minHitRate is the lower bound of a hit rate; it is above zero, so that an
	// agent with a low rate still gets some requests for its prefixes and the
	// rate can rise again.
	hitRateWeight, minHitRate = 1.0 / 8, 0.1
)

// holder is an agent that is assumed to have a prefix in its cache. agentID is
// the index of the agent in cache.agents. ForgetAgent increments the agent's
// generation, which invalidates all holders of older generations.
type holder struct {
	agentID, generation int32
	sentAt              time.Duration
}

// holders are the agents that are assumed to have one prefix.
type holders struct {
	count  int
	agents [maxHolders]holder
}

// knownAgent is an agent that was sent at least one request.
type knownAgent struct {
	name       string
	generation int32
	// lastIndex is the index at which the agent was last found in the caller's
	// slice.
	lastIndex int
	// hitRate is the decayed mean of the fraction of the tokens assumed to be
	// cached that really were.
	hitRate float64
}

// cache is an estimate of the prefix caches of the agents. It is derived only
// from the requests that this entry granted.
type cache struct {
	prefixes *recent.Table[uint64, holders]
	agents   []knownAgent
	byName   map[string]int32
	// hashedNames holds the name of the agent last seen at each index of the
	// caller's slice, with its hash.
	hashedNames []hashedName
}

// hashedName is an agent's name and its hash.
type hashedName struct {
	name string
	hash uint64
}

func newCache(limit int) cache {
	if limit <= 0 {
		limit = DefaultMaxPrefixes
	}
	return cache{prefixes: recent.New[uint64, holders](limit), byName: make(map[string]int32)}
}

// agentID returns the index of the named agent in c.agents. It adds the agent if
// it is new.
func (c *cache) agentID(name string) int32 {
	if i, ok := c.byName[name]; ok {
		return i
	}
	i := int32(len(c.agents))
	c.agents = append(c.agents, knownAgent{name: name, hitRate: 1})
	c.byName[name] = i
	return i
}

// longestKnown returns the holders of the longest prefix that some agent is
// assumed to have, and the number of tokens that they share with the prompt.
func (c *cache) longestKnown(now time.Duration, prefix []uint64) (*holders, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		h := c.prefixes.Find(prefix[i])
		if h == nil {
			continue
		}
		c.expire(now, h)
		if h.count > 0 {
			return h, sharedTokens(i, len(prefix))
		}
	}
	return nil, 0
}

// expire removes the holders that have not been sent the prefix for prefixTTL or
// that have restarted since.
func (c *cache) expire(now time.Duration, h *holders) {
	n := 0
	for _, a := range h.agents[:h.count] {
		if now-a.sentAt <= prefixTTL && c.agents[a.agentID].generation == a.generation {
			h.agents[n] = a
			n++
		}
	}
	h.count = n
}

// indexOf returns the index of a holder in agents, or -1 if it is not there.
func (c *cache) indexOf(h holder, agents []Agent) int {
	k := &c.agents[h.agentID]
	if k.lastIndex < len(agents) && agents[k.lastIndex].Name == k.name {
		return k.lastIndex
	}
	for i := range agents {
		if agents[i].Name == k.name {
			k.lastIndex = i
			return i
		}
	}
	return -1
}

// preferredAgents returns the indexes of the two usable agents that rank
// highest for a prefix by rendezvous hashing, or -1 if there are fewer. Entries
// do not tell each other where they sent a prefix. With the hash they still
// choose the same agents.
func (c *cache) preferredAgents(prefix uint64, agents []Agent) (first, second int) {
	first, second = -1, -1
	var firstRank, secondRank uint64
	for i := range agents {
		if !agents[i].usable() {
			continue
		}
		switch rank := mix(prefix ^ c.nameHash(i, agents[i].Name)); {
		case first < 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case second < 0 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	return first, second
}

// nameHash returns the hash of the name of the agent at index i of the caller's
// slice. It computes the hash again only if the name has changed.
func (c *cache) nameHash(i int, name string) uint64 {
	for len(c.hashedNames) <= i {
		c.hashedNames = append(c.hashedNames, hashedName{})
	}
	if n := &c.hashedNames[i]; n.name == name {
		return n.hash
	}
	h := uint64(fnvOffset)
	for k := range len(name) {
		h = (h ^ uint64(name[k])) * fnvPrime
	}
	c.hashedNames[i] = hashedName{name, mix(h)}
	return c.hashedNames[i].hash
}

// mix spreads the bits of a hash.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// record notes that an agent has every prefix in prefix. It returns the length
// in tokens of the longest prefix that the agent was already assumed to have.
func (c *cache) record(now time.Duration, name string, prefix []uint64) (assumedTokens int) {
	agent := c.agentID(name)
	sent := holder{agentID: agent, generation: c.agents[agent].generation, sentAt: now}
	for i, hash := range prefix {
		h := c.prefixes.GetOrAdd(hash)
		c.expire(now, h)
		pos := h.position(agent)
		if pos < h.count && h.agents[pos].agentID == agent {
			assumedTokens = prefixTokens(i)
		}
		h.count = max(h.count, pos+1)
		h.agents[pos] = sent
	}
	return assumedTokens
}

// position returns the index to use for an agent: its present one, a free one,
// or that of the holder whose last use of the prefix is the longest ago.
func (h *holders) position(agent int32) int {
	oldest := 0
	for i := range h.agents[:h.count] {
		if h.agents[i].agentID == agent {
			return i
		}
		if h.agents[i].sentAt < h.agents[oldest].sentAt {
			oldest = i
		}
	}
	if h.count < maxHolders {
		return h.count
	}
	return oldest
}

// prefixTokens returns the estimated number of tokens of the i-th prefix of a
// fingerprint.
func prefixTokens(i int) int { return (minPrefixBytes << i) / bytesPerToken }

// sharedTokens returns the number of tokens that a prompt with n prefixes is
// assumed to share with another one if the i-th is their longest common prefix:
// one and a half times the tokens of that prefix, which is halfway to the next
// one, or only its tokens if it is the last.
func sharedTokens(i, n int) int {
	if i == n-1 {
		return prefixTokens(i)
	}
	return prefixTokens(i) * 3 / 2
}

// RecordSent records that a prompt with this prefix was granted to the agent,
// which is assumed to have it in its cache from then on. It returns the number
// of the prompt's tokens that the agent was already assumed to have cached. The
// caller passes that number to RecordCached when the request has ended.
func (p *Placer) RecordSent(now time.Duration, agent string, prefix []uint64) (assumedTokens int) {
	return p.cache.record(now, agent, prefix)
}

// RecordCached records how many tokens of a prompt were really cached at the
// agent, and how many RecordSent had returned. An agent whose engine evicts
// prefixes sooner than assumed gets a lower hit rate, which reduces the saving
// that is expected there.
func (p *Placer) RecordCached(agent string, assumedTokens, cachedTokens int) {
	i, ok := p.cache.byName[agent]
	if !ok || assumedTokens <= 0 {
		return
	}
	k := &p.cache.agents[i]
	hitRate := min(float64(cachedTokens)/float64(assumedTokens), 1)
	k.hitRate = max(k.hitRate+(hitRate-k.hitRate)*hitRateWeight, minHitRate)
}

// ForgetAgent discards what is known about the agent's cache. It is used when
// the agent has restarted.
func (p *Placer) ForgetAgent(agent string) {
	if i, ok := p.cache.byName[agent]; ok {
		p.cache.agents[i].generation++
	}
}
