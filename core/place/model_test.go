package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheepond/core/recent"
)

// fleetModel is agents with a few places each, a queue in order of arrival and
// a cache of some prefixes, whose loads are known late.
type fleetModel struct {
	agents []Agent
	ends   [][]time.Duration
	caches []*recent.Table[uint64, bool]
	// speed is how fast each agent is.
	speed []float64
	// computed counts prompt tokens that were computed.
	computed int
	// at, if set, is called as time passes, and took holds how long every
	// request took.
	at   func(now time.Duration)
	took []time.Duration
}

const (
	promptTokens = 4096
	decode       = time.Second
	loadLag      = 500 * time.Millisecond
)

func newFleetModel(n, places int) *fleetModel {
	m := &fleetModel{agents: fleet(n, "z1"), ends: make([][]time.Duration, n), speed: make([]float64, n)}
	for i := range m.agents {
		m.agents[i].Bound = places
		m.ends[i] = make([]time.Duration, places)
		m.caches = append(m.caches, recent.New[uint64, bool](4))
		m.speed[i] = 1
	}
	return m
}

// free returns when agent i has a place, and which.
func (m *fleetModel) free(now time.Duration, i int) (at time.Duration, place int) {
	for k, end := range m.ends[i] {
		if end < m.ends[i][place] {
			place = k
		}
	}
	return max(now, m.ends[i][place]), place
}

// take runs a request with a prefix that arrived at now at agent i.
func (m *fleetModel) take(now time.Duration, i int, prefix uint64) {
	start, place := m.free(now, i)
	work := decode
	if m.caches[i].Find(prefix) == nil {
		work += promptTokens * DefaultPrefill
		m.computed += promptTokens
		*m.caches[i].Get(prefix) = true
		// The others of the batch wait while the prompt is computed.
		for k := range m.ends[i] {
			if k != place && m.ends[i][k] > start {
				m.ends[i][k] += promptTokens * DefaultPrefill
			}
		}
	}
	m.ends[i][place] = start + time.Duration(float64(work)/m.speed[i])
	m.took = append(m.took, m.ends[i][place]-now)
}

// claim returns the agent that gets a request offered to i: i, or another that
// it is offered to when i does not claim it in time and that has room sooner.
func (m *fleetModel) claim(now time.Duration, p *Placer, req Request, i int, rnd uint64) int {
	start, _ := m.free(now, i)
	w := Waiting{Tier: req.Tier, Offered: now, Agents: 1, PromptTokens: req.PromptTokens, Prefix: req.Prefix}
	if w.patient(start, p.worth(now, &w)) {
		return i
	}
	other := p.Pick(now, Request{Tier: req.Tier, PromptTokens: req.PromptTokens, Work: req.Work}, m.agents, 1, rnd, nil)[0]
	if later, _ := m.free(now, other); later < start {
		return other
	}
	return i
}

// load reports the load of every agent as the entries see it.
func (m *fleetModel) load(now time.Duration) {
	for i := range m.agents {
		a := &m.agents[i]
		a.InFlight, a.Queued, a.QueuedCost = 0, 0, 0
		for _, end := range m.ends[i] {
			if end > now {
				a.InFlight++
				a.QueuedCost += max(end-now-decode, 0)
			}
		}
		if a.QueuedCost > 0 {
			a.Queued = int(a.QueuedCost/decode) + 1
		}
	}
}

// run sends requests at the given part of the capacity without prefill for a
// minute; half of them share one prefix and the others forty.
func (m *fleetModel) run(p *Placer, part float64, withPrefix bool) (p99 time.Duration) {
	rnd := rand.New(rand.NewPCG(3, 3))
	places := float64(len(m.agents) * m.agents[0].Bound)
	gap := time.Duration(float64(decode) / places / part)
	reported := -loadLag
	var out []int
	for now := time.Duration(0); now < time.Minute; now += time.Duration(rnd.ExpFloat64() * float64(gap)) {
		if now-reported >= loadLag {
			m.load(now)
			reported = now
		}
		if m.at != nil {
			m.at(now)
		}
		prefix := uint64(1)
		if rnd.IntN(2) == 0 {
			prefix = 2 + rnd.Uint64N(40)
		}
		req := Request{Tier: 1, PromptTokens: promptTokens, Work: decode}
		for level := uint64(0); withPrefix && level < 7; level++ {
			req.Prefix = append(req.Prefix, prefix<<8|level)
		}
		out = p.Pick(now, req, m.agents, 1, rnd.Uint64(), out[:0])
		i := m.claim(now, p, req, out[0], rnd.Uint64())
		m.agents[i].Queued++
		p.Sent(now, m.agents[i].Name, req.Prefix)
		m.take(now, i, prefix)
	}
	sorted := slices.Sorted(slices.Values(m.took))
	return sorted[len(sorted)*99/100]
}

// Half of all requests begin with the same long prompt. Placed by load alone
// it is computed everywhere again and again; placed by prefix alone, one
// endpoint gets half of the load and its callers wait.
func TestHotPrefix(t *testing.T) {
	by, blind := newFleetModel(20, 4), newFleetModel(20, 4)
	byTook := by.run(New(Config{Zone: "z1"}), 0.7, true)
	blindTook := blind.run(New(Config{Zone: "z1"}), 0.7, false)
	t.Logf("computed %d tokens for each request, p99 %v to the end; without prefixes %d and %v", by.computed/len(by.took), byTook, blind.computed/len(blind.took), blindTook)
	if by.computed > blind.computed/2 {
		t.Errorf("%d prompt tokens computed, without prefixes %d", by.computed, blind.computed)
	}
	if byTook > blindTook {
		t.Errorf("p99 %v to the end, without prefixes %v", byTook, blindTook)
	}
}

// One endpoint of twenty drops to an eighth of its pace and goes on reporting
// what it always did. Until it is found slow, its callers wait eight times as
// long; from then on hardly anybody may.
func TestSlowEndpoint(t *testing.T) {
	late := func(noticed time.Duration) (n int) {
		m := newFleetModel(20, 4)
		m.at = func(now time.Duration) {
			if now > 20*time.Second {
				m.speed[3] = 0.125
				m.agents[3].Slow = now > 20*time.Second+noticed
			}
		}
		m.run(New(Config{Zone: "z1"}), 0.6, true)
		for _, d := range m.took {
			if d > 5*time.Second {
				n++
			}
		}
		return n
	}
	// The bound finds an endpoint slow that drops to an eighth after 2.31 s
	// (TestSlowAndBack in core/bound).
	noticed, never := late(2310*time.Millisecond), late(time.Hour)
	t.Logf("%d late answers, %d if it is never found slow", noticed, never)
	if noticed > never/2 {
		t.Errorf("%d late answers, %d if it is never found slow", noticed, never)
	}
}
