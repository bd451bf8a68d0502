// Package direct serves requests by calling endpoints from the entry itself,
// for endpoints without an agent and for platforms on which any other process
// may be missing. Admission and placement are core/admit's, trust in endpoints
// core/trust's, customers' limits core/quota's; this package keeps what they
// know in one place, carries requests and answers, and decides what a failure
// means: whether the request may be sent again, and what the caller may be told.
package direct

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/quota"
	"lycheepond/core/route"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// Repeats bounds how many requests all entries together may send again.
type Repeats struct {
	// Ratio is the share of a pool's requests, Slack a number on top of it.
	Ratio, Slack float64
}

// Config is what a Director depends on.
type Config struct {
	Zone string
	// Addr is where peers reach this entry.
	Addr    string
	Repeats Repeats
	// Tolerance is by how much customers may exceed their limits.
	Tolerance quota.Tolerance
	Client    *hop.Client
	// Reach returns how many entries are heard and how many may be at work.
	Reach func() (heard, known int)
	// Stamp sets the headers by which the endpoint knows what it is told.
	Stamp func(r *hop.Request, o Order)
	// Own reports whether an answer's head belongs to the request of an ID.
	Own func(id string, status int, h http.Header) bool
	// Read reads the head of an answer.
	Read    func(a *hop.Answer) Meta
	Metrics *meter.Set
	Log     *zap.Logger
}

// Director serves requests. It is safe for concurrent use.
type Director struct {
	cfg   Config
	start time.Time

	mu sync.Mutex
	v  *view
	// leaving is set from the moment that a planned stop begins.
	leaving bool
	// running counts jobs without a final answer.
	running int
}

// New returns a director without configuration.
func New(cfg Config) *Director {
	return &Director{cfg: cfg, start: time.Now(), v: newView(cfg.Zone)}
}

// Table returns the configuration in force; its revision is zero before the
// first one is known.
func (d *Director) Table() *route.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.table
}

// SetConfig puts a configuration in force unless it is older than the present
// one, and reports whether it did.
func (d *Director) SetConfig(c route.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Revision <= d.v.table.Revision() {
		return false
	}
	d.v.table = route.NewTable(c)
	for name, p := range d.v.pools {
		p.tiers = d.v.tiersOf(name)
	}
	return true
}

// Roster returns the instance list in force.
func (d *Director) Roster() route.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.roster
}

// SetRoster puts an instance list in force unless it is older than the present
// one, and reports whether it did. A list of the same revision may differ: an
// endpoint whose removal was in doubt is gone from the later one.
func (d *Director) SetRoster(r route.Roster) bool {
	d.mu.Lock()
	if r.Revision < d.v.roster.Revision {
		d.mu.Unlock()
		return false
	}
	gone := d.v.setRoster(r)
	d.mu.Unlock()
	for _, addr := range gone {
		d.cfg.Client.Drop(addr)
	}
	return true
}

// Informed reports whether a configuration and an instance list are known.
func (d *Director) Informed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.table.Revision() > 0 && d.v.roster.Revision > 0
}

// Leave notes that a planned stop has begun.
func (d *Director) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Running returns how many jobs have no final answer yet.
func (d *Director) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Heard takes in a peer's tally; first is set when it holds everything.
func (d *Director) Heard(peer string, first bool, t *wire.Tally) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.heard(peer, first, t)
}

// Lost drops the work of a peer that fell silent.
func (d *Director) Lost(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.lost(peer)
}

// Tally returns what the peers have to know: what has changed, or all of it.
func (d *Director) Tally(all bool) *wire.Tally {
	heard, known := d.cfg.Reach()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.v
	v.quota.Reach(heard, known)
	t := &wire.Tally{Addr: d.cfg.Addr, Config: v.table.Revision(), Roster: v.roster.Revision, Leaving: d.leaving}
	v.quota.Totals(func(customer string, total float64) {
		if all || v.changedUsed[customer] {
			t.Used = append(t.Used, wire.Used{Customer: customer, Total: total})
		}
	})
	for id, e := range v.endpoints {
		if all && e.own.requests > 0 || v.changedHeld[id] {
			t.Held = append(t.Held, e.held())
		}
	}
	clear(v.changedHeld)
	clear(v.changedUsed)
	return t
}

func (e *endpoint) held() wire.Held {
	return wire.Held{
		Endpoint: e.ID, Requests: uint32(e.own.requests), Prompt: uint32(max(e.own.prompt, 0)),
		Output: uint32(max(e.own.output, 0)), Tokens: uint32(max(e.own.tokens, 0)),
	}
}

// since is the time as decisions count it.
func (d *Director) since(now time.Time) time.Duration { return now.Sub(d.start) }

// charge admits a job against its customer's limit.
func (d *Director) charge(j *Job) (time.Duration, bool) {
	if j.Customer == nil {
		return 0, true
	}
	c := j.Customer
	d.mu.Lock()
	defer d.mu.Unlock()
	wait, ok := d.v.quota.Take(d.since(time.Now()), c.Name, quota.Limit{Rate: c.Rate, Burst: c.Burst}.With(d.cfg.Tolerance), j.Units)
	if ok {
		d.v.changedUsed[c.Name] = true
	}
	return wait, ok
}

// refund gives back what charge took for a job that never ran.
func (d *Director) refund(j *Job) {
	if j.Customer == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.quota.Return(j.Customer.Name, j.Units)
}

// place decides where a job goes and counts it there. Refused, it returns a try
// that holds nothing but what the refusal was based on. avoid is the endpoint that
// has failed it, empty if there is none.
func (d *Director) place(j *Job, avoid string, output int) (*visit, admit.Decision) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	heard, known := d.cfg.Reach()
	p := d.v.pool(j.Pool.Name, d.cfg.Repeats, known)
	req := admit.Request{
		Rank: p.rank(j.Tier), Ranks: len(p.tiers), Target: j.Accepted.Add(j.Route.Target).Sub(now), Left: j.End().Sub(now),
		MaxPause: j.Route.MaxPause, EventTokens: j.Pool.EventTokens, Avoid: -1,
	}
	if j.Pool.Engine {
		req.Prompt, req.Output = j.Prompt, output
	}
	for i, e := range p.endpoints {
		if e.ID == avoid {
			req.Avoid = i
		}
	}
	if avoid != "" {
		// What was admitted once is not refused for its second try: its caller
		// has waited already.
		req.Target = math.MaxInt64
	}
	all := d.v.describe(p, j.Pool, now, d.since(now))
	dec := admit.Decide(req, all)
	if dec.Endpoint < 0 {
		return &visit{basis: Basis{Predicted: dec.First, Heard: heard, Known: known}}, dec
	}
	e := p.endpoints[dec.Endpoint]
	chosen := all[dec.Endpoint]
	v := &visit{
		d: d, pool: p, e: e, id: e.ID, addr: e.Addr, alone: len(p.endpoints) < 2, sent: now, free: chosen.Requests < chosen.Slots, ahead: chosen.Prompt + req.Prompt,
		wait: dec.Wait, rest: dec.First - dec.Wait,
		basis: Basis{Endpoint: e.ID, Predicted: dec.First, Ahead: chosen.Requests, Prompt: chosen.Prompt + req.Prompt, Heard: heard, Known: known},
		held:  hold{requests: 1, prompt: req.Prompt, output: req.Output, tokens: req.Prompt + req.Output},
	}
	if e.own.requests == 0 {
		e.since = now
	}
	e.own.add(v.held, 1)
	d.v.changedHeld[e.ID] = true
	d.v.trust.Sent(d.since(now), e.ID)
	return v, dec
}

// repeat takes one repeat from the pool's budget.
func (d *Director) repeat(v *visit) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return v.pool.budget.Spend()
}

// earn credits the pool's budget for a first try.
func (d *Director) earn(v *visit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v.pool.budget.Earn(1)
}

// visit is one try of a job at an endpoint.
type visit struct {
	d    *Director
	pool *pool
	// e is only touched with d.mu held; id and addr are copies of what it was
	// when the try was sent.
	e        *endpoint
	id, addr string
	// alone is set if there was no other endpoint to go to.
	alone bool
	sent  time.Time
	// free is set if there was a free slot when the try was sent and ahead is
	// how many prompt tokens had to be read before its first event.
	free  bool
	ahead int
	// wait is the predicted wait for a slot and rest the rest of the predicted
	// time to the first event.
	wait, rest time.Duration
	basis      Basis
	// held is what the try still holds there.
	held hold
	// first is when the first part of the answer's body came, last when the
	// latest did; tokens counts the output tokens since the first.
	first, last time.Time
	tokens      int
	over        bool
}

// head notes that the answer's head has come.
func (v *visit) head(m Meta) {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.e.heard = time.Now()
	if m.HasLoad && m.Slots > 0 && v.e.Slots == 0 {
		v.e.Slots = m.Slots
	}
}

// progress notes that tokens of output have come.
func (v *visit) progress(tokens int) {
	now := time.Now()
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.e.heard = now
	if v.first.IsZero() {
		v.first = now
		v.basis.First = now.Sub(v.sent)
		v.release(hold{prompt: v.held.prompt})
		if v.free && v.held.tokens > 0 {
			v.pool.learner.First(v.e.ID, v.ahead, now.Sub(v.sent))
		} else if v.held.tokens > 0 {
			v.pool.learner.Waited(v.wait, now.Sub(v.sent)-v.rest)
		}
	} else {
		v.tokens += tokens
	}
	v.last = now
	v.release(hold{output: min(tokens, v.held.output)})
}

// release takes o out of what the try holds; d.mu is held.
func (v *visit) release(o hold) {
	v.held.add(o, -1)
	v.e.own.add(o, -1)
	v.d.v.changedHeld[v.e.ID] = true
}

// end notes how the try ended. It may be called more than once; the first call
// counts.
func (v *visit) end(r trust.Result) {
	if v.over {
		return
	}
	v.over = true
	switch v.settle(r) {
	case trust.Lost:
		logs.Warn(v.d.cfg.Log, logs.EventEndpointAway, zap.String("endpoint", v.id), zap.String("result", r.String()))
	case trust.Regained:
		logs.Info(v.d.cfg.Log, logs.EventEndpointBack, zap.String("endpoint", v.id))
	}
}

// settle takes a result into all that is known of the endpoint.
func (v *visit) settle(r trust.Result) trust.Change {
	now := time.Now()
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if v.held.tokens > 0 {
		v.pool.learner.Output(v.e.ID, v.tokens, v.last.Sub(v.first))
	} else if v.free && r == trust.Good {
		v.pool.learner.First(v.e.ID, 0, now.Sub(v.sent))
	}
	v.release(v.held)
	return v.d.v.trust.Ended(v.d.since(now), v.e.ID, r)
}

// abandon ends a try without a verdict on the endpoint.
func (v *visit) abandon() {
	if v.over {
		return
	}
	v.over = true
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.release(v.held)
}

// connLimit is how many connections this entry may have to the endpoint: its
// part of what all may have together.
func (v *visit) connLimit(p *route.Pool, entries int) int {
	if p.MaxConns <= 0 {
		return 0
	}
	// A fifth is left for entries that are not known yet.
	return max(p.MaxConns*4/5/max(entries, 1), 1)
}

// Run does the chores of the director until ctx ends.
func (d *Director) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			d.cfg.Client.Sweep()
		}
	}
}
