package sched

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/cost"
	"lycheepond/core/logs"
	"lycheepond/core/place"
	"lycheepond/core/retry"
	"lycheepond/core/ring"
	"lycheepond/core/shed"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
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
)

// note is a message to a pool's owner.
type note struct {
	op    op
	f     *flight
	agent string
	res   *Result
	bytes int
}

// choice is the pool's answer: a fault, or the agents to offer to.
type choice struct {
	fault *fault.Error
	peers []*agents.Peer
}

// standing is a request in the pool's books.
type standing struct {
	offered time.Duration
	granted bool
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
	j := n.f.job
	switch n.op {
	case opArrive:
		n.f.reply <- p.arrive(now, n.f)
	case opAgain:
		n.f.reply <- p.again(now, n.f)
	case opRetry:
		n.f.reply <- p.retry(now, n.f)
	case opGrant:
		p.grant(now, n.f, n.agent)
	case opEnd:
		p.end(now, n.f)
		if n.res.Fault == nil && n.res.Usage.PromptTokens+n.res.Usage.OutputTokens > 0 {
			u := n.res.Usage
			p.cost.Learn(j.Class.Name, j.Customer, n.bytes, cost.Usage{
				Prompt: int(u.PromptTokens), Cached: int(u.CachedTokens), Output: int(u.OutputTokens),
				Work: time.Duration(u.TotalMS) * time.Millisecond,
			})
		}
	}
}

// arrive decides about a new request.
func (p *pool) arrive(now time.Duration, f *flight) choice {
	j := f.job
	est := p.cost.Estimate(j.Class.Name, j.Customer, len(j.Prompt), j.MaxTokens)
	f.est = est
	if e := p.refuse(now, f); e != nil {
		return choice{fault: e}
	}
	p.budget.Earn(1)
	p.live[f] = &standing{offered: now}
	p.waiting[j.Class.Tier]++
	p.shed.Arrived(now, j.Class.Tier, j.Customer, est.Work)
	p.show()
	return choice{peers: p.pick(now, f, firstOffers)}
}

// again places a request whose offers all came back or were lost.
func (p *pool) again(now time.Duration, f *flight) choice {
	peers := p.pick(now, f, firstOffers)
	if len(peers) == 0 || f.retries > 1 {
		if e := p.refuse(now, f); e != nil {
			return choice{fault: e}
		}
	}
	if st := p.live[f]; st != nil {
		st.offered = now
	}
	return choice{peers: peers}
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

// refuse returns why a request can't be taken, or nil.
func (p *pool) refuse(now time.Duration, f *flight) *fault.Error {
	j := f.job
	tier := j.Class.Tier
	lower := p.lowerServed(tier)
	if e := p.unreachable(now, f, lower); e != nil {
		return e
	}
	v := p.shed.Decide(now, shed.Ask{Tier: tier, Customer: j.Customer, Work: f.est.Work, Target: target(j, now)}, shed.View{
		LowerServed: lower, Places: p.places(), Peers: p.cfg.Entries(),
	})
	if v.Admit {
		return nil
	}
	e := fault.New(fault.Overloaded, "the pool "+p.name+" has no room for class "+j.Class.Name+" now ("+v.Why.String()+"): ask again after the time in Retry-After")
	return e.After(max(v.RetryAfter, time.Millisecond))
}

// unreachable refuses when no agent of the pool can be offered anything.
func (p *pool) unreachable(now time.Duration, f *flight, lower bool) *fault.Error {
	m := p.cfg.Pool(p.name)
	if m == nil || len(m.Peers)+m.Beyond == 0 {
		return fault.New(fault.NoEndpoint, "no endpoint serves "+p.name+": start one with matching labels").After(noAgentRetry)
	}
	for _, peer := range m.Peers {
		if peer.Linked() && !peer.Leaving() {
			return nil
		}
	}
	if lower || now-f.job.Accepted < noAgentAfter {
		return nil
	}
	return fault.New(fault.NoEndpoint, "no endpoint of "+p.name+" is in reach: ask again").After(noAgentRetry)
}

// target is the time that is left until the request's target is missed.
func target(j *Job, now time.Duration) time.Duration {
	t := j.Class.Target.FirstToken.Std()
	if t == 0 {
		t = j.Class.Target.Complete.Std()
	}
	if t == 0 {
		return 0
	}
	return max(j.Accepted+t-now, time.Millisecond)
}

// lowerServed reports whether work of a lower tier than tier is queued or
// running anywhere in the pool, or may be. A request of a higher tier that is
// refused then would be shed while lower work is served; without links to
// every agent the entry can't exclude it, so what is unknown counts as served.
func (p *pool) lowerServed(tier uint8) bool {
	if tier >= spec.Tiers-1 {
		return false
	}
	for t := int(tier) + 1; t < spec.Tiers; t++ {
		if p.waiting[t]+p.running[t] > 0 {
			return true
		}
	}
	m := p.cfg.Pool(p.name)
	if m == nil {
		return false
	}
	if m.Beyond > 0 {
		return true
	}
	for _, peer := range m.Peers {
		l, ok := peer.Load()
		if !ok && !peer.Leaving() || (l.Running|l.Waiting)>>(tier+1) != 0 {
			return true
		}
	}
	return false
}

func (p *pool) places() int {
	n := 0
	if m := p.cfg.Pool(p.name); m != nil {
		for _, peer := range m.Peers {
			l, _ := peer.Load()
			n += int(l.Bound)
		}
	}
	return n
}

func (p *pool) grant(now time.Duration, f *flight, agent string) {
	st := p.live[f]
	if st == nil || st.granted {
		return
	}
	st.granted = true
	t := f.job.Class.Tier
	p.waiting[t]--
	p.running[t]++
	p.shed.Started(now, t, f.job.Customer, f.est.Work)
	p.placer.Sent(now, agent, f.trace.prefix)
	p.show()
}

// ungrant counts a request as waiting again.
func (p *pool) ungrant(now time.Duration, f *flight) {
	st := p.live[f]
	if st == nil || !st.granted {
		return
	}
	st.granted = false
	t := f.job.Class.Tier
	p.running[t]--
	p.waiting[t]++
	p.shed.Arrived(now, t, f.job.Customer, f.est.Work)
}

func (p *pool) end(now time.Duration, f *flight) {
	st := p.live[f]
	if st == nil {
		return
	}
	delete(p.live, f)
	t := f.job.Class.Tier
	if st.granted {
		p.running[t]--
	} else {
		p.waiting[t]--
		p.shed.Left(now, t, f.job.Customer, f.est.Work)
	}
	p.show()
}

func (p *pool) show() {
	queued, running := 0, 0
	for t := range p.waiting {
		queued += p.waiting[t]
		running += p.running[t]
	}
	p.queued.Store(int32(queued))
	p.inflight.Store(int32(running))
}

// tick spreads long waits over more agents and keeps the level in force.
func (p *pool) tick() {
	now := p.cfg.Now()
	p.widen(now)
	p.hearLevels(now)
	p.sendLevel(now)
}

// hearLevels takes in the levels that other entries have put in force.
func (p *pool) hearLevels(now time.Duration) {
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		if l, ok := peer.Load(); ok && l.Level < spec.Tiers-1 {
			p.shed.Peer(now, l.Level, tickEvery*2)
		}
	}
}

func (p *pool) sendLevel(now time.Duration) {
	level := p.shed.Level(now)
	if level == p.level && (level == spec.Tiers-1 || now-p.levelSent < levelRepeat) {
		return
	}
	if level != p.level {
		logs.Info(p.cfg.Log, logs.EventLevelChanged, zap.String("pool", p.name), zap.Uint8("level", level), zap.Uint8("before", p.level))
	}
	p.level, p.levelSent = level, now
	p.shown.Store(int32(level))
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		peer.Send(&wire.Level{Pool: p.name, Level: level, HoldMS: uint32(levelHold.Milliseconds())})
	}
}
