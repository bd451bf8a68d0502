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
	waits    []time.Duration
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

// take runs a request with a prefix at agent i from now on and returns when it
// ends.
func (m *fleetModel) take(now time.Duration, i int, prefix uint64) time.Duration {
	place := 0
	for k, end := range m.ends[i] {
		if end < m.ends[i][place] {
			place = k
		}
	}
	start := max(now, m.ends[i][place])
	work := decode
	if m.caches[i].Find(prefix) == nil {
		work += promptTokens * DefaultPrefill
		m.computed += promptTokens
		*m.caches[i].Get(prefix) = true
	}
	m.waits = append(m.waits, start-now)
	m.ends[i][place] = start + time.Duration(float64(work)/m.speed[i])
	return m.ends[i][place]
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
		prefix := uint64(1)
		if rnd.IntN(2) == 0 {
			prefix = 2 + rnd.Uint64N(40)
		}
		req := Request{Tier: 1, PromptTokens: promptTokens, Work: decode}
		for level := uint64(0); withPrefix && level < 7; level++ {
			req.Prefix = append(req.Prefix, prefix<<8|level)
		}
		out = p.Pick(now, req, m.agents, 1, rnd.Uint64(), out[:0])
		i := out[0]
		m.agents[i].Queued++
		p.Sent(now, m.agents[i].Name, req.Prefix)
		m.take(now, i, prefix)
	}
	slices.Sort(m.waits)
	return m.waits[len(m.waits)*99/100]
}

// Half of all requests begin with the same long prompt. Placed by load alone
// it is computed everywhere again and again; placed by prefix alone, one
// endpoint gets half of the load and its callers wait.
func TestHotPrefix(t *testing.T) {
	by, blind := newFleetModel(20, 4), newFleetModel(20, 4)
	byWait := by.run(New(Config{Zone: "z1"}), 0.7, true)
	blindWait := blind.run(New(Config{Zone: "z1"}), 0.7, false)
	t.Logf("computed %d tokens for each request, p99 wait %v; without prefixes %d and %v", by.computed/len(by.waits), byWait, blind.computed/len(blind.waits), blindWait)
	if by.computed > blind.computed/2 {
		t.Errorf("%d prompt tokens computed, without prefixes %d", by.computed, blind.computed)
	}
	if byWait > blindWait {
		t.Errorf("p99 wait %v, without prefixes %v", byWait, blindWait)
	}
}
