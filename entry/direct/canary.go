package direct

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/health"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// minPacedTokens is the smallest number of output tokens from which a time per token is
// computed.
const minPacedTokens = 20

// defaultSpread is how much the paces of endpoints are assumed to differ while too few of them
// are known.
var defaultSpread = canary.Spread{Deviation: 0.5}

// SetOrder applies a rollout order as the platform stores it, with the state and the target
// in its status.
func (d *Director) SetOrder(o canary.Order, s canary.State, target string) {
	d.updateRollouts(func(now time.Duration) {
		d.view.rollouts.AddOrder(now, o, 0)
		d.view.rollouts.MergeStored(now, o.Pool, target, s, o.Revision)
	})
}

// CancelOrder records that the platform has no rollout order for a pool at a revision.
func (d *Director) CancelOrder(pool string, revision int64) {
	d.updateRollouts(func(now time.Duration) { d.view.rollouts.CancelOrder(now, pool, revision) })
}

// MarkOrdersRead records that all rollout orders of the platform as of a time are known.
func (d *Director) MarkOrdersRead(asOf time.Time) {
	d.updateRollouts(func(time.Duration) { d.view.rollouts.RecordOrdersRead(d.sinceStart(asOf)) })
}

// AwaitsOrders reports whether endpoints are held back until the rollout orders have been
// read.
func (d *Director) AwaitsOrders() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.rollouts.AwaitsOrders()
}

// updateRollouts changes what is known of rollout orders and applies the consequences.
func (d *Director) updateRollouts(change func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.sinceStart(time.Now()))
	d.applyRolloutChanges()
}

// applyRolloutChanges logs the state changes of rollouts and updates which endpoints are used.
// The caller holds d.mu.
func (d *Director) applyRolloutChanges() {
	for _, c := range d.view.rollouts.TakeChanges() {
		f := c.Finding
		logs.Info(d.cfg.Log, logs.EventRollout, zap.String("pool", c.Order.Pool), zap.String("target", c.Order.Target), zap.Int64("revision", c.Order.Revision),
			zap.Stringer("state", c.State), zap.Duration("age", c.Age), zap.Duration("over", c.Order.Duration), zap.Bool("moved", c.Moved), zap.String("why", c.Reason),
			zap.String("measure", f.Measure), zap.String("route", f.Route), zap.Int("answers", f.Answers), zap.Float64("bad", f.Bad), zap.Float64("expected", f.Expected), zap.Float64("nats", f.Nats))
		d.cfg.Metrics.Counter("rollouts", meter.Label{Key: "state", Value: c.State.String()}).Inc(1)
	}
	if d.view.rollouts.TakeRolesChanged() {
		d.view.assignAllEndpoints()
		d.dispatchAllQueued()
	}
}

// updateVersions passes to the rollout controller which versions the pools have, and at how
// many endpoints that are not leaving.
func (v *view) updateVersions(now time.Duration) {
	if !v.rollouts.Active() {
		return
	}
	counts := make(map[string]map[string]int)
	for _, e := range v.endpoints {
		if counts[e.Pool] == nil {
			counts[e.Pool] = make(map[string]int)
		}
		if !e.Leaving {
			counts[e.Pool][e.Version]++
		}
	}
	for name, versions := range counts {
		v.rollouts.SetVersions(now, name, versions)
	}
}

// placeOnTrial places a job at an endpoint of the version on trial in its pool, if the job is
// among those selected for the trial. The caller holds d.mu.
func (d *Director) placeOnTrial(j *Job, p *pool) (*attempt, admit.Decision, bool) {
	if len(p.trialEndpoints) == 0 || !d.view.rollouts.HasOpenOrder(p.name) {
		return nil, admit.Decision{}, false
	}
	now := time.Now()
	e := d.trialEndpoint(j, p, now)
	if e == nil || d.view.queueCounts.contention(poolTier{p.name, j.Tier}, 0, 0).HigherTierRequests > 0 || p.queue.CountAhead(d.queuePosition(j, p)) > 0 {
		return nil, admit.Decision{}, false
	}
	_, knownEntries := d.cfg.EntryCounts()
	req := d.placementRequest(j, p, now)
	q := canary.Request{Route: j.Route.Name, ExpectedDuration: p.learner.Pace(e.ID).HoldTime(req.PromptTokens, req.OutputTokens), Entries: knownEntries, Random: rand.Float64()}
	if !d.view.rollouts.AdmitToTrial(d.sinceStart(now), p.name, q) {
		return nil, admit.Decision{}, false
	}
	candidates := d.view.describeEndpoints(p, []*endpoint{e}, sender{zone: d.view.zone}, j.Pool, now, d.sinceStart(now))
	dec := admit.Decide(req, candidates)
	if dec.Endpoint < 0 {
		d.view.rollouts.ReturnTrial(p.name, e.Version)
		return nil, admit.Decision{}, false
	}
	a := d.startAttempt(j, p, e, candidates[0], req, dec, now)
	a.isTrial = true
	return a, dec, true
}

// trialEndpoint returns the first endpoint on trial that has room, in an order that all
// entries share. It has room while it has fewer requests than the busiest endpoint in service:
// endpoints on trial that are filled one after the other work under the same load as those in
// service.
func (d *Director) trialEndpoint(j *Job, p *pool, now time.Time) *endpoint {
	since := d.sinceStart(now)
	maxRequests := 1
	for _, e := range p.endpoints {
		maxRequests = max(maxRequests, min(e.ownWork.requests+e.peerWork.requests, e.slots(j.Pool)))
	}
	offset := d.view.rollouts.PreferredEndpoint(since, p.name, len(p.trialEndpoints))
	for i := range p.trialEndpoints {
		e := p.trialEndpoints[(offset+i)%len(p.trialEndpoints)]
		if e.ownWork.requests+e.peerWork.requests < maxRequests && e.warmAt <= since && d.view.health.Usable(since, e.ID) && !e.hasMoved(now) && (d.view.rests.Empty() || d.view.rests.Left(since, e.startID()) == 0) {
			return e
		}
	}
	return nil
}

// countReached counts a request that reached an endpoint in service. The caller holds d.mu.
func (a *attempt) countReached() {
	if a.route != "" && !a.isTrial {
		a.d.view.rollouts.RecordOldRequest(a.pool.name, a.route)
	}
}

// observeSample adds a sample to the statistics of the attempt's version. The caller holds
// d.mu.
func (a *attempt) observeSample(now time.Time, s canary.Sample) {
	if a.route == "" {
		return
	}
	s.Pool, s.Version, s.Route, s.Endpoint = a.pool.name, a.version, a.route, a.id
	a.d.view.rollouts.Observe(a.d.sinceStart(now), s)
}

// observeResult adds the result of the attempt to the statistics of its version. The caller
// holds d.mu.
func (a *attempt) observeResult(now time.Time, r health.Result) {
	switch r {
	case health.Success:
		a.observeSample(now, canary.Sample{Kind: canary.Succeeded})
		if a.firstAt.IsZero() {
			a.observeSample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: now.Sub(a.sentAt)})
		}
		if a.laterTokens >= minPacedTokens {
			a.observeSample(now, canary.Sample{Kind: canary.TokenTime, Elapsed: a.lastAt.Sub(a.firstAt) / time.Duration(a.laterTokens)})
		}
	case health.ServerError, health.Broken:
		a.observeSample(now, canary.Sample{Kind: canary.Failed})
	}
}

// observeUnfinished adds an attempt that ended without a result to the statistics of its
// version. The caller holds d.mu.
func (a *attempt) observeUnfinished(now time.Time) {
	if a.firstAt.IsZero() {
		a.observeSample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: now.Sub(a.sentAt), Unfinished: true})
	}
}

// evaluateRollouts evaluates the versions on trial and passes the resulting status writes to
// Config.WriteRollout.
func (d *Director) evaluateRollouts() {
	if !d.view.rollouts.Active() {
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
	writes := d.view.rollouts.Tick(d.sinceStart(time.Now()), canary.Fleet{
		Peers: peers, Rank: d.entryRank(), OldRequests: d.view.requestsOffVersion, MaxRequestTime: d.view.longestTimeout, Spread: d.view.paceSpread,
	})
	for _, w := range writes {
		if d.cfg.WriteRollout != nil {
			d.cfg.WriteRollout(w)
		}
	}
	d.applyRolloutChanges()
}

// requestsOffVersion returns how many requests all entries have at those endpoints of a pool
// that do not have the given version.
func (v *view) requestsOffVersion(pool, version string) int {
	n := 0
	for _, e := range v.endpoints {
		if e.Pool == pool && e.Version != version {
			n += e.ownWork.requests + e.peerWork.requests
		}
	}
	return n
}

// longestTimeout returns the longest time that a request of a pool may run.
func (v *view) longestTimeout(pool string) time.Duration {
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

// paceSpread returns how much the paces of a pool's endpoints in service differ.
func (v *view) paceSpread(pool string) canary.Spread {
	p := v.pools[pool]
	cfg, ok := v.table.Pool(pool)
	if p == nil || !ok {
		return defaultSpread
	}
	ids := make([]string, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		ids = append(ids, e.ID)
	}
	shift, deviation, ok := p.learner.PaceSpread(ids, cfg.Engine)
	if !ok {
		return defaultSpread
	}
	return canary.Spread{Shift: shift, Deviation: deviation}
}

// rolloutReports returns the rollout reports for a tally: the changed ones, and with resend
// also those that a new peer needs. The caller holds d.mu.
func (d *Director) rolloutReports(resend bool) []wire.Rollout {
	if !d.view.rollouts.Active() {
		return nil
	}
	_, knownEntries := d.cfg.EntryCounts()
	var out []wire.Rollout
	if resend && d.view.rollouts.OrdersKnown() {
		// An empty report says that this entry knows all orders.
		out = append(out, wire.Rollout{})
	}
	for _, r := range d.view.rollouts.Reports(d.sinceStart(time.Now()), resend, knownEntries) {
		o := r.Order
		w := wire.Rollout{
			Pool: o.Pool, Target: o.Target, DurationMS: toMS(o.Duration), AgeMS: toMS(r.Age), Created: o.CreateRevision, Revision: o.Revision,
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

// mergeRollouts merges a peer's rollout reports. restarted is set for the first tally of the
// peer's process. The caller holds d.mu.
func (d *Director) mergeRollouts(peer string, restarted bool, reports []wire.Rollout) {
	if restarted {
		d.view.rollouts.ResetPeer(peer)
	}
	if len(reports) == 0 {
		return
	}
	now := d.sinceStart(time.Now())
	for _, w := range reports {
		if w.Pool == "" {
			if !d.view.rollouts.OrdersKnown() {
				d.view.rollouts.RecordOrdersRead(now)
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
		d.view.rollouts.Merge(now, peer, r)
	}
	d.applyRolloutChanges()
}
