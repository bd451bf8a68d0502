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
	// maxPoolMessages is how many messages may wait for a pool's goroutine.
	maxPoolMessages = 4096
	// firstOffers is how many agents a request is offered to first. With two, a
	// stalled agent delays it only by its share of the wait.
	firstOffers = 2
	// tickInterval is how often a pool checks waiting requests and its shed level.
	tickInterval = 50 * time.Millisecond
	// levelHold is how long agents keep a shed level that is not repeated,
	// levelInterval how often it is repeated.
	levelHold     = 2 * time.Second
	levelInterval = levelHold / 4
	// noAgentAfter is how long the lowest tier waits for a reachable agent.
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
	// isRefused is set if the request was refused after it had waited.
	isRefused bool
	// agent holds the grant. It was expected to have expectedCached of the prompt's
	// tokens in its cache.
	agent          string
	expectedCached int
}

// pool makes the decisions about one pool. Its fields belong to the goroutine of
// run, except name, messages and the atomic figures for operators.
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
	// waiting and running count requests by tier.
	waiting, running [spec.Tiers]int
	level            uint8
	levelSentAt      time.Duration

	// Figures for operators.
	reportedQueued, reportedInFlight, reportedLevel atomic.Int32

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

// send sends a message to the pool's goroutine. It waits if that has fallen behind,
// which delays the acceptance of more requests.
func (p *pool) send(n poolMessage) { _ = p.messages.Put(context.Background(), n) }

func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.messages.Items():
			p.handle(n)
		case <-tick.C:
			p.tick()
		}
	}
}

func (p *pool) handle(n poolMessage) {
	now := p.cfg.Now()
	switch n.op {
	case opAdmit:
		n.f.poolReply <- p.admit(now, n.f)
		// A shed level that falls because of this request applies at once.
		p.sendLevel(now)
	case opPlace:
		n.f.poolReply <- p.placeAgain(now, n.f)
		p.sendLevel(now)
	case opRetry:
		n.f.poolReply <- p.allowRetry(now, n.f)
	case opGrant:
		p.recordGrant(now, n.f, n.agent)
	case opEnd:
		p.recordEnd(now, n.f, n.res)
	case opAgentRestarted:
		p.placer.ForgetAgent(n.agent)
	}
}

// admit decides about a new request.
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
	p.updateFigures()
	return decision{peers: p.pickAgents(now, f, firstOffers), wait: wait}
}

// placeAgain places a request whose offers were all returned or lost. It checks
// admission again if there is no agent, if a shed level caused the return or if the
// request was already placed again before.
func (p *pool) placeAgain(now time.Duration, f *flight) decision {
	peers := p.pickAgents(now, f, firstOffers)
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

// readmit checks admission again for a request in the pool's state. The request's
// own work must not count as work ahead of it.
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

// allowRetry decides about another attempt after a grant.
func (p *pool) allowRetry(now time.Duration, f *flight) decision {
	p.undoGrant(now, f)
	if p.budget.Spend() || p.lowerServed(f.job.Class.Tier) {
		return decision{}
	}
	e := fault.New(fault.Overloaded, "too many requests have to be placed again at present: ask again later")
	return decision{fault: e.WithRetryAfter(time.Second)}
}
