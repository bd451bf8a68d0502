package direct

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
)

// leastPaced is how many tokens of output tell of the pace.
const leastPaced = 20

// unlike is how unlike endpoints are taken for while too few paces are known.
var unlike = canary.Spread{Deviation: 0.5}

// Order takes in an operator's order as the platform has it, with the state and the target
// in its status.
func (d *Director) Order(o canary.Order, s canary.State, target string) {
	d.rollOut(func(now time.Duration) {
		d.v.rollouts.AddOrder(now, o, 0)
		d.v.rollouts.MergeStored(now, o.Pool, target, s, o.Revision)
	})
}

// Cancel notes that the platform has no order for a pool at a revision.
func (d *Director) Cancel(pool string, revision int64) {
	d.rollOut(func(now time.Duration) { d.v.rollouts.CancelOrder(now, pool, revision) })
}

// OrdersRead notes that all orders of the platform as of a time are known.
func (d *Director) OrdersRead(asOf time.Time) {
	d.rollOut(func(time.Duration) { d.v.rollouts.RecordOrdersRead(d.since(asOf)) })
}

// OrdersUnsure reports whether endpoints wait for the orders to be read.
func (d *Director) OrdersUnsure() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.rollouts.AwaitsOrders()
}

// rollOut changes what is known of orders, and what follows from that.
func (d *Director) rollOut(change func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.since(time.Now()))
	d.noteRollouts()
}

// noteRollouts logs what has changed about orders, and uses endpoints by it; d.mu is held.
func (d *Director) noteRollouts() {
	for _, c := range d.v.rollouts.TakeChanges() {
		f := c.Finding
		logs.Info(d.cfg.Log, logs.EventRollout, zap.String("pool", c.Order.Pool), zap.String("target", c.Order.Target), zap.Int64("revision", c.Order.Revision),
			zap.Stringer("state", c.State), zap.Duration("age", c.Age), zap.Duration("over", c.Order.Duration), zap.Bool("moved", c.Moved), zap.String("why", c.Reason),
			zap.String("measure", f.Measure), zap.String("route", f.Route), zap.Int("answers", f.Answers), zap.Float64("bad", f.Bad), zap.Float64("expected", f.Expected), zap.Float64("nats", f.Nats))
		d.cfg.Metrics.Counter("rollouts", meter.Label{Key: "state", Value: c.State.String()}).Inc(1)
	}
	if d.v.rollouts.TakeRolesChanged() {
		d.v.groupAll()
		d.advanceAll()
	}
}

// listVersions tells the book which versions the pools have.
func (v *view) listVersions(now time.Duration) {
	if !v.rollouts.Active() {
		return
	}
	pools := make(map[string]map[string]int)
	for _, e := range v.endpoints {
		if pools[e.Pool] == nil {
			pools[e.Pool] = make(map[string]int)
		}
		if !e.Leaving {
			pools[e.Pool][e.Version]++
		}
	}
	for name, versions := range pools {
		v.rollouts.SetVersions(now, name, versions)
	}
}

// tryOut places a job at an endpoint of the version that is on trial in its pool, if it is
// one of those that go there. d.mu is held.
func (d *Director) tryOut(j *Job, p *pool) (*visit, admit.Decision, bool) {
	if len(p.trial) == 0 || !d.v.rollouts.HasOpenOrder(p.name) {
		return nil, admit.Decision{}, false
	}
	now := time.Now()
	e := d.trialEndpoint(j, p, now)
	if e == nil || d.v.waits.crowd(tierIn{p.name, j.Tier}, 0, 0).HigherTier > 0 || p.line.CountAhead(d.standing(j, p)) > 0 {
		return nil, admit.Decision{}, false
	}
	_, known := d.cfg.Reach()
	req := d.request(j, p, now)
	q := canary.Request{Route: j.Route.Name, ExpectedDuration: p.learner.Pace(e.ID).HoldTime(req.PromptTokens, req.OutputTokens), Entries: known, Random: rand.Float64()}
	if !d.v.rollouts.AdmitToTrial(d.since(now), p.name, q) {
		return nil, admit.Decision{}, false
	}
	all := d.v.describeFor(p, []*endpoint{e}, d.v.zone, j.Pool, now, d.since(now))
	dec := admit.Decide(req, all)
	if dec.Endpoint < 0 {
		d.v.rollouts.ReturnTrial(p.name, e.Version)
		return nil, admit.Decision{}, false
	}
	v := d.begin(j, p, e, all[0], req, dec, now)
	v.trial = true
	return v, dec, true
}

// trialEndpoint returns the first endpoint on trial that has room, in an order that all
// entries share. It has room while it has fewer requests than the busiest one in service:
// filled one after the other, they work under the same load.
func (d *Director) trialEndpoint(j *Job, p *pool, now time.Time) *endpoint {
	since := d.since(now)
	most := 1
	for _, e := range p.endpoints {
		most = max(most, min(e.own.requests+e.others.requests, e.slots(j.Pool)))
	}
	turn := d.v.rollouts.PreferredEndpoint(since, p.name, len(p.trial))
	for i := range p.trial {
		e := p.trial[(turn+i)%len(p.trial)]
		if e.own.requests+e.others.requests < most && e.warm <= since && d.v.trust.Usable(since, e.ID) && !e.away(now) {
			return e
		}
	}
	return nil
}

// reached counts a request that reached an endpoint in service; d.mu is held.
func (v *visit) reached() {
	if v.route != "" && !v.trial {
		v.d.v.rollouts.RecordOldRequest(v.pool.name, v.route)
	}
}

// sample adds to what is known of the try's version; d.mu is held.
func (v *visit) sample(now time.Time, s canary.Sample) {
	if v.route == "" {
		return
	}
	s.Pool, s.Version, s.Route, s.Endpoint = v.pool.name, v.version, v.route, v.id
	v.d.v.rollouts.Observe(v.d.since(now), s)
}

// result adds how the try ended; d.mu is held.
func (v *visit) result(now time.Time, r trust.Result) {
	switch r {
	case trust.Success:
		v.sample(now, canary.Sample{Kind: canary.Succeeded})
		if v.first.IsZero() {
			v.sample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: now.Sub(v.sent)})
		}
		if v.tokens >= leastPaced {
			v.sample(now, canary.Sample{Kind: canary.TokenTime, Elapsed: v.last.Sub(v.first) / time.Duration(v.tokens)})
		}
	case trust.ServerError, trust.Broken:
		v.sample(now, canary.Sample{Kind: canary.Failed})
	}
}

// unfinished adds that the try ended without a result; d.mu is held.
func (v *visit) unfinished(now time.Time) {
	if v.first.IsZero() {
		v.sample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: now.Sub(v.sent), Unfinished: true})
	}
}

// judgeRollouts judges the versions on trial.
func (d *Director) judgeRollouts() {
	if !d.v.rollouts.Active() {
		return
	}
	var peers []string
	if d.cfg.Peers.Entries != nil {
		for _, e := range d.cfg.Peers.Entries() {
			if e.Name != d.cfg.Peers.Self {
				peers = append(peers, e.Name)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	writes := d.v.rollouts.Tick(d.since(time.Now()), canary.Fleet{
		Peers: peers, Rank: d.rank(), OldRequests: d.v.left, MaxRequestTime: d.v.longest, Spread: d.v.spread,
	})
	for _, w := range writes {
		if d.cfg.WriteRollout != nil {
			d.cfg.WriteRollout(w)
		}
	}
	d.noteRollouts()
}

// left returns how many requests all entries have at a pool's endpoints that are not of a
// version.
func (v *view) left(pool, version string) int {
	n := 0
	for _, e := range v.endpoints {
		if e.Pool == pool && e.Version != version {
			n += e.own.requests + e.others.requests
		}
	}
	return n
}

// longest returns the longest time that a request of a pool may run.
func (v *view) longest(pool string) time.Duration {
	var longest time.Duration
	for _, r := range v.table.Config().Routes {
		for _, s := range r.Shares {
			if s.Pool == pool {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// spread returns how unlike a pool's endpoints in service are.
func (v *view) spread(pool string) canary.Spread {
	p := v.pools[pool]
	cfg, ok := v.table.Pool(pool)
	if p == nil || !ok {
		return unlike
	}
	ids := make([]string, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		ids = append(ids, e.ID)
	}
	shift, deviation, ok := p.learner.PaceSpread(ids, cfg.Engine)
	if !ok {
		return unlike
	}
	return canary.Spread{Shift: shift, Deviation: deviation}
}

// rolloutReports returns the reports for a tally; d.mu is held.
func (d *Director) rolloutReports(again bool) []wire.Rollout {
	if !d.v.rollouts.Active() {
		return nil
	}
	_, known := d.cfg.Reach()
	var out []wire.Rollout
	if again && d.v.rollouts.OrdersKnown() {
		out = append(out, wire.Rollout{})
	}
	for _, r := range d.v.rollouts.Reports(d.since(time.Now()), again, known) {
		o := r.Order
		w := wire.Rollout{
			Pool: o.Pool, Target: o.Target, DurationMS: ms(o.Duration), AgeMS: ms(r.Age), Created: o.CreateRevision, Revision: o.Revision,
			State: uint8(r.State), LeftOldVersion: r.Moved,
		}
		for _, c := range r.Cells {
			w.Cells = append(w.Cells, wire.RolloutCell{
				Epoch: uint16(c.Epoch), Route: c.Route, Endpoint: c.Endpoint, Answers: c.Answers, Failed: c.Failed,
				FirstCount: c.FirstEvents, FirstLogSum: float32(c.LogFirstEvents), TokenCount: c.TokenTimes, TokenLogSum: float32(c.LogTokenTimes),
			})
		}
		out = append(out, w)
	}
	return out
}

// mergeRollouts merges a peer's reports; d.mu is held.
func (d *Director) mergeRollouts(peer string, anew bool, all []wire.Rollout) {
	if anew {
		d.v.rollouts.ResetPeer(peer)
	}
	if len(all) == 0 {
		return
	}
	now := d.since(time.Now())
	for _, w := range all {
		if w.Pool == "" {
			if !d.v.rollouts.OrdersKnown() {
				d.v.rollouts.RecordOrdersRead(now)
			}
			continue
		}
		r := canary.Report{
			Order: canary.Order{Pool: w.Pool, Target: w.Target, Duration: fromMS(w.DurationMS), CreateRevision: w.Created, Revision: w.Revision},
			Age:   fromMS(w.AgeMS), State: canary.State(w.State), Moved: w.LeftOldVersion,
		}
		for _, c := range w.Cells {
			r.Cells = append(r.Cells, canary.CellReport{
				CellKey: canary.CellKey{Epoch: int(c.Epoch), Route: c.Route, Endpoint: c.Endpoint},
				Cell:    canary.Cell{Answers: c.Answers, Failed: c.Failed, FirstEvents: c.FirstCount, LogFirstEvents: float64(c.FirstLogSum), TokenTimes: c.TokenCount, LogTokenTimes: float64(c.TokenLogSum)},
			})
		}
		d.v.rollouts.Merge(now, peer, r)
	}
	d.noteRollouts()
}
