package direct

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/limit"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// share returns this entry's share in the limit of an endpoint; d.mu is held. The owner of
// its shard has all of it, except for requests of entries that cannot reach the owner.
func (d *Director) share(e *endpoint) limit.Share {
	heard, known := d.cfg.Reach()
	if !d.sharded(known) {
		return limit.Share{RateShare: float64(heard) / float64(max(known, 1)), Rank: d.rank(), Entries: known}
	}
	p := d.v.pool(e.Pool, d.cfg.Repeats, known)
	if d.owner(e.Pool, p, p.layout.Key(e.ID, e.Zone), time.Now()) == d.cfg.Peers.Self {
		return limit.Share{RateShare: 1, Entries: 1}
	}
	return limit.Share{RateShare: 1 / float64(max(known, 1)), Entries: 1}
}

// limitOf returns the limit of an endpoint as decisions take it.
func (v *view) limitOf(e *endpoint, now time.Duration) admit.RateLimit {
	if v.limits.Empty() {
		return admit.RateLimit{}
	}
	rate, ok := v.limits.Rate(e.start())
	if !ok {
		return admit.RateLimit{}
	}
	out := admit.RateLimit{Limited: true, RequestsPerSecond: rate}
	out.AllowedNow, out.NextAllowedIn = v.limits.Available(now, e.start(), v.share(e))
	return out
}

// keepLimits forgets the limits of endpoints that are not listed any more.
func (v *view) keepLimits() {
	if v.limits.Empty() {
		return
	}
	starts := make(map[string]bool, len(v.endpoints))
	for _, e := range v.endpoints {
		starts[e.start()] = true
	}
	v.limits.Retain(func(id string) bool { return starts[id] })
}

// observeLimit records the limit that an answer states; d.mu is held.
func (v *visit) observeLimit(m Meta) {
	d := v.d
	if d.v.endpoints[v.id] != v.e {
		return
	}
	if d.v.limits.Observe(d.since(time.Now()), v.e.start(), d.since(v.sent), m.Limit, m.Limited) {
		logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", v.id), zap.Bool("limited", m.Limited), zap.Float64("limit", m.Limit), zap.Time("sent", v.sent))
	}
}

// unsent returns what a try has taken that did not reach its endpoint: a token of its limit,
// and its part of a trial.
func (v *visit) unsent() {
	if v.d == nil {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if v.taken {
		v.taken = false
		v.d.v.limits.Return(v.e.start())
	}
	if v.trial {
		v.trial = false
		v.d.v.rollouts.ReturnTrial(v.pool.name, v.version)
	}
}

// offerTokens sends waiting requests to limited endpoints that have tokens again.
func (d *Director) offerTokens() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.v.limits.Empty() {
		d.advanceAll()
	}
}

// limits returns the reports for a tally; d.mu is held.
func (d *Director) limits(again bool) []wire.Limit {
	var out []wire.Limit
	for _, r := range d.v.limits.Reports(d.since(time.Now()), again) {
		out = append(out, wire.Limit{Endpoint: r.Endpoint, RequestsPerSecond: r.Rate, Limited: r.Limited, AgeMS: ms(r.Age), SentTotal: r.Sent})
	}
	return out
}

// mergeLimits merges a peer's reports; d.mu is held.
func (d *Director) mergeLimits(peer string, all []wire.Limit) {
	now := d.since(time.Now())
	for _, r := range all {
		age := fromMS(r.AgeMS)
		if d.v.limits.Merge(now, peer, limit.Report{Endpoint: r.Endpoint, Rate: r.RequestsPerSecond, Limited: r.Limited, Age: age, Sent: r.SentTotal}) {
			logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", r.Endpoint), zap.Bool("limited", r.Limited), zap.Float64("limit", r.RequestsPerSecond),
				zap.Duration("age", age), zap.String("peer", peer))
		}
	}
}

// rank returns how many of the entries that are heard come before this one by name.
func (d *Director) rank() int {
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
