package sched

import (
	"context"
	"sync/atomic"
	"time"

	"lycheepond/core/cost"
	"lycheepond/core/place"
	"lycheepond/core/retry"
	"lycheepond/core/ring"
	"lycheepond/core/shed"
	"lycheepond/core/spec"
	"lycheepond/entry/agents"
	"lycheepond/entry/fault"
)

const (
	// poolRing is how many notes may wait for a pool's owner.
	poolRing = 4096
	// firstOffers is how many agents get a request's first offer: two, so that
	// a stalled agent costs no more than its share of the wait.
	firstOffers = 2
	// tickEvery is how often a pool looks at waiting requests and its level.
	tickEvery = 50 * time.Millisecond
	// levelHold is how long agents keep a level that is not repeated, and
	// levelRepeat how often it is repeated.
	levelHold   = 2 * time.Second
	levelRepeat = levelHold / 4
	// noAgentAfter is how long the lowest tier waits for an agent in reach.
	noAgentAfter = 2 * time.Second
	// noAgentRetry is the Retry-After while a pool has no agent.
	noAgentRetry = 2 * time.Second
)

// op is what a note asks of a pool's owner.
type op uint8

const (
	// opArrive, opAgain and opRetry are answered with a choice.
	opArrive op = iota
	opAgain
	opRetry
	opGrant
	opEnd
	// opForget: an agent was restarted.
	opForget
)

// note is a message to a pool's owner.
type note struct {
	op    op
	f     *flight
	agent string
	res   *Result
}

// choice is the pool's answer: a fault, or the agents to offer to.
type choice struct {
	fault *fault.Error
	peers []*agents.Peer
	// wait is the predicted wait of an admitted request.
	wait time.Duration
}

// standing is a request in the pool's books.
type standing struct {
	offered time.Duration
	granted bool
	// out is set when the request was refused after it had waited.
	out bool
	// agent holds the grant and was believed to have so many of the prompt's
	// tokens in its cache.
	agent    string
	believed int
}

// pool owns the decisions about one pool. Its fields but name, notes and the
// figures for operators belong to run.
type pool struct {
	name   string
	cfg    Config
	notes  *ring.Ring[note]
	shed   *shed.Pool
	placer *place.Placer
	cost   *cost.Model
	budget *retry.Budget
	// live holds every request from arrival to its end.
	live map[*flight]*standing
	// waiting and running count live by tier.
	waiting, running [spec.Tiers]int
	level            uint8
	levelSent        time.Duration

	// figures for operators.
	queued, inflight, shown atomic.Int32

	cand    []place.Agent
	members []*agents.Peer
	picks   []int
	wide    []place.Waiting
	wideF   []*flight
}

func newPool(name string, cfg Config) *pool {
	p := &pool{
		name: name, cfg: cfg, notes: ring.New[note](poolRing), shed: shed.New(shed.Config{}),
		placer: place.New(place.Config{Zone: cfg.Zone}), cost: cost.New(cost.Config{}),
		budget: retry.New(retry.Config{}), live: make(map[*flight]*standing), level: spec.Tiers - 1,
	}
	p.shown.Store(spec.Tiers - 1)
	return p
}

// tell gives a note to the owner. Callers wait when it has fallen behind,
// which holds back the acceptance of more requests.
func (p *pool) tell(n note) { _ = p.notes.Put(context.Background(), n) }

func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.notes.Items():
			p.handle(n)
		case <-tick.C:
			p.tick()
		}
	}
}

func (p *pool) handle(n note) {
	now := p.cfg.Now()
	switch n.op {
	case opArrive:
		n.f.reply <- p.arrive(now, n.f)
		// A level that falls because of the request is in force at once.
		p.sendLevel(now)
	case opAgain:
		n.f.reply <- p.again(now, n.f)
		p.sendLevel(now)
	case opRetry:
		n.f.reply <- p.retry(now, n.f)
	case opGrant:
		p.grant(now, n.f, n.agent)
	case opEnd:
		p.end(now, n.f, n.res)
	case opForget:
		p.placer.Forget(n.agent)
	}
}

// arrive decides about a new request.
func (p *pool) arrive(now time.Duration, f *flight) choice {
	j := f.job
	est := p.cost.Estimate(j.Class.Name, j.Customer, len(j.Prompt), j.MaxTokens)
	f.est = est
	wait, e := p.refuse(now, f)
	if e != nil {
		return choice{fault: e}
	}
	p.budget.Earn(1)
	p.live[f] = &standing{offered: now}
	p.waiting[j.Class.Tier]++
	p.shed.Arrived(now, j.Class.Tier, j.Customer, est.Work)
	p.show()
	return choice{peers: p.pick(now, f, firstOffers), wait: wait}
}

// again places a request whose offers all came back or were lost. Whether it
// is still admitted is asked again when a level sent it back, and when it came
// back more than once.
func (p *pool) again(now time.Duration, f *flight) choice {
	peers := p.pick(now, f, firstOffers)
	if len(peers) == 0 || f.retries > 1 || f.shed {
		if e := p.readmit(now, f); e != nil {
			return choice{fault: e}
		}
	}
	if st := p.live[f]; st != nil {
		st.offered = now
	}
	return choice{peers: peers}
}

// readmit decides about a request that is in the books. Its own work must not
// count among what it waits for.
func (p *pool) readmit(now time.Duration, f *flight) *fault.Error {
	st := p.live[f]
	if st == nil || st.granted {
		_, e := p.refuse(now, f)
		return e
	}
	j := f.job
	p.shed.Left(now, j.Class.Tier, j.Customer, f.est.Work)
	_, e := p.refuse(now, f)
	if e != nil {
		st.out = true
		return e
	}
	p.shed.Arrived(now, j.Class.Tier, j.Customer, f.est.Work)
	return nil
}

// retry decides about another attempt after a grant.
func (p *pool) retry(now time.Duration, f *flight) choice {
	p.ungrant(now, f)
	if p.budget.Spend() || p.lowerServed(f.job.Class.Tier) {
		return choice{}
	}
	e := fault.New(fault.Overloaded, "too many requests have to be placed again at present: ask again later")
	return choice{fault: e.After(time.Second)}
}
