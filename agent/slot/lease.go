package slot

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/homes"
	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const (
	// asksPerLease is how often a lease is asked for while it lasts, so that
	// two lost answers do not cost it.
	asksPerLease = 4
	// askLinks is how many entries are asked each time.
	askLinks = 2
	// askEvery is the longest time between two rounds of asking, and orderAsk
	// the time while an order waits for a confirmation.
	askEvery = 5 * time.Second
	orderAsk = time.Second
)

// ask is a question about freshness that is under way.
type ask struct {
	at   time.Duration
	pool string
}

func (o *Owner) news(now time.Duration, m *wire.ObjectUpdate) {
	switch m.ObjectKind {
	case spec.KindHomes:
		o.newsHomes(now, m)
	case spec.KindAssign:
		o.newsAssign(now, m)
	}
}

func (o *Owner) newsHomes(now time.Duration, m *wire.ObjectUpdate) {
	if m.Deleted {
		// A table that vanished takes nothing back: its epochs may return, so
		// the newest one known stays in force.
		return
	}
	var t spec.Homes
	err := json.Unmarshal(m.Data, &t)
	if err == nil {
		err = homes.Check(t)
	}
	if err != nil {
		logs.Error(o.log, logs.EventConfigRejected, zap.String("object", m.ObjectKind+"/"+m.Name), zap.Int64("version", m.Version), zap.Error(err))
		return
	}
	h := o.homes[m.Name]
	if h == nil {
		h = homes.NewHolder(o.cfg.Self)
		o.homes[m.Name] = h
	}
	if h.Learn(now, t) {
		logs.Info(o.log, logs.EventHomesChanged, zap.String("pool", m.Name), zap.Int64("epoch", t.Epoch))
		o.askNext = 0
	}
}

// askLeases asks entries how fresh the tables are. The answer counts from the
// moment of asking, so that a late one prolongs nothing.
func (o *Owner) askLeases(now time.Duration) {
	if now < o.askNext {
		return
	}
	every := askEvery
	for pool, h := range o.homes {
		if lease := h.Table().Lease.Std(); lease > 0 {
			every = min(every, lease/asksPerLease)
		}
		o.askAbout(now, pool)
	}
	if model, a := o.newest(); o.due(now, model, a) {
		every = min(every, orderAsk)
		o.askAbout(now, wire.AssignPrefix+model)
	}
	o.askNext = now + every
	for seq, a := range o.asks {
		if now-a.at > homes.DefaultLease {
			delete(o.asks, seq)
		}
	}
}

func (o *Owner) askAbout(now time.Duration, pool string) {
	n := 0
	for _, s := range o.sessions {
		if s.link == nil {
			continue
		}
		o.askSeq++
		o.asks[o.askSeq] = ask{at: now, pool: pool}
		o.send(s.link, &wire.LeaseRequest{Seq: o.askSeq, Pool: pool})
		if n++; n == askLinks {
			return
		}
	}
}

func (o *Owner) leaseAck(now time.Duration, _ *Peer, m *wire.LeaseReply) {
	a, ok := o.asks[m.Seq]
	if !ok || a.pool != m.Pool {
		return
	}
	delete(o.asks, m.Seq)
	if !m.Confirmed {
		return
	}
	if h := o.homes[m.Pool]; h != nil {
		h.Confirm(a.at, ms(m.AgeMS), m.Epoch)
		return
	}
	o.confirmAssign(now, a, m)
}
