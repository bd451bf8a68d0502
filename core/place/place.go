// Package place chooses the agents that are offered a request.
//
// The load it answers is many requests over many endpoints of unlike speed,
// whose load is known late, and prompts that begin alike. Sent to the endpoint
// that looks least loaded, all entries' requests meet at the same one; sent at
// random, some queue while others idle, and the same prefix is computed
// everywhere.
//
// Two agents drawn at random are compared, which is nearly as good as comparing
// all and does not herd. To them come the agents that have the prompt's prefix
// in their cache, as far as the entry's own grants tell: cache events come late
// and with gaps, while what was sent is known at once. An agent with the prefix
// is worth the prefill that it saves, to the request and to those in the same
// batch, and is offered the request alone as long as that is more than its queue
// costs; beside it a second agent would claim first and compute the prefix
// again. A prefix that this entry has not sent yet goes where rendezvous hashing
// puts it, so that all entries send it to the same one or two. When the queue there costs more, the
// request goes elsewhere, and a prefix in demand spreads to a few agents.
//
// Slow and leaving agents get nothing, except that one pick in thirty-two also
// offers to a slow one, so that its recovery can be seen. Agents of other zones
// take part at a penalty, which the queues of a full zone exceed.
//
// Grounds of the figures: the penalty of another zone is well above the
// millisecond between zones, so that a balanced zone keeps its work; the others
// are to be measured.
package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultPrefill is the time to compute one token of a prompt that is
	// assumed when Config has none: an engine of middling speed.
	DefaultPrefill = 125 * time.Microsecond
	// zonePenalty is what an agent of another zone must be better by.
	zonePenalty = 10 * time.Millisecond
	// crowding is the part of its work that a request loses in a full batch,
	// against an empty one.
	crowding = 8
	// probeEvery is the number of picks of which one offers to a slow agent.
	probeEvery = 32
	// stalled is the divisor of the others' time in the batch that a prefill
	// takes: they do not stand still all of the time, because an engine mixes a
	// part of a prompt with the tokens of the others.
	stalled = 8
	// evicts is how many prefills a miss costs in a full cache: its own, and
	// later that of the prefix that it evicts.
	evicts = 2
	// homeLevel is the prefix of the fingerprint that chooses a prompt's homes.
	homeLevel = 2
	// knownHome and newHome are the parts, as divisors, of a prefix that a home
	// is taken to have when this entry did not send it there: of one that it
	// has sent elsewhere, and of one that it never saw.
	knownHome, newHome = 2, 4
	// leastSaving is the prefill that must be saved for an agent to be offered
	// a request alone.
	leastSaving = 5 * time.Millisecond
	// draws is how often an agent is drawn again that must not be offered to,
	// before all are looked at.
	draws = 8
)

// Agent is what an entry knows of one agent it has a link to.
type Agent struct {
	Name string
	Zone string
	// InFlight, Bound, Queued and QueuedCost are the last load heard, plus
	// what the entry itself has offered since.
	InFlight, Bound, Queued int
	QueuedCost              time.Duration
	// Slow, Leaving and Full come from the agent; Full means that it returned
	// an offer for want of room a moment ago.
	Slow, Leaving, Full bool
}

// usable reports whether a is offered work as long as there are others.
func (a *Agent) usable() bool { return !a.Leaving && !a.Full && !a.Slow }

// Request is what placement needs to know of a request.
type Request struct {
	Tier         uint8
	PromptTokens int
	Work         time.Duration
	// Prefix holds the Fingerprint of the prompt.
	Prefix []uint64
}

// Config says from where placement is done.
type Config struct {
	// Zone is the zone of the entry.
	Zone string
	// Prefill is the time to compute one token of a prompt; zero means
	// DefaultPrefill.
	Prefill time.Duration
	// MaxPrefixes bounds the prefixes that are remembered; zero means
	// DefaultMaxPrefixes.
	MaxPrefixes int
}

// Placer chooses agents. One goroutine owns it.
type Placer struct {
	cfg   Config
	cache cache
	// found holds the candidates of the present pick.
	found []candidate
}

// candidate is an agent that may be picked.
type candidate struct {
	index int
	// cost is the time that the request would lose there.
	cost   time.Duration
	saving time.Duration
}

// New returns a placer that has sent nothing yet.
func New(cfg Config) *Placer {
	if cfg.Prefill <= 0 {
		cfg.Prefill = DefaultPrefill
	}
	return &Placer{cfg: cfg, cache: newCache(cfg.MaxPrefixes)}
}

// Pick appends to out the indexes of up to n agents to offer req to, the best
// first. It picks one alone if that one has the prompt's prefix. rnd is a fresh
// random number.
func (p *Placer) Pick(now time.Duration, req Request, agents []Agent, n int, rnd uint64, out []int) []int {
	if n <= 0 || len(agents) == 0 {
		return out
	}
	p.found = p.found[:0]
	p.addHomes(&req, agents, p.addHolders(now, &req, agents))
	r := random(rnd)
	p.addDrawn(&req, agents, max(n, 2), &r)
	if len(p.found) == 0 {
		p.addLast(&req, agents)
	}
	slices.SortFunc(p.found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	if len(p.found) > 0 && p.found[0].saving >= leastSaving {
		n = 1
	}
	first := len(out)
	for _, c := range p.found[:min(n, len(p.found))] {
		out = append(out, c.index)
	}
	if n > 1 && r.below(probeEvery) == 0 {
		out = p.probe(agents, out, first, n, &r)
	}
	return out
}

// add makes agents[i] a candidate unless it is one.
func (p *Placer) add(req *Request, agents []Agent, i, held int) {
	for j := range p.found {
		if p.found[j].index == i {
			return
		}
	}
	saving := p.saving(req.PromptTokens, held, &agents[i])
	p.found = append(p.found, candidate{index: i, cost: p.loss(req, &agents[i]) - saving, saving: saving})
}

// saving is what a prompt of which held tokens are cached at a is worth there:
// the prefill that it saves, that of what it would evict elsewhere, and a part
// of both for every request in the batch, all of which stand still meanwhile.
func (p *Placer) saving(prompt, held int, a *Agent) time.Duration {
	prefill := evicts * time.Duration(min(held, prompt)) * p.cfg.Prefill
	return prefill + prefill*time.Duration(min(a.InFlight, a.Bound))/stalled
}

// loss is the time that req would lose at a: the queue, a share of a full
// batch, and the way to another zone.
func (p *Placer) loss(req *Request, a *Agent) time.Duration {
	bound := max(a.Bound, 1)
	busy := a.InFlight + a.Queued
	d := req.Work / crowding * time.Duration(min(busy, bound)) / time.Duration(bound)
	if busy >= bound {
		// Offers that the agent has yet to hear of count half as long as this
		// one, since others hold them too.
		queued := max(a.QueuedCost, time.Duration(a.Queued)*req.Work/2)
		d += (queued + req.Work) / time.Duration(bound)
	}
	if a.Zone != p.cfg.Zone {
		d += zonePenalty
	}
	return d
}

// addHolders adds the agents that have the longest known prefix of the prompt
// and returns its length in tokens.
func (p *Placer) addHolders(now time.Duration, req *Request, agents []Agent) int {
	h, tokens := p.cache.longest(now, req.Prefix)
	if h == nil {
		return 0
	}
	for i := range h.agents[:h.n] {
		at := p.cache.locate(h.agents[i], agents)
		if at >= 0 && agents[at].usable() {
			p.add(req, agents, at, int(float64(tokens)*p.cache.agents[h.agents[i].agent].trust))
		}
	}
	return tokens
}

// addHomes adds the agents that the other entries send the prompt's beginning
// to, of which known tokens were sent by this one before.
func (p *Placer) addHomes(req *Request, agents []Agent, known int) {
	if len(req.Prefix) == 0 {
		return
	}
	level := min(homeLevel, len(req.Prefix)-1)
	held := max(known/knownHome, length(level)/newHome)
	first, second := p.cache.homes(req.Prefix[level], agents)
	if first >= 0 {
		p.add(req, agents, first, held)
	}
	if second >= 0 {
		p.add(req, agents, second, held/knownHome)
	}
}

// addDrawn adds n agents of the own zone and one of another, as far as there
// are usable ones.
func (p *Placer) addDrawn(req *Request, agents []Agent, n int, r *random) {
	own := func(a *Agent) bool { return a.usable() && a.Zone == p.cfg.Zone }
	for range n {
		p.draw(req, agents, r, own)
	}
	p.draw(req, agents, r, func(a *Agent) bool { return a.usable() && a.Zone != p.cfg.Zone })
	for range n {
		if len(p.found) >= n {
			return
		}
		p.draw(req, agents, r, (*Agent).usable)
	}
}

// draw adds a random agent that passes ok and is no candidate yet.
func (p *Placer) draw(req *Request, agents []Agent, r *random, ok func(*Agent) bool) {
	for range draws {
		i := r.below(len(agents))
		if ok(&agents[i]) && !p.has(i) {
			p.add(req, agents, i, 0)
			return
		}
	}
	from := r.below(len(agents))
	for k := range agents {
		i := (from + k) % len(agents)
		if ok(&agents[i]) && !p.has(i) {
			p.add(req, agents, i, 0)
			return
		}
	}
}

func (p *Placer) has(i int) bool {
	for j := range p.found {
		if p.found[j].index == i {
			return true
		}
	}
	return false
}

// addLast adds the agents that are offered work only when there are no others:
// those that just were full, then those that are slow.
func (p *Placer) addLast(req *Request, agents []Agent) {
	for i := range agents {
		if !agents[i].Leaving && !agents[i].Slow {
			p.add(req, agents, i, 0)
		}
	}
	if len(p.found) > 0 {
		return
	}
	for i := range agents {
		if !agents[i].Leaving {
			p.add(req, agents, i, 0)
		}
	}
}

// probe offers to a slow agent in place of the last pick. The first pick
// stays, so the request does not depend on it.
func (p *Placer) probe(agents []Agent, out []int, first, n int, r *random) []int {
	from := r.below(len(agents))
	for k := range agents {
		i := (from + k) % len(agents)
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

// random makes the random numbers of one pick from one.
type random uint64

// below returns a number from 0 to n-1.
func (r *random) below(n int) int {
	*r += 0x9e3779b97f4a7c15
	return int(mix(uint64(*r)) % uint64(n))
}
