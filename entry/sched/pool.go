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
	// maxPoolMessages bounds the messages that wait for a pool's goroutine.
	maxPoolMessages = 4096
	// initialOffers is the number of agents to which a request is offered first.
	// With two, the other agent can claim the request if one is stalled.
	initialOffers = 2
	// tickInterval is how often a pool checks waiting requests and its shed level.
	tickInterval = 50 * time.Millisecond
	// levelHold is how long agents keep a shed level that is not sent again, and
	// levelInterval is the interval at which it is sent.
	levelHold     = 2 * time.Second
	levelInterval = levelHold / 4
	// noAgentAfter is how long a request waits for a linked agent, if no lower tier
	// is served meanwhile.
	noAgentAfter = 2 * time.Second
	// noAgentRetry is the Retry-After while a pool has no agent.
	noAgentRetry = 2 * time.Second
)

// op is the kind of a message to a pool's goroutine.
type op uint8

const (
	// opAdmit, opPlace and opRetry are answered with a decision.
	opAdmit op = iota
	opPlace
	opRetry
	opGrant
	opEnd
	// opAgentRestarted: an agent was restarted.
	opAgentRestarted
)

// poolMessage is a message to a pool's goroutine.
type poolMessage struct {
	op    op
	f     *flight
	agent string
	res   *Result
}

// decision is the pool's answer: an error, or the agents to offer the request to.
type decision struct {
	fault *fault.Error
	peers []*agents.Peer
	// wait is the predicted wait of an admitted request.
	wait time.Duration
}

// requestState is the pool's state of a request.
type requestState struct {
	// offeredAt is when the request was last offered to an agent.
	offeredAt time.Duration
	isGranted bool
	// isRefused is set if the request was refused when it was placed again.
	isRefused bool
	// agent holds the grant. It was expected to have expectedCached of the prompt's
	// tokens in its cache.
	agent          string
	expectedCached int
}

// pool makes the decisions about one pool. Its fields belong to the goroutine of
// run, except name, messages and the atomic counts for operators.
type pool struct {
	name     string
	cfg      Config
	messages *ring.Ring[poolMessage]
	shed     *shed.Pool
	placer   *place.Placer
	cost     *cost.Model
	budget   *retry.Budget
	// requests holds every request from arrival to its end.
	requests map[*flight]*requestState
	// waiting and running count the requests by tier.
	waiting, running [spec.Tiers]int
	// level is the shed level that was last sent to the agents, and levelSentAt is
	// when that was.
	level       uint8
	levelSentAt time.Duration

	// Counts and the shed level for operators.
	reportedQueued, reportedInFlight, reportedLevel atomic.Int32

	// Buffers that are reused for each decision.
	candidates      []place.Agent
	members         []*agents.Peer
	picks           []int
	longWaits       []place.UnclaimedOffer
	longWaitFlights []*flight
}

func newPool(name string, cfg Config) *pool {
	p := &pool{
		name: name, cfg: cfg, messages: ring.New[poolMessage](maxPoolMessages), shed: shed.New(shed.Config{}),
		placer: place.New(place.Config{Zone: cfg.Zone}), cost: cost.New(cost.Config{}),
		budget: retry.New(retry.Config{}), requests: make(map[*flight]*requestState), level: spec.Tiers - 1,
	}
	p.reportedLevel.Store(spec.Tiers - 1)
	return p
}

// send sends a message to the pool's goroutine. It blocks while maxPoolMessages are
// waiting, which delays the acceptance of more requests.
func (p *pool) send(m poolMessage) { _ = p.messages.Put(context.Background(), m) }

func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages.Items():
			p.handle(m)
		case <-tick.C:
			p.tick()
		}
	}
}

func (p *pool) handle(m poolMessage) {
	now := p.cfg.Now()
	switch m.op {
	case opAdmit:
		m.f.poolReply <- p.admit(now, m.f)
		// A shed level that falls because of this request applies at once.
		p.sendLevel(now)
	case opPlace:
		m.f.poolReply <- p.placeAgain(now, m.f)
		p.sendLevel(now)
	case opRetry:
		m.f.poolReply <- p.allowRetry(now, m.f)
	case opGrant:
		p.recordGrant(now, m.f, m.agent)
	case opEnd:
		p.recordEnd(now, m.f, m.res)
	case opAgentRestarted:
		p.placer.ForgetAgent(m.agent)
	}
}

// admit decides about the admission of a new request and chooses its first agents.
func (p *pool) admit(now time.Duration, f *flight) decision {
	j := f.job
	est := p.cost.Estimate(j.Class.Name, j.Customer, len(j.Prompt), j.MaxTokens)
	f.estimate = est
	wait, e := p.checkAdmission(now, f)
	if e != nil {
		return decision{fault: e}
	}
	p.budget.Credit(1)
	p.requests[f] = &requestState{offeredAt: now}
	p.waiting[j.Class.Tier]++
	p.shed.RecordArrival(now, j.Class.Tier, j.Customer, est.Work)
	p.updateReported()
	return decision{peers: p.pickAgents(now, f, initialOffers), wait: wait}
}

// placeAgain chooses agents for a request whose offers were all returned or lost. It
// checks admission again if there is no agent, if a shed level caused the return or
// if the request was already placed again before.
func (p *pool) placeAgain(now time.Duration, f *flight) decision {
	peers := p.pickAgents(now, f, initialOffers)
	if len(peers) == 0 || f.retries > 1 || f.wasShed {
		if e := p.readmit(now, f); e != nil {
			return decision{fault: e}
		}
	}
	if st := p.requests[f]; st != nil {
		st.offeredAt = now
	}
	return decision{peers: peers}
}

// readmit checks admission again for a request that was admitted before. The
// request's own work must not count as work ahead of it.
func (p *pool) readmit(now time.Duration, f *flight) *fault.Error {
	st := p.requests[f]
	if st == nil || st.isGranted {
		_, e := p.checkAdmission(now, f)
		return e
	}
	j := f.job
	p.shed.RecordWithdrawal(now, j.Class.Tier, j.Customer, f.estimate.Work)
	_, e := p.checkAdmission(now, f)
	if e != nil {
		st.isRefused = true
		return e
	}
	p.shed.RecordArrival(now, j.Class.Tier, j.Customer, f.estimate.Work)
	return nil
}

// allowRetry decides whether a request may be granted another time. It takes one
// retry from the budget. If none is left, the retry is allowed only while lower
// tiers are served.
func (p *pool) allowRetry(now time.Duration, f *flight) decision {
	p.undoGrant(now, f)
	if p.budget.Spend() || p.lowerServed(f.job.Class.Tier) {
		return decision{}
	}
	e := fault.New(fault.Overloaded, "too many requests have to be placed again at present: ask again later")
	return decision{fault: e.WithRetryAfter(time.Second)}
}
