package direct

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/limit"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// share returns this entry's part in the limit of an endpoint; d.mu is held. The owner of
// its shard places all requests there but for those of entries that cannot ask it.
func (d *Director) share(e *endpoint) limit.Share {
	heard, known := d.cfg.Reach()
	if !d.sharded(known) {
		return limit.Share{Part: float64(heard) / float64(max(known, 1)), Turn: d.rank(), Entries: known}
	}
	p := d.v.pool(e.Pool, d.cfg.Repeats, known)
	if d.owner(e.Pool, p, p.layout.Key(e.ID, e.Zone), time.Now()) == d.cfg.Peers.Self {
		return limit.Share{Part: 1, Entries: 1}
	}
	return limit.Share{Part: 1 / float64(max(known, 1)), Entries: 1}
}

// limitOf returns an endpoint's limit as a decision takes it.
func (v *view) limitOf(e *endpoint, now time.Duration) admit.Endpoint {
	rate, ok := v.limits.Limited(e.start())
	if !ok {
		return admit.Endpoint{}
	}
	out := admit.Endpoint{Limited: true, Rate: rate}
	out.Room, out.Next = v.limits.Room(now, e.start(), v.share(e))
	return out
}

// named takes in what an answer says of the endpoint's limit; d.mu is held.
func (v *visit) named(m Meta) {
	d := v.d
	if d.v.endpoints[v.id] != v.e {
		return
	}
	if d.v.limits.Answered(d.since(time.Now()), v.e.start(), d.since(v.sent), m.Limit, m.Limited) {
		logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", v.id), zap.Bool("limited", m.Limited), zap.Float64("limit", m.Limit), zap.Time("sent", v.sent))
	}
}

// unsent notes that the try did not reach its endpoint.
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
}

// refill sends what waits for an endpoint whose limit has room again.
func (d *Director) refill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.v.endpoints {
		if _, ok := d.v.limits.Limited(e.start()); ok {
			d.advanceAll()
			return
		}
	}
}

// tellLimits returns the limits of which the peers have not been told, or all; d.mu is
// held.
func (d *Director) tellLimits(all bool) []wire.Limit {
	var out []wire.Limit
	for _, w := range d.v.limits.Tell(d.since(time.Now()), all) {
		out = append(out, wire.Limit{Endpoint: w.Endpoint, Rate: w.Rate, Limited: w.Limited, AgeMS: ms(w.Age), Used: w.Used})
	}
	return out
}

// toldLimits takes in what a peer tells of limits; d.mu is held.
func (d *Director) toldLimits(peer string, all []wire.Limit) {
	now := d.since(time.Now())
	for _, w := range all {
		age := time.Duration(w.AgeMS) * time.Millisecond
		if d.v.limits.Told(now, peer, limit.Word{Endpoint: w.Endpoint, Rate: w.Rate, Limited: w.Limited, Age: age, Used: w.Used}) {
			logs.Info(d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", w.Endpoint), zap.Bool("limited", w.Limited), zap.Float64("limit", w.Rate),
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
