package direct

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/lend"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

const (
	// minConnWait is the shortest time for which a request waits for a connection. Most
	// connections in use become free within it.
	minConnWait = 20 * time.Millisecond
	// connsNumerator and connsDivisor give the part of an endpoint's connections that the known
	// entries divide. The rest is left for entries that are not known yet.
	connsNumerator, connsDivisor = 4, 5
)

// newConnLedger returns the ledger of the connections to endpoints, each of which is a resource under
// the ID of its start. Its functions are called with d.mu held.
func (d *Director) newConnLedger() *lend.Ledger {
	return lend.New(lend.Config{
		Self: d.cfg.Peers.Self, Incarnation: d.cfg.Incarnation,
		Base: func(start string) int {
			e := d.view.starts[start]
			if e == nil {
				return 0
			}
			p, _ := d.view.table.Pool(e.Pool)
			return baseConns(p, d.view.knownEntries)
		},
		Used: func(start string) int {
			if e := d.view.starts[start]; e != nil {
				return d.usedConns(e)
			}
			return 0
		},
		Reduce: func(start string, conns int) int {
			if e := d.view.starts[start]; e != nil {
				return d.cfg.Client.SetLimit(e.Addr, conns)
			}
			return 0
		},
	})
}

// baseConns returns the part of one entry in the connections to an endpoint of a pool, zero if their
// number is not limited.
func baseConns(p *route.Pool, entries int) int {
	if p == nil || p.MaxConns <= 0 {
		return 0
	}
	return max(p.MaxConns*connsNumerator/connsDivisor/max(entries, 1), 1)
}

// usedConns returns how many connections to an endpoint the requests of this entry use or wait for.
func (d *Director) usedConns(e *endpoint) int {
	conns, waiting := d.cfg.Client.InUse(e.Addr)
	return conns + waiting
}

// hasNoConn reports whether the requests of this entry use all connections that it may have to the
// endpoint. The caller holds d.mu.
func (d *Director) hasNoConn(e *endpoint, p *route.Pool) bool {
	if p.MaxConns <= 0 {
		return false
	}
	// A configuration that is newer than the job's may have no limit.
	limit := d.view.conns.Units(e.startID())
	return limit > 0 && d.usedConns(e) >= limit
}

// prepareConn puts the entry's limit on connections to the endpoint in force and sets how long the
// request of an attempt may wait for one.
func (d *Director) prepareConn(a *attempt, j *Job, r *hop.Request) {
	if j.Pool.MaxConns <= 0 {
		d.cfg.Client.SetLimit(a.sentAddr, 0)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, start := time.Now(), a.start.ID()
	limit := d.view.conns.Units(start)
	if limit > 0 {
		d.view.conns.RecordUse(d.sinceStart(now), start, d.usedConns(a.endpoint)+1)
	} else {
		// The instance list does not have the endpoint yet.
		limit = baseConns(j.Pool, d.view.knownEntries)
	}
	d.cfg.Client.SetLimit(a.sentAddr, limit)
	r.Rank = a.pool.tierRank(j.Tier)
	r.MaxConnWait = max(min(j.firstEventDue().Sub(now)-a.predictedService, time.Until(j.End())-minTimeLeft), minConnWait)
}

// endConnWait records that the request of an attempt is sent only now, after a wait for a connection.
func (d *Director) endConnWait(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a.placement.ConnWait = now.Sub(a.sentAt)
	a.sentAt, a.sentClock = now, a.slowdownClock(now)
	meter.UpdateMS(d.cfg.Metrics.Histogram("connection_wait_ms", meter.Label{Key: "pool", Value: a.pool.name}), a.placement.ConnWait)
}

// recordNoConn records that no connection was left for the request of an attempt.
func (d *Director) recordNoConn(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.placement.Connections, a.placement.ConnectionLimit = d.cfg.Client.Conns(a.sentAddr), d.view.conns.Units(a.start.ID())
	d.cfg.Metrics.Counter("connections_short", meter.Label{Key: "pool", Value: a.pool.name}).Inc(1)
}

// recordShortConns records the endpoints at which a request was not placed although they have free
// slots, because no connection was left. The caller holds d.mu.
func (d *Director) recordShortConns(endpoints []*endpoint, candidates []admit.Endpoint, dec admit.Decision) {
	if dec.Endpoint >= 0 || dec.Reason != admit.Full {
		return
	}
	now := d.sinceStart(time.Now())
	for i, c := range candidates {
		if c.NoConnection && c.Usable && c.Requests < c.Slots {
			d.view.conns.RecordShort(now, endpoints[i].startID())
		}
	}
}

// dispatchAfterAttempt dispatches queued jobs after an attempt has given up its connection, which is
// later than its slot.
func (d *Director) dispatchAfterAttempt(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.pool.queue.Len() > 0 {
		d.dispatchFrom(a.pool, &a.pool.queue)
	}
}

// lendingReport returns the report on connections for a tally, nil if there is nothing to tell. The
// caller holds d.mu.
func (d *Director) lendingReport(resend bool) *wire.Lending {
	now := d.sinceStart(time.Now())
	if short := d.cfg.Client.TakeShort(); len(short) > 0 {
		isShort := make(map[string]bool, len(short))
		for _, addr := range short {
			isShort[addr] = true
		}
		for start, e := range d.view.starts {
			if isShort[e.Addr] {
				d.view.conns.RecordShort(now, start)
			}
		}
	}
	r := d.view.conns.Report(now, resend)
	if r.Empty() {
		return nil
	}
	out := &wire.Lending{Incarnation: r.Incarnation}
	for _, w := range r.Wants {
		out.Wants = append(out.Wants, wire.LendingWant{Resource: w.Resource, Units: uint32(w.Units)})
	}
	for _, l := range r.Loans {
		out.Loans = append(out.Loans, wire.Loan{Resource: l.Resource, Peer: l.Peer, PeerIncarnation: l.PeerIncarnation, Total: uint32(l.Total)})
	}
	return out
}

// mergeLending merges a peer's report on connections and lends it what it wants. restarted is set for
// the first tally of the peer's process. The caller holds d.mu.
func (d *Director) mergeLending(peer string, restarted bool, m *wire.Lending) {
	if restarted {
		d.view.conns.Forget(peer)
	}
	if m == nil {
		return
	}
	r := lend.Report{Incarnation: m.Incarnation}
	for _, l := range m.Loans {
		r.Loans = append(r.Loans, lend.Loan{Resource: l.Resource, Peer: l.Peer, PeerIncarnation: l.PeerIncarnation, Total: int(l.Total)})
	}
	for _, start := range d.view.conns.Merge(peer, r) {
		d.applyConnLimit(start)
	}
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	d.view.knownEntries = knownEntries
	now := d.sinceStart(time.Now())
	lent := 0
	for _, w := range m.Wants {
		lent += d.view.conns.Lend(now, peer, lend.Want{Resource: w.Resource, Units: int(w.Units)}, reachableEntries-1)
	}
	if len(m.Wants) > 0 {
		d.cfg.Metrics.Counter("connections_lent").Inc(int64(lent))
		logs.Info(d.cfg.Log, logs.EventConnectionsLent, zap.String("peer", peer), zap.Int("endpoints", len(m.Wants)), zap.Int("connections", lent))
	}
}

// applyConnLimit puts the entry's limit on connections to an endpoint in force, so that waiting
// requests get those that it has gained. The caller holds d.mu.
func (d *Director) applyConnLimit(start string) {
	if e := d.view.starts[start]; e != nil {
		d.cfg.Client.SetLimit(e.Addr, d.view.conns.Units(start))
	}
}

// settleConns returns borrowed connections that are not used, and ends the loans to and from entries
// that are not known any more.
func (d *Director) settleConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sinceStart(time.Now())
	_, d.view.knownEntries = d.cfg.EntryCounts()
	d.view.conns.Return(now)
	d.view.conns.Retain(now, func(start string) bool { return d.view.starts[start] != nil })
	if d.cfg.Peers.IsKnown == nil {
		return
	}
	for _, peer := range d.view.conns.Peers() {
		if !d.cfg.Peers.IsKnown(peer) {
			d.view.conns.Forget(peer)
		}
	}
}
