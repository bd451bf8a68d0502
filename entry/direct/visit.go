package direct

import (
	"math"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/await"
	"lycheepond/core/canary"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/poison"
	"lycheepond/core/route"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
)

// yields reports whether the entry leaves a free slot of an endpoint to others
// that wait. Those that its own requests have left, and of which nobody else knows
// yet, it takes itself.
func (d *Director) yields(e *endpoint, free int, part float64, now time.Time) bool {
	if part >= 1 || e.own.requests < e.toldRequests {
		return false
	}
	return await.Draw(d.cfg.Addr, e.ID, d.since(now)) >= part*float64(max(free, 1))
}

// trial is how a job is to be placed.
type trial struct {
	// avoid is the endpoint that has failed it, empty if there is none.
	avoid string
	// output is how many tokens are still expected.
	output int
	// part is the part of the requests that wait that are this entry's.
	part float64
	// behind is set if others go before it.
	behind bool
	// room is set if it is to go only where a new request would be sent.
	room bool
	// shard is the shard to place it in, nil for the whole pool.
	shard *part
	// zone is that of the entry for which a shard's owner places it.
	zone string
}

// place decides where a job goes and counts it there. Refused, it returns a try
// that holds nothing but what the refusal was based on. d.mu is held.
func (d *Director) place(j *Job, how trial) (*visit, admit.Decision) {
	now := time.Now()
	heard, known := d.cfg.Reach()
	p := d.v.pool(j.Pool.Name, d.cfg.Repeats, known)
	req := d.request(j, p, now)
	req.OthersFirst, req.ExactCounts = how.behind, how.shard != nil
	if j.Pool.Engine {
		req.OutputTokens = how.output
	}
	endpoints, zone := p.endpoints, d.v.zone
	if how.shard != nil {
		endpoints, zone = how.shard.endpoints, how.zone
	}
	for i, e := range endpoints {
		if e.ID == how.avoid {
			req.AvoidEndpoint = i
		}
	}
	if how.avoid != "" {
		// What was admitted once is not refused for its second try: its caller
		// has waited already.
		req.UntilTarget = math.MaxInt64
		if !how.room {
			req.Target = math.MaxInt64
		}
	}
	all := d.v.describeFor(p, endpoints, zone, j.Pool, now, d.since(now))
	for i, e := range endpoints {
		all[i].Bias = await.FixedDraw(d.cfg.Addr, e.ID)
		all[i].YieldSlots = d.yields(e, all[i].Slots-all[i].Requests, how.part, now)
	}
	dec := admit.Decide(req, all)
	if how.room && dec.Endpoint >= 0 && (!all[dec.Endpoint].Usable || dec.Endpoint == req.AvoidEndpoint) {
		// Where no other endpoint is usable, the one that is late is as good as any.
		dec = admit.Decision{Endpoint: -1, FirstEvent: dec.FirstEvent, SlotWait: dec.SlotWait, Reason: admit.NoEndpoint}
	}
	if dec.Endpoint < 0 {
		return &visit{basis: Basis{Predicted: dec.FirstEvent, Wait: dec.SlotWait, Heard: heard, Known: known}}, dec
	}
	return d.begin(j, p, endpoints[dec.Endpoint], all[dec.Endpoint], req, dec, now), dec
}

// request returns what placement needs to know of a job.
func (d *Director) request(j *Job, p *pool, now time.Time) admit.Request {
	req := admit.Request{
		TierRank: p.rank(j.Tier), TierCount: len(p.tiers), Target: j.Route.Target, UntilTarget: j.due().Sub(now), UntilDeadline: j.End().Sub(now), AvoidEndpoint: -1,
	}
	if j.Pool.Engine {
		req.PromptTokens, req.OutputTokens = j.Prompt, j.Output
	}
	return req
}

// begin counts a job at the endpoint that was chosen for it. d.mu is held.
func (d *Director) begin(j *Job, p *pool, e *endpoint, chosen admit.Endpoint, req admit.Request, dec admit.Decision, now time.Time) *visit {
	heard, known := d.cfg.Reach()
	v := &visit{
		d: d, pool: p, e: e, id: e.ID, addr: e.Addr, alone: len(p.endpoints) < 2, sent: now,
		free: chosen.Requests < chosen.Slots, ahead: chosen.PromptTokens + req.PromptTokens,
		wait: dec.SlotWait, rest: dec.FirstEvent - dec.SlotWait,
		basis: Basis{Endpoint: e.ID, Predicted: dec.FirstEvent, Wait: dec.SlotWait, Ahead: chosen.Requests, Prompt: chosen.PromptTokens + req.PromptTokens, Heard: heard, Known: known},
		held:  holdOf(j, req.OutputTokens), fingerprint: j.fingerprint, route: j.Route.Name, version: e.Version,
	}
	v.basis.Age = d.v.age(e.ID, now)
	v.taken = chosen.Limited
	if v.taken {
		d.v.limits.Take(e.start())
	}
	d.observe(v, p, chosen)
	v.count(now)
	d.v.trust.RecordSent(d.since(now), e.ID)
	return v
}

// holdOf returns what a try of a job counts for, with the output that is expected.
func holdOf(j *Job, output int) hold {
	if !j.Pool.Engine {
		return hold{requests: 1}
	}
	return hold{requests: 1, prompt: j.Prompt, output: output, tokens: j.Prompt + output}
}

// count counts the try at its endpoint; d.mu is held.
func (v *visit) count(now time.Time) {
	if v.e.own.requests == 0 {
		v.e.since = now
	}
	v.e.own.add(v.held, 1)
	v.d.v.changedHeld[v.id] = true
}

// observe measures how old what a try was placed by is, and whether its endpoint was
// full by that.
func (d *Director) observe(v *visit, p *pool, e admit.Endpoint) {
	pool := meter.Label{Key: "pool", Value: p.name}
	meter.UpdateMS(d.cfg.Metrics.Histogram("view_age_ms", pool), v.basis.Age)
	if e.Requests >= e.Slots {
		d.cfg.Metrics.Counter("placed_beyond_slots", pool).Inc(1)
	}
}

// reserve places a job for a try that follows v and takes a repeat for it, unless
// that is free. It takes both, or neither and returns what is lacking.
func (d *Director) reserve(j *Job, v *visit, how trial, free bool) (*visit, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !free && !v.pool.budget.Spend() {
		return nil, "no repeat left in the budget"
	}
	next, dec := d.place(j, how)
	if dec.Endpoint >= 0 {
		return next, ""
	}
	if !free {
		v.pool.budget.Return()
	}
	return nil, dec.Reason.String()
}

// giveBack gives up what reserve returned, and its repeat unless the job was sent.
func (d *Director) giveBack(v *visit) {
	if v.exchange != nil && v.exchange.drop() {
		v.abandon()
		return
	}
	v.withdraw()
	d.unspend(v)
}

// unspend gives back a repeat that was not needed.
func (d *Director) unspend(v *visit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v.pool.budget.Return()
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
	// silent is set if its endpoint was found to have sent nothing for too long by
	// a process that ran, in the wait that ended last.
	silent bool
	over   bool
	// exchange is set if the try was sent beside another one.
	exchange *exchange
	// place is set while another entry counts the try.
	place *place
	// fingerprint is the job's, zero for a job of another entry.
	fingerprint poison.Fingerprint
	// taken is set if the try has taken a token of its endpoint's limit, trial if the
	// endpoint's version is on trial.
	taken, trial bool
	// route is the job's, empty for a job of another entry; version is the endpoint's when
	// the try was sent.
	route, version string
}

// head notes that the answer's head has come.
func (v *visit) head(m Meta) {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.e.heard = time.Now()
	if m.Slots > 0 && v.e.Slots == 0 {
		v.e.Slots = m.Slots
	}
	if !m.WrongEndpoint {
		v.observeLimit(m)
	}
	if !m.WrongEndpoint && !m.NotRun {
		v.reached()
	}
}

// progress notes that tokens of output have come.
func (v *visit) progress(tokens int) {
	now := time.Now()
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.e.heard = now
	defer v.note(now, tokens, wire.PlaceOpen)
	if v.first.IsZero() {
		v.first = now
		v.basis.First = now.Sub(v.sent)
		v.sample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: v.basis.First})
		v.release(hold{prompt: v.held.prompt})
		defer v.d.advance(v.pool)
		if v.free && v.held.tokens > 0 {
			v.pool.learner.ObserveFirstEvent(v.e.ID, v.ahead, now.Sub(v.sent))
		} else if v.held.tokens > 0 {
			v.pool.learner.ObserveWait(v.wait, now.Sub(v.sent)-v.rest)
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
	if v.place != nil {
		return
	}
	v.e.own.add(o, -1)
	if o.requests != 0 || o.prompt != 0 || v.e.drifted() {
		v.d.v.changedHeld[v.e.ID] = true
	}
}

// drifted reports whether the output that the endpoint owes differs from what
// the peers were told by more than matters.
func (e *endpoint) drifted() bool {
	off := e.told - e.own.output
	return max(off, -off) > e.told/driftPart+driftTokens
}

// end notes how the try ended. It may be called more than once; the first call
// counts.
func (v *visit) end(r trust.Result) {
	if !v.finish() {
		return
	}
	switch v.settle(r) {
	case trust.BecameUnusable:
		logs.Warn(v.d.cfg.Log, logs.EventEndpointAway, zap.String("endpoint", v.id), zap.String("result", r.String()))
	case trust.BecameUsable:
		logs.Info(v.d.cfg.Log, logs.EventEndpointBack, zap.String("endpoint", v.id))
	}
}

// finish ends the try and reports whether it had not ended before.
func (v *visit) finish() bool {
	ended := v.over
	v.over = true
	return !ended
}

// settle takes a result into all that is known of the endpoint.
func (v *visit) settle(r trust.Result) trust.Change {
	now := time.Now()
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if v.held.tokens > 0 {
		v.pool.learner.ObserveOutput(v.e.ID, v.tokens, v.last.Sub(v.first))
	} else if v.free && r == trust.Success {
		v.pool.learner.ObserveFirstEvent(v.e.ID, 0, now.Sub(v.sent))
	}
	v.result(now, r)
	v.release(v.held)
	v.note(now, 0, wire.PlaceResult+uint8(r))
	change := v.d.v.trust.RecordResult(v.d.since(now), v.e.ID, r)
	if r == trust.Broken {
		v.runLost()
	}
	v.d.advance(v.pool)
	return change
}

// abandon ends a try without a verdict on the endpoint.
func (v *visit) abandon() {
	if !v.finish() {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.unfinished(time.Now())
	v.drop()
}

// withdraw ends a try that was not sent to its endpoint.
func (v *visit) withdraw() {
	v.abandon()
	v.unsent()
}

// drop takes back what the try counts for; d.mu is held.
func (v *visit) drop() {
	v.release(v.held)
	v.note(time.Now(), 0, wire.PlaceDropped)
	v.d.advance(v.pool)
}

// declined ends a try that the endpoint did not run; load is how many requests it
// says that it has, zero if it does not say.
func (v *visit) declined(load int) {
	if !v.finish() {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.d.cfg.Metrics.Counter("tries_declined").Inc(1)
	v.release(v.held)
	if v.place != nil {
		v.place.load = load
	}
	v.note(time.Now(), 0, wire.PlaceDeclined)
	v.e.declined(time.Now(), load, v.e.Slots)
	v.d.advance(v.pool)
}

// misplaced ends a try that another endpoint declined, which has the address now.
func (v *visit) misplaced() {
	if !v.finish() {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	now := time.Now()
	v.release(v.held)
	v.note(now, 0, wire.PlaceMoved)
	v.e.movedAt = now
	v.d.crashed(v.e)
	logs.Warn(v.d.cfg.Log, logs.EventEndpointMoved, zap.String("endpoint", v.id), zap.String("remote", v.addr))
	v.d.advance(v.pool)
}

// outOfTime ends a try that was not over when the time was up: a fault of the
// endpoint only if it had sent nothing for longer than is in order. After a stop of
// the process the time says nothing of that: what has come is yet to be read.
func (v *visit) outOfTime() {
	if v.silent {
		v.end(trust.Broken)
		return
	}
	v.abandon()
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
