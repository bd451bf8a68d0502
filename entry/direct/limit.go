package direct

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/limit"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// limitShare returns this entry's share of an endpoint's rate limit. The owner of the
// endpoint's shard has the whole limit. Another entry has the share of one entry among all,
// for requests that it places itself because it cannot reach the owner. The caller holds d.mu.
func (d *Director) limitShare(e *endpoint) limit.Share {
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	if !d.usesShardOwners(knownEntries) {
		return limit.Share{RateShare: float64(reachableEntries) / float64(max(knownEntries, 1)), Rank: d.entryRank(), Entries: knownEntries}
	}
	p := d.view.pool(e.Pool, d.cfg.RetryBudget, knownEntries)
	if d.shardOwner(e.Pool, p, p.layout.Key(e.ID, e.Zone), time.Now()) == d.cfg.Peers.Self {
		return limit.Share{RateShare: 1, Entries: 1}
	}
	return limit.Share{RateShare: 1 / float64(max(knownEntries, 1)), Entries: 1}
}

// endpointLimit returns the rate limit of an endpoint as admission takes it.
func (v *view) endpointLimit(e *endpoint, now time.Duration) admit.RateLimit {
	if v.limits.Empty() {
		return admit.RateLimit{}
	}
	rate, ok := v.limits.Rate(e.startID())
	if !ok {
		return admit.RateLimit{}
	}
	out := admit.RateLimit{Limited: true, RequestsPerSecond: rate}
	out.AllowedNow, out.NextAllowedIn = v.limits.Available(now, e.startID(), v.limitShare(e))
	return out
}

// unlistedLimitTTL is how long a rate limit is kept without an answer that states it, while the
// endpoint is not listed. Peers pass a newer instance list on to an entry whose list is 150 ms
// late, so an endpoint that is missing for longer has ended.
const unlistedLimitTTL = 10 * time.Second

// forgetStaleLimits forgets the rate limits of endpoints that have ended. Those that the list
// does not have yet keep theirs.
func (v *view) forgetStaleLimits(now time.Duration) {
	if v.limits.Empty() {
		return
	}
	starts := make(map[string]bool, len(v.endpoints))
	for _, e := range v.endpoints {
		starts[e.startID()] = true
	}
	v.limits.Retain(func(id string) bool { return starts[id] || v.limits.Age(now, id) < unlistedLimitTTL })
}

// observeLimit records the rate limit that an answer states. The caller holds d.mu.
func (a *attempt) observeLimit(m Meta) {
	d := a.d
	e := d.view.endpoints[a.id]
	if e == nil && !a.wasUnlisted || e != nil && e.start() != a.start {
		return
	}
	if d.view.limits.Observe(d.sinceStart(time.Now()), a.start.ID(), d.sinceStart(a.sentAt), m.RateLimit, m.HasRateLimit) {
		logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", a.id), zap.Bool("limited", m.HasRateLimit), zap.Float64("limit", m.RateLimit), zap.Time("sent", a.sentAt))
	}
}

// returnReservations returns what an attempt that did not reach its endpoint has reserved: a
// token of the endpoint's rate limit and its share of a rollout trial.
func (a *attempt) returnReservations() {
	if a.d == nil {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.tookToken {
		a.tookToken = false
		a.d.view.limits.Return(a.endpoint.startID())
	}
	if a.isTrial {
		a.isTrial = false
		a.d.view.rollouts.ReturnTrial(a.pool.name, a.version)
	}
}

// dispatchTimed dispatches queued requests to endpoints that have room again because time has
// passed: rate-limited ones with new tokens, and those whose rest has ended.
func (d *Director) dispatchTimed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.limits.Empty() && d.view.rests.Empty() && len(d.view.peerRests) == 0 {
		return
	}
	d.dispatchAllQueued()
	d.view.sweepRests(d.sinceStart(time.Now()))
}

// limitReports returns the rate limit reports for a tally: the changed ones, and with resend
// also those that a new peer needs. The caller holds d.mu.
func (d *Director) limitReports(resend bool) []wire.Limit {
	var out []wire.Limit
	for _, r := range d.view.limits.Reports(d.sinceStart(time.Now()), resend) {
		out = append(out, wire.Limit{Endpoint: r.Endpoint, RequestsPerSecond: r.Rate, Limited: r.Limited, AgeMS: toMS(r.Age), SentTotal: r.Sent})
	}
	return out
}

// mergeLimits merges a peer's rate limit reports. The caller holds d.mu.
func (d *Director) mergeLimits(peer string, reports []wire.Limit) {
	now := d.sinceStart(time.Now())
	for _, r := range reports {
		age := fromMS(r.AgeMS)
		if d.view.limits.Merge(now, peer, limit.Report{Endpoint: r.Endpoint, Rate: r.RequestsPerSecond, Limited: r.Limited, Age: age, Sent: r.SentTotal}) {
			logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", r.Endpoint), zap.Bool("limited", r.Limited), zap.Float64("limit", r.RequestsPerSecond),
				zap.Duration("age", age), zap.String("peer", peer))
		}
	}
}

// entryRank returns how many of the reachable entries precede this one by name.
func (d *Director) entryRank() int {
	if d.cfg.Peers.Entries == nil {
		return 0
	}
	n := 0
	for _, e := range d.cfg.Peers.Entries() {
		if e.Name < d.cfg.Peers.Self {
			n++
		}
	}
	return n
}
