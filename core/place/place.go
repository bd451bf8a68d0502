// Package place chooses the agents to which a request is offered.
//
// It is designed for many requests to many endpoints of different speeds, whose
// load is known with a delay, and for prompts that share prefixes. If each
// request went to the endpoint that seems least loaded, the requests of all
// entries would arrive at the same one. If requests were sent at random, some
// would queue while other endpoints are idle, and the same prefix would be
// computed everywhere.
//
// The placer compares two agents drawn at random, which is nearly as good as
// comparing all of them and avoids herding. It adds the agents that have the
// prompt's prefix in their cache according to this entry's own grants: cache
// events arrive late and with gaps, while what was sent is known at once. An
// agent with the prefix saves prefill time for the request and for the others
// in its batch. It alone is offered the request as long as the saving is
// greater than the cost of its queue, because a second agent might claim the
// request first and compute the prefix again. A prefix that this entry has not
// sent yet goes to the one or two agents chosen by rendezvous hashing, so that
// all entries send it to the same ones. When the queue there costs more than
// the saving, the request goes elsewhere, and a prefix in high demand spreads
// to a few agents.
//
// Slow agents get no requests while there are others, except that one pick in
// thirty-two is also offered to a slow agent to detect its recovery. Agents
// that are leaving get none. Agents of other zones take part with a penalty,
// which the queues of a full zone exceed.
//
// The penalty for another zone is well above the network latency between zones,
// which is about a millisecond, so that a balanced zone keeps its work.
package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultPrefillPerToken is the default of Config.PrefillPerToken. It is
	// that of an engine of medium speed.
	DefaultPrefillPerToken = 125 * time.Microsecond
	// zonePenalty is the delay that is added to agents of other zones in
	// comparisons.
	zonePenalty = 10 * time.Millisecond
	// batchSlowdownDivisor gives the slowdown in a full batch: compared with an
	// empty batch, a request loses 1/batchSlowdownDivisor of its work.
	batchSlowdownDivisor = 8
	// probeInterval is the number of picks of which one includes a slow agent.
	probeInterval = 32
	// prefillStallDivisor gives the delay that a prefill causes to each other
	// request in the batch: 1/prefillStallDivisor of its time. They are not
	// stalled for all of it, because an engine interleaves parts of a prompt
	// with the tokens of the others.
	prefillStallDivisor = 8
	// prefillsPerMiss is the number of prefills that a cache miss costs when
	// the cache is full: that of the prompt itself, and later that of the
	// prefix that it evicts.
	prefillsPerMiss = 2
	// preferredLevel is the index of the fingerprint's prefix whose hash
	// selects the preferred agents of a prompt.
	preferredLevel = 2
	// knownPrefixDivisor and newPrefixDivisor give the part of a prefix that a
	// preferred agent is assumed to have cached although this entry did not
	// send it there: 1/knownPrefixDivisor of a prefix that this entry has sent
	// to other agents, and 1/newPrefixDivisor of one that it has never sent.
	knownPrefixDivisor, newPrefixDivisor = 2, 4
	// minExclusiveSaving is the saving from which on an agent is offered a
	// request alone.
	minExclusiveSaving = 5 * time.Millisecond
	// maxDraws is the number of random draws that may hit an ineligible agent
	// before all agents are scanned.
	maxDraws = 8
)

// Agent is what an entry knows about an agent to which it has a link.
type Agent struct {
	Name string
	Zone string
	// InFlight, InFlightBound, Queued and QueuedCost are the agent's last
	// reported load, plus what this entry has offered to it since.
	InFlight, InFlightBound, Queued int
	QueuedCost                      time.Duration
	// Slow and Leaving are reported by the agent. Full means that it returned
	// an offer a moment ago because it had no room.
	Slow, Leaving, Full bool
}

// usable reports whether a may be offered requests while other agents are
// available.
func (a *Agent) usable() bool { return !a.Leaving && !a.Full && !a.Slow }

// Request holds the properties of a request that matter for its placement.
type Request struct {
	Tier         uint8
	PromptTokens int
	Work         time.Duration
	// Prefix is the Fingerprint of the prompt.
	Prefix []uint64
}

// Config configures a Placer.
type Config struct {
	// Zone is the zone of the entry.
	Zone string
	// PrefillPerToken is the time to compute one token of a prompt. Zero means
	// DefaultPrefillPerToken.
	PrefillPerToken time.Duration
	// MaxPrefixes bounds the number of remembered prefixes. Zero means
	// DefaultMaxPrefixes.
	MaxPrefixes int
}

// Placer chooses agents for requests. One goroutine owns it.
type Placer struct {
	cfg   Config
	cache cache
	// candidates holds the candidates of the current pick.
	candidates []candidate
}

// candidate is an agent that may be picked.
type candidate struct {
	index int
	// saving is the time that a cached prefix saves. cost is the expected delay
	// of the request at the agent minus saving.
	cost   time.Duration
	saving time.Duration
}

// New returns a Placer that has no knowledge of any cache.
func New(cfg Config) *Placer {
	if cfg.PrefillPerToken <= 0 {
		cfg.PrefillPerToken = DefaultPrefillPerToken
	}
	return &Placer{cfg: cfg, cache: newCache(cfg.MaxPrefixes)}
}

// Pick appends to out the indexes of up to n agents to which req should be
// offered, the best first. It appends only one if that agent is expected to
// have the prompt's prefix and it saves enough. rnd must be a fresh random
// number.
func (p *Placer) Pick(now time.Duration, req Request, agents []Agent, n int, rnd uint64, out []int) []int {
	if n <= 0 || len(agents) == 0 {
		return out
	}
	p.candidates = p.candidates[:0]
	p.addPreferred(&req, agents, p.addHolders(now, &req, agents))
	random := randomSource(rnd)
	p.addRandom(&req, agents, max(n, 2), &random)
	if len(p.candidates) == 0 {
		p.addFallback(&req, agents)
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	if len(p.candidates) > 0 && p.candidates[0].saving >= minExclusiveSaving {
		n = 1
	}
	first := len(out)
	for _, c := range p.candidates[:min(n, len(p.candidates))] {
		out = append(out, c.index)
	}
	if n > 1 && random.below(probeInterval) == 0 {
		out = p.addProbe(agents, out, first, n, &random)
	}
	return out
}

// add makes agents[i] a candidate unless it already is one. assumedTokens is the
// number of the prompt's tokens that it is assumed to have cached.
func (p *Placer) add(req *Request, agents []Agent, i, assumedTokens int) {
	for j := range p.candidates {
		if p.candidates[j].index == i {
			return
		}
	}
	saving := p.saving(req.PromptTokens, assumedTokens, &agents[i])
	p.candidates = append(p.candidates, candidate{index: i, cost: p.expectedDelay(req, &agents[i]) - saving, saving: saving})
}

// saving returns the time that is saved if assumedTokens of the prompt are cached
// at a: the prefill itself, the later prefill of the prefix that it would evict
// elsewhere, and a part of both for every request in the batch, which would be
// delayed by the prefill.
func (p *Placer) saving(promptTokens, assumedTokens int, a *Agent) time.Duration {
	prefill := prefillsPerMiss * time.Duration(min(assumedTokens, promptTokens)) * p.cfg.PrefillPerToken
	return prefill + prefill*time.Duration(min(a.InFlight, a.InFlightBound))/prefillStallDivisor
}

// expectedDelay returns the time that req would lose at a: its wait in the
// queue, its share of the slowdown of a full batch, and the penalty for another
// zone.
func (p *Placer) expectedDelay(req *Request, a *Agent) time.Duration {
	bound := max(a.InFlightBound, 1)
	busy := a.InFlight + a.Queued
	delay := req.Work / batchSlowdownDivisor * time.Duration(min(busy, bound)) / time.Duration(bound)
	if busy >= bound {
		// Offers that the agent has not reported yet count as half of this
		// request, because other agents hold them too.
		queued := max(a.QueuedCost, time.Duration(a.Queued)*req.Work/2)
		delay += (queued + req.Work) / time.Duration(bound)
	}
	if a.Zone != p.cfg.Zone {
		delay += zonePenalty
	}
	return delay
}

// addHolders adds the agents that have the longest known prefix of the prompt
// and returns the length of that prefix in tokens.
func (p *Placer) addHolders(now time.Duration, req *Request, agents []Agent) int {
	h, tokens := p.cache.longestKnown(now, req.Prefix)
	if h == nil {
		return 0
	}
	for i := range h.agents[:h.count] {
		at := p.cache.indexOf(h.agents[i], agents)
		if at >= 0 && agents[at].usable() {
			p.add(req, agents, at, int(float64(tokens)*p.cache.agents[h.agents[i].agentID].hitRate))
		}
	}
	return tokens
}

// addPreferred adds the agents to which the other entries send prompts with
// this beginning. knownTokens is the length in tokens of the longest prefix
// that this entry has sent to any agent.
func (p *Placer) addPreferred(req *Request, agents []Agent, knownTokens int) {
	if len(req.Prefix) == 0 {
		return
	}
	level := min(preferredLevel, len(req.Prefix)-1)
	assumedTokens := max(knownTokens/knownPrefixDivisor, prefixTokens(level)/newPrefixDivisor)
	first, second := p.cache.preferredAgents(req.Prefix[level], agents)
	if first >= 0 {
		p.add(req, agents, first, assumedTokens)
	}
	if second >= 0 {
		p.add(req, agents, second, assumedTokens/knownPrefixDivisor)
	}
}

// addRandom adds n random agents of the entry's own zone and one of another
// zone, as far as there are usable ones. If that gives fewer than n candidates,
// it adds others from any zone.
func (p *Placer) addRandom(req *Request, agents []Agent, n int, rnd *randomSource) {
	inOwnZone := func(a *Agent) bool { return a.usable() && a.Zone == p.cfg.Zone }
	for range n {
		p.drawOne(req, agents, rnd, inOwnZone)
	}
	p.drawOne(req, agents, rnd, func(a *Agent) bool { return a.usable() && a.Zone != p.cfg.Zone })
	for range n {
		if len(p.candidates) >= n {
			return
		}
		p.drawOne(req, agents, rnd, (*Agent).usable)
	}
}

// drawOne adds a random eligible agent that is not a candidate yet, if there is
// one.
func (p *Placer) drawOne(req *Request, agents []Agent, rnd *randomSource, eligible func(*Agent) bool) {
	for range maxDraws {
		i := rnd.below(len(agents))
		if eligible(&agents[i]) && !p.isCandidate(i) {
			p.add(req, agents, i, 0)
			return
		}
	}
	start := rnd.below(len(agents))
	for k := range agents {
		i := (start + k) % len(agents)
		if eligible(&agents[i]) && !p.isCandidate(i) {
			p.add(req, agents, i, 0)
			return
		}
	}
}

// isCandidate reports whether the agent at index i is a candidate.
func (p *Placer) isCandidate(i int) bool {
	for j := range p.candidates {
		if p.candidates[j].index == i {
			return true
		}
	}
	return false
}

// addFallback adds the agents that are offered requests only when there are no
// others: those that were full a moment ago, or else those that are slow.
func (p *Placer) addFallback(req *Request, agents []Agent) {
	for i := range agents {
		if !agents[i].Leaving && !agents[i].Slow {
			p.add(req, agents, i, 0)
		}
	}
	if len(p.candidates) > 0 {
		return
	}
	for i := range agents {
		if !agents[i].Leaving {
			p.add(req, agents, i, 0)
		}
	}
}

// addProbe adds a slow agent, in place of the last pick if there are n already.
// The first pick stays, so that the request does not depend on the slow agent.
func (p *Placer) addProbe(agents []Agent, out []int, first, n int, rnd *randomSource) []int {
	start := rnd.below(len(agents))
	for k := range agents {
		i := (start + k) % len(agents)
		if !agents[i].Slow || agents[i].Leaving || slices.Contains(out[first:], i) {
			continue
		}
		if len(out)-first == n {
			out = out[:len(out)-1]
		}
		return append(out, i)
	}
	return out
}

// randomSource generates the random numbers of one pick from a seed.
type randomSource uint64

// below returns a random number from 0 to n-1.
func (r *randomSource) below(n int) int {
	*r += 0x9e3779b97f4a7c15
	return int(mix(uint64(*r)) % uint64(n))
}
