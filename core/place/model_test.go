package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheepond/core/recent"
)

// fleetModel simulates agents with a few slots each. Every agent runs requests
// in order of arrival and caches a few prefixes. The loads that the placer sees
// are updated with a delay.
type fleetModel struct {
	agents    []Agent
	busyUntil [][]time.Duration
	caches    []*recent.Table[uint64, bool]
	// speed is the relative speed of each agent.
	speed []float64
	// computedTokens counts the prompt tokens that were not cached.
	computedTokens int
	// onTick, if set, is called before each request. latencies holds the time
	// from arrival to end of each request.
	onTick    func(now time.Duration)
	latencies []time.Duration
}

const (
	promptTokens = 4096
	decodeTime   = time.Second
	loadLag      = 500 * time.Millisecond
)

func newFleetModel(n, slots int) *fleetModel {
	m := &fleetModel{agents: makeAgents(n, "z1"), busyUntil: make([][]time.Duration, n), speed: make([]float64, n)}
	for i := range m.agents {
		m.agents[i].InFlightBound = slots
		m.busyUntil[i] = make([]time.Duration, slots)
		m.caches = append(m.caches, recent.New[uint64, bool](4))
		m.speed[i] = 1
	}
	return m
}

// earliestSlot returns which slot of agent i is free first, and when.
func (m *fleetModel) earliestSlot(now time.Duration, i int) (freeAt time.Duration, slot int) {
	for k, end := range m.busyUntil[i] {
		if end < m.busyUntil[i][slot] {
			slot = k
		}
	}
	return max(now, m.busyUntil[i][slot]), slot
}

// runRequest runs a request with the given prefix, which arrived at now, at
// agent i.
func (m *fleetModel) runRequest(now time.Duration, i int, prefix uint64) {
	start, slot := m.earliestSlot(now, i)
	work := decodeTime
	if m.caches[i].Find(prefix) == nil {
		work += promptTokens * DefaultPrefillPerToken
		m.computedTokens += promptTokens
		*m.caches[i].GetOrAdd(prefix) = true
		// The other requests of the batch wait while the prompt is computed.
		for k := range m.busyUntil[i] {
			if k != slot && m.busyUntil[i][k] > start {
				m.busyUntil[i][k] += promptTokens * DefaultPrefillPerToken
			}
		}
	}
	m.busyUntil[i][slot] = start + time.Duration(float64(work)/m.speed[i])
	m.latencies = append(m.latencies, m.busyUntil[i][slot]-now)
}

// claimingAgent returns the agent that claims a request offered to agent i: i
// itself, or the agent to which the offer is extended if i does not claim it in
// time and the other has a free slot sooner.
func (m *fleetModel) claimingAgent(now time.Duration, p *Placer, req Request, i int, rnd uint64) int {
	start, _ := m.earliestSlot(now, i)
	offer := UnclaimedOffer{Tier: req.Tier, OfferedAt: now, AgentCount: 1, PromptTokens: req.PromptTokens, Prefix: req.Prefix}
	if offer.keepWaiting(start, p.prefixSaving(now, &offer)) {
		return i
	}
	other := p.Pick(now, Request{Tier: req.Tier, PromptTokens: req.PromptTokens, Work: req.Work}, m.agents, 1, rnd, nil)[0]
	if later, _ := m.earliestSlot(now, other); later < start {
		return other
	}
	return i
}

// refreshLoads updates the load of every agent as the entries see it.
func (m *fleetModel) refreshLoads(now time.Duration) {
	for i := range m.agents {
		a := &m.agents[i]
		a.InFlight, a.Queued, a.QueuedCost = 0, 0, 0
		for _, end := range m.busyUntil[i] {
			if end > now {
				a.InFlight++
				a.QueuedCost += max(end-now-decodeTime, 0)
			}
		}
		if a.QueuedCost > 0 {
			a.Queued = int(a.QueuedCost/decodeTime) + 1
		}
	}
}

// run sends requests for a minute, at a rate that would use loadFraction of the
// capacity if no prompt had to be computed, and returns their p99 latency. Half
// of the requests share one prefix, the others forty.
func (m *fleetModel) run(p *Placer, loadFraction float64, withPrefix bool) (p99 time.Duration) {
	rnd := rand.New(rand.NewPCG(3, 3))
	slots := float64(len(m.agents) * m.agents[0].InFlightBound)
	gap := time.Duration(float64(decodeTime) / slots / loadFraction)
	refreshedAt := -loadLag
	var out []int
	for now := time.Duration(0); now < time.Minute; now += time.Duration(rnd.ExpFloat64() * float64(gap)) {
		if now-refreshedAt >= loadLag {
			m.refreshLoads(now)
			refreshedAt = now
		}
		if m.onTick != nil {
			m.onTick(now)
		}
		prefix := uint64(1)
		if rnd.IntN(2) == 0 {
			prefix = 2 + rnd.Uint64N(40)
		}
		req := Request{Tier: 1, PromptTokens: promptTokens, Work: decodeTime}
		for level := uint64(0); withPrefix && level < 7; level++ {
			req.Prefix = append(req.Prefix, prefix<<8|level)
		}
		out = p.Pick(now, req, m.agents, 1, rnd.Uint64(), out[:0])
		i := m.claimingAgent(now, p, req, out[0], rnd.Uint64())
		m.agents[i].Queued++
		p.RecordSent(now, m.agents[i].Name, req.Prefix)
		m.runRequest(now, i, prefix)
	}
	sorted := slices.Sorted(slices.Values(m.latencies))
	return sorted[len(sorted)*99/100]
}

// Half of all requests begin with the same long prompt. If requests are placed
// only by load, the prompt is computed again and again at every endpoint. If
// they are placed only by prefix, one endpoint gets half of the load and its
// callers wait.
func TestHotPrefix(t *testing.T) {
	byPrefix, byLoad := newFleetModel(20, 4), newFleetModel(20, 4)
	byPrefixP99 := byPrefix.run(New(Config{Zone: "z1"}), 0.7, true)
	byLoadP99 := byLoad.run(New(Config{Zone: "z1"}), 0.7, false)
	t.Logf("%d prompt tokens computed per request, p99 latency %v; without prefixes %d and %v", byPrefix.computedTokens/len(byPrefix.latencies), byPrefixP99, byLoad.computedTokens/len(byLoad.latencies), byLoadP99)
	if byPrefix.computedTokens > byLoad.computedTokens/2 {
		t.Errorf("%d prompt tokens computed, without prefixes %d", byPrefix.computedTokens, byLoad.computedTokens)
	}
	if byPrefixP99 > byLoadP99 {
		t.Errorf("p99 latency %v, without prefixes %v", byPrefixP99, byLoadP99)
	}
}

// One endpoint of twenty drops to an eighth of its speed without any change in
// what it reports. Until it is detected as slow, its requests take eight times
// as long; after that hardly any request may be affected.
func TestSlowEndpoint(t *testing.T) {
	lateAnswers := func(detectAfter time.Duration) (n int) {
		m := newFleetModel(20, 4)
		m.onTick = func(now time.Duration) {
			if now > 20*time.Second {
				m.speed[3] = 0.125
				m.agents[3].Slow = now > 20*time.Second+detectAfter
			}
		}
		m.run(New(Config{Zone: "z1"}), 0.6, true)
		for _, d := range m.latencies {
			if d > 5*time.Second {
				n++
			}
		}
		return n
	}
	// core/bound marks an endpoint that drops to an eighth of its speed as slow
	// after 2.31 s (TestSlowdownAndRecovery there).
	detectAfter, never := lateAnswers(2310*time.Millisecond), lateAnswers(time.Hour)
	t.Logf("%d late answers, %d if it is never marked slow", detectAfter, never)
	if detectAfter > never/2 {
		t.Errorf("%d late answers, %d if it is never marked slow", detectAfter, never)
	}
}
